"""Message bodies, either buffered in memory or streamed."""

from collections.abc import AsyncIterator, Awaitable, Callable
from types import TracebackType


class IncompleteBodyError(Exception):
    """A streamed body ended early, or exceeded the size limit."""


async def _no_release() -> None:
    """Default release callback for bodies without a connection."""


class Body:
    """A message body: either buffered, or streamed in chunks that can be read once.

    A streamed body may own the connection that it is read from: closing the body
    releases that connection.

    Attributes:
        content: The complete body, or None if it is streamed.
        length: The length in bytes, or None if it is not known in advance.
    """

    __slots__ = ("_chunks", "_release", "content", "length")

    def __init__(
        self,
        content: bytes | None,
        length: int | None,
        chunks: AsyncIterator[bytes] | None = None,
        release: Callable[[], Awaitable[None]] = _no_release,
    ) -> None:
        self.content = content
        self.length = length
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
) -> Body:
    """Creates a body whose chunks can be read once.

    Args:
        chunks: The chunks; raises `IncompleteBodyError` if the body ends early.
        length: The length in bytes, or None if it is not known in advance.
        release: Called once, when the body is closed.
    """
    return Body(None, length, chunks, release)
