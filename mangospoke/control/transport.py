"""Control protocol over pynng request/reply sockets.

Every message is sent in an `Envelope`, which authenticates it and protects against
replays.
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
    find_matching_secret,
    make_envelope,
    new_nonce,
)
from mangospoke.control.interface import (
    AnswerType,
    ControlError,
    Handler,
    handle_request,
    message_union,
)
from mangospoke.control.messages import EpochExpired, Message, Rejected
from mangospoke.control.sockets import MAX_MESSAGE_BYTES, PeerSockets
from mangospoke.decoding import decode_msgpack

_SPARE_CONTEXTS = 8
"""Contexts that wait for a request, in addition to the busy ones."""

_MAX_CONTEXTS = 256
"""Maximum of concurrent requests; more wait in the connections of their peers."""

_HANDLER_TIMEOUT_S = 60.0
"""Seconds after which the handler of a request is cancelled."""

_SEND_TIMEOUT_S = 5.0
"""Time limit for sending a response."""

_THREADS_BY_PARAMETER = {
    "NNG_INIT_NUM_TASK_THREADS": 2,
    "NNG_INIT_MAX_TASK_THREADS": 2,
    "NNG_INIT_NUM_EXPIRE_THREADS": 1,
    "NNG_INIT_MAX_EXPIRE_THREADS": 1,
    "NNG_INIT_NUM_POLLER_THREADS": 1,
    "NNG_INIT_MAX_POLLER_THREADS": 1,
    "NNG_INIT_NUM_RESOLVER_THREADS": 1,
}

_REQUEST_DIRECTION = b"question"
_RESPONSE_DIRECTION = b"answer"


def limit_nng_threads() -> None:
    """Limits the threads of NNG; must be called before the first socket is made."""
    for name, threads in _THREADS_BY_PARAMETER.items():
        pynng.nng.lib.nng_init_set_parameter(getattr(pynng.nng.lib, name), threads)


class NngControlChannel:
    """Client and server of the control protocol in one daemon.

    Attributes:
        handlers_by_type: Request handlers by message type; subsystems register theirs
            before `serve` starts.
        bytes_sent: Bytes of envelopes sent, in requests and responses.
        bytes_received: Bytes of envelopes received, in requests and responses.
        dropped: Number of requests without a response, by reason.

    Args:
        secret: The fleet secret.
        previous_secrets: Secrets that are still valid during a rotation.
        translate: Addresses to connect to, by advertised address, where they differ.
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
                response = await self._send_once(address, content, response_type)
                if isinstance(response, EpochExpired):
                    # The peer didn't handle the request, but the response carried its
                    # current epoch, so a second attempt can succeed.
                    response = await self._send_once(address, content, response_type)
        except (trio.TooSlowError, pynng.NNGException) as error:
            raise ControlError(f"no response from {address}: {error!r}") from error
        if isinstance(response, response_type):
            return response
        detail = response.detail if isinstance(response, Rejected) else "epoch expired"
        raise ControlError(f"request rejected by {address}: {detail}")

    async def _send_once(
        self, address: str, content: bytes, response_type: type[AnswerType]
    ) -> AnswerType | Rejected | EpochExpired:
        nonce = new_nonce()
        epoch = self._sockets.get_epoch(address)
        envelope = make_envelope(
            self._secrets, _REQUEST_DIRECTION, epoch, nonce, content
        )
        encoded_request = msgspec.msgpack.encode(envelope)
        self.bytes_sent += len(encoded_request)
        encoded_response = await self._sockets.exchange(address, encoded_request)
        self.bytes_received += len(encoded_response)
        try:
            envelope = decode_msgpack(encoded_response, Envelope)
            if envelope.nonce != nonce or (
                find_matching_secret(self._secrets, _RESPONSE_DIRECTION, envelope)
                is None
            ):
                raise ControlError("response failed authentication")
            types = response_type | Rejected | EpochExpired
            response = decode_msgpack(envelope.content, types)
        except msgspec.MsgspecError as error:
            raise ControlError(f"malformed response: {error}") from error
        self._sockets.set_epoch(address, envelope.epoch)
        return response

    async def serve(
        self,
        address: str,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves requests until cancelled.

        Args:
            address: IP and port to listen on.
            task_status: Notified once the socket is listening.
        """
        decoder = msgspec.msgpack.Decoder(message_union(self.handlers_by_type))
        self._replay_guard = ReplayGuard()
        self._contexts = 0
        self._spare_contexts = 0
        with pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES) as socket:
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
        """Keeps contexts spare, so that long polls don't delay other requests."""
        while self._spare_contexts < _SPARE_CONTEXTS and self._contexts < _MAX_CONTEXTS:
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
                encoded_request = bytes(await context.arecv())
                self._spare_contexts -= 1
                self._add_contexts(nursery, socket, decoder)
                await self._serve_request(context, encoded_request, decoder)
                self._spare_contexts += 1
        self._spare_contexts -= 1
        self._contexts -= 1

    async def _serve_request(
        self,
        context: pynng.Context,
        encoded_request: bytes,
        decoder: msgspec.msgpack.Decoder,
    ) -> None:
        self.bytes_received += len(encoded_request)
        encoded_response = None
        with trio.move_on_after(_HANDLER_TIMEOUT_S):
            encoded_response = await self._respond(encoded_request, decoder)
        if encoded_response is None:
            return
        self.bytes_sent += len(encoded_response)
        try:
            with trio.move_on_after(_SEND_TIMEOUT_S):
                await context.asend(encoded_response)
        except pynng.NNGException:
            self.dropped["requester disconnected"] += 1

    async def _respond(
        self, encoded_request: bytes, decoder: msgspec.msgpack.Decoder
    ) -> bytes | None:
        assert self._replay_guard is not None
        try:
            envelope = decode_msgpack(encoded_request, Envelope)
        except msgspec.MsgspecError:
            self._drop("malformed envelope")
            return None
        secret = find_matching_secret(self._secrets, _REQUEST_DIRECTION, envelope)
        if secret is None:
            self._drop("no valid MAC")
            return None
        response: Message = EpochExpired()
        if self._replay_guard.accept(envelope):
            response = await handle_request(
                self.handlers_by_type, decoder, envelope.content
            )
        content = msgspec.msgpack.encode(response)
        epoch = self._replay_guard.epoch
        response_envelope = make_envelope(
            (secret,), _RESPONSE_DIRECTION, epoch, envelope.nonce, content
        )
        return msgspec.msgpack.encode(response_envelope)

    def _drop(self, reason: str) -> None:
        self.dropped[reason] += 1
        if self.dropped[reason].bit_count() == 1:
            # Logged at powers of two only, so that invalid input can't fill the log.
            logger.bind(event="control_dropped", count=self.dropped[reason]).warning(
                "control message dropped: {}", reason
            )

    def close(self) -> None:
        """Closes the client sockets."""
        self._sockets.close()


@asynccontextmanager
async def open_control_channel(
    secret: str,
    previous_secrets: tuple[str, ...] = (),
    translate: dict[str, str] | None = None,
) -> AsyncIterator[NngControlChannel]:
    """Makes a control channel whose client sockets are closed on exit."""
    channel = NngControlChannel(secret, previous_secrets, translate)
    try:
        yield channel
    finally:
        channel.close()
