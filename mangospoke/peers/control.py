"""Control messages between daemons over the connections of forwarded requests.

It does what the control plane over pynng does, without that library's threads and
sockets: a hosted daemon has small shares of a processor and of memory, and the peers'
connections have proved the fleet secret already.
"""

import msgspec
import trio

from mangospoke.control.interface import (
    AnswerType,
    ControlError,
    Handler,
    handle_question,
    union_of,
)
from mangospoke.control.messages import Message, Rejected
from mangospoke.peers.client import PeerPool
from mangospoke.peers.framing import PeerGoneError, PeerProtocolError


class PeerControl:
    """Control messages over a pool of peer connections.

    Attributes:
        handlers_by_type: What answers a message, by its type; subsystems add theirs
            before the first question comes.
    """

    def __init__(self, peers: PeerPool) -> None:
        self.handlers_by_type: dict[type[Message], Handler] = {}
        self._peers = peers
        self._decoder: msgspec.msgpack.Decoder | None = None

    async def ask(
        self,
        address: str,
        question: Message,
        answer_type: type[AnswerType],
        timeout_s: float,
    ) -> AnswerType:
        """See `Control.ask`."""
        content = msgspec.msgpack.encode(question)
        try:
            with trio.fail_after(timeout_s):
                raw = await self._peers.ask(address, content)
            answer = msgspec.msgpack.decode(raw, type=answer_type | Rejected)
        except (
            trio.TooSlowError,
            PeerGoneError,
            PeerProtocolError,
            msgspec.MsgspecError,
        ) as error:
            raise ControlError(f"no answer from {address}: {error!r}") from error
        if isinstance(answer, Rejected):
            raise ControlError(f"rejected by {address}: {answer.detail}")
        return answer

    async def answer(self, content: bytes) -> bytes:
        """Answers a question of another daemon."""
        if self._decoder is None:
            self._decoder = msgspec.msgpack.Decoder(union_of(self.handlers_by_type))
        answer = await handle_question(self.handlers_by_type, self._decoder, content)
        return msgspec.msgpack.encode(answer)
