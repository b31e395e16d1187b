"""The accepting side of HTTP/1.1: one task a connection, written straight down."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

import h11
import trio
from loguru import logger

from mangospoke.conf.settings import Limits
from mangospoke.hangups import HangUpMonitor
from mangospoke.http import fields
from mangospoke.http.bodies import Body, BodyBrokenError, streamed_body, whole_body
from mangospoke.http.messages import HttpAnswer, HttpRequest
from mangospoke.idle import WorkCounter
from mangospoke.streams import Stream
from mangospoke.verdicts import Verdict

Handler = Callable[[HttpRequest], Awaitable[HttpAnswer]]

_HEAD_TOO_LARGE_STATUS = 431
_BODY_TOO_LARGE_STATUS = 413
_REQUEST_TIMEOUT_STATUS = 408

_PIPELINED_REQUESTS = 16
"""Requests of one connection in progress at once; further ones stay unread."""

_SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS"})

_LINGER_S = 2.0
"""Time for which a caller that still sends is listened to after its answer."""


class _CallerGoneError(Exception):
    """The caller closed its connection or fell silent."""


class _BadRequestError(Exception):
    """The caller's bytes are no acceptable request.

    Attributes:
        status: The HTTP status to answer with.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class _Connection:
    """State of one caller's connection while one request is read and answered.

    A caller may send further requests before the first is answered, so that each
    request has an h11 connection of its own, which starts with the bytes that its
    predecessor left.
    """

    def __init__(self, stream: Stream, limits: Limits, received: bytes = b"") -> None:
        self.stream = stream
        self.limits = limits
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.head_bytes
        )
        if received:
            self.http.receive_data(received)

    def next(self) -> "_Connection":
        """The connection for the request after this one, which has been read."""
        return _Connection(self.stream, self.limits, self.http.trailing_data[0])

    async def next_event(self, deadline: float) -> object:
        """Returns the next h11 event.

        Args:
            deadline: Point on trio's clock at which it must be there.

        Raises:
            _CallerGoneError: If the caller closed the connection in between.
            _BadRequestError: If it broke the protocol or the timeout.
        """
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise _BadRequestError(error.error_status_hint, str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            if self.http.they_are_waiting_for_100_continue:
                await self._continue()
            self.http.receive_data(await self._receive(deadline))

    def progress_deadline(self) -> float:
        """When the head, or the next part of a body, must have come."""
        return trio.current_time() + self.limits.head_timeout_ms / 1000

    async def _continue(self) -> None:
        go_ahead = h11.InformationalResponse(status_code=100, headers=[])
        content = self.http.send(go_ahead)
        assert content is not None
        await self.stream.send_all(content)

    async def send(self, content: bytes) -> None:
        """Sends bytes to the caller.

        Raises:
            _CallerGoneError: If the caller takes none for too long, so that it
                doesn't hold what its answer holds.
        """
        if self.stream.send_at_once(content):
            return
        with trio.move_on_at(self.progress_deadline()):
            await self.stream.send_rest()
            return
        raise _CallerGoneError

    async def _receive(self, deadline: float) -> bytes:
        with trio.move_on_at(deadline):
            return await self.stream.receive_some()
        raise _BadRequestError(_REQUEST_TIMEOUT_STATUS, "the request came too slowly")


@dataclass(frozen=True, slots=True)
class ConnectionContext:
    """What the connections of a daemon share.

    Attributes:
        work: Counts requests in progress, for a planned stop.
        hang_ups: Cancels what peers forwarded and gave up.
    """

    limits: Limits
    work: WorkCounter
    hang_ups: HangUpMonitor


async def serve_connection(
    stream: trio.SocketStream, handler: Handler, context: ConnectionContext
) -> None:
    """Serves one caller's connection until either side closes it.

    A caller that closes its sending side is taken to have hung up: its request is
    cancelled, which TCP can't tell from a half-closed connection.
    """
    session = _Session(Stream(stream), handler, context)
    try:
        await session.serve()
        if session.lingers:
            await _linger(session.stream)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
    finally:
        session.stream.close()


class _Turn:
    """A request's turn to be answered on its connection.

    Attributes:
        ended: Set once the answer is written, so that the next one may be.
        previous: The turn before it, while that has not ended.
    """

    __slots__ = ("ended", "previous")

    def __init__(self, previous: "_Turn | None") -> None:
        self.ended = trio.Event()
        self.previous = previous

    async def wait(self) -> None:
        """Waits until the answer may be written."""
        if self.previous is not None:
            await self.previous.ended.wait()
            self.previous = None

    def count_waiting(self) -> int:
        """How many turns before this one have not ended."""
        count = 0
        turn = self.previous
        while turn is not None and not turn.ended.is_set():
            count += 1
            turn = turn.previous
        return count


class _Session:
    """One caller's connection: its requests in progress, answered in order.

    Reading goes on while requests are in progress, which also shows at once that
    the caller hung up.

    Attributes:
        lingers: Whether the caller may still be sending when the last answer is out.
    """

    def __init__(
        self, stream: Stream, handler: Handler, context: ConnectionContext
    ) -> None:
        self.stream = stream
        self.lingers = False
        self._handler = handler
        self._context = context
        self._last_turn: _Turn | None = None
        self._all_safe = True

    async def serve(self) -> None:
        """Serves requests until either side ends the connection."""
        connection = _Connection(self.stream, self._context.limits)
        async with trio.open_nursery() as nursery:
            try:
                while await self._start_request(connection, nursery):
                    connection = connection.next()
            except _BadRequestError as error:
                await self._reject(connection, error)
            except (
                _CallerGoneError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ):
                nursery.cancel_scope.cancel()

    async def _start_request(
        self, connection: _Connection, nursery: trio.Nursery
    ) -> bool:
        """Reads a request, starts it, and returns whether to read another."""
        request = await _read_request(connection, self._last_turn)
        if request is None:
            raise _CallerGoneError
        await self._wait_for_order(request)
        turn = self._last_turn = _Turn(self._last_turn)
        nursery.start_soon(
            self._serve_request, connection, request, turn, nursery.cancel_scope
        )
        is_last = connection.http.their_state is not h11.DONE
        is_busy = turn.count_waiting() >= _PIPELINED_REQUESTS
        if is_last or is_busy:
            await self._wait_ended(turn)
        return connection.http.their_state is h11.DONE

    async def _wait_for_order(self, request: HttpRequest) -> None:
        """Lets requests run beside each other only if their methods are safe."""
        is_safe = request.method in _SAFE_METHODS
        may_overlap = is_safe and self._all_safe
        self._all_safe = is_safe
        turn = self._last_turn
        if turn is not None and not may_overlap and not turn.ended.is_set():
            await self._wait_ended(turn)

    async def _wait_ended(self, turn: _Turn) -> None:
        """Waits for a request to end, without reading on."""
        with self._context.hang_ups.watch(self.stream):
            await turn.ended.wait()
            return
        raise _CallerGoneError

    async def _serve_request(
        self,
        connection: _Connection,
        request: HttpRequest,
        turn: _Turn,
        scope: trio.CancelScope,
    ) -> None:
        """Serves one request; ends the connection if no other can follow."""
        try:
            with self._context.work:
                answer = await _handle(self._handler, request)
                async with answer.body:
                    await turn.wait()
                    await _write_answer(connection, answer, request.method)
        except (_CallerGoneError, trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()
            return
        http = connection.http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            turn.ended.set()
            return
        # Later turns never come: what they ask counts as unread.
        self.lingers = http.our_state is not h11.ERROR
        scope.cancel()

    async def _reject(self, connection: _Connection, error: _BadRequestError) -> None:
        if self._last_turn is not None:
            await self._last_turn.ended.wait()
        await _answer_bad_request(connection, error)
        self.lingers = True


async def _linger(stream: Stream) -> None:
    """Lets a caller that is still sending read its answer before the close.

    A close with unread input resets the connection, which can take an answer away
    that the caller has not read yet.
    """
    await stream.send_eof()
    with trio.move_on_after(_LINGER_S):
        while await stream.receive_some():
            pass


async def _handle(handler: Handler, request: HttpRequest) -> HttpAnswer:
    """Runs the handler; a fault of ours still gives the caller a true answer."""
    try:
        return await handler(request)
    except Exception:
        logger.exception("a request's handler failed")
    headers = [
        (b"content-type", b"text/plain"),
        (fields.VERDICT, Verdict.MAY_HAVE_RUN.value.encode()),
        (fields.REASON, b"internal-error"),
    ]
    return HttpAnswer(500, headers, whole_body(b"internal error\n"), closes=True)


async def _read_request(
    connection: _Connection, turn: _Turn | None
) -> HttpRequest | None:
    if not connection.http.trailing_data[0]:
        content = await _wait_first_byte(connection, turn)
        if not content:
            return None
        connection.http.receive_data(content)
    event = await connection.next_event(connection.progress_deadline())
    if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
        return None
    assert isinstance(event, h11.Request)
    _check_head_size(event, connection.limits.head_bytes)
    body = await _read_body(connection, event)
    return HttpRequest(event.method, event.target, list(event.headers), body)


def _check_head_size(head: h11.Request, head_bytes: int) -> None:
    """Refuses a large head that came whole: h11 bounds only what it waits for."""
    size = len(head.method) + len(head.target)
    for name, value in head.headers:
        size += len(name) + len(value)
    if size > head_bytes:
        raise _BadRequestError(_HEAD_TOO_LARGE_STATUS, "the head is too large")


async def _wait_first_byte(connection: _Connection, turn: _Turn | None) -> bytes:
    """Waits for the next request; the idle time starts once all are answered."""
    while True:
        with trio.move_on_after(connection.limits.idle_timeout_ms / 1000):
            return await connection.stream.receive_some()
        if turn is None or turn.ended.is_set():
            return b""


async def _read_body(connection: _Connection, head: h11.Request) -> Body:
    """Reads a body whole, or hands it on as a stream if it is large."""
    limits = connection.limits
    length = _content_length(head)
    if length is not None and length > limits.body_bytes:
        raise _BadRequestError(_BODY_TOO_LARGE_STATUS, "the body is too large")
    if length is not None and length > limits.buffered_body_bytes:
        return streamed_body(_body_chunks(connection, []), length)
    parts: list[bytes] = []
    size = 0
    while size <= limits.buffered_body_bytes:
        event = await connection.next_event(connection.progress_deadline())
        if isinstance(event, h11.EndOfMessage):
            return whole_body(b"".join(parts))
        if isinstance(event, h11.ConnectionClosed):
            raise _CallerGoneError
        assert isinstance(event, h11.Data)
        parts.append(bytes(event.data))
        size += len(event.data)
    return streamed_body(_body_chunks(connection, parts), None)


def _content_length(head: h11.Request) -> int | None:
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
        if name == b"transfer-encoding":
            return None
    return 0


async def _body_chunks(
    connection: _Connection, parts: list[bytes]
) -> AsyncIterator[bytes]:
    size = 0
    for part in parts:
        size += len(part)
        yield part
    while True:
        try:
            event = await connection.next_event(connection.progress_deadline())
        except (_BadRequestError, trio.BrokenResourceError) as error:
            raise BodyBrokenError(str(error)) from error
        if isinstance(event, h11.EndOfMessage):
            return
        if not isinstance(event, h11.Data):
            raise BodyBrokenError("the caller closed the connection")
        size += len(event.data)
        if size > connection.limits.body_bytes:
            raise BodyBrokenError("the body is too large")
        yield bytes(event.data)


async def _write_answer(
    connection: _Connection, answer: HttpAnswer, method: bytes
) -> None:
    http = connection.http
    headers = _framing(answer, method)
    if answer.closes or http.their_state is not h11.DONE:
        # The rest of the request's body is unread, so the connection ends here.
        headers.append((b"connection", b"close"))
    head = http.send(h11.Response(status_code=answer.status, headers=headers))
    assert head is not None
    content = answer.body.content
    if content is not None:
        parts = [head]
        if content and method != b"HEAD":
            parts.append(http.send(h11.Data(data=content)) or b"")
        parts.append(http.send(h11.EndOfMessage()) or b"")
        await connection.send(b"".join(parts))
        return
    await connection.send(head)
    await _write_stream(connection, answer.body)


async def _write_stream(connection: _Connection, body: Body) -> None:
    http = connection.http
    try:
        async for chunk in body.chunks():
            await connection.send(http.send(h11.Data(data=chunk)) or b"")
        await connection.send(http.send(h11.EndOfMessage()) or b"")
    except (BodyBrokenError, h11.LocalProtocolError):
        # Without its end the caller can't take the body for whole.
        http.send_failed()


def _framing(answer: HttpAnswer, method: bytes) -> list[tuple[bytes, bytes]]:
    headers = [
        (name, value)
        for name, value in answer.headers
        if name not in (b"content-length", b"transfer-encoding", b"connection")
    ]
    if answer.body.length is not None:
        headers.append((b"content-length", b"%d" % answer.body.length))
    elif method != b"HEAD":
        headers.append((b"transfer-encoding", b"chunked"))
    return headers


async def _answer_bad_request(connection: _Connection, error: _BadRequestError) -> None:
    if connection.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    detail = f"{error}\n".encode()
    headers = [
        (b"content-type", b"text/plain"),
        (b"content-length", b"%d" % len(detail)),
        (fields.VERDICT, Verdict.NOT_RUN.value.encode()),
        (fields.REASON, _reason(error.status)),
        (b"connection", b"close"),
    ]
    response = h11.Response(status_code=error.status, headers=headers)
    parts = [connection.http.send(response) or b""]
    parts.append(connection.http.send(h11.Data(data=detail)) or b"")
    parts.append(connection.http.send(h11.EndOfMessage()) or b"")
    await connection.send(b"".join(parts))


def _reason(status: int) -> bytes:
    if status == _HEAD_TOO_LARGE_STATUS:
        return b"head-too-large"
    if status == _BODY_TOO_LARGE_STATUS:
        return b"body-too-large"
    return b"bad-request"
