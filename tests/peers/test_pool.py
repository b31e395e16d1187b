"""Connections to other daemons are kept, dropped when stale and closed when idle."""

from contextlib import asynccontextmanager

import trio
import trio.testing

from mangospoke.calls import RetryAllowance
from mangospoke.conf.settings import Limits
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.bodies import whole_body
from mangospoke.http.server import ConnectionContext
from mangospoke.idle import WorkCounter
from mangospoke.peers.client import PeerPool
from mangospoke.peers.handshake import Identity
from mangospoke.peers.messages import Load
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


def pool_call(deadline_s=5.0, retries=4):
    return make_call(deadline_s, retries=RetryAllowance(retries))


class Peer:
    """A daemon's peer listener with an executor of the test's own."""

    def __init__(self, execute):
        self.execute = execute
        self.accepted = 0
        self.streams = []
        self.context = ConnectionContext(Limits(), WorkCounter(), HangUpMonitor())

    async def serve(self, stream):
        self.accepted += 1
        self.streams.append(stream)
        identity = Identity("far", "a", 1, "secret")
        stream = Stream(stream.socket)
        await serve_peer(stream, identity, self.execute, lambda: LOAD, self.context)

    async def run(self, task_status):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.context.hang_ups.run)
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, self.serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            task_status.started(f"127.0.0.1:{port}")


@asynccontextmanager
async def connected(execute):
    loads = {}
    pool = PeerPool(
        Identity("near", "a", 1, "secret"), {}, loads.__setitem__, lambda *_: None
    )
    peer = Peer(execute)
    async with trio.open_nursery() as nursery:
        address = await nursery.start(peer.run)
        yield pool, peer, address, loads
        pool.close()
        nursery.cancel_scope.cancel()


async def answer(call):
    return Answered(200, [], whole_body(b"done"))


async def test_a_connection_serves_one_call_after_another():
    async with connected(answer) as (pool, peer, address, loads):
        for _ in range(3):
            outcome = await pool.execute(address, pool_call(), 0)
            assert outcome.body.content == b"done"
        assert peer.accepted == 1
        assert loads == {address: LOAD}


async def test_a_connection_that_the_peer_closed_is_not_used_again():
    async with connected(answer) as (pool, peer, address, _):
        await pool.execute(address, pool_call(), 0)
        await peer.streams[0].aclose()
        outcome = await pool.execute(address, pool_call(), 0)
        assert isinstance(outcome, Answered)
        assert peer.accepted == 2


async def test_unspent_retries_come_back_and_never_more():
    async def spend_one(call):
        call.retries.take(1)
        call.retries.give_back(0)
        return await answer(call)

    async with connected(spend_one) as (pool, _, address, _):
        call = pool_call()
        await pool.execute(address, call, call.retries.take(3))
        assert call.retries.remaining == 3


async def test_a_refusal_crosses_with_its_reason():
    async def refuse(call):
        return Refused(RefusalReason.QUEUE_FULL, "full", 7)

    async with connected(refuse) as (pool, _, address, _):
        call = pool_call()
        outcome = await pool.execute(address, call, 0)
        assert outcome == Refused(RefusalReason.QUEUE_FULL, "full", 7)
        assert not call.may_have_run


async def test_a_silent_peer_is_told_apart_from_an_unreachable_one():
    async def never(call):
        await trio.sleep_forever()

    async with connected(never) as (pool, _, address, _):
        outcome = await pool.execute(address, pool_call(0.2), 0)
        assert outcome.reason is FailureReason.PEER_SILENT
    async with connected(answer) as (pool, _, _, _):
        outcome = await pool.execute("127.0.0.1:1", pool_call(), 0)
        assert outcome.reason is RefusalReason.PEER_UNREACHABLE


async def test_a_caller_that_gives_up_cancels_at_the_peer():
    cancelled = trio.Event()

    async def wait(call):
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()

    async with connected(wait) as (pool, _, address, _):
        with trio.move_on_after(0.2):
            await pool.execute(address, pool_call(), 0)
        with trio.fail_after(10):
            await cancelled.wait()


async def test_a_lost_connection_may_have_run():
    async with connected(answer) as (pool, peer, address, _):

        async def close(call):
            for stream in peer.streams:
                stream.socket.close()
            await trio.sleep_forever()

        peer.execute = close
        outcome = await pool.execute(address, pool_call(), 0)
        assert isinstance(outcome, Unanswered)
        assert outcome.reason is FailureReason.PEER_CONNECTION_LOST


async def test_idle_connections_are_closed():
    async with connected(answer) as (pool, peer, address, _):
        await pool.execute(address, pool_call(), 0)
        pool._close_idle_before(trio.current_time() + 1)
        await pool.execute(address, pool_call(), 0)
        assert peer.accepted == 2
