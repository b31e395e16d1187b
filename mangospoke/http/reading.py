"""Reading of requests from a caller's connection."""

from collections.abc import AsyncIterator, Callable

import h11
import trio

from mangospoke.conf.settings import Limits
from mangospoke.http.bodies import Body, BodyBrokenError, streamed_body, whole_body
from mangospoke.http.messages import HttpRequest
from mangospoke.streams import Stream

HEAD_TOO_LARGE_STATUS = 431
BODY_TOO_LARGE_STATUS = 413
REQUEST_TIMEOUT_STATUS = 408


class CallerGoneError(Exception):
    """The caller closed its connection or fell silent."""


class BadRequestError(Exception):
    """The caller's bytes are no acceptable request.

    Attributes:
        status: The HTTP status to answer with.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class CallerConnection:
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

    def next(self) -> "CallerConnection":
        """The connection for the request after this one, which has been read."""
        return CallerConnection(self.stream, self.limits, self.http.trailing_data[0])

    async def next_event(self, deadline: float) -> object:
        """Returns the next h11 event.

        Args:
            deadline: Point on trio's clock at which it must be there.

        Raises:
            CallerGoneError: If the caller closed the connection in between.
            BadRequestError: If it broke the protocol or the timeout.
        """
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequestError(error.error_status_hint, str(error)) from error
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
            CallerGoneError: If the caller takes none for too long, so that it
                doesn't hold what its answer holds.
        """
        if self.stream.send_at_once(content):
            return
        with trio.move_on_at(self.progress_deadline()):
            await self.stream.send_rest()
            return
        raise CallerGoneError

    async def _receive(self, deadline: float) -> bytes:
        with trio.move_on_at(deadline):
            return await self.stream.receive_some()
        raise BadRequestError(REQUEST_TIMEOUT_STATUS, "the request came too slowly")


async def read_request(
    connection: CallerConnection, is_idle: Callable[[], bool]
) -> HttpRequest | None:
    """Reads the next request; None if the caller sends no further one.

    Args:
        connection: The connection, which has not read another request.
        is_idle: Whether all earlier requests have been answered.

    Raises:
        CallerGoneError: If the caller closed the connection inside a request.
        BadRequestError: If the bytes are no acceptable request.
    """
    if not connection.http.trailing_data[0]:
        content = await _wait_first_byte(connection, is_idle)
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
        raise BadRequestError(HEAD_TOO_LARGE_STATUS, "the head is too large")


async def _wait_first_byte(
    connection: CallerConnection, is_idle: Callable[[], bool]
) -> bytes:
    """Waits for the next request; the idle time starts once all are answered."""
    while True:
        with trio.move_on_after(connection.limits.idle_timeout_ms / 1000):
            return await connection.stream.receive_some()
        if is_idle():
            return b""


async def _read_body(connection: CallerConnection, head: h11.Request) -> Body:
    """Reads a body whole, or hands it on as a stream if it is large."""
    limits = connection.limits
    length = _content_length(head)
    if length is not None and length > limits.body_bytes:
        raise BadRequestError(BODY_TOO_LARGE_STATUS, "the body is too large")
    if length is not None and length > limits.buffered_body_bytes:
        return streamed_body(_body_chunks(connection, []), length)
    parts: list[bytes] = []
    size = 0
    while size <= limits.buffered_body_bytes:
        event = await connection.next_event(connection.progress_deadline())
        if isinstance(event, h11.EndOfMessage):
            return whole_body(b"".join(parts))
        if isinstance(event, h11.ConnectionClosed):
            raise CallerGoneError
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
    connection: CallerConnection, parts: list[bytes]
) -> AsyncIterator[bytes]:
    size = 0
    for part in parts:
        size += len(part)
        yield part
    while True:
        try:
            event = await connection.next_event(connection.progress_deadline())
        except (BadRequestError, trio.BrokenResourceError) as error:
            raise BodyBrokenError(str(error)) from error
        if isinstance(event, h11.EndOfMessage):
            return
        if not isinstance(event, h11.Data):
            raise BodyBrokenError("the caller closed the connection")
        size += len(event.data)
        if size > connection.limits.body_bytes:
            raise BodyBrokenError("the body is too large")
        yield bytes(event.data)
