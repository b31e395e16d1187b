"""Supervision of a daemon's services: a failed service is restarted alone."""

import gc
from collections.abc import Awaitable, Callable

import trio
from loguru import logger

_RESTART_DELAY_S = 0.2
_ALLOCATIONS_PER_COLLECTION = 10_000

Service = Callable[[], Awaitable[None]]


async def supervise(name: str, service: Service) -> None:
    """Runs a service; restarts it if it fails, without affecting other services."""
    while True:
        try:
            await service()
            return
        except Exception:
            logger.exception("service {} failed; restarting it", name)
        await trio.sleep(_RESTART_DELAY_S)


def tune_garbage_collector() -> None:
    """Exempts long-lived objects from garbage collection, and makes it rarer.

    A full collection over the objects of all modules would delay every request.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_ALLOCATIONS_PER_COLLECTION, 20, 50)
