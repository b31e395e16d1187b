"""Graceful shutdown: no new requests are accepted, and accepted ones are answered."""

import signal
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import trio
from loguru import logger

from mangospoke.http.listener import Acceptor
from mangospoke.http.server import ConnectionContext
from mangospoke.idle import WorkCounter
from mangospoke.shutdown import Shutdown

_LATE_REQUESTS_WAIT_S = 0.2
"""Wait for requests that were sent just before their sender noticed the shutdown."""

_QUEUED_CONNECTIONS_WAIT_S = 0.05
"""Wait for the requests of connections that were queued when a listener was closed."""


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Times of a shutdown, in seconds since its signal.

    Attributes:
        notice_s: Until then requests are served in any case, since callers and peers
            have not noticed yet that this host is stopping.
        refuse_s: From then on new requests are refused, also if they never cease.
            Accepted ones have the time from here to `interrupt_s` to complete.
        interrupt_s: When calls in progress are answered without their upstreams.
        interrupt_peers_s: When calls that an upstream is running for other daemons are
            answered without it.
        exit_s: When everything that is left is cancelled.
    """

    notice_s: float
    refuse_s: float
    interrupt_s: float
    interrupt_peers_s: float
    exit_s: float


@dataclass(frozen=True, slots=True)
class ShutdownSteps:
    """What a kind of daemon does in a shutdown.

    Attributes:
        announce: Makes callers and peers choose other hosts.
        acceptors: Listeners that are closed once all accepted requests are answered.
        finish: Runs last, for example to write what is still unwritten; it bounds its
            own time.
    """

    announce: Callable[[], None]
    acceptors: Sequence[Acceptor]
    finish: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint


async def watch_stop_signals(
    requested: trio.Event, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
) -> None:
    """Reports SIGTERM or SIGINT until it is cancelled; further ones change nothing.

    It is started before any listener is open, and reads signals until the daemon ends:
    by their default action, they would kill the process.

    Args:
        requested: Set at the first signal.
        task_status: Reports that signals are handled.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for number in signals:
            if requested.is_set():
                logger.bind(event="signal_ignored", signal=number).info(
                    "already shutting down; signal {} changes nothing", number
                )
            requested.set()


async def shut_down_on_request(
    requested: trio.Event,
    read_schedule: Callable[[], ShutdownSchedule],
    steps: ShutdownSteps,
    connections: ConnectionContext,
    scope: trio.CancelScope,
) -> None:
    """Shuts down gracefully when requested, then cancels the daemon's scope."""
    await requested.wait()
    await shut_down(read_schedule(), steps, connections)
    scope.cancel()


async def shut_down(
    schedule: ShutdownSchedule,
    steps: ShutdownSteps,
    connections: ConnectionContext,
) -> None:
    """Answers all accepted requests, in the time that the schedule allows."""
    shutdown, work = connections.shutdown, connections.work
    started_at = trio.current_time()
    shutdown.start()
    logger.bind(event="stopping", in_progress=work.count).info(
        "shutting down gracefully"
    )
    steps.announce()
    with trio.move_on_at(started_at + schedule.exit_s):
        with trio.move_on_at(started_at + schedule.refuse_s):
            await _serve_notice_period(schedule.notice_s, work)
        shutdown.refuse_requests()
        _log_phase(shutdown, work)
        with trio.move_on_at(started_at + schedule.interrupt_s) as completing:
            await _complete_requests(steps.acceptors, connections)
        if completing.cancelled_caught:
            _log_phase(shutdown, work, shutdown.interrupt_calls())
            with trio.move_on_at(started_at + schedule.interrupt_peers_s) as completing:
                await _complete_requests(steps.acceptors, connections)
        if completing.cancelled_caught:
            _log_phase(shutdown, work, shutdown.interrupt_peer_calls())
            await _complete_requests(steps.acceptors, connections)
    if work.count:
        logger.bind(event="stop_incomplete", in_progress=work.count).error(
            "{} requests are cancelled without a response", work.count
        )
    await steps.finish()


async def _serve_notice_period(notice_s: float, work: WorkCounter) -> None:
    await trio.sleep(notice_s)
    await work.wait_idle()
    await trio.sleep(_LATE_REQUESTS_WAIT_S)
    await work.wait_idle()


async def _complete_requests(
    acceptors: Sequence[Acceptor], connections: ConnectionContext
) -> None:
    """Waits until all requests are answered, and closes the listeners.

    The listening sockets are closed before the connections, so that a caller either
    fails to connect, and knows that its request has not run, or gets a response.
    """
    work = connections.work
    await work.wait_idle()
    for acceptor in acceptors:
        acceptor.stop_accepting()
    await trio.sleep(_QUEUED_CONNECTIONS_WAIT_S)
    await work.wait_idle()
    while connections.closing.count:
        await connections.closing.wait_idle()
        await work.wait_idle()


def _log_phase(shutdown: Shutdown, work: WorkCounter, interrupted: int = 0) -> None:
    logger.bind(
        event="stop_phase",
        phase=shutdown.phase.value,
        elapsed_ms=round((shutdown.status().elapsed_s or 0.0) * 1000),
        in_progress=work.count,
        interrupted=interrupted,
    ).info("the shutdown is {}", shutdown.phase.value)
