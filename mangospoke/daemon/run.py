"""Main loop of a daemon: supervised services and listeners."""

import signal
from collections.abc import Sequence

import trio
from loguru import logger

from mangospoke.conf.settings import Settings
from mangospoke.control.transport import limit_nng_threads
from mangospoke.daemon.assembly import Daemon, assemble_daemon
from mangospoke.daemon.stopping import (
    ShutdownSchedule,
    ShutdownSteps,
    shut_down_on_request,
    watch_stop_signals,
)
from mangospoke.daemon.supervision import supervise, tune_garbage_collector
from mangospoke.guard.guard import DRAIN_NOTICE_S
from mangospoke.http.listener import Acceptor, ConnectionHandler, open_listener
from mangospoke.http.server import RequestHandler, make_connection_handler
from mangospoke.observability.logs import EventLog, open_logs
from mangospoke.peers.server import serve_peer
from mangospoke.routing.probing import make_control_probe, probe_ejected_hosts
from mangospoke.streams import Stream

_MAX_CONFIGURATION_WAIT_S = 2.0
_MAX_PEER_CONNECTIONS = 4_000
_MAX_LOCAL_CONNECTIONS = 4_000
_MAX_OPERATIONS_CONNECTIONS = 64

_SHUTDOWN_SCHEDULE = ShutdownSchedule(
    notice_s=DRAIN_NOTICE_S,
    refuse_s=DRAIN_NOTICE_S,
    interrupt_s=55.0,
    interrupt_peers_s=58.0,
    exit_s=60.0,
)

_FLUSH_TIMEOUT_S = 2.0


async def run_daemon(settings: Settings) -> None:
    """Runs a daemon until SIGTERM or SIGINT shuts it down.

    Raises:
        OSError: If an address cannot be bound.
    """
    limit_nng_threads()
    with open_logs(settings.logging, settings.host.id) as log:
        await _run(settings, log)


async def _run(settings: Settings, log: EventLog) -> None:
    daemon = assemble_daemon(settings, log)
    tune_garbage_collector()
    stop_requested = trio.Event()
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(watch_stop_signals, stop_requested)
            nursery.start_soon(
                supervise, "hang-up monitor", daemon.connections.hang_ups.run
            )
            nursery.start_soon(supervise, "log", log.sink.run)
            nursery.start_soon(supervise, "reload requests", _log_reload_requests)
            nursery.start_soon(supervise, "loop lag", daemon.lag.run)
            nursery.start_soon(supervise, "peer connections", daemon.peers.run)
            nursery.start_soon(supervise, "prober", lambda: _probe(daemon))
            nursery.start_soon(supervise, "rates", daemon.rates.run)
            nursery.start_soon(supervise, "guard", daemon.guard.run)
            nursery.start_soon(supervise, "admission", daemon.guard.admission.run)
            nursery.start_soon(supervise, "notes", daemon.at_most_once.run)
            nursery.start_soon(supervise, "suspects", daemon.quarantine.run)
            for name, service in daemon.state.services_by_name.items():
                nursery.start_soon(supervise, name, service)
            nursery.start_soon(supervise, "overload", daemon.overload.run)
            nursery.start_soon(supervise, "incidents", daemon.incidents.run)
            acceptors = await _start_listeners(daemon, nursery)
            nursery.start_soon(
                shut_down_on_request,
                stop_requested,
                lambda: _SHUTDOWN_SCHEDULE,
                _make_steps(daemon, acceptors),
                daemon.connections,
                nursery.cancel_scope,
            )
            logger.bind(event="started").info("serving {}", settings.listen.public)
    finally:
        daemon.peers.close()
        daemon.control.close()
    logger.bind(event="stopped").info("stopped")


async def _start_listeners(
    daemon: Daemon, nursery: trio.Nursery
) -> tuple[Acceptor, Acceptor]:
    """Starts all listeners; returns those of callers and of peers.

    All addresses are bound before any is served, so that an invalid one is fatal.
    """
    listen = daemon.settings.listen
    limits = daemon.settings.limits
    public = await open_listener(listen.public)
    local = await open_listener(listen.local)
    peer = await open_listener(listen.peer)
    operations = await open_listener(listen.operations)
    await nursery.start(daemon.control.serve, listen.control)

    async def serve_peer_connection(stream: Stream) -> None:
        await serve_peer(
            stream,
            daemon.identity,
            daemon.at_most_once.execute,
            daemon.guard.offer_load,
            daemon.connections,
        )

    def http_handler(handler: RequestHandler) -> ConnectionHandler:
        return make_connection_handler(handler, daemon.connections)

    public_acceptor = Acceptor(
        public, http_handler(daemon.public.handle), limits.public_connections
    )
    peer_acceptor = Acceptor(peer, serve_peer_connection, _MAX_PEER_CONNECTIONS)
    local_acceptor = Acceptor(
        local, http_handler(daemon.local.handle), _MAX_LOCAL_CONNECTIONS
    )
    operations_acceptor = Acceptor(
        operations, http_handler(daemon.operations.handle), _MAX_OPERATIONS_CONNECTIONS
    )

    async def serve_public() -> None:
        # Delays public requests until a daemon that just started is configured.
        with trio.move_on_after(_MAX_CONFIGURATION_WAIT_S):
            await daemon.fleet.wait_configured()
        await public_acceptor.serve()

    nursery.start_soon(serve_public)
    for acceptor in (local_acceptor, peer_acceptor, operations_acceptor):
        nursery.start_soon(acceptor.serve)
    return public_acceptor, peer_acceptor


def _make_steps(daemon: Daemon, acceptors: Sequence[Acceptor]) -> ShutdownSteps:
    announcer = daemon.state.announcer

    async def finish() -> None:
        announcer.leave()
        with trio.move_on_after(_FLUSH_TIMEOUT_S):
            await announcer.flush()
            await daemon.incidents.flush()

    return ShutdownSteps(announcer.drain, acceptors, finish)


async def _log_reload_requests() -> None:
    """Logs SIGHUP, which changes nothing."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            logger.bind(event="reload_ignored").warning(
                "the settings are read at the start only; restart to apply changes"
            )


async def _probe(daemon: Daemon) -> None:
    is_alive = make_control_probe(daemon.fleet, daemon.control)
    await probe_ejected_hosts(daemon.ejector, is_alive)
