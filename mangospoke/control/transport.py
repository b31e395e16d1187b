"""Questions and answers between daemons, over pynng request/reply sockets.

Every message travels in an `Envelope`, so that neither a stranger nor a recorded
message is believed.
"""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pynng
import trio
from loguru import logger

from mangospoke.control.envelopes import (
    Envelope,
    ReplayGuard,
    new_nonce,
    proven_secret,
    seal,
)
from mangospoke.control.interface import (
    AnswerType,
    ControlError,
    Handler,
    handle_question,
    union_of,
)
from mangospoke.control.messages import EpochOver, Message, Rejected
from mangospoke.control.sockets import MAXIMUM_MESSAGE_BYTES, PeerSockets

_SPARE_CONTEXTS = 8
"""Contexts that wait for a question, beside those that are answering one."""

_MAXIMUM_CONTEXTS = 256
"""Questions answered at once; further ones wait in their own peer's connection."""

_LONGEST_ANSWER_S = 60.0
"""Seconds after which the answering of one question is given up."""

_SEND_TIMEOUT_S = 5.0
"""Seconds in which a peer must take its answer."""

_THREADS_BY_PARAMETER = {
    "NNG_INIT_NUM_TASK_THREADS": 2,
    "NNG_INIT_MAX_TASK_THREADS": 2,
    "NNG_INIT_NUM_EXPIRE_THREADS": 1,
    "NNG_INIT_MAX_EXPIRE_THREADS": 1,
    "NNG_INIT_NUM_POLLER_THREADS": 1,
    "NNG_INIT_MAX_POLLER_THREADS": 1,
    "NNG_INIT_NUM_RESOLVER_THREADS": 1,
}

_QUESTION = b"question"
_ANSWER = b"answer"


def cap_threads() -> None:
    """Caps the threads of the messaging library; call before the first socket."""
    for name, threads in _THREADS_BY_PARAMETER.items():
        pynng.nng.lib.nng_init_set_parameter(getattr(pynng.nng.lib, name), threads)


class ControlPlane:
    """A daemon's end of the control protocol.

    Attributes:
        handlers_by_type: What answers a message, by its type; subsystems add theirs
            before `serve` starts.
        bytes_sent: Bytes of envelopes sent, answers included.
        bytes_received: Bytes of envelopes received, answers included.
        dropped: Count of questions that were not answered, by reason.
    """

    def __init__(
        self,
        secret: str,
        previous_secrets: tuple[str, ...] = (),
        translate: dict[str, str] | None = None,
    ) -> None:
        self.handlers_by_type: dict[type[Message], Handler] = {}
        self.bytes_sent = 0
        self.bytes_received = 0
        self.dropped: Counter[str] = Counter()
        self._secrets = (secret, *previous_secrets)
        self._sockets = PeerSockets(translate or {})
        self._replay_guard: ReplayGuard | None = None
        self._contexts = 0
        self._spare_contexts = 0

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
                answer = await self._ask_once(address, content, answer_type)
                if isinstance(answer, EpochOver):
                    # The refusal has told the peer's epoch: the question was not
                    # handled and is asked once more.
                    answer = await self._ask_once(address, content, answer_type)
        except (trio.TooSlowError, pynng.NNGException) as error:
            raise ControlError(f"no answer from {address}: {error!r}") from error
        if isinstance(answer, answer_type):
            return answer
        detail = answer.detail if isinstance(answer, Rejected) else "epoch over"
        raise ControlError(f"rejected by {address}: {detail}")

    async def _ask_once(
        self, address: str, content: bytes, answer_type: type[AnswerType]
    ) -> AnswerType | Rejected | EpochOver:
        nonce = new_nonce()
        epoch = self._sockets.epoch_of(address)
        envelope = seal(self._secrets, _QUESTION, epoch, nonce, content)
        question = msgspec.msgpack.encode(envelope)
        self.bytes_sent += len(question)
        raw = await self._sockets.exchange(address, question)
        self.bytes_received += len(raw)
        try:
            envelope = msgspec.msgpack.decode(raw, type=Envelope)
            if envelope.nonce != nonce or (
                proven_secret(self._secrets, _ANSWER, envelope) is None
            ):
                raise ControlError("the answer's proof is wrong")
            types = answer_type | Rejected | EpochOver
            answer = msgspec.msgpack.decode(envelope.content, type=types)
        except msgspec.MsgspecError as error:
            raise ControlError(f"unreadable answer: {error}") from error
        self._sockets.learn_epoch(address, envelope.epoch)
        return answer

    async def serve(
        self,
        address: str,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Answers questions until it is cancelled.

        Args:
            address: IP and port to listen on.
            task_status: Told once the socket listens.
        """
        decoder = msgspec.msgpack.Decoder(union_of(self.handlers_by_type))
        self._replay_guard = ReplayGuard()
        self._contexts = 0
        self._spare_contexts = 0
        with pynng.Rep0(recv_max_size=MAXIMUM_MESSAGE_BYTES) as socket:
            socket.listen(f"tcp://{address}")
            async with trio.open_nursery() as nursery:
                self._add_contexts(nursery, socket, decoder)
                task_status.started()

    def _add_contexts(
        self,
        nursery: trio.Nursery,
        socket: pynng.Rep0,
        decoder: msgspec.msgpack.Decoder,
    ) -> None:
        """Keeps spare contexts, so that long polls hold up no other question."""
        while (
            self._spare_contexts < _SPARE_CONTEXTS
            and self._contexts < _MAXIMUM_CONTEXTS
        ):
            self._contexts += 1
            self._spare_contexts += 1
            nursery.start_soon(self._serve_context, nursery, socket, decoder)

    async def _serve_context(
        self,
        nursery: trio.Nursery,
        socket: pynng.Rep0,
        decoder: msgspec.msgpack.Decoder,
    ) -> None:
        with socket.new_context() as context:
            while self._spare_contexts <= 2 * _SPARE_CONTEXTS:
                raw = bytes(await context.arecv())
                self._spare_contexts -= 1
                self._add_contexts(nursery, socket, decoder)
                await self._serve_question(context, raw, decoder)
                self._spare_contexts += 1
        self._spare_contexts -= 1
        self._contexts -= 1

    async def _serve_question(
        self, context: pynng.Context, raw: bytes, decoder: msgspec.msgpack.Decoder
    ) -> None:
        self.bytes_received += len(raw)
        answer = None
        with trio.move_on_after(_LONGEST_ANSWER_S):
            answer = await self._answer(raw, decoder)
        if answer is None:
            return
        self.bytes_sent += len(answer)
        try:
            with trio.move_on_after(_SEND_TIMEOUT_S):
                await context.asend(answer)
        except pynng.NNGException:
            self.dropped["asker gone"] += 1

    async def _answer(
        self, raw: bytes, decoder: msgspec.msgpack.Decoder
    ) -> bytes | None:
        assert self._replay_guard is not None
        try:
            envelope = msgspec.msgpack.decode(raw, type=Envelope)
        except msgspec.MsgspecError:
            self._drop("not an envelope")
            return None
        secret = proven_secret(self._secrets, _QUESTION, envelope)
        if secret is None:
            self._drop("no fleet secret")
            return None
        answer: Message = EpochOver()
        if self._replay_guard.take(envelope):
            answer = await handle_question(
                self.handlers_by_type, decoder, envelope.content
            )
        content = msgspec.msgpack.encode(answer)
        epoch = self._replay_guard.epoch
        sealed = seal((secret,), _ANSWER, epoch, envelope.nonce, content)
        return msgspec.msgpack.encode(sealed)

    def _drop(self, reason: str) -> None:
        self.dropped[reason] += 1
        if self.dropped[reason].bit_count() == 1:
            # At each power of two, so that garbage can't fill the log.
            logger.bind(event="control_dropped", count=self.dropped[reason]).warning(
                "control message dropped: {}", reason
            )

    def close(self) -> None:
        """Closes the sockets towards peers."""
        self._sockets.close()


@asynccontextmanager
async def open_control_plane(
    secret: str,
    previous_secrets: tuple[str, ...] = (),
    translate: dict[str, str] | None = None,
) -> AsyncIterator[ControlPlane]:
    """Opens a control plane and closes its sockets at the end."""
    plane = ControlPlane(secret, previous_secrets, translate)
    try:
        yield plane
    finally:
        plane.close()
