"""Message bodies, either buffered in memory or streamed."""

import math
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager
from types import TracebackType

import trio


class IncompleteBodyError(Exception):
    """A streamed body ended early, or exceeded its size limit or its deadline."""


async def _no_release() -> None:
    """Default release callback for bodies without a connection."""


class Body:
    """A message body: either buffered, or streamed in chunks that can be read once.

    A streamed body may own the connection that it is read from: closing the body
    releases that connection.

    Attributes:
        content: The complete body, or None if it is streamed.
        length: The length in bytes, or None if it is not known in advance.
        deadline: Time on trio's clock, in seconds, by which a streamed body must have
            been passed on.
    """

    __slots__ = ("_chunks", "_release", "content", "deadline", "length")

    def __init__(
        self,
        content: bytes | None,
        length: int | None,
        chunks: AsyncIterator[bytes] | None = None,
        release: Callable[[], Awaitable[None]] = _no_release,
        deadline: float = math.inf,
    ) -> None:
        self.content = content
        self.length = length
        self.deadline = deadline
        self._chunks = chunks
        self._release = release

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body's bytes in order.

        Raises:
            IncompleteBodyError: If a streamed body ended early.
        """
        if self.content is not None:
            if self.content:
                yield self.content
            return
        assert self._chunks is not None
        async for chunk in self._chunks:
            yield chunk

    async def aclose(self) -> None:
        """Releases the body's resources; safe to call more than once."""
        release, self._release = self._release, _no_release
        await release()

    async def __aenter__(self) -> "Body":
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.aclose()


def buffered_body(content: bytes) -> Body:
    """Creates a body from bytes in memory."""
    return Body(content, len(content))


def streamed_body(
    chunks: AsyncIterator[bytes],
    length: int | None,
    release: Callable[[], Awaitable[None]] = _no_release,
    deadline: float = math.inf,
) -> Body:
    """Creates a body whose chunks can be read once.

    Args:
        chunks: The chunks; raises `IncompleteBodyError` if the body ends early.
        length: The length in bytes, or None if it is not known in advance.
        release: Called once, when the body is closed.
        deadline: Time on trio's clock, in seconds, by which it must be passed on.
    """
    return Body(None, length, chunks, release, deadline)


@contextmanager
def until_deadline(body: Body) -> Iterator[None]:
    """Ends a block that passes a streamed body on at the body's deadline.

    Raises:
        IncompleteBodyError: If the deadline ended the block.
    """
    with trio.move_on_at(body.deadline) as scope:
        yield
    if scope.cancelled_caught:
        raise IncompleteBodyError("the deadline of its request passed")
