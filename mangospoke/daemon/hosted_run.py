"""Main loop of a hosted daemon: listeners, graceful shutdown and reload."""

import signal
from collections.abc import Callable, Sequence

import trio
from loguru import logger

from mangospoke.daemon.hosted import HostedDaemon
from mangospoke.daemon.hosting import HostedSettings
from mangospoke.daemon.platform_adapter import PlatformAdapter
from mangospoke.daemon.stopping import (
    ShutdownSchedule,
    ShutdownSteps,
    shut_down_on_request,
    watch_stop_signals,
)
from mangospoke.daemon.supervision import supervise, tune_garbage_collector
from mangospoke.http.held_bytes import max_connections
from mangospoke.http.listener import Acceptor, ConnectionHandler, open_listener
from mangospoke.http.server import RequestHandler, make_connection_handler
from mangospoke.observability.logs import EventLog, open_logs
from mangospoke.peers.server import serve_peer
from mangospoke.streams import Stream

_CLOSING_MARGIN = 64
"""Connections of one listener that may be ending while others take their place."""

_NOT_READY_NOTICE_S = 2.2
"""Time in which the platform detects that the host is no longer ready."""

_MAX_NOTICE_RATIO = 0.4
"""Maximum of the notice period as a part of `stop_s`."""

_REFUSE_RATIO = 0.47
"""Part of `stop_s` after which new requests are refused.

Requests that are accepted later could not be given enough time to complete.
"""

_MAX_REFUSE_S = 2.9
"""Latest time at which refusing begins, in seconds after the signal.

The platform lets a daemon cut a request at the end of its stop only if it was sent in
the first 3 s.
"""

_INTERRUPT_RATIO = 0.86
"""Part of `stop_s` after which calls in progress are answered by the daemon itself."""

_INTERRUPT_PEERS_RATIO = 0.91
_EXIT_RATIO = 0.94
"""Part of `stop_s` after which the process exits in any case, if that is short."""

_INTERRUPT_PEERS_MARGIN_S = 0.3
_EXIT_MARGIN_S = 0.15
"""Time before the end of `stop_s`, when the platform ends the process."""


async def run_hosted(
    hosted_settings: HostedSettings, platform: PlatformAdapter
) -> None:
    """Runs a hosted daemon until SIGTERM or SIGINT shuts it down.

    Raises:
        OSError: If an address cannot be bound.
    """
    settings = hosted_settings.settings
    with open_logs(settings.logging, settings.host.id) as log:
        await _run(hosted_settings, platform, log)


async def _run(
    hosted_settings: HostedSettings, platform: PlatformAdapter, log: EventLog
) -> None:
    daemon = HostedDaemon(hosted_settings, platform, log)
    tune_garbage_collector()
    stop_requested = trio.Event()
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(watch_stop_signals, stop_requested)
            for name, service in daemon.services_by_name().items():
                nursery.start_soon(supervise, name, service)
            acceptors = await _open_acceptors(daemon)
            for acceptor in acceptors:
                nursery.start_soon(acceptor.serve)
            nursery.start_soon(
                shut_down_on_request,
                stop_requested,
                lambda: _read_schedule(daemon),
                _make_steps(daemon, acceptors),
                daemon.connections,
                nursery.cancel_scope,
            )
            nursery.start_soon(_reload_on_signal, daemon, platform.read_hosted_settings)
            logger.bind(event="started", service=hosted_settings.upstream_service).info(
                "serving {}", hosted_settings.callers_address
            )
    finally:
        daemon.peers.close()
    logger.bind(event="stopped").info("stopped")


async def _open_acceptors(daemon: HostedDaemon) -> list[Acceptor]:
    """Binds all addresses before serving any, so that an invalid one is fatal."""
    hosted_settings = daemon.hosted_settings

    async def serve_peer_connection(stream: Stream) -> None:
        await serve_peer(
            stream,
            daemon.identity,
            daemon.guard.execute,
            daemon.guard.offer_load,
            daemon.connections,
            daemon.control.respond,
        )

    def service_handler(handler: RequestHandler) -> ConnectionHandler:
        return make_connection_handler(handler, daemon.service_connections)

    serve_caller = make_connection_handler(
        daemon.request_handler.handle, daemon.connections
    )
    handlers_by_address = {
        hosted_settings.callers_address: serve_caller,
        hosted_settings.heartbeat_address: service_handler(daemon.handle_heartbeat),
        hosted_settings.readiness_address: service_handler(daemon.answer_readiness),
        daemon.settings.listen.peer: serve_peer_connection,
        daemon.settings.listen.operations: service_handler(daemon.operations.handle),
    }
    own_limit = max_connections(hosted_settings.max_descriptors)
    return [
        Acceptor(await open_listener(address), handler, own_limit + _CLOSING_MARGIN)
        for address, handler in handlers_by_address.items()
    ]


def _read_schedule(daemon: HostedDaemon) -> ShutdownSchedule:
    return _make_schedule(daemon.hosted_settings.guarantees.stop_s)


def _make_schedule(stop_s: float) -> ShutdownSchedule:
    return ShutdownSchedule(
        notice_s=min(_NOT_READY_NOTICE_S, stop_s * _MAX_NOTICE_RATIO),
        refuse_s=min(_MAX_REFUSE_S, stop_s * _REFUSE_RATIO),
        interrupt_s=stop_s * _INTERRUPT_RATIO,
        interrupt_peers_s=max(
            stop_s * _INTERRUPT_PEERS_RATIO, stop_s - _INTERRUPT_PEERS_MARGIN_S
        ),
        exit_s=max(stop_s * _EXIT_RATIO, stop_s - _EXIT_MARGIN_S),
    )


def _make_steps(daemon: HostedDaemon, acceptors: Sequence[Acceptor]) -> ShutdownSteps:
    def announce() -> None:
        daemon.registrar.stop()
        daemon.guard.drain()

    async def finish() -> None:
        """Records the departures that the log service hasn't taken yet."""
        elapsed_s = daemon.connections.shutdown.status().elapsed_s or 0.0
        with trio.move_on_after(_read_schedule(daemon).exit_s - elapsed_s):
            await daemon.registrar.wait_departures_recorded()

    return ShutdownSteps(announce, acceptors, finish)


async def _reload_on_signal(
    daemon: HostedDaemon, read_hosted_settings: Callable[[], HostedSettings]
) -> None:
    """Reloads the settings on SIGHUP without interrupting requests."""
    with trio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            try:
                daemon.reload(read_hosted_settings())
            except (OSError, ValueError) as error:
                logger.bind(event="settings_unreadable").error(
                    "cannot read the settings; keeping the active ones: {}", error
                )
