"""Bounds on a response body while it is passed on from an upstream or a peer.

An upstream in trouble may send a body without end, at any speed. By its length alone a
body can't be told from such a one, so every streamed body ends at the deadline of its
request, whoever is slow: the caller no longer waits for it then.
"""

from collections.abc import AsyncIterator, Callable

import trio
from loguru import logger

from mangospoke.http.bodies import Body, IncompleteBodyError, streamed_body
from mangospoke.ids import RequestId


def _do_nothing() -> None:
    """Default of what is called when a body is closed."""


class _ResponseStream:
    """A streamed response body, and why it wasn't passed on whole.

    Attributes:
        is_whole: Whether the body has been read to its end.
        cause: Why reading it failed, or empty.
    """

    def __init__(
        self,
        body: Body,
        request_id: RequestId,
        deadline: float,
        max_bytes: int,
        on_close: Callable[[], None],
    ) -> None:
        self.is_whole = False
        self.cause = ""
        self._body = body
        self._request_id = request_id
        self._deadline = deadline
        self._max_bytes = max_bytes
        self._on_close = on_close

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the chunks of the body, up to the maximum size."""
        size = 0
        try:
            async for chunk in self._body.chunks():
                size += len(chunk)
                if size > self._max_bytes:
                    detail = f"the body is larger than {self._max_bytes} bytes"
                    raise IncompleteBodyError(detail)
                yield chunk
        except IncompleteBodyError as error:
            self.cause = str(error)
            raise
        self.is_whole = True

    async def close(self) -> None:
        """Closes the body, and logs if it wasn't read to its end."""
        await self._body.aclose()
        self._on_close()
        if not self.is_whole:
            self._log()

    def _log(self) -> None:
        log = logger.bind(event="response_broken_off", request_id=self._request_id)
        log.warning("a response was broken off: {}", self.cause or self._other_cause())

    def _other_cause(self) -> str:
        if trio.current_time() >= self._deadline:
            return "the deadline of its request passed"
        return "the caller hung up or didn't read it in time"


def bounded_response_body(
    body: Body,
    request_id: RequestId,
    deadline: float,
    max_bytes: int,
    on_close: Callable[[], None] = _do_nothing,
) -> Body:
    """Bounds a streamed response body in time and size.

    Args:
        body: The body.
        request_id: The request that it answers, for the log.
        deadline: Time on trio's clock, in seconds, at which it is broken off.
        max_bytes: Size beyond which it is broken off.
        on_close: Called once, when the body is closed.
    """
    stream = _ResponseStream(body, request_id, deadline, max_bytes, on_close)
    return streamed_body(stream.chunks(), body.length, stream.close, deadline)
