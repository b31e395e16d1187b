"""Control protocol over the connections for forwarded requests.

Hosted daemons use it in place of pynng, as they have little processor time and memory
for that library's threads and sockets. The peer connections are already authenticated,
so messages need no envelopes.
"""

import msgspec
import trio

from mangospoke.control.interface import (
    AnswerType,
    ControlError,
    Handler,
    handle_request,
    message_union,
)
from mangospoke.control.messages import Message, Rejected
from mangospoke.decoding import decode_msgpack
from mangospoke.peers.client import PeerConnectionPool
from mangospoke.peers.framing import PeerProtocolError, PeerUnavailableError


class PeerControlChannel:
    """Client and server of the control protocol on pooled peer connections.

    Attributes:
        handlers_by_type: Request handlers by message type; subsystems register theirs
            before the first request arrives.
    """

    def __init__(self, peers: PeerConnectionPool) -> None:
        self.handlers_by_type: dict[type[Message], Handler] = {}
        self._peers = peers
        self._decoder: msgspec.msgpack.Decoder | None = None

    async def send_request(
        self,
        address: str,
        request: Message,
        response_type: type[AnswerType],
        timeout_s: float,
    ) -> AnswerType:
        """See `ControlChannel.send_request`."""
        content = msgspec.msgpack.encode(request)
        try:
            with trio.fail_after(timeout_s):
                encoded_response = await self._peers.send_control_request(
                    address, content
                )
            response = decode_msgpack(encoded_response, response_type | Rejected)
        except (
            trio.TooSlowError,
            PeerUnavailableError,
            PeerProtocolError,
            msgspec.MsgspecError,
        ) as error:
            raise ControlError(f"no response from {address}: {error!r}") from error
        if isinstance(response, Rejected):
            raise ControlError(f"request rejected by {address}: {response.detail}")
        return response

    async def respond(self, content: bytes) -> bytes:
        """Handles a request of another daemon and returns the encoded response."""
        if self._decoder is None:
            self._decoder = msgspec.msgpack.Decoder(
                message_union(self.handlers_by_type)
            )
        response = await handle_request(self.handlers_by_type, self._decoder, content)
        return msgspec.msgpack.encode(response)
