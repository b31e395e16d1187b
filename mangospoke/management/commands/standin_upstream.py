"""`mangospoke standin upstream`: a stand-in for an upstream."""

from pathlib import Path

import msgspec

from mangospoke.management.exits import CommandError, ExitCode
from mangospoke.standin.upstream_process import run_upstream
from mangospoke.standin.upstream_settings import load_upstream_settings


def run(*, settings: Path) -> None:
    """Runs an upstream until SIGTERM; it drains and leaves before it ends.

    Args:
        settings: Its settings, in TOML or JSON.
    """
    try:
        loaded = load_upstream_settings(settings)
    except (OSError, msgspec.MsgspecError) as error:
        raise CommandError(ExitCode.USAGE, f"{settings}: {error}") from error
    run_upstream(loaded)
