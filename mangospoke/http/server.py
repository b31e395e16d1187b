"""Server side of HTTP/1.1: serves the requests of each accepted connection."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11
import trio
from loguru import logger

from mangospoke.cancellation import CancelCause
from mangospoke.conf.settings import Limits
from mangospoke.hangups import HangUpMonitor
from mangospoke.http import fields
from mangospoke.http.bodies import (
    IncompleteBodyError,
    buffered_body,
    until_deadline,
)
from mangospoke.http.complete_bodies import (
    HeldBodyBudget,
    broken_body_response,
    with_complete_body,
)
from mangospoke.http.delivery import UndeliveredResponse, ignore_undelivered
from mangospoke.http.listener import ConnectionHandler
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.http.pending_responses import (
    PendingResponse,
    unfinished_responses,
)
from mangospoke.http.reading import (
    BadRequestError,
    CallerDisconnectedError,
    RequestCycle,
    read_request,
)
from mangospoke.http.writing import write_error_response, write_response
from mangospoke.idle import WorkCounter
from mangospoke.shutdown import Shutdown
from mangospoke.streams import Stream
from mangospoke.verdicts import Verdict

RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]

_MAX_PIPELINED_REQUESTS = 16
"""Concurrent requests on one connection; further ones stay unread."""

_PIPELINING_CHECKS = 3
"""Number of first requests on a connection that are checked for pipelining.

The check polls the socket after each of these requests.
"""

_SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS"})

_LINGERING_CLOSE_S = 2.0
"""How long input is discarded after the last response, before the close."""


@dataclass(frozen=True, slots=True)
class ConnectionContext:
    """State shared by all connections of a daemon.

    Attributes:
        limits: Size limits and timeouts of requests.
        work: Counts the requests in progress, so that a planned stop waits for them.
        hang_ups: Cancels the requests of callers that closed their connection.
        record_undelivered: Records a response that the caller didn't get completely.
        shutdown: Interrupts the calls of peers at the end of a shutdown; those of
            callers are interrupted by the dispatcher.
        closing: Counts the connections whose last response may still be on its way.
        held_bodies: Bounds the memory for bodies that are held back.
    """

    limits: Limits
    work: WorkCounter
    hang_ups: HangUpMonitor
    record_undelivered: Callable[[UndeliveredResponse], None] = ignore_undelivered
    shutdown: Shutdown = field(default_factory=Shutdown)
    closing: WorkCounter = field(default_factory=WorkCounter)
    held_bodies: HeldBodyBudget = field(default_factory=HeldBodyBudget)


def make_connection_handler(
    handler: RequestHandler, context: ConnectionContext
) -> ConnectionHandler:
    """Returns the function that serves the connections of one listener."""

    async def serve(stream: Stream) -> None:
        await serve_connection(stream, handler, context)

    return serve


async def serve_connection(
    stream: Stream, handler: RequestHandler, context: ConnectionContext
) -> None:
    """Serves one caller's connection until either side closes it.

    A caller that closes its sending side is treated as disconnected and its requests
    are cancelled, since TCP doesn't distinguish that from a half-closed connection.
    """
    connection = _ServerConnection(stream, handler, context)
    try:
        await connection.serve()
        if connection.needs_lingering_close:
            with context.closing:
                await _discard_input(connection.stream)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
    finally:
        stream.close()


class _ServerConnection:
    """A caller's connection; responses are sent in the order of the requests.

    While the requests of a caller that pipelines are in progress, further ones are
    read, and each runs in a task of its own. Most callers don't pipeline; their
    requests are served without a new task, which saves a scheduler switch per request.

    A request that was passed to the handler gets its response. So the connection is
    only closed after the response to the last such request, whichever response asked
    for the close, and no request is started behind a body that may break off.

    Attributes:
        needs_lingering_close: Whether the caller may still be sending after the last
            response.
    """

    def __init__(
        self, stream: Stream, handler: RequestHandler, context: ConnectionContext
    ) -> None:
        self.stream = stream
        self.needs_lingering_close = False
        self._handler = handler
        self._context = context
        self._last_response: PendingResponse | None = None
        self._last_method_is_safe = True
        self._accepted_at = trio.current_time()
        self._is_closing = False
        self._is_pipelining = False
        self._pipelining_checks_left = _PIPELINING_CHECKS

    async def serve(self) -> None:
        """Serves requests until either side ends the connection."""
        async with trio.open_nursery() as nursery:
            try:
                await self._start_requests(nursery)
            except (
                CallerDisconnectedError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ):
                self._record_hang_up()
                nursery.cancel_scope.cancel()

    async def _start_requests(self, nursery: trio.Nursery) -> None:
        """Reads and starts requests until no other can follow."""
        cycle = RequestCycle(self.stream, self._context.limits)
        try:
            while await self._start_request(cycle, nursery):
                cycle = cycle.next(self._last_response)
        except BadRequestError as error:
            await self._reject_request(cycle, error)

    def _record_hang_up(self) -> None:
        self._set_cause(CancelCause.CALLER_HUNG_UP)

    def _set_cause(self, cause: CancelCause) -> None:
        """Sets why all requests in progress on this connection are cancelled."""
        for response in unfinished_responses(self._last_response):
            response.cancellation.set_cause(cause)

    async def _start_request(self, cycle: RequestCycle, nursery: trio.Nursery) -> bool:
        """Reads a request, starts it, and returns whether to read another."""
        request = await read_request(cycle, self._read_idle_since)
        if request is None:
            raise CallerDisconnectedError
        await self._wait_for_conflicting_requests(request)
        if self._is_closing:
            # The caller will find the request unanswered behind a response that closes
            # the connection, and knows that it has not run.
            await self._wait_for_earlier_responses()
            return False
        response = self._last_response = PendingResponse(
            request.cancellation, self._last_response
        )
        if not self._detect_pipelining(cycle):
            await self._serve_sequentially(
                cycle, request, response, nursery.cancel_scope
            )
            return response.finished.is_set()
        nursery.start_soon(
            self._serve_request, cycle, request, response, nursery.cancel_scope
        )
        is_last = cycle.http.their_state is not h11.DONE
        is_full = response.count_unfinished_before() >= _MAX_PIPELINED_REQUESTS
        if is_last or is_full:
            await self._wait_until_finished(response)
        return cycle.http.their_state is h11.DONE

    def _detect_pipelining(self, cycle: RequestCycle) -> bool:
        """Returns whether the caller has been seen to pipeline requests."""
        if cycle.http.trailing_data[0]:
            self._is_pipelining = True
        return self._is_pipelining

    async def _serve_sequentially(
        self,
        cycle: RequestCycle,
        request: HttpRequest,
        response: PendingResponse,
        connection_scope: trio.CancelScope,
    ) -> None:
        """Serves a request without reading further ones in the meantime."""
        with self._context.hang_ups.watch(self.stream, self._record_hang_up):
            await self._serve_request(cycle, request, response, connection_scope)
            self._check_early_input()
            return
        raise CallerDisconnectedError

    def _check_early_input(self) -> None:
        """Detects a caller that sent a request before it received the response."""
        if self._pipelining_checks_left:
            self._pipelining_checks_left -= 1
            self._is_pipelining = self.stream.has_input()

    def _read_idle_since(self) -> float | None:
        """Returns when the last request was answered; None while one isn't."""
        if self._last_response is None:
            return self._accepted_at
        return self._last_response.finished_at

    async def _wait_for_conflicting_requests(self, request: HttpRequest) -> None:
        """Lets a request overlap with earlier ones only if all methods are safe.

        It doesn't overlap with a streamed response either: if that breaks off, no other
        response can follow on the connection.
        """
        is_safe = request.method in _SAFE_METHODS
        may_overlap = is_safe and self._last_method_is_safe
        self._last_method_is_safe = is_safe
        response = self._last_response
        if response is not None and (not may_overlap or response.is_streamed):
            await self._wait_for_earlier_responses()

    async def _wait_for_earlier_responses(self) -> None:
        response = self._last_response
        if response is not None and not response.finished.is_set():
            await self._wait_until_finished(response)

    async def _wait_until_finished(self, response: PendingResponse) -> None:
        """Waits until a response is written, without reading further requests."""
        with self._context.hang_ups.watch(self.stream, self._record_hang_up):
            await response.finished.wait()
            return
        raise CallerDisconnectedError

    async def _serve_request(
        self,
        cycle: RequestCycle,
        request: HttpRequest,
        pending_response: PendingResponse,
        connection_scope: trio.CancelScope,
    ) -> None:
        """Serves one request; ends the connection if no other can follow."""
        try:
            with self._context.work:
                response = await _run_handler(self._handler, request)
                await self._deliver(cycle, request, response, pending_response)
        except (
            CallerDisconnectedError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            connection_scope.cancel()
            return
        http = cycle.http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            pending_response.finish()
            return
        # A caller that requested the close sends nothing more, so that no lingering
        # close is needed.
        is_last = http.their_state is h11.MUST_CLOSE
        self.needs_lingering_close = http.our_state is not h11.ERROR and not is_last
        self._set_cause(CancelCause.CONNECTION_CLOSED)
        connection_scope.cancel()

    async def _deliver(
        self,
        cycle: RequestCycle,
        request: HttpRequest,
        response: HttpResponse,
        pending_response: PendingResponse,
    ) -> None:
        """Writes a response in its turn; records it if it can't be written."""
        is_written = False
        try:
            async with response.body:
                await self._write_in_order(cycle, request, response, pending_response)
                is_written = cycle.http.our_state is not h11.ERROR
                if not is_written:
                    request.cancellation.set_cause(CancelCause.BODY_INCOMPLETE)
        except Exception as error:
            self._set_cause(_cause_of(error))
            raise
        finally:
            if not is_written:
                is_started = cycle.http.our_state is not h11.SEND_RESPONSE
                self._context.record_undelivered(
                    UndeliveredResponse(request, response.status, is_started)
                )

    async def _write_in_order(
        self,
        cycle: RequestCycle,
        request: HttpRequest,
        response: HttpResponse,
        pending_response: PendingResponse,
    ) -> None:
        """Writes a response after all earlier ones."""
        if response.closes_connection:
            self._is_closing = True
        # The length in a response to HEAD isn't that of its body, which is empty.
        if response.body.content is None and request.method != b"HEAD":
            pending_response.is_streamed = True
        is_last = pending_response is self._last_response
        if not pending_response.is_streamed or is_last:
            await self._write_in_turn(cycle, request, response, pending_response)
            return
        with self._context.held_bodies.reserve() as is_reserved:
            if is_reserved:
                response = await with_complete_body(response, request.request_id)
            await self._write_in_turn(cycle, request, response, pending_response)

    async def _write_in_turn(
        self,
        cycle: RequestCycle,
        request: HttpRequest,
        response: HttpResponse,
        pending_response: PendingResponse,
    ) -> None:
        """Writes a response when it is its turn, or an error if it can't wait."""
        try:
            with until_deadline(response.body):
                await pending_response.wait_for_previous()
        except IncompleteBodyError as error:
            await response.body.aclose()
            response = broken_body_response(str(error), request.request_id)
            await pending_response.wait_for_previous()
        is_last = pending_response is self._last_response
        response.closes_connection = self._is_closing and is_last
        await write_response(cycle, response, request.method)

    async def _reject_request(
        self, cycle: RequestCycle, error: BadRequestError
    ) -> None:
        await self._wait_for_earlier_responses()
        await write_error_response(cycle, error)
        self.needs_lingering_close = True


def _cause_of(error: Exception) -> CancelCause:
    """Returns why an error that occurred while writing cancels a connection."""
    if isinstance(error, CallerDisconnectedError):
        return CancelCause.CALLER_NOT_READING
    if isinstance(error, trio.BrokenResourceError | trio.ClosedResourceError):
        return CancelCause.CALLER_HUNG_UP
    return CancelCause.CONNECTION_CLOSED


async def _discard_input(stream: Stream) -> None:
    """Lets a caller that is still sending read its response before the close.

    Closing a socket with unread input resets the connection, which can discard a
    response that the caller has not read yet.
    """
    stream.send_eof()
    with trio.move_on_after(_LINGERING_CLOSE_S):
        while await stream.receive_some():
            pass


async def _run_handler(handler: RequestHandler, request: HttpRequest) -> HttpResponse:
    """Runs the handler; an unexpected exception becomes a 500 response."""
    try:
        return await handler(request)
    except Exception:
        logger.exception("unhandled exception in a request handler")
    headers = [
        (b"content-type", b"text/plain"),
        (fields.VERDICT, Verdict.MAY_HAVE_RUN.value.encode()),
        (fields.REASON, b"internal-error"),
    ]
    return HttpResponse(
        500, headers, buffered_body(b"internal error\n"), closes_connection=True
    )
