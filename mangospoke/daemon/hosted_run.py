"""Running of a hosted daemon: its listeners, its planned stop and its reload."""

import signal
from collections.abc import Callable

import trio
from loguru import logger

from mangospoke.daemon.hosted import HostedDaemon, Platform
from mangospoke.daemon.hosting import Hosting
from mangospoke.daemon.supervision import supervise, tame_garbage_collector
from mangospoke.http.listener import Acceptor, ConnectionHandler, open_listener
from mangospoke.http.server import RequestHandler, make_connection_handler
from mangospoke.observability.logs import EventLog, open_logs
from mangospoke.peers.server import serve_peer
from mangospoke.streams import Stream

_CONNECTIONS = 1_500
"""Connections accepted at one address."""

_STOP_NOTICE_S = 2.2
"""Time in which the platform notices that the host isn't ready any more."""

_STOP_MARGIN_S = 1.2
_LAST_REQUESTS_S = 0.2


async def run_hosted(hosting: Hosting, platform: Platform) -> None:
    """Runs a hosted daemon until it is told to stop by SIGTERM or SIGINT.

    Raises:
        OSError: If an address can't be bound.
    """
    settings = hosting.settings
    with open_logs(settings.logging, settings.host.id) as log:
        await _run(hosting, platform, log)


async def _run(hosting: Hosting, platform: Platform, log: EventLog) -> None:
    daemon = HostedDaemon(hosting, platform, log)
    tame_garbage_collector()
    try:
        async with trio.open_nursery() as nursery:
            for name, service in daemon.services_by_name().items():
                nursery.start_soon(supervise, name, service)
            acceptors = await _open_acceptors(daemon)
            for acceptor in acceptors:
                nursery.start_soon(acceptor.serve)
            nursery.start_soon(_stop_when_told, daemon, nursery.cancel_scope)
            nursery.start_soon(_reload_when_told, daemon, platform.read_hosting)
            logger.bind(event="started", service=hosting.upstream_service).info(
                "serving {}", hosting.callers_address
            )
    finally:
        daemon.peers.close()
    logger.bind(event="stopped").info("stopped")


async def _open_acceptors(daemon: HostedDaemon) -> list[Acceptor]:
    """Binds all addresses before any is served, so that a bad one is fatal."""
    hosting = daemon.hosting

    async def serve_peer_connection(stream: Stream) -> None:
        await serve_peer(
            stream,
            daemon.identity,
            daemon.guard.execute,
            daemon.guard.load,
            daemon.connections,
            daemon.control.answer,
        )

    def http_handler(handler: RequestHandler) -> ConnectionHandler:
        return make_connection_handler(handler, daemon.connections)

    handlers_by_address = {
        hosting.callers_address: http_handler(daemon.request_handler.handle),
        hosting.heartbeat_address: http_handler(daemon.handle_heartbeat),
        hosting.readiness_address: http_handler(daemon.answer_readiness),
        daemon.settings.listen.peer: serve_peer_connection,
        daemon.settings.listen.operations: http_handler(daemon.operations.handle),
    }
    return [
        Acceptor(await open_listener(address), handler, _CONNECTIONS)
        for address, handler in handlers_by_address.items()
    ]


async def _stop_when_told(daemon: HostedDaemon, scope: trio.CancelScope) -> None:
    """Waits for the order to stop, stops as planned and cancels the daemon's scope."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            break
        logger.bind(event="stopping").info("planned stop")
        with trio.move_on_after(daemon.hosting.promises.stop_s - _STOP_MARGIN_S):
            await _drain(daemon)
    scope.cancel()


async def _reload_when_told(
    daemon: HostedDaemon, read_hosting: Callable[[], Hosting]
) -> None:
    """Reads the settings anew on SIGHUP; what runs goes on meanwhile."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            try:
                daemon.reload(read_hosting())
            except (OSError, ValueError) as error:
                logger.bind(event="settings_unreadable").error(
                    "the settings can't be read; those in force stay: {}", error
                )


async def _drain(daemon: HostedDaemon) -> None:
    """Serves until callers and peers have turned away, and finishes what runs."""
    daemon.registrar.stop()
    daemon.guard.drain()
    daemon.request_handler.closes_connections = True
    await trio.sleep(_STOP_NOTICE_S)
    work = daemon.connections.work
    await work.wait_idle()
    # What was sent before the last caller turned away may be on its way yet.
    await trio.sleep(_LAST_REQUESTS_S)
    await work.wait_idle()
