"""Responses without end between daemons: each side keeps the bounds by itself."""

from contextlib import asynccontextmanager

import pytest
import trio

from mangospoke.conf.settings import Limits
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.bodies import IncompleteBodyError, streamed_body, until_deadline
from mangospoke.http.server import ConnectionContext
from mangospoke.idle import WorkCounter
from mangospoke.peers.client import PeerConnectionPool
from mangospoke.peers.framing import FrameStream, PeerUnavailableError
from mangospoke.peers.handshake import Identity, accept_handshake
from mangospoke.peers.messages import BodyChunk, BodyEnd, Load, ResponseHead
from mangospoke.peers.server import serve_peer
from mangospoke.streams import Stream
from mangospoke.verdicts import Answered, FailureReason
from tests.harness.calls import make_call

LOAD = Load(1, 0, 8, 0.0)
DEADLINE_S = 0.5
LATE_S = 0.5
LONG_S = 20.0
MAX_BODY_BYTES = 1_000_000
RESPONSE_HEAD = ResponseHead("r", 200, [], 0, LOAD, None)


def make_identity(name):
    return Identity(name, "a", 1, "secret")


class RawPeer:
    """A daemon that answers each call as a test's script does."""

    def __init__(self, script):
        self.script = script
        self.ended = trio.Event()

    async def serve(self, stream):
        frames = FrameStream(Stream(stream.socket))
        try:
            await accept_handshake(frames, make_identity("far"))
            await frames.receive()
            await self.script(frames)
        except PeerUnavailableError:
            self.ended.set()


class EndlessExecutor:
    """A daemon's executor whose response never ends and never makes progress."""

    def __init__(self, deadline_s=LONG_S):
        self.deadline_s = deadline_s
        self.closed = trio.Event()

    async def __call__(self, call):
        async def chunks():
            yield b"first"
            await trio.sleep_forever()

        async def close():
            self.closed.set()

        deadline = trio.current_time() + self.deadline_s
        return Answered(200, [], streamed_body(chunks(), None, close, deadline))

    async def serve(self, stream):
        context = ConnectionContext(Limits(), WorkCounter(), HangUpMonitor())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.hang_ups.run)
            await serve_peer(
                Stream(stream.socket),
                make_identity("far"),
                self,
                lambda route: LOAD,
                context,
            )
            nursery.cancel_scope.cancel()


@asynccontextmanager
async def connected(serve):
    """Yields a pool, and the address that the peer serves."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    pool = PeerConnectionPool(
        make_identity("near"), {}, lambda *_: None, lambda *_: None, MAX_BODY_BYTES
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield pool, f"127.0.0.1:{port}"
        pool.close()
        nursery.cancel_scope.cancel()


async def read_all(body):
    async with body:
        with until_deadline(body):
            async for _ in body.chunks():
                pass


@pytest.mark.parametrize("chunk", [b"", b"x"])
async def test_a_peer_that_trickles_on_is_left_at_the_deadline(chunk):
    async def trickle(frames):
        await frames.send(RESPONSE_HEAD)
        while True:
            await frames.send(BodyChunk(chunk))
            await trio.sleep(0.02)

    peer = RawPeer(trickle)
    async with connected(peer.serve) as (pool, address):
        with trio.fail_after(DEADLINE_S + LATE_S):
            outcome = await pool.execute(address, make_call(DEADLINE_S), 0)
            with pytest.raises(IncompleteBodyError, match="deadline"):
                await read_all(outcome.body)
            await peer.ended.wait()


async def test_a_peer_that_floods_is_left_at_the_size_limit():
    async def flood(frames):
        await frames.send(RESPONSE_HEAD)
        while True:
            await frames.send(BodyChunk(b"x" * 65_536))

    peer = RawPeer(flood)
    async with connected(peer.serve) as (pool, address):
        with trio.fail_after(LONG_S):
            outcome = await pool.execute(address, make_call(LONG_S), 0)
            with pytest.raises(IncompleteBodyError, match="larger"):
                await read_all(outcome.body)
            await peer.ended.wait()


async def test_frames_that_are_no_response_end_the_call():
    async def flood(frames):
        while True:
            await frames.send(BodyEnd())

    peer = RawPeer(flood)
    async with connected(peer.serve) as (pool, address):
        outcome = await pool.execute(address, make_call(LONG_S), 0)
        assert outcome.reason is FailureReason.PEER_CONNECTION_LOST
        with trio.fail_after(LATE_S):
            await peer.ended.wait()


async def test_a_daemon_breaks_off_at_the_deadline_for_a_peer_that_waits_on():
    executor = EndlessExecutor(deadline_s=0.2)
    async with connected(executor.serve) as (pool, address):
        outcome = await pool.execute(address, make_call(LONG_S), 0)
        with trio.fail_after(DEADLINE_S + LATE_S):
            with pytest.raises(IncompleteBodyError, match="closed"):
                await read_all(outcome.body)
            await executor.closed.wait()


async def test_a_stalled_response_ends_when_the_other_daemon_has_left():
    executor = EndlessExecutor()
    async with connected(executor.serve) as (pool, address):
        outcome = await pool.execute(address, make_call(LONG_S), 0)
        await outcome.body.aclose()
        with trio.fail_after(LATE_S):
            await executor.closed.wait()
