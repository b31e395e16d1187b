"""Server side of the peer protocol."""

from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from mangospoke.calls import Call, KeyUse, Repetition, RetryAllowance
from mangospoke.conf.declarations import Importance
from mangospoke.http.bodies import Body, IncompleteBodyError
from mangospoke.http.server import ConnectionContext
from mangospoke.ids import RouteName
from mangospoke.peers.bodies import received_body, send_chunks
from mangospoke.peers.framing import (
    FrameStream,
    PeerProtocolError,
    PeerUnavailableError,
    expect,
)
from mangospoke.peers.handshake import (
    HANDSHAKE_TIMEOUT_S,
    Identity,
    accept_handshake,
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
from mangospoke.streams import Stream
from mangospoke.verdicts import Answered, Outcome, Refused

_LINGERING_CLOSE_S = 2.0
"""How long input is discarded after the last response, before the close."""

Executor = Callable[[Call], Awaitable[Outcome]]
LoadReader = Callable[[RouteName], Load]
"""Returns the load that is told with the response to a call of a route."""

ControlHandler = Callable[[bytes], Awaitable[bytes]]
"""Handles an encoded control request and returns the encoded response."""


async def reject_control_request(content: bytes) -> bytes:
    """Rejects control requests, for daemons that serve them on a separate port."""
    raise PeerProtocolError("control messages aren't accepted on peer connections")


async def serve_peer(
    stream: Stream,
    identity: Identity,
    execute: Executor,
    read_load: LoadReader,
    context: ConnectionContext,
    handle_control: ControlHandler = reject_control_request,
) -> None:
    """Serves a peer connection: the handshake, then one request after another.

    Args:
        stream: The accepted connection.
        identity: Identity of this daemon.
        execute: Executes forwarded requests.
        read_load: Returns the current load, which is sent with each response, for the
            route of the request.
        context: State shared by all connections of this daemon.
        handle_control: Handles control requests.
    """
    frames = FrameStream(stream)
    stream.enable_keep_alive()
    try:
        with trio.fail_after(HANDSHAKE_TIMEOUT_S):
            await accept_handshake(frames, identity)
        while await _serve_next(frames, execute, read_load, context, handle_control):
            pass
        with context.closing:
            await _discard_input(stream)
    except (PeerUnavailableError, trio.BrokenResourceError):
        return
    except (PeerProtocolError, trio.TooSlowError) as error:
        logger.bind(event="peer_rejected").warning(
            "peer connection rejected: {!r}", error
        )
    finally:
        stream.close()


async def _discard_input(stream: Stream) -> None:
    """Lets a peer that is still sending a body read the response before the close.

    Closing a socket with unread input resets the connection, which can discard a
    response that the peer has not read yet.
    """
    stream.send_eof()
    with trio.move_on_after(_LINGERING_CLOSE_S):
        while await stream.receive_some():
            pass


async def _serve_next(
    frames: FrameStream,
    execute: Executor,
    read_load: LoadReader,
    context: ConnectionContext,
    handle_control: ControlHandler,
) -> bool:
    """Serves a forwarded or control request; returns whether another may follow."""
    frame = await frames.receive()
    expect(frame, RequestHead, Question)
    if isinstance(frame, Question):
        await frames.send(Reply(await handle_control(frame.content)))
        return True
    assert isinstance(frame, RequestHead)
    return await _serve_request(frames, frame, execute, read_load, context)


async def _serve_request(
    frames: FrameStream,
    head: RequestHead,
    execute: Executor,
    read_load: LoadReader,
    context: ConnectionContext,
) -> bool:
    """Serves a forwarded request; returns whether another may follow."""
    call = _make_call(frames, head)
    # The peer closes the connection to cancel the call, also while it is answered.
    record_hang_up = call.cancellation.record_hang_up
    with context.work, context.hang_ups.watch(frames.stream, record_hang_up):
        outcome = await context.shutdown.execute_for_peer(call, execute)
        await _send_outcome(frames, call, outcome, read_load(call.route))
        return call.body.content is not None
    return False


def _make_call(frames: FrameStream, head: RequestHead) -> Call:
    return Call(
        request_id=head.request_id,
        account_id=head.account_id,
        key_id=head.key_id,
        service=head.service,
        route=head.route,
        method=head.method,
        target=head.target,
        headers=head.headers,
        body=received_body(frames, head.body, head.body_length, frames.aclose),
        deadline=trio.current_time() + head.remaining_ms / 1000,
        importance=Importance(head.importance),
        idempotent=head.idempotent,
        idempotency_key=head.idempotency_key,
        retries=RetryAllowance(head.retries),
        key_use=KeyUse(head.key_use),
        version=head.version,
        is_sub_call=head.is_sub_call,
        may_wait=head.may_wait,
        notice=head.notice,
        repetition=Repetition(head.repetition),
        entered_at=trio.current_time(),
    )


async def _send_outcome(
    frames: FrameStream, call: Call, outcome: Outcome, load: Load
) -> None:
    unused_retries = call.retries.remaining
    if not isinstance(outcome, Answered):
        await frames.send(_make_ended(call, outcome, unused_retries, load))
        return
    async with outcome.body as body:
        head = ResponseHead(
            request_id=call.request_id,
            status=outcome.status,
            headers=list(outcome.headers),
            retries_unspent=unused_retries,
            load=load,
            body=body.content,
            body_length=body.length,
        )
        await frames.send(head)
        if body.content is None:
            await _send_streamed_body(frames, body)


async def _send_streamed_body(frames: FrameStream, body: Body) -> None:
    try:
        await send_chunks(frames, body)
    except IncompleteBodyError as error:
        # The peer recognizes an incomplete body by the closed connection.
        raise PeerUnavailableError(str(error)) from error


def _make_ended(call: Call, outcome: Outcome, unused_retries: int, load: Load) -> Ended:
    assert not isinstance(outcome, Answered)
    is_refusal = isinstance(outcome, Refused)
    return Ended(
        request_id=call.request_id,
        kind=EndKind.REFUSED if is_refusal else EndKind.UNANSWERED,
        reason=outcome.reason.value,
        detail=outcome.detail,
        retry_after_s=outcome.retry_after_s if isinstance(outcome, Refused) else None,
        retries_unspent=unused_retries,
        load=load,
    )
