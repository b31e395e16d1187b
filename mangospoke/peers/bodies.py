"""Bodies in frames: complete within the head frame, or as chunks that follow it."""

from collections.abc import AsyncIterator, Awaitable, Callable

from mangospoke.http.bodies import (
    Body,
    IncompleteBodyError,
    buffered_body,
    streamed_body,
    until_deadline,
)
from mangospoke.peers.framing import (
    FrameStream,
    PeerProtocolError,
    PeerUnavailableError,
)
from mangospoke.peers.messages import BodyChunk, BodyEnd

_MAX_CHUNK_BYTES = 65_536


async def send_chunks(frames: FrameStream, body: Body) -> None:
    """Sends a streamed body as chunk frames and an end frame.

    Raises:
        IncompleteBodyError: If the source of the body ended before the body did, or the
            body's deadline passed.
        PeerUnavailableError: If the peer closed the connection.
    """
    with until_deadline(body):
        async for chunk in body.chunks():
            for start in range(0, len(chunk), _MAX_CHUNK_BYTES):
                await frames.send(BodyChunk(chunk[start : start + _MAX_CHUNK_BYTES]))
        await frames.send(BodyEnd())


async def _receive_chunks(frames: FrameStream) -> AsyncIterator[bytes]:
    while True:
        try:
            frame = await frames.receive()
        except (PeerUnavailableError, PeerProtocolError) as error:
            raise IncompleteBodyError(str(error)) from error
        if isinstance(frame, BodyEnd):
            return
        if not isinstance(frame, BodyChunk):
            raise IncompleteBodyError(f"unexpected {type(frame).__name__}")
        yield frame.content


def received_body(
    frames: FrameStream,
    content: bytes | None,
    length: int | None,
    release: Callable[[], Awaitable[None]],
) -> Body:
    """Returns the body that belongs to a received head frame.

    Args:
        frames: The connection, on which the chunks of a streamed body follow.
        content: The complete body, or None if it is streamed.
        length: Length in bytes, or None if unknown.
        release: Called when a streamed body is closed.
    """
    if content is not None:
        return buffered_body(content)
    return streamed_body(_receive_chunks(frames), length, release)
