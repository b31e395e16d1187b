"""Length-prefixed MessagePack frames over a trio stream."""

import struct

import msgspec
import trio

from mangospoke.decoding import decode_with
from mangospoke.peers.messages import Frame
from mangospoke.streams import Stream

MAX_FRAME_BYTES = 1_048_576
"""Maximum size of a received frame; larger bodies are sent as chunks."""

_LENGTH_PREFIX = struct.Struct(">I")
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


class PeerUnavailableError(Exception):
    """The other daemon closed the connection, or can't be reached."""


class PeerProtocolError(Exception):
    """The peer sent an invalid or unexpected frame, or isn't trusted."""


class FrameStream:
    """Sends and receives frames on a connection between two daemons.

    Attributes:
        max_frame_bytes: Maximum size of a received frame.
    """

    def __init__(self, stream: Stream, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.stream = stream
        self._buffer = bytearray()

    async def send(self, *frames: Frame) -> None:
        """Sends frames with a single write.

        Raises:
            PeerUnavailableError: If the connection is closed.
        """
        buffers = []
        for frame in frames:
            content = _ENCODER.encode(frame)
            buffers.append(_LENGTH_PREFIX.pack(len(content)))
            buffers.append(content)
        try:
            await self.stream.send_all(b"".join(buffers))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerUnavailableError(str(error)) from error

    async def receive(self) -> Frame:
        """Receives one frame.

        Raises:
            PeerUnavailableError: If the connection ends before the frame is complete.
            PeerProtocolError: If the received bytes are not a valid frame.
        """
        while True:
            content = self._pop_frame()
            if content is not None:
                return _decode(content)
            await self._fill_buffer()

    def _pop_frame(self) -> bytes | None:
        if len(self._buffer) < _LENGTH_PREFIX.size:
            return None
        (length,) = _LENGTH_PREFIX.unpack_from(self._buffer)
        if length > self.max_frame_bytes:
            raise PeerProtocolError(f"a frame of {length} bytes is too large")
        end = _LENGTH_PREFIX.size + length
        if len(self._buffer) < end:
            return None
        content = bytes(memoryview(self._buffer)[_LENGTH_PREFIX.size : end])
        del self._buffer[:end]
        return content

    async def _fill_buffer(self) -> None:
        try:
            received = await self.stream.receive_some()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerUnavailableError(str(error)) from error
        if not received:
            raise PeerUnavailableError("the peer closed the connection")
        self._buffer += received

    def is_stale(self) -> bool:
        """Whether the peer closed the connection or sent unexpected bytes."""
        return bool(self._buffer) or self.stream.has_input()

    async def aclose(self) -> None:
        """Closes the connection at once."""
        self.stream.close()


def _decode(content: bytes) -> Frame:
    try:
        return decode_with(_DECODER, content)
    except msgspec.MsgspecError as error:
        raise PeerProtocolError(str(error)) from error


def expect(frame: Frame, *types: type) -> None:
    """Checks the type of a frame.

    Raises:
        PeerProtocolError: If the frame is of none of the types.
    """
    if not isinstance(frame, types):
        raise PeerProtocolError(f"unexpected {type(frame).__name__}")
