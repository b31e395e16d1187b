"""Client side of HTTP/1.1: connections to one upstream."""

from collections.abc import AsyncIterator, Callable

import h11
import trio

from mangospoke.addresses import split_address
from mangospoke.http.bodies import (
    Body,
    IncompleteBodyError,
    buffered_body,
    streamed_body,
)
from mangospoke.http.messages import HttpResponse
from mangospoke.streams import Stream, open_stream
from mangospoke.verdicts import Headers

_MAX_SEND_FIRST_BYTES = 16_384
"""Request bodies up to this size are sent in full before the response is read."""

_MAX_INFORMATIONAL_RESPONSES = 16
"""Responses with a 1xx status that may precede a response."""

_MAX_DISCARDED_RESPONSES = 16
"""Late responses to earlier requests that are discarded before a response."""

_MAX_CHUNKS_PER_TURN = 64
"""Chunks of a body that are parsed, in half a millisecond, before other tasks run."""

_RESPONSE_START = b"HTTP/1."
"""First bytes of every response."""

_PLACEHOLDER_HEADERS = [(b"host", b"any")]


class ConnectError(Exception):
    """The connection could not be established; no request bytes were sent."""


class IncompleteRequestError(Exception):
    """A streamed request body ended early, after the request head was sent."""


class ResponseMissingError(Exception):
    """The connection ended before a response head was received."""


class ResponseTruncatedError(Exception):
    """The connection ended before the end of the response."""


class ResponseMalformedError(Exception):
    """The received bytes are not a valid HTTP response."""


_RESPONSE_ERRORS = (
    ResponseMissingError,
    ResponseTruncatedError,
    ResponseMalformedError,
)


class HttpConnection:
    """A connection to an upstream that carries one request at a time.

    Attributes:
        had_input_before: Whether bytes had arrived before the last request was written,
            on a connection that had been used before. They belong to no request.
        had_early_input: Whether bytes had arrived by the time at which the head of the
            last request was written, on a connection that had been used before. They
            may be a late part of an earlier exchange, or the response of a fast server.
    """

    def __init__(self, stream: Stream, max_head_bytes: int) -> None:
        self._stream = stream
        self._max_head_bytes = max_head_bytes
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=max_head_bytes)
        self._is_closed = False
        self._is_sending = False
        self._received_eof = False
        self._is_start_checked = False
        self._is_used = False
        self.had_input_before = False
        self.had_early_input = False

    async def exchange(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: Body,
        buffered_body_bytes: int,
        belongs_to_request: Callable[[HttpResponse], bool] = lambda response: True,
    ) -> HttpResponse:
        """Sends a request and reads its response.

        Args:
            method: The request method.
            target: The request target.
            headers: Header fields, except those that frame the body.
            body: The request body.
            buffered_body_bytes: Response bodies up to this size are read into memory;
                larger ones are streamed.
            belongs_to_request: Returns whether a response belongs to this request. A
                complete response that doesn't is discarded: it is a late response to
                an earlier request. After too many of them, the last one is returned.

        Raises:
            ResponseMissingError: If the connection ended before the response head.
            ResponseTruncatedError: If it ended inside a body that is read into memory.
            ResponseMalformedError: If the upstream violated the protocol.
            IncompleteRequestError: If the streamed request body ended early.
        """
        head = self._start_request(method, target, headers, body)
        if body.length is not None and body.length <= _MAX_SEND_FIRST_BYTES:
            await self._send_request(head, body)
            return await self._read_matching_response(
                method, buffered_body_bytes, belongs_to_request
            )
        return await self._exchange_concurrently(
            method, head, body, buffered_body_bytes, belongs_to_request
        )

    async def _exchange_concurrently(
        self,
        method: bytes,
        head: bytes,
        body: Body,
        buffered_body_bytes: int,
        belongs_to_request: Callable[[HttpResponse], bool],
    ) -> HttpResponse:
        """Reads while sending; the response may precede the end of the request."""
        errors: list[Exception] = []
        response: HttpResponse | None = None
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                try:
                    await self._send_request(head, body)
                    self._is_sending = False
                except IncompleteRequestError as error:
                    errors.append(error)
                    nursery.cancel_scope.cancel()

            self._is_sending = True
            nursery.start_soon(send)
            try:
                response = await self._read_matching_response(
                    method, buffered_body_bytes, belongs_to_request
                )
            except _RESPONSE_ERRORS as error:
                errors.append(error)
            nursery.cancel_scope.cancel()
        if errors:
            raise errors[0]
        assert response is not None
        return response

    async def _read_matching_response(
        self,
        method: bytes,
        buffered_body_bytes: int,
        belongs_to_request: Callable[[HttpResponse], bool],
    ) -> HttpResponse:
        response = await self._read_response(buffered_body_bytes)
        discarded_count = 0
        while not belongs_to_request(response):
            if discarded_count == _MAX_DISCARDED_RESPONSES:
                break
            if not self._discard_response(method, response):
                break
            discarded_count += 1
            response = await self._read_response(buffered_body_bytes)
        if method == b"HEAD":
            # The length is that of the body that a GET would return.
            response.body.length = _content_length(response.headers)
        return response

    def _discard_response(self, method: bytes, response: HttpResponse) -> bool:
        """Prepares to read the next response; False if the connection can't go on."""
        http = self._h11
        if method == b"HEAD":
            # A response to an earlier request may have a body, which would be read as
            # the next response.
            return False
        is_buffered = response.body.content is not None
        if self._is_sending or not is_buffered or http.their_state is not h11.DONE:
            return False
        received, _ = http.trailing_data
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._max_head_bytes
        )
        # The real request has already been sent. This only puts the new state machine
        # into the state in which it expects a response.
        self._h11.send(
            h11.Request(method=method, target=b"/", headers=_PLACEHOLDER_HEADERS)
        )
        self._h11.send(h11.EndOfMessage())
        if received:
            # Empty bytes would tell h11 that the upstream closed the connection.
            self._h11.receive_data(received)
        return True

    def _start_request(
        self, method: bytes, target: bytes, headers: Headers, body: Body
    ) -> bytes:
        """Starts a request in the state machine and returns its encoded head.

        This precedes any read, since h11 rejects a response that is already there
        unless a request has been started.
        """
        fields = [*headers, *_framing_headers(body)]
        request = h11.Request(method=method, target=target, headers=fields)
        return self._h11.send(request) or b""

    async def _send_request(self, head: bytes, body: Body) -> None:
        try:
            if body.content is not None:
                await self._send_start(head + self._encode_buffered_body(body.content))
            else:
                await self._send_start(head)
                await self._send_streamed_body(body)
        except trio.BrokenResourceError:
            # The upstream may have sent a response before it closed its side.
            self._h11.send_failed()
        except (IncompleteBodyError, h11.LocalProtocolError) as error:
            raise IncompleteRequestError(str(error)) from error

    async def _send_start(self, content: bytes) -> None:
        """Sends the first bytes of a request, and checks for input that precedes it."""
        self.had_input_before = self._is_used and self._stream.has_input()
        is_sent = self._stream.try_send(content)
        self.had_early_input = self._is_used and self._stream.has_input()
        self._is_used = True
        if not is_sent:
            await self._stream.finish_send()

    def _encode_buffered_body(self, content: bytes) -> bytes:
        data = self._h11.send(h11.Data(data=content)) if content else b""
        return (data or b"") + (self._h11.send(h11.EndOfMessage()) or b"")

    async def _send_streamed_body(self, body: Body) -> None:
        async for chunk in body.chunks():
            await self._stream.send_all(self._h11.send(h11.Data(data=chunk)) or b"")
        await self._stream.send_all(self._h11.send(h11.EndOfMessage()) or b"")

    async def _next_event(self) -> object:
        while True:
            event = self._parse_event()
            if event is not h11.NEED_DATA:
                return event
            if not self._is_start_checked:
                self._check_response_start()
            await self._receive()

    def _parse_event(self) -> object:
        """Returns the next event in the bytes received so far, or `NEED_DATA`."""
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            if self._received_eof:
                raise ResponseMissingError(str(error)) from error
            raise ResponseMalformedError(str(error)) from error

    def _check_response_start(self) -> None:
        """Rejects bytes that can't become a response, however slowly they arrive."""
        received, _ = self._h11.trailing_data
        start = received[: len(_RESPONSE_START)]
        if not _RESPONSE_START.startswith(start):
            raise ResponseMalformedError("the bytes aren't an HTTP/1 response")
        self._is_start_checked = len(start) == len(_RESPONSE_START)

    async def _receive(self) -> None:
        if self._received_eof:
            raise ResponseMissingError("the upstream closed the connection")
        try:
            content = await self._stream.receive_some()
        except trio.BrokenResourceError as error:
            # The end of the connection ends a response without a length, but a reset
            # doesn't.
            raise ResponseMissingError("the upstream reset the connection") from error
        self._received_eof = not content
        self._h11.receive_data(content)

    async def _read_response(self, buffered_body_bytes: int) -> HttpResponse:
        head = await self._read_final_head()
        body = await self._read_body(head, buffered_body_bytes)
        return HttpResponse(head.status_code, list(head.headers), body)

    async def _read_final_head(self) -> h11.Response:
        """Reads heads up to one that isn't informational."""
        for _ in range(_MAX_INFORMATIONAL_RESPONSES + 1):
            self._is_start_checked = False
            head = await self._next_event()
            self._is_start_checked = True
            if isinstance(head, h11.Response):
                return head
            if not isinstance(head, h11.InformationalResponse):
                raise ResponseMissingError("the upstream closed the connection")
        raise ResponseMalformedError("too many informational responses")

    async def _read_body(self, head: h11.Response, buffered_body_bytes: int) -> Body:
        length = _content_length(head.headers)
        if length is not None and length > buffered_body_bytes:
            return streamed_body(self._body_chunks([]), length, self.aclose)
        chunks: list[bytes] = []
        size = 0
        while size <= buffered_body_bytes:
            chunk = await self._next_body_part()
            if not chunk:
                return buffered_body(b"".join(chunks))
            chunks.append(chunk)
            size += len(chunk)
        return streamed_body(self._body_chunks(chunks), length, self.aclose)

    async def _next_body_part(self) -> bytes:
        """Waits for a part of the body; empty at the body's end.

        Chunks that have been received are returned as one part: an upstream may send
        chunks of a byte, and each part costs a write to the caller.
        """
        try:
            return await self._join_received_chunks()
        except (ResponseMissingError, ResponseMalformedError) as error:
            raise ResponseTruncatedError(str(error)) from error

    async def _join_received_chunks(self) -> bytes:
        chunks: list[bytes] = []
        chunks_until_checkpoint = _MAX_CHUNKS_PER_TURN
        while self._h11.their_state is h11.SEND_BODY:
            event = self._parse_event()
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                chunks_until_checkpoint -= 1
            elif event is h11.NEED_DATA:
                if chunks:
                    break
                await self._receive()
            if not chunks_until_checkpoint:
                await trio.lowlevel.checkpoint()
                chunks_until_checkpoint = _MAX_CHUNKS_PER_TURN
        return b"".join(chunks)

    async def _body_chunks(self, read_chunks: list[bytes]) -> AsyncIterator[bytes]:
        """Yields the chunks already read, then the rest from the connection."""
        for chunk in read_chunks:
            yield chunk
        while True:
            try:
                chunk = await self._next_body_part()
            except ResponseTruncatedError as error:
                raise IncompleteBodyError(str(error)) from error
            if not chunk:
                return
            yield chunk

    def is_reusable(self) -> bool:
        """Prepares the connection for another request; False if it can't be reused."""
        http = self._h11
        if self._is_sending or self._received_eof:
            return False
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        if http.trailing_data[0]:
            return False
        http.start_next_cycle()
        return True

    def is_stale(self) -> bool:
        """Whether the upstream closed the idle connection or sent unexpected bytes."""
        return self._stream.has_input()

    async def aclose(self) -> None:
        """Closes the connection; pending operations on it fail."""
        if not self._is_closed:
            self._is_closed = True
            self._stream.close()


async def open_connection(
    address: str, max_head_bytes: int, timeout_s: float
) -> HttpConnection:
    """Connects to an upstream.

    Args:
        address: The upstream's `IP:port`.
        max_head_bytes: Maximum size of a response head.
        timeout_s: Seconds within which the connection must be established.

    Raises:
        ConnectError: If the connection isn't established in time.
    """
    try:
        ip, port = split_address(address)
        with trio.fail_after(timeout_s):
            stream = await open_stream(ip, port)
    except (OSError, trio.TooSlowError) as error:
        raise ConnectError(f"{address}: {error}") from error
    return HttpConnection(stream, max_head_bytes)


def _content_length(headers: Headers) -> int | None:
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None


def _framing_headers(body: Body) -> list[tuple[bytes, bytes]]:
    if body.length is None:
        return [(b"transfer-encoding", b"chunked")]
    return [(b"content-length", b"%d" % body.length)]
