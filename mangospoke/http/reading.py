"""Reads requests from a caller's connection."""

from collections.abc import AsyncIterator, Callable

import h11
import trio

from mangospoke.conf.settings import Limits
from mangospoke.http.bodies import (
    Body,
    IncompleteBodyError,
    buffered_body,
    streamed_body,
)
from mangospoke.http.messages import HttpRequest
from mangospoke.http.pending_responses import PendingResponse
from mangospoke.streams import Stream

HEAD_TOO_LARGE_STATUS = 431
BODY_TOO_LARGE_STATUS = 413
REQUEST_TIMEOUT_STATUS = 408


class CallerDisconnectedError(Exception):
    """The caller closed its connection, went idle, or doesn't read its response."""


class BadRequestError(Exception):
    """The caller sent an invalid, too large or too slow request.

    Attributes:
        status: The HTTP status of the response.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class RequestCycle:
    """One request-response cycle on a caller's connection.

    A caller may pipeline requests, so that each request has an h11 connection of its
    own, which starts with the bytes left over from the previous one.

    Args:
        stream: The connection.
        limits: Size limits and timeouts of requests.
        received: Bytes that have been received after the previous request.
        previous: The response before this cycle's; None if there is none. Nothing is
            written before it is finished.
    """

    def __init__(
        self,
        stream: Stream,
        limits: Limits,
        received: bytes = b"",
        previous: PendingResponse | None = None,
    ) -> None:
        self.stream = stream
        self.limits = limits
        self._previous = previous
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.head_bytes
        )
        if received:
            self.http.receive_data(received)

    def next(self, previous: PendingResponse | None) -> "RequestCycle":
        """Returns the cycle of the next request; this one has been read completely.

        Args:
            previous: The response to the last request.
        """
        received = self.http.trailing_data[0]
        return RequestCycle(self.stream, self.limits, received, previous)

    async def next_event(self) -> object:
        """Returns the next h11 event.

        Raises:
            BadRequestError: If the caller violated the protocol or sent it too slowly.
            CallerDisconnectedError: If the caller doesn't read an interim response.
            trio.BrokenResourceError: If the connection is broken.
        """
        deadline = self.progress_deadline()
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequestError(error.error_status_hint, str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            if self.http.they_are_waiting_for_100_continue:
                if await self._wait_for_turn_or_input():
                    await self._send_continue()
                deadline = self.progress_deadline()
            self.http.receive_data(await self._receive(deadline))

    async def _wait_for_turn_or_input(self) -> bool:
        """Waits until this cycle may write or the caller sends; returns which.

        A caller that waits for an interim response may send its body without one.
        """
        previous = self._previous
        if previous is None or previous.finished.is_set():
            return True
        async with trio.open_nursery() as nursery:

            async def wait_for_turn() -> None:
                await previous.finished.wait()
                nursery.cancel_scope.cancel()

            nursery.start_soon(wait_for_turn)
            await self.stream.wait_for_input()
            nursery.cancel_scope.cancel()
        return previous.finished.is_set()

    def progress_deadline(self) -> float:
        """Time on trio's clock by which the head or the next chunk must be complete."""
        return trio.current_time() + self.limits.head_timeout_ms / 1000

    async def _send_continue(self) -> None:
        response = h11.InformationalResponse(status_code=100, headers=[])
        content = self.http.send(response)
        assert content is not None
        await self.send(content)

    async def send(self, content: bytes) -> None:
        """Sends bytes to the caller.

        Raises:
            CallerDisconnectedError: If the caller doesn't read them in time, so that a
                slow reader doesn't hold the resources of its response.
        """
        if self.stream.try_send(content):
            return
        with trio.move_on_at(self.progress_deadline()):
            await self.stream.finish_send()
            return
        raise CallerDisconnectedError

    async def _receive(self, deadline: float) -> bytes:
        with trio.move_on_at(deadline):
            return await self.stream.receive_some()
        raise BadRequestError(REQUEST_TIMEOUT_STATUS, "the request came too slowly")


async def read_request(
    cycle: RequestCycle, read_idle_since: Callable[[], float | None]
) -> HttpRequest | None:
    """Reads the next request; None if the caller sends no further one.

    Args:
        cycle: The cycle of the request to read.
        read_idle_since: Returns the time on trio's clock, in seconds, at which the
            last earlier request was answered; None while one isn't.

    Raises:
        CallerDisconnectedError: If the caller closed the connection inside a request.
        BadRequestError: If the request is invalid, too large or too slow.
    """
    if not cycle.http.trailing_data[0]:
        content = await _wait_for_input(cycle, read_idle_since)
        if not content:
            return None
        cycle.http.receive_data(content)
    event = await cycle.next_event()
    if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
        return None
    assert isinstance(event, h11.Request)
    _check_head_size(event, cycle.limits.head_bytes)
    body = await _read_body(cycle, event)
    return HttpRequest(event.method, event.target, list(event.headers), body)


def _check_head_size(head: h11.Request, max_head_bytes: int) -> None:
    """Rejects a large head.

    h11 bounds incomplete heads only, and a large head may be received at once.
    """
    size = len(head.method) + len(head.target)
    for name, value in head.headers:
        size += len(name) + len(value)
    if size > max_head_bytes:
        raise BadRequestError(HEAD_TOO_LARGE_STATUS, "the head is too large")


async def _wait_for_input(
    cycle: RequestCycle, read_idle_since: Callable[[], float | None]
) -> bytes:
    """Waits for bytes of the next request; empty once the connection times out.

    The idle timeout begins with the last response. While requests are in progress, it
    doesn't close the connection.
    """
    timeout_s = cycle.limits.idle_timeout_ms / 1000
    expires_at = trio.current_time() + timeout_s
    while True:
        with trio.move_on_at(expires_at):
            return await cycle.stream.receive_some()
        now = trio.current_time()
        idle_since = read_idle_since()
        expires_at = (now if idle_since is None else idle_since) + timeout_s
        if expires_at <= now:
            return b""


async def _read_body(cycle: RequestCycle, head: h11.Request) -> Body:
    """Reads a small body into memory; returns a large one as a stream."""
    limits = cycle.limits
    length = _content_length(head)
    if length is not None and length > limits.body_bytes:
        raise BadRequestError(BODY_TOO_LARGE_STATUS, "the body is too large")
    if length is not None and length > limits.buffered_body_bytes:
        return streamed_body(_body_chunks(cycle, []), length)
    chunks: list[bytes] = []
    size = 0
    while size <= limits.buffered_body_bytes:
        event = await cycle.next_event()
        if isinstance(event, h11.EndOfMessage):
            return buffered_body(b"".join(chunks))
        if isinstance(event, h11.ConnectionClosed):
            raise CallerDisconnectedError
        assert isinstance(event, h11.Data)
        chunks.append(bytes(event.data))
        size += len(event.data)
    return streamed_body(_body_chunks(cycle, chunks), None)


def _content_length(head: h11.Request) -> int | None:
    """The body's length in bytes; None if the body is chunked."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
        if name == b"transfer-encoding":
            return None
    return 0


async def _body_chunks(
    cycle: RequestCycle, read_chunks: list[bytes]
) -> AsyncIterator[bytes]:
    """Yields the chunks already read, then the rest from the connection."""
    size = 0
    for chunk in read_chunks:
        size += len(chunk)
        yield chunk
    while True:
        try:
            event = await cycle.next_event()
        except (
            BadRequestError,
            CallerDisconnectedError,
            trio.BrokenResourceError,
        ) as error:
            raise IncompleteBodyError(str(error)) from error
        if isinstance(event, h11.EndOfMessage):
            return
        if not isinstance(event, h11.Data):
            raise IncompleteBodyError("the caller closed the connection")
        size += len(event.data)
        if size > cycle.limits.body_bytes:
            raise IncompleteBodyError("the body is too large")
        yield bytes(event.data)
