"""Disables the log output of rate limiting in tests."""

import pytest
from loguru import logger


@pytest.fixture(autouse=True)
def disabled_logs():
    logger.disable("mangospoke")
    yield
    logger.enable("mangospoke")
