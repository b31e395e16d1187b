"""The dialling side of forwarded requests: pooled connections to other daemons."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from mangospoke.calls import Call, Progress
from mangospoke.conf.settings import split_address
from mangospoke.http.bodies import BodyBrokenError
from mangospoke.peers.bodies import received_body, send_chunks
from mangospoke.peers.framing import (
    FrameStream,
    PeerGoneError,
    PeerProtocolError,
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
    Load,
    Question,
    Reply,
    RequestHead,
    ResponseHead,
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

_IDLE_CONNECTIONS = 32
"""Idle connections kept to one peer."""

_LONGEST_IDLE_S = 30.0
_SWEEP_INTERVAL_S = 5.0

_DIAL_TIMEOUT_S = 0.5
"""Time for connecting and the handshake; past it another upstream is tried."""

_ANSWER_GRACE_S = 0.05
"""Time after the deadline in which the peer's own verdict is still awaited."""

LoadObserver = Callable[[str, Load], None]
TransitObserver = Callable[[str, float], None]


@dataclass(slots=True)
class _PeerConnection:
    """A connection whose peer has proved the fleet secret.

    Attributes:
        transit_s: Seconds that a frame takes one way.
        idle_since: Point on trio's clock at which it was put back.
    """

    frames: FrameStream
    transit_s: float
    idle_since: float = 0.0


class PeerPool:
    """Connections to the daemons that this one forwards requests to."""

    def __init__(
        self,
        identity: Identity,
        translate: dict[str, str],
        observe_load: LoadObserver,
        observe_transit: TransitObserver,
    ) -> None:
        self._identity = identity
        self._translate = translate
        self._observe_load = observe_load
        self._observe_transit = observe_transit
        self._idle_by_address: dict[str, list[_PeerConnection]] = {}

    async def execute(self, address: str, call: Call, retries: int) -> Outcome:
        """Has the daemon at an address execute a call.

        Args:
            address: The daemon's advertised peer address.
            call: The call.
            retries: Retries to send along, already taken out of the call's allowance;
                what comes back unspent is returned to it.
        """
        grace = call.deadline + _ANSWER_GRACE_S
        with trio.move_on_at(grace):
            return await self._execute(address, call, retries)
        if call.progress is Progress.SENT:
            # A living peer would have answered by the deadline itself.
            return Unanswered(FailureReason.PEER_SILENT, "the peer doesn't answer")
        return Refused(RefusalReason.DEADLINE_EXCEEDED, "the peer wasn't reached")

    async def _execute(self, address: str, call: Call, retries: int) -> Outcome:
        try:
            connection = await self._connection(address)
        except (PeerGoneError, PeerProtocolError) as error:
            call.retries.give_back(retries)
            return Refused(RefusalReason.PEER_UNREACHABLE, str(error))
        try:
            outcome, keep = await self._exchange(address, connection, call, retries)
        except BodyBrokenError as error:
            await connection.frames.aclose()
            return Unanswered(FailureReason.REQUEST_BROKEN, str(error))
        except (PeerGoneError, PeerProtocolError) as error:
            await connection.frames.aclose()
            return Unanswered(FailureReason.PEER_CONNECTION_LOST, str(error))
        except trio.Cancelled:
            # The peer takes the closed connection for a cancellation.
            connection.frames.stream.close()
            raise
        if keep:
            self._put_back(address, connection)
        return outcome

    async def ask(self, address: str, content: bytes) -> bytes:
        """Sends a control message to the daemon at an address; returns its answer.

        Raises:
            PeerGoneError: If it can't be reached, or closed the connection.
            PeerProtocolError: If it answers something else.
        """
        connection = await self._connection(address)
        try:
            await connection.frames.send(Question(content))
            reply = await connection.frames.receive()
            expect(reply, Reply)
        except BaseException:
            connection.frames.stream.close()
            raise
        self._put_back(address, connection)
        assert isinstance(reply, Reply)
        return reply.content

    async def reach(self, address: str) -> bool:
        """Whether the daemon at an address takes a connection, which is then kept."""
        try:
            connection = await self._dial(address)
        except (PeerGoneError, PeerProtocolError):
            return False
        self._put_back(address, connection)
        return True

    async def _connection(self, address: str) -> _PeerConnection:
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            if not connection.frames.is_stale():
                return connection
            await connection.frames.aclose()
        return await self._dial(address)

    async def _dial(self, address: str) -> _PeerConnection:
        last_error: Exception | None = None
        for secret in self._identity.accepted_secrets:
            try:
                return await self._dial_with(address, secret)
            except (PeerGoneError, UntrustedPeerError) as error:
                last_error = error
        raise PeerGoneError(f"{address}: {last_error}")

    async def _dial_with(self, address: str, secret: str) -> _PeerConnection:
        ip, port = split_address(self._translate.get(address, address))
        try:
            with trio.fail_after(_DIAL_TIMEOUT_S):
                stream = await open_stream(ip, port)
                frames = FrameStream(stream)
                try:
                    _, round_trip = await dial_handshake(frames, self._identity, secret)
                except BaseException:
                    stream.close()
                    raise
        except (OSError, trio.TooSlowError) as error:
            raise PeerGoneError(f"{address}: {error}") from error
        self._observe_transit(address, round_trip / 2)
        stream.keep_alive()
        return _PeerConnection(frames, round_trip / 2)

    async def _exchange(
        self, address: str, connection: _PeerConnection, call: Call, retries: int
    ) -> tuple[Outcome, bool]:
        """Returns the outcome, and whether the connection may be kept."""
        frames = connection.frames
        head = _request_head(call, retries, connection.transit_s)
        # From here on the peer may have the request.
        call.progress = Progress.SENT
        await frames.send(head)
        if call.body.content is None:
            await send_chunks(frames, call.body)
        answer = await frames.receive()
        expect(answer, ResponseHead, Ended)
        assert isinstance(answer, ResponseHead | Ended)
        if answer.request_id != call.request_id:
            await frames.aclose()
            return Unanswered(FailureReason.CROSSED_ANSWER), False
        call.retries.give_back(min(answer.retries_unspent, retries))
        self._observe_load(address, answer.load)
        if isinstance(answer, Ended):
            return _outcome_of(answer, call), call.body.content is not None
        body = received_body(frames, answer.body, answer.body_length, frames.aclose)
        keep = answer.body is not None and call.body.content is not None
        return Answered(answer.status, answer.headers, body), keep

    def _put_back(self, address: str, connection: _PeerConnection) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if len(idle) < _IDLE_CONNECTIONS:
            connection.idle_since = trio.current_time()
            idle.append(connection)
        else:
            connection.frames.stream.close()

    async def run(self) -> None:
        """Closes connections that have been idle for long, until it is cancelled."""
        while True:
            await trio.sleep(_SWEEP_INTERVAL_S)
            self._close_idle_before(trio.current_time() - _LONGEST_IDLE_S)

    def _close_idle_before(self, oldest: float) -> None:
        for address, idle in list(self._idle_by_address.items()):
            kept = [c for c in idle if c.idle_since >= oldest]
            for connection in idle:
                if connection.idle_since < oldest:
                    connection.frames.stream.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Closes the idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.frames.stream.close()
        self._idle_by_address.clear()


def _request_head(call: Call, retries: int, transit_s: float) -> RequestHead:
    # The answer has to travel back as well.
    remaining_s = call.deadline - trio.current_time() - 2 * transit_s
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
    )


def _outcome_of(ended: Ended, call: Call) -> Outcome:
    if ended.kind == EndKind.REFUSED:
        # The peer vouches that no byte reached an upstream.
        call.progress = Progress.UNSENT
        reason = RefusalReason(ended.reason)
        return Refused(reason, ended.detail, ended.retry_after_s)
    return Unanswered(FailureReason(ended.reason), ended.detail)
