"""Tests of the pool of peer connections: reuse, stale and idle connections."""

import enum
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing

from mangospoke.calls import RetryAllowance
from mangospoke.cancellation import CancelCause
from mangospoke.conf.settings import Limits
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.bodies import buffered_body, streamed_body
from mangospoke.http.server import ConnectionContext
from mangospoke.idle import WorkCounter
from mangospoke.peers import server as peer_server
from mangospoke.peers.client import PeerConnectionPool, _request_head
from mangospoke.peers.handshake import Identity, accept_handshake
from mangospoke.peers.messages import BodyChunk, Load
from mangospoke.peers.server import serve_peer
from mangospoke.streams import Stream
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    RefusalReason,
    Refused,
    Unanswered,
)
from tests.harness.calls import make_call

LOAD = Load(1, 0, 8, 0.0)


def make_pool_call(deadline_s=5.0, retries=4):
    return make_call(deadline_s, retries=RetryAllowance(retries))


class Peer:
    """A daemon that listens for peer connections, with a replaceable executor."""

    def __init__(self, execute):
        self.execute = execute
        self.accepted_count = 0
        self.streams = []
        self.context = ConnectionContext(Limits(), WorkCounter(), HangUpMonitor())

    async def serve(self, stream):
        self.accepted_count += 1
        self.streams.append(stream)
        identity = Identity("far", "a", 1, "secret")
        stream = Stream(stream.socket)
        await serve_peer(
            stream, identity, self.execute, lambda route: LOAD, self.context
        )

    async def run(self, task_status):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.context.hang_ups.run)
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, self.serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            task_status.started(f"127.0.0.1:{port}")


@asynccontextmanager
async def connected_pool(execute):
    loads_by_address = {}
    pool = PeerConnectionPool(
        Identity("near", "a", 1, "secret"),
        {},
        lambda address, load, route: loads_by_address.__setitem__(address, load),
        lambda *_: None,
    )
    peer = Peer(execute)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(peer.run)
        yield pool, peer, address, loads_by_address
        pool.close()
        nursery.cancel_scope.cancel()


async def answer(call):
    return Answered(200, [], buffered_body(b"done"))


async def test_a_connection_is_reused_for_the_next_call():
    async with connected_pool(answer) as (pool, peer, address, loads_by_address):
        for _ in range(3):
            outcome = await pool.execute(address, make_pool_call(), 0)
            assert outcome.body.content == b"done"
        assert peer.accepted_count == 1
        assert loads_by_address == {address: LOAD}


async def test_a_connection_closed_by_the_peer_is_not_reused():
    async with connected_pool(answer) as (pool, peer, address, _):
        await pool.execute(address, make_pool_call(), 0)
        await peer.streams[0].aclose()
        outcome = await pool.execute(address, make_pool_call(), 0)
        assert isinstance(outcome, Answered)
        assert peer.accepted_count == 2


async def test_a_slow_handshake_does_not_shorten_later_calls(monkeypatch):
    async def accept_slowly(frames, identity):
        receive = frames.receive

        async def receive_slowly():
            frame = await receive()
            await trio.sleep(0.4)
            return frame

        monkeypatch.setattr(frames, "receive", receive_slowly)
        host_id = await accept_handshake(frames, identity)
        monkeypatch.setattr(frames, "receive", receive)
        return host_id

    remaining_s = []

    async def record_remaining_time(call):
        remaining_s.append(call.deadline - trio.current_time())
        return await answer(call)

    monkeypatch.setattr(peer_server, "accept_handshake", accept_slowly)
    async with connected_pool(record_remaining_time) as (pool, peer, address, _):
        for _ in range(2):
            await pool.execute(address, make_pool_call(1.2), 0)
        assert peer.accepted_count == 1
    assert remaining_s[1] > 1.0


@pytest.mark.parametrize("interval_s", [0.0, 0.01])
async def test_a_response_before_the_end_of_an_upload_is_returned(interval_s):
    async def answer_early(call):
        async for _ in call.body.chunks():
            break
        return await answer(call)

    async def chunks():
        for _ in range(60):
            yield b"x" * 65_536
            await trio.sleep(interval_s)

    async with connected_pool(answer_early) as (pool, peer, address, _):
        call = make_pool_call()
        call.body = streamed_body(chunks(), 60 * 65_536)
        outcome = await pool.execute(address, call, 0)
        assert isinstance(outcome, Answered)
        assert outcome.body.content == b"done"
        assert isinstance(await pool.execute(address, make_pool_call(), 0), Answered)
        assert peer.accepted_count == 2


async def test_a_shutdown_waits_for_a_response_before_the_end_of_an_upload():
    async with connected_pool(answer) as (pool, peer, address, _):
        call = make_pool_call()
        call.body = streamed_body(stream_nothing(), 2)
        connection = await pool._acquire(address)
        await connection.frames.send(_request_head(call, 0, 0.0, None), BodyChunk(b"x"))
        await connection.frames.receive()
        await trio.testing.wait_all_tasks_blocked(0.01)
        # The end of the process would close the connection with unread input.
        assert peer.context.closing.count == 1
        connection.frames.stream.close()
        with trio.fail_after(5):
            await peer.context.closing.wait_idle()


async def stream_nothing():
    for chunk in ():
        yield chunk


async def test_only_unused_retries_are_returned():
    async def use_one_retry(call):
        call.retries.take(1)
        call.retries.return_unused(0)
        return await answer(call)

    async with connected_pool(use_one_retry) as (pool, _, address, _):
        call = make_pool_call()
        await pool.execute(address, call, call.retries.take(3))
        assert call.retries.remaining == 3


async def test_a_refusal_is_returned_with_its_reason():
    async def refuse(call):
        return Refused(RefusalReason.QUEUE_FULL, "full", 7)

    async with connected_pool(refuse) as (pool, _, address, _):
        call = make_pool_call()
        outcome = await pool.execute(address, call, 0)
        assert outcome == Refused(RefusalReason.QUEUE_FULL, "full", 7)
        assert not call.may_have_run


@pytest.mark.parametrize("outcome_type", [Refused, Unanswered])
async def test_a_reason_that_only_a_newer_peer_knows_is_no_internal_error(outcome_type):
    class NewReason(enum.Enum):
        NEW = "new-reason"

    async def end_as_newer_peer(call):
        return outcome_type(NewReason.NEW)

    async with connected_pool(end_as_newer_peer) as (pool, _, address, _):
        call = make_pool_call()
        outcome = await pool.execute(address, call, 0)
        assert outcome.reason is FailureReason.PEER_CONNECTION_LOST
        assert call.may_have_run


async def test_a_silent_peer_and_an_unreachable_one_give_different_outcomes():
    async def hang(call):
        await trio.sleep_forever()

    async with connected_pool(hang) as (pool, _, address, _):
        outcome = await pool.execute(address, make_pool_call(0.2), 0)
        assert outcome.reason is FailureReason.PEER_SILENT
    async with connected_pool(answer) as (pool, _, _, _):
        outcome = await pool.execute("127.0.0.1:1", make_pool_call(), 0)
        assert outcome.reason is RefusalReason.PEER_UNREACHABLE


async def test_cancelling_a_call_cancels_it_at_the_peer():
    cancelled = trio.Event()

    async def wait(call):
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()

    async with connected_pool(wait) as (pool, _, address, _):
        with trio.move_on_after(0.2):
            await pool.execute(address, make_pool_call(), 0)
        with trio.fail_after(10):
            await cancelled.wait()


async def test_a_call_whose_peer_hung_up_is_not_blamed_on_this_daemon():
    cancelled = trio.Event()
    causes = []

    async def wait(call):
        try:
            await trio.sleep_forever()
        finally:
            causes.append(call.cancellation.cause)
            cancelled.set()

    async with connected_pool(wait) as (pool, _, address, _):
        with trio.move_on_after(0.2):
            await pool.execute(address, make_pool_call(), 0)
        with trio.fail_after(10):
            await cancelled.wait()
    assert causes == [CancelCause.CALLER_HUNG_UP]


async def test_a_lost_connection_leaves_the_call_unanswered():
    async with connected_pool(answer) as (pool, peer, address, _):

        async def close_connections(call):
            for stream in peer.streams:
                stream.socket.close()
            await trio.sleep_forever()

        peer.execute = close_connections
        outcome = await pool.execute(address, make_pool_call(), 0)
        assert isinstance(outcome, Unanswered)
        assert outcome.reason is FailureReason.PEER_CONNECTION_LOST


async def test_idle_connections_are_closed():
    async with connected_pool(answer) as (pool, peer, address, _):
        await pool.execute(address, make_pool_call(), 0)
        pool._close_idle_before(trio.current_time() + 1)
        await pool.execute(address, make_pool_call(), 0)
        assert peer.accepted_count == 2
