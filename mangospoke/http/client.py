"""The dialling side of HTTP/1.1: pooled connections to one upstream."""

from collections.abc import AsyncIterator, Callable

import h11
import trio

from mangospoke.conf.settings import split_address
from mangospoke.http.bodies import Body, BodyBrokenError, streamed_body, whole_body
from mangospoke.http.messages import HttpAnswer
from mangospoke.streams import Stream, open_stream
from mangospoke.verdicts import Headers

_SENT_FIRST_BYTES = 16_384
"""Bodies up to this size are sent before the answer is read."""

_ANY_HOST = [(b"host", b"any")]


class ConnectError(Exception):
    """No connection could be made: no byte was sent."""


class RequestBrokenError(Exception):
    """The sender of a streamed request body stopped after its head was sent."""


class AnswerMissingError(Exception):
    """The connection ended before the answer's head."""


class AnswerTruncatedError(Exception):
    """The connection ended inside the answer."""


class AnswerMalformedError(Exception):
    """The bytes received are no HTTP answer."""


_ANSWER_ERRORS = (AnswerMissingError, AnswerTruncatedError, AnswerMalformedError)


class HttpConnection:
    """One connection to an upstream, for one request at a time."""

    def __init__(self, stream: Stream, head_bytes: int) -> None:
        self._stream = stream
        self._head_bytes = head_bytes
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=head_bytes)
        self._closed = False
        self._is_sending = False
        self._ended = False

    async def exchange(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: Body,
        buffered_body_bytes: int,
        is_own: Callable[[HttpAnswer], bool] = lambda answer: True,
    ) -> HttpAnswer:
        """Sends a request and reads its answer.

        Args:
            method: The request's method.
            target: The request's target.
            headers: Header fields, without those that frame the body.
            body: The request's body.
            buffered_body_bytes: Answers up to this size are read whole.
            is_own: Whether an answer belongs to this request. One that doesn't is
                passed over, if it is whole: it came late for an earlier request.

        Raises:
            AnswerMissingError: If the connection ended before the answer's head.
            AnswerTruncatedError: If it ended inside a body that was to be whole.
            AnswerMalformedError: If the upstream broke the protocol.
            RequestBrokenError: If the request's streamed body broke.
        """
        head = self._begin(method, target, headers, body)
        if body.length is not None and body.length <= _SENT_FIRST_BYTES:
            await self._send(head, body)
            return await self._read_matching(method, buffered_body_bytes, is_own)
        return await self._exchange_beside(
            method, head, body, buffered_body_bytes, is_own
        )

    async def _exchange_beside(
        self,
        method: bytes,
        head: bytes,
        body: Body,
        buffered_body_bytes: int,
        is_own: Callable[[HttpAnswer], bool],
    ) -> HttpAnswer:
        """Reads while it sends, since an answer may come before the body is taken."""
        errors: list[Exception] = []
        answer: HttpAnswer | None = None
        async with trio.open_nursery() as nursery:

            async def send() -> None:
                try:
                    await self._send(head, body)
                    self._is_sending = False
                except RequestBrokenError as error:
                    errors.append(error)
                    nursery.cancel_scope.cancel()

            self._is_sending = True
            nursery.start_soon(send)
            try:
                answer = await self._read_matching(method, buffered_body_bytes, is_own)
            except _ANSWER_ERRORS as error:
                errors.append(error)
            nursery.cancel_scope.cancel()
        if errors:
            raise errors[0]
        assert answer is not None
        return answer

    async def _read_matching(
        self,
        method: bytes,
        buffered_body_bytes: int,
        is_own: Callable[[HttpAnswer], bool],
    ) -> HttpAnswer:
        answer = await self._read_answer(buffered_body_bytes)
        while not is_own(answer) and self._skip_answer(method, answer):
            answer = await self._read_answer(buffered_body_bytes)
        if method == b"HEAD":
            # The length is that of the body which a GET would bring.
            answer.body.length = _content_length(answer.headers)
        return answer

    def _skip_answer(self, method: bytes, answer: HttpAnswer) -> bool:
        """Goes on after an answer to an earlier request, if the connection can."""
        http = self._http
        is_whole = answer.body.content is not None
        if self._is_sending or not is_whole or http.their_state is not h11.DONE:
            return False
        received, _ = http.trailing_data
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._head_bytes
        )
        # The request itself is out already: this only says that an answer is due.
        self._http.send(h11.Request(method=method, target=b"/", headers=_ANY_HOST))
        self._http.send(h11.EndOfMessage())
        self._http.receive_data(received)
        return True

    def _begin(
        self, method: bytes, target: bytes, headers: Headers, body: Body
    ) -> bytes:
        """Says that a request is sent and returns the bytes of its head.

        An answer that is there already must find a request that it can be for.
        """
        fields = [*headers, *_framing(body)]
        request = h11.Request(method=method, target=target, headers=fields)
        return self._http.send(request) or b""

    async def _send(self, head: bytes, body: Body) -> None:
        try:
            if body.content is not None:
                await self._stream.send_all(head + self._whole(body.content))
            else:
                await self._stream.send_all(head)
                await self._send_stream(body)
        except trio.BrokenResourceError:
            # The upstream may have answered before it closed its side.
            self._http.send_failed()
        except (BodyBrokenError, h11.LocalProtocolError) as error:
            raise RequestBrokenError(str(error)) from error

    def _whole(self, content: bytes) -> bytes:
        data = self._http.send(h11.Data(data=content)) if content else b""
        return (data or b"") + (self._http.send(h11.EndOfMessage()) or b"")

    async def _send_stream(self, body: Body) -> None:
        async for chunk in body.chunks():
            await self._stream.send_all(self._http.send(h11.Data(data=chunk)) or b"")
        await self._stream.send_all(self._http.send(h11.EndOfMessage()) or b"")

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                if self._ended:
                    raise AnswerMissingError(str(error)) from error
                raise AnswerMalformedError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    async def _receive(self) -> None:
        if self._ended:
            raise AnswerMissingError("the upstream closed the connection")
        try:
            content = await self._stream.receive_some()
        except trio.BrokenResourceError as error:
            # An answer without a length ends with its connection, but not so.
            raise AnswerMissingError("the upstream reset the connection") from error
        self._ended = not content
        self._http.receive_data(content)

    async def _read_answer(self, buffered_body_bytes: int) -> HttpAnswer:
        head = await self._next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event()
        if not isinstance(head, h11.Response):
            raise AnswerMissingError("the upstream closed the connection")
        body = await self._read_body(head, buffered_body_bytes)
        return HttpAnswer(head.status_code, list(head.headers), body)

    async def _read_body(self, head: h11.Response, buffered_body_bytes: int) -> Body:
        length = _content_length(head.headers)
        if length is not None and length > buffered_body_bytes:
            return streamed_body(self._chunks([]), length, self.aclose)
        parts: list[bytes] = []
        size = 0
        while size <= buffered_body_bytes:
            event = await self._next_body_event()
            if isinstance(event, h11.EndOfMessage):
                return whole_body(b"".join(parts))
            if not isinstance(event, h11.Data):
                raise AnswerTruncatedError("the upstream closed the connection")
            parts.append(bytes(event.data))
            size += len(event.data)
        return streamed_body(self._chunks(parts), length, self.aclose)

    async def _next_body_event(self) -> object:
        try:
            return await self._next_event()
        except (AnswerMissingError, AnswerMalformedError) as error:
            raise AnswerTruncatedError(str(error)) from error

    async def _chunks(self, parts: list[bytes]) -> AsyncIterator[bytes]:
        for part in parts:
            yield part
        while True:
            try:
                event = await self._next_body_event()
            except AnswerTruncatedError as error:
                raise BodyBrokenError(str(error)) from error
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise BodyBrokenError("the upstream closed the connection")
            yield bytes(event.data)

    def is_reusable(self) -> bool:
        """Whether the connection has ended one exchange and can start another."""
        http = self._http
        if self._is_sending or self._ended:
            return False
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        if http.trailing_data[0]:
            return False
        http.start_next_cycle()
        return True

    def is_stale(self) -> bool:
        """Whether the upstream closed the connection or sent bytes unasked."""
        return self._stream.has_input()

    async def aclose(self) -> None:
        """Closes the connection, which cancels what runs on it."""
        if not self._closed:
            self._closed = True
            self._stream.close()


async def open_connection(
    address: str, head_bytes: int, timeout_s: float
) -> HttpConnection:
    """Dials an upstream.

    Raises:
        ConnectError: If it doesn't accept in time.
    """
    ip, port = split_address(address)
    try:
        with trio.fail_after(timeout_s):
            stream = await open_stream(ip, port)
    except (OSError, trio.TooSlowError) as error:
        raise ConnectError(f"{address}: {error}") from error
    return HttpConnection(stream, head_bytes)


def _content_length(headers: Headers) -> int | None:
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None


def _framing(body: Body) -> list[tuple[bytes, bytes]]:
    if body.length is None:
        return [(b"transfer-encoding", b"chunked")]
    return [(b"content-length", b"%d" % body.length)]
