"""Client side of the peer protocol: pooled connections to other daemons."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

import trio
from loguru import logger

from mangospoke.addresses import split_address
from mangospoke.calls import Call, SendStatus
from mangospoke.conf.settings import Limits
from mangospoke.http.bodies import Body, IncompleteBodyError
from mangospoke.http.response_streams import bounded_response_body
from mangospoke.ids import RouteName
from mangospoke.peers.bodies import received_body, send_chunks
from mangospoke.peers.framing import (
    FrameStream,
    PeerProtocolError,
    PeerUnavailableError,
    expect,
)
from mangospoke.peers.handshake import (
    Identity,
    UntrustedPeerError,
    dial_handshake,
)
from mangospoke.peers.messages import (
    Ended,
    EndKind,
    Frame,
    Load,
    Question,
    Reply,
    RequestHead,
    ResponseHead,
    UpstreamNotice,
)
from mangospoke.streams import open_stream
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Unanswered,
)

_MAX_IDLE_CONNECTIONS = 32
"""Maximum of idle connections to one peer."""

_MAX_IDLE_S = 30.0
_SWEEP_INTERVAL_S = 5.0

_DIAL_TIMEOUT_S = 0.5
"""Time limit for connect and handshake, after which another upstream is tried."""

_DEADLINE_GRACE_S = 0.05
"""Time to wait beyond the deadline for the peer's own verdict."""

_MAX_DEADLINE_REDUCTION_S = 0.1
"""Upper bound on the time by which a call ends earlier at the peer than here.

It stands for the network delay in both directions. That is measured once, in the
handshake, and includes the time for which a busy peer lets its handshake wait: a
connection that was opened in such a moment must not shorten all its later calls.
"""

LoadObserver = Callable[[str, Load, RouteName], None]
"""Called with a peer's address, its load, and the route of the call that it answers."""

NoticeReader = Callable[[str], UpstreamNotice | None]
"""Returns what the upstream behind a peer's address said about itself."""

DelayObserver = Callable[[str, float], None]
"""Called with a peer's address and the one-way delay in seconds."""

AddressObserver = Callable[[str], None]
"""Called with a peer's address."""


@dataclass(slots=True)
class _PeerConnection:
    """An authenticated connection to a peer.

    Attributes:
        one_way_delay_s: One-way delay in seconds: half the round-trip time.
        idle_since: Time on trio's clock at which it was returned to the pool.
    """

    frames: FrameStream
    one_way_delay_s: float
    idle_since: float = 0.0


class PeerConnectionPool:
    """Pool of connections to the daemons that this one forwards requests to.

    Attributes:
        record_sent: Called with an address when something was sent there.
        record_heard: Called with an address when something was received from there.

    Args:
        identity: Identity of this daemon.
        translate: Addresses to connect to, by advertised address, where they differ.
        observe_load: Called with the load in each response.
        observe_one_way_delay: Called with the one-way delay of each new connection.
        max_body_bytes: Maximum size of a response body.
        read_notice: Returns the notice that is sent with requests to an address.
    """

    def __init__(
        self,
        identity: Identity,
        translate: dict[str, str],
        observe_load: LoadObserver,
        observe_one_way_delay: DelayObserver,
        max_body_bytes: int = Limits().body_bytes,
        read_notice: NoticeReader = lambda address: None,
    ) -> None:
        self._identity = identity
        self._translate = translate
        self._observe_load = observe_load
        self._observe_one_way_delay = observe_one_way_delay
        self._max_body_bytes = max_body_bytes
        self._read_notice = read_notice
        self._idle_by_address: dict[str, list[_PeerConnection]] = {}
        self.record_sent: AddressObserver = _ignore_address
        self.record_heard: AddressObserver = _ignore_address

    async def execute(self, address: str, call: Call, retries: int) -> Outcome:
        """Forwards a call to the daemon at an address and returns the outcome.

        Args:
            address: The daemon's advertised peer address.
            call: The call.
            retries: Retries granted to the daemon, already taken from the call's
                allowance; unused ones are returned to it.
        """
        give_up_at = call.deadline + _DEADLINE_GRACE_S
        with trio.move_on_at(give_up_at):
            return await self._execute(address, call, retries)
        if call.send_status is SendStatus.SENT:
            # A working peer would have sent an outcome by the deadline.
            return Unanswered(FailureReason.PEER_SILENT, "the peer doesn't answer")
        return Refused(RefusalReason.DEADLINE_EXCEEDED, "the peer wasn't reached")

    async def _execute(self, address: str, call: Call, retries: int) -> Outcome:
        try:
            connection = await self._acquire(address)
        except (PeerUnavailableError, PeerProtocolError) as error:
            call.retries.return_unused(retries)
            return Refused(RefusalReason.PEER_UNREACHABLE, str(error))
        try:
            outcome, is_reusable = await self._exchange(
                address, connection, call, retries
            )
        except IncompleteBodyError as error:
            await connection.frames.aclose()
            return Unanswered(FailureReason.REQUEST_BROKEN, str(error))
        except (PeerUnavailableError, PeerProtocolError) as error:
            await connection.frames.aclose()
            return Unanswered(FailureReason.PEER_CONNECTION_LOST, str(error))
        except trio.Cancelled:
            # The peer treats a closed connection as a cancellation.
            connection.frames.stream.close()
            raise
        if is_reusable:
            self._release(address, connection)
        elif not isinstance(outcome, Answered) or outcome.body.content is not None:
            # A streamed response closes the connection itself once it has been read.
            await connection.frames.aclose()
        return outcome

    async def send_control_request(self, address: str, content: bytes) -> bytes:
        """Sends a control request to the daemon at an address; returns the response.

        Args:
            address: The daemon's advertised peer address.
            content: The encoded request.

        Raises:
            PeerUnavailableError: If it can't be reached, or closed the connection.
            PeerProtocolError: If it sent an invalid or unexpected frame.
        """
        connection = await self._acquire(address)
        try:
            self.record_sent(address)
            await connection.frames.send(Question(content))
            reply = await connection.frames.receive()
            self.record_heard(address)
            expect(reply, Reply)
        except BaseException:
            connection.frames.stream.close()
            raise
        self._release(address, connection)
        assert isinstance(reply, Reply)
        return reply.content

    async def can_connect(self, address: str) -> bool:
        """Whether a connection to an address can be opened; it is added to the pool."""
        try:
            connection = await self._dial(address)
        except (PeerUnavailableError, PeerProtocolError):
            return False
        self._release(address, connection)
        return True

    async def _acquire(self, address: str) -> _PeerConnection:
        idle_connections = self._idle_by_address.get(address)
        while idle_connections:
            connection = idle_connections.pop()
            if not connection.frames.is_stale():
                return connection
            await connection.frames.aclose()
        return await self._dial(address)

    async def _dial(self, address: str) -> _PeerConnection:
        last_error: Exception | None = None
        for secret in self._identity.accepted_secrets:
            try:
                return await self._dial_with_secret(address, secret)
            except (PeerUnavailableError, UntrustedPeerError) as error:
                last_error = error
        raise PeerUnavailableError(f"{address}: {last_error}")

    async def _dial_with_secret(self, address: str, secret: str) -> _PeerConnection:
        self.record_sent(address)
        try:
            ip, port = split_address(self._translate.get(address, address))
            with trio.fail_after(_DIAL_TIMEOUT_S):
                stream = await open_stream(ip, port)
                frames = FrameStream(stream)
                try:
                    _, round_trip_s = await dial_handshake(
                        frames, self._identity, secret
                    )
                except BaseException:
                    stream.close()
                    raise
        except ConnectionRefusedError as error:
            # The host itself answered, so that the way there isn't cut.
            self.record_heard(address)
            raise PeerUnavailableError(f"{address}: {error}") from error
        except (OSError, trio.TooSlowError) as error:
            raise PeerUnavailableError(f"{address}: {error}") from error
        self.record_heard(address)
        self._observe_one_way_delay(address, round_trip_s / 2)
        stream.enable_keep_alive()
        return _PeerConnection(frames, round_trip_s / 2)

    async def _exchange(
        self, address: str, connection: _PeerConnection, call: Call, retries: int
    ) -> tuple[Outcome, bool]:
        """Sends a call; returns its outcome and whether the connection is reusable."""
        frames = connection.frames
        notice = self._read_notice(address)
        head = _request_head(call, retries, connection.one_way_delay_s, notice)
        # From here on the peer may have received the request.
        call.send_status = SendStatus.SENT
        self.record_sent(address)
        await frames.send(head)
        if call.body.content is None:
            response = await _receive_while_sending(frames, call.body)
        else:
            response = await frames.receive()
        self.record_heard(address)
        expect(response, ResponseHead, Ended)
        assert isinstance(response, ResponseHead | Ended)
        if response.request_id != call.request_id:
            await frames.aclose()
            return Unanswered(FailureReason.CROSSED_ANSWER), False
        call.retries.return_unused(min(response.retries_unspent, retries))
        self._observe_load(address, response.load, call.route)
        if isinstance(response, Ended):
            return _outcome_of(response, call), call.body.content is not None
        body = self._received_body(frames, response, call)
        is_reusable = response.body is not None and call.body.content is not None
        return Answered(response.status, response.headers, body), is_reusable

    def _received_body(
        self, frames: FrameStream, response: ResponseHead, call: Call
    ) -> Body:
        body = received_body(frames, response.body, response.body_length, frames.aclose)
        if body.content is not None:
            return body
        # A working peer has broken it off by then.
        give_up_at = call.deadline + _DEADLINE_GRACE_S
        return bounded_response_body(
            body, call.request_id, give_up_at, self._max_body_bytes
        )

    def _release(self, address: str, connection: _PeerConnection) -> None:
        idle_connections = self._idle_by_address.setdefault(address, [])
        if len(idle_connections) < _MAX_IDLE_CONNECTIONS:
            connection.idle_since = trio.current_time()
            idle_connections.append(connection)
        else:
            connection.frames.stream.close()

    async def run(self) -> None:
        """Closes connections that exceed the maximum idle time, until cancelled."""
        while True:
            await trio.sleep(_SWEEP_INTERVAL_S)
            self._close_idle_before(trio.current_time() - _MAX_IDLE_S)

    def _close_idle_before(self, cutoff: float) -> None:
        for address, idle_connections in list(self._idle_by_address.items()):
            kept = [c for c in idle_connections if c.idle_since >= cutoff]
            for connection in idle_connections:
                if connection.idle_since < cutoff:
                    connection.frames.stream.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]

    def close_idle(self, addresses: Collection[str]) -> None:
        """Closes the idle connections to some addresses, which may be dead."""
        for address in addresses:
            for connection in self._idle_by_address.pop(address, ()):
                connection.frames.stream.close()

    def close(self) -> None:
        """Closes the idle connections."""
        for idle_connections in self._idle_by_address.values():
            for connection in idle_connections:
                connection.frames.stream.close()
        self._idle_by_address.clear()


def _ignore_address(address: str) -> None:
    """Does nothing."""


def _request_head(
    call: Call, retries: int, one_way_delay_s: float, notice: UpstreamNotice | None
) -> RequestHead:
    # The response takes another one-way delay.
    reduction_s = min(2 * one_way_delay_s, _MAX_DEADLINE_REDUCTION_S)
    remaining_s = call.deadline - trio.current_time() - reduction_s
    return RequestHead(
        request_id=call.request_id,
        account_id=call.account_id,
        key_id=call.key_id,
        service=call.service,
        route=call.route,
        method=call.method,
        target=call.target,
        headers=list(call.headers),
        remaining_ms=max(0.0, remaining_s * 1000),
        importance=int(call.importance),
        idempotent=call.idempotent,
        idempotency_key=call.idempotency_key,
        retries=retries,
        body=call.body.content,
        body_length=call.body.length,
        key_use=int(call.key_use),
        version=call.version,
        is_sub_call=call.is_sub_call,
        may_wait=call.may_wait,
        notice=notice,
        repetition=int(call.repetition),
    )


async def _receive_while_sending(frames: FrameStream, body: Body) -> Frame:
    """Sends a streamed body and receives the response, which may precede its end."""
    errors: list[Exception] = []
    response: Frame | None = None
    async with trio.open_nursery() as nursery:

        async def send() -> None:
            try:
                await send_chunks(frames, body)
            except IncompleteBodyError as error:
                errors.append(error)
                nursery.cancel_scope.cancel()
            except PeerUnavailableError as error:
                # The peer may have sent a response before it closed its side.
                logger.bind(event="peer_upload_cut").debug("{}", error)

        nursery.start_soon(send)
        try:
            response = await frames.receive()
        except (PeerUnavailableError, PeerProtocolError) as error:
            errors.append(error)
        nursery.cancel_scope.cancel()
    if errors:
        raise errors[0]
    assert response is not None
    return response


def _outcome_of(ended: Ended, call: Call) -> Outcome:
    """Returns the outcome that a peer reports.

    Raises:
        PeerProtocolError: If its reason is unknown here: the peer may be newer.
    """
    try:
        if ended.kind != EndKind.REFUSED:
            return Unanswered(FailureReason(ended.reason), ended.detail)
        reason = RefusalReason(ended.reason)
    except ValueError as error:
        raise PeerProtocolError(str(error)) from error
    # A refusal means that no byte of the request has reached an upstream.
    call.send_status = SendStatus.UNSENT
    return Refused(reason, ended.detail, ended.retry_after_s)
