"""Graceful shutdown: no new requests are accepted, and running ones complete."""

import signal
from collections.abc import Iterable
from dataclasses import dataclass

import trio
from loguru import logger

from mangospoke.daemon.assembly import Daemon
from mangospoke.guard.guard import DRAIN_NOTICE_S
from mangospoke.http.listener import Acceptor

_MAX_SHUTDOWN_S = 60.0
_LATE_REQUESTS_WAIT_S = 0.3
"""Wait for requests that were sent before the listening sockets were closed."""

_FLUSH_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Acceptors:
    """The daemon's TCP listeners."""

    public: Acceptor
    local: Acceptor
    peer: Acceptor
    operations: Acceptor

    def all(self) -> Iterable[Acceptor]:
        """Returns all listeners."""
        return (self.public, self.local, self.peer, self.operations)


async def shut_down_on_signal(
    daemon: Daemon, acceptors: Acceptors, scope: trio.CancelScope
) -> None:
    """Shuts down gracefully on SIGTERM or SIGINT, then cancels the daemon's scope."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            break
        logger.bind(event="stopping").info("shutting down gracefully")
        with trio.move_on_after(_MAX_SHUTDOWN_S):
            await _drain(daemon, acceptors)
    scope.cancel()


async def _drain(daemon: Daemon, acceptors: Acceptors) -> None:
    """Announces the drain, keeps serving for a notice period, completes all requests.

    The listening sockets are closed before the connections, so that a caller either
    fails to connect, and knows that its request has not run, or gets its response.
    """
    daemon.local.stopping = True
    daemon.public.drain()
    daemon.state.announcer.drain()
    await trio.sleep(DRAIN_NOTICE_S)
    await daemon.connections.work.wait_idle()
    acceptors.public.stop_accepting()
    acceptors.peer.stop_accepting()
    await trio.sleep(_LATE_REQUESTS_WAIT_S)
    await daemon.connections.work.wait_idle()
    daemon.state.announcer.leave()
    with trio.move_on_after(_FLUSH_TIMEOUT_S):
        await daemon.state.announcer.flush()
        await daemon.incidents.flush()
