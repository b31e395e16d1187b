"""A stand-in upstream: a service's process as the fleet sees it, with its faults."""

import fnmatch
import random
import time
from collections.abc import Callable

import msgspec
import trio

from mangospoke.client.connections import ConnectionPool
from mangospoke.http.fields import DEADLINE, REQUEST_ID, SHED
from mangospoke.standin.answers import AnswerContent, digest
from mangospoke.standin.endless import endless_bytes
from mangospoke.standin.executions import Execution, ExecutionLog, Result
from mangospoke.standin.fault_dice import FaultDice
from mangospoke.standin.http import (
    ConnectionDroppedError,
    Request,
    Response,
)
from mangospoke.standin.reports import Reports
from mangospoke.standin.service_time import cold_start_factor, draw_seconds
from mangospoke.standin.sub_calls import make_sub_calls
from mangospoke.standin.upstream_settings import Endpoint, UpstreamSettings

_STATUS_BY_RESULT = {
    Result.ANSWERED: 200,
    Result.SUB_CALL_FAILED: 502,
    Result.DEADLINE_PASSED: 504,
}


class Upstream:
    """The work of one upstream.

    Attributes:
        in_flight: Requests that hold a slot.
        queued: Requests that wait for one.
        crash: What a marked request does.
    """

    def __init__(
        self,
        settings: UpstreamSettings,
        pool: ConnectionPool,
        executions: ExecutionLog,
    ) -> None:
        self.settings = settings
        self.dice = FaultDice(settings.seed)
        self.executions = executions
        self.in_flight = 0
        self.queued = 0
        self.reports = Reports(self)
        self.address = settings.address
        self.crash: Callable[[], None] = _do_nothing
        self._pool = pool
        self._random = random.Random(settings.seed)
        self._slots = trio.Semaphore(settings.slots)
        self._started_at = time.monotonic()
        self._previous: Response | None = None

    def set_address(self, address: str) -> None:
        """Sets the address that answers and the record show."""
        self.address = address
        self.executions.address = address

    @property
    def is_idle(self) -> bool:
        """Whether no request waits or is worked on."""
        return self.in_flight + self.queued == 0

    async def answer(self, request: Request) -> Response:
        """Answers a request, or breaks off as the faults in force want it."""
        if request.path == "/health":
            return self.reports.health()
        if request.path == "/load":
            return self.reports.load()
        if self.dice.faults.ignores_cancellation:
            with trio.CancelScope(shield=True):
                return await self._serve(request)
        return await self._serve(request)

    async def _serve(self, request: Request) -> Response:
        received_at = time.monotonic()
        deadline = self._deadline(request)
        if self._must_shed() or not await self._wait_for_slot(deadline):
            self.executions.shed(request)
            return _shed_response(request)
        self.in_flight += 1
        try:
            return await self._run(request, deadline, received_at)
        finally:
            self.in_flight -= 1
            self._slots.release()

    def _must_shed(self) -> bool:
        if self.dice.strikes("shed"):
            return True
        queue = self.settings.queue
        is_busy = self.in_flight >= self.settings.slots
        return queue is not None and is_busy and self.queued >= queue

    async def _wait_for_slot(self, deadline: float) -> bool:
        self.queued += 1
        try:
            with trio.CancelScope(deadline=deadline):
                await self._slots.acquire()
                return True
        finally:
            self.queued -= 1
        return False

    async def _run(
        self, request: Request, deadline: float, received_at: float
    ) -> Response:
        execution = self.executions.start(request)
        result = Result.CANCELLED
        try:
            result = await self._work(request, execution, deadline)
        finally:
            self.executions.end(execution, result)
        if result is Result.CRASHED:
            self.crash()
            raise ConnectionDroppedError
        status = _STATUS_BY_RESULT[result]
        response = self._respond(request, execution, received_at, status)
        if result is not Result.ANSWERED:
            return response
        return await self._break_on_demand(response)

    async def _work(
        self, request: Request, execution: Execution, deadline: float
    ) -> Result:
        if self.settings.crash_mark in execution.target:
            await trio.sleep(self.settings.crash_after_ms / 1000)
            return Result.CRASHED
        with trio.CancelScope(deadline=deadline):
            return await self._work_and_call(request, execution)
        return Result.DEADLINE_PASSED

    async def _work_and_call(self, request: Request, execution: Execution) -> Result:
        endpoint = self._endpoint(request)
        if self.dice.strikes("stalled"):
            await trio.sleep_forever()
        await trio.sleep(self._service_seconds(endpoint))
        if not endpoint.calls:
            return Result.ANSWERED
        succeeded = await make_sub_calls(
            self._pool,
            self.settings.local_listener,
            self.settings.sub_call_timeout_ms / 1000,
            endpoint.calls,
            request,
            execution.number,
            self._random,
        )
        return Result.ANSWERED if succeeded else Result.SUB_CALL_FAILED

    def _endpoint(self, request: Request) -> Endpoint:
        path = request.path
        for endpoint in self.settings.endpoints:
            method_fits = endpoint.method in ("", request.method.decode())
            if method_fits and fnmatch.fnmatchcase(path, endpoint.path):
                return endpoint
        return Endpoint()

    def _service_seconds(self, endpoint: Endpoint) -> float:
        service_time = endpoint.service_time or self.settings.service_time
        age = time.monotonic() - self._started_at
        factor = cold_start_factor(self.settings.cold_start, age)
        return draw_seconds(service_time, self._random) * factor * self.dice.slow_factor

    def _deadline(self, request: Request) -> float:
        remaining = request.header(DEADLINE)
        if remaining is None or not self.settings.deadline_aware:
            return float("inf")
        return trio.current_time() + float(remaining) / 1000

    def _respond(
        self, request: Request, execution: Execution, received_at: float, status: int
    ) -> Response:
        endpoint = self._endpoint(request)
        content = AnswerContent(
            service=self.settings.service,
            address=self.address,
            request_id=execution.request_id,
            target=execution.target,
            body_digest=digest(request.body),
            execution=execution.number,
            took_ms=(time.monotonic() - received_at) * 1000,
            padding="x" * endpoint.answer_bytes,
        )
        headers = [(b"content-type", b"application/json")]
        request_id = request.header(REQUEST_ID)
        if request_id is not None:
            headers.append((REQUEST_ID, request_id))
        return Response(status, msgspec.json.encode(content), headers)

    async def _break_on_demand(self, response: Response) -> Response:
        if self.dice.strikes("late"):
            await trio.sleep(self.dice.faults.late_ms / 1000)
        if self.dice.strikes("dropped"):
            raise ConnectionDroppedError
        if self.dice.strikes("truncated"):
            cut = len(response.body) // 2
            return Response(response.status, response.body, response.headers, cut)
        faults = self.dice.faults
        if self.dice.strikes("endless"):
            pause_s = faults.endless_pause_ms / 1000
            endless = endless_bytes(faults.endless_part, response.headers, pause_s)
            return Response(endless=endless)
        previous, self._previous = self._previous, response
        if previous is not None and self.dice.strikes("crossed"):
            return previous
        return response


def _do_nothing() -> None:
    """Does nothing."""


def _shed_response(request: Request) -> Response:
    """A refusal that names its request, so that a crossed one is recognised."""
    headers = [(SHED, b"1")]
    request_id = request.header(REQUEST_ID)
    if request_id is not None:
        headers.append((REQUEST_ID, request_id))
    return Response(503, b"shed\n", headers)
