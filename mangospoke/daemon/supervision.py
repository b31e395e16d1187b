"""Running of a daemon's services, each restarted alone when it fails."""

import gc
from collections.abc import Awaitable, Callable

import trio
from loguru import logger

_RESTART_DELAY_S = 0.2
_ALLOCATIONS_PER_COLLECTION = 10_000

Service = Callable[[], Awaitable[None]]


async def supervise(name: str, service: Service) -> None:
    """Runs a service and restarts it when it fails, so that no other suffers."""
    while True:
        try:
            await service()
            return
        except Exception:
            logger.exception("{} failed and is restarted", name)
        await trio.sleep(_RESTART_DELAY_S)


def tame_garbage_collector() -> None:
    """Keeps collections off what lives as long as the daemon, and makes them rare.

    A full collection over all modules would hold up every request meanwhile.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_ALLOCATIONS_PER_COLLECTION, 20, 50)
