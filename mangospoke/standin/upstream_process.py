"""A stand-in upstream as a process: its listeners, its control paths, its end.

Control paths, on the control address and on the address for requests:

- `GET /control/faults` and `POST /control/faults`: an `UpstreamFaults`.
- `GET /control/executions?after=NUMBER`: executions as JSON lines.
- `GET /control/summary`: an `UpstreamSummary`.
- `POST /control/drain`: takes the upstream out of routing.
"""

import os
import signal
from collections.abc import Callable
from contextlib import AbstractContextManager, AsyncExitStack, nullcontext
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

import msgspec
import trio
from msgspec import Struct

from mangospoke.announcements import Announcement
from mangospoke.client.connections import ConnectionPool
from mangospoke.standin.announcer import Announcer
from mangospoke.standin.executions import ExecutionLog, encode_lines
from mangospoke.standin.http import HttpServer, Request, Response
from mangospoke.standin.upstream import Upstream
from mangospoke.standin.upstream_settings import (
    UpstreamFaults,
    UpstreamSettings,
)

CRASH_EXIT_STATUS = 70

_CONTROL_PREFIX = "/control/"
_IDLE_POLL_SECONDS = 0.02
_QUIET_SECONDS = 0.5


class UpstreamSummary(Struct, frozen=True, kw_only=True):
    """Counts since the upstream's start, and its state now."""

    counts_by_result: dict[str, int]
    in_flight: int
    queued: int
    connections: int


@dataclass(frozen=True, slots=True)
class RunningUpstream:
    """A stand-in upstream that serves.

    Attributes:
        address: Where it takes requests.
        control_address: Where its control paths are; empty if it has no such.
        stop: Drains and leaves, then ends the serving.
    """

    upstream: Upstream
    address: str
    control_address: str
    announcer: Announcer | None
    stop: Callable[[], None]


class _Process:
    """The listeners of an upstream and what belongs to them."""

    def __init__(
        self, settings: UpstreamSettings, pool: ConnectionPool, file: BinaryIO | None
    ) -> None:
        executions = ExecutionLog(settings.service, settings.address, file)
        self.server = HttpServer(self.answer, settings.connections)
        self.control_server = HttpServer(self.answer)
        self.upstream = Upstream(settings, pool, executions)
        self.announcer: Announcer | None = None

    async def answer(self, request: Request) -> Response:
        """Answers a request or a control path."""
        if not request.path.startswith(_CONTROL_PREFIX):
            return await self.upstream.answer(request)
        return await self._control(request)

    async def _control(self, request: Request) -> Response:
        name = request.path.removeprefix(_CONTROL_PREFIX)
        if name == "faults" and request.method == b"POST":
            return self._set_faults(request.body)
        if name == "faults":
            return _json_response(self.upstream.dice.faults)
        if name == "executions":
            after = int(request.query.get("after", "0"))
            lines = encode_lines(self.upstream.executions.after(after))
            return Response(200, lines)
        if name == "summary":
            return _json_response(self._summary())
        if name == "drain" and self.announcer is not None:
            await self.announcer.drain()
            return Response(204)
        return Response(404, b"no such path\n")

    def _set_faults(self, content: bytes) -> Response:
        try:
            faults = msgspec.json.decode(content, type=UpstreamFaults)
        except msgspec.MsgspecError as error:
            return Response(400, f"{error}\n".encode())
        self.upstream.dice.set(faults)
        return Response(204)

    def _summary(self) -> UpstreamSummary:
        counts = self.upstream.executions.counts_by_result
        return UpstreamSummary(
            counts_by_result={result.value: n for result, n in counts.items()},
            in_flight=self.upstream.in_flight,
            queued=self.upstream.queued,
            connections=self.server.connection_count,
        )

    async def drain_and_leave(self) -> None:
        """Finishes what it has been given and leaves."""
        if self.announcer is not None:
            await self.announcer.drain()
        timeout = self.upstream.settings.drain_timeout_ms / 1000
        with trio.move_on_after(timeout):
            await self._wait_until_quiet()
        if self.announcer is not None:
            await self.announcer.leave()

    async def _wait_until_quiet(self) -> None:
        quiet_since = trio.current_time()
        while trio.current_time() - quiet_since < _QUIET_SECONDS:
            await trio.sleep(_IDLE_POLL_SECONDS)
            if not self.upstream.is_idle:
                quiet_since = trio.current_time()


async def serve_upstream(
    settings: UpstreamSettings,
    crash: Callable[[], None] | None = None,
    task_status: trio.TaskStatus[RunningUpstream] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves a stand-in upstream until it has been stopped.

    Args:
        settings: How it behaves.
        crash: What a marked request does; by default it closes all connections.
        task_status: Told the running upstream once it listens.
    """
    stopped = trio.Event()
    async with AsyncExitStack() as stack:
        file = stack.enter_context(_open_record(settings.record_path))
        pool = await stack.enter_async_context(ConnectionPool())
        process = _Process(settings, pool, file)
        process.upstream.crash = crash or process.server.drop_connections
        nursery = await stack.enter_async_context(trio.open_nursery())
        running = await _start(process, nursery, pool, stopped.set)
        task_status.started(running)
        await stopped.wait()
        await process.drain_and_leave()
        nursery.cancel_scope.cancel()


def _open_record(path: str) -> AbstractContextManager[BinaryIO | None]:
    return Path(path).open("ab") if path else nullcontext()


async def _start(
    process: _Process,
    nursery: trio.Nursery,
    pool: ConnectionPool,
    stop: Callable[[], None],
) -> RunningUpstream:
    upstream = process.upstream
    settings = upstream.settings
    address = await nursery.start(process.server.serve, settings.address)
    upstream.set_address(address)
    control_address = ""
    if settings.control_address:
        serve = process.control_server.serve
        control_address = await nursery.start(serve, settings.control_address)
    nursery.start_soon(upstream.reports.sample)
    if settings.local_listener:
        announcement = Announcement(
            service=settings.service,
            address=address,
            slots=settings.announced_slots or settings.slots,
            connections=settings.connections,
        )
        process.announcer = Announcer(pool, settings.local_listener, announcement)
        nursery.start_soon(process.announcer.run)
    return RunningUpstream(upstream, address, control_address, process.announcer, stop)


def _json_response(content: Struct) -> Response:
    headers = [(b"content-type", b"application/json")]
    return Response(200, msgspec.json.encode(content), headers)


def _exit_at_once() -> None:
    os._exit(CRASH_EXIT_STATUS)


async def _serve_until_terminated(settings: UpstreamSettings) -> None:
    async with trio.open_nursery() as nursery:
        running = await nursery.start(serve_upstream, settings, _exit_at_once)
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                running.stop()
                return


def run_upstream(settings: UpstreamSettings) -> None:
    """Runs a stand-in upstream until SIGTERM; a marked request ends it at once."""
    trio.run(_serve_until_terminated, settings)
