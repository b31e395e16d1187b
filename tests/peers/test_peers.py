"""Tests of the peer protocol: handshake, frame size limit and invalid input."""

import struct
from contextlib import asynccontextmanager

import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from mangospoke.peers.framing import (
    MAX_FRAME_BYTES,
    FrameStream,
    PeerProtocolError,
    PeerUnavailableError,
)
from mangospoke.peers.handshake import (
    Identity,
    accept_handshake,
    dial_handshake,
)
from mangospoke.peers.messages import BodyChunk, BodyEnd, Challenge, Proof
from mangospoke.streams import Stream

OLD_SECRET = "old-secret"
NEW_SECRET = "new-secret"


@asynccontextmanager
async def connected_frames():
    """Yields frame streams for both ends, and the stream of the far end."""
    near, far = trio.socket.socketpair()
    streams = [Stream(end) for end in (near, far)]
    try:
        yield FrameStream(streams[0]), FrameStream(streams[1]), streams[1]
    finally:
        for stream in streams:
            stream.close()


def make_identity(name, secret, *previous):
    return Identity(name, "a", 1, secret, previous)


async def run_handshake(dialer, acceptor, secret):
    """Returns the result or the error of each side by its name."""
    results = {}
    async with connected_frames() as (near, far, _):

        async def run(name, handshake, *arguments):
            try:
                results[name] = await handshake(*arguments)
            except (PeerUnavailableError, PeerProtocolError) as error:
                results[name] = error
                near.stream.close()
                far.stream.close()

        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run, "acceptor", accept_handshake, far, acceptor)
                nursery.start_soon(run, "dialler", dial_handshake, near, dialer, secret)
    return results


async def test_peers_with_the_same_secret_authenticate_each_other():
    results = await run_handshake(
        make_identity("d", NEW_SECRET), make_identity("a", NEW_SECRET), NEW_SECRET
    )
    assert results["acceptor"] == "d"
    assert results["dialler"][0] == "a"


@pytest.mark.parametrize(
    ("dialer", "acceptor", "secret"),
    [
        (
            make_identity("d", OLD_SECRET),
            make_identity("a", NEW_SECRET, OLD_SECRET),
            OLD_SECRET,
        ),
        (
            make_identity("d", NEW_SECRET, OLD_SECRET),
            make_identity("a", OLD_SECRET),
            OLD_SECRET,
        ),
        (
            make_identity("d", NEW_SECRET, OLD_SECRET),
            make_identity("a", NEW_SECRET, OLD_SECRET),
            NEW_SECRET,
        ),
    ],
)
async def test_old_and_new_secrets_are_valid_during_a_rotation(
    dialer, acceptor, secret
):
    results = await run_handshake(dialer, acceptor, secret)
    assert results["acceptor"] == "d"
    assert results["dialler"][0] == "a"


async def test_a_secret_is_invalid_after_its_rotation():
    results = await run_handshake(
        make_identity("d", OLD_SECRET), make_identity("a", NEW_SECRET), OLD_SECRET
    )
    assert isinstance(results["acceptor"], PeerProtocolError)
    assert isinstance(results["dialler"], PeerUnavailableError | PeerProtocolError)


async def test_a_replayed_proof_is_rejected():
    async with connected_frames() as (near, far, _):
        await near.send(Proof("d", "a", b"n" * 16, b"m" * 32))
        with pytest.raises(PeerProtocolError):
            await accept_handshake(far, make_identity("a", NEW_SECRET))
        assert isinstance(await near.receive(), Challenge)


async def test_frames_sent_in_pieces_arrive_in_order():
    frames = [BodyChunk(bytes([n]) * n * 50) for n in range(1, 40)] + [BodyEnd()]
    content = b"".join(
        struct.pack(">I", len(encoded)) + encoded
        for encoded in map(msgspec.msgpack.encode, frames)
    )
    async with connected_frames() as (near, _, far_stream):

        async def send_in_pieces():
            for start in range(0, len(content), 997):
                await far_stream.send_all(content[start : start + 997])
                await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_in_pieces)
            received = [await near.receive() for _ in frames]
    assert received == frames


async def test_an_oversized_frame_is_rejected_before_it_is_read():
    async with connected_frames() as (near, _, far_stream):
        await far_stream.send_all(struct.pack(">I", MAX_FRAME_BYTES + 1))
        with pytest.raises(PeerProtocolError):
            await near.receive()


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_decoded_or_raise_a_protocol_error(content):
    async def receive_all():
        async with connected_frames() as (near, _, far_stream):
            await far_stream.send_all(content)
            far_stream.close()
            while True:
                await near.receive()

    with pytest.raises((PeerProtocolError, PeerUnavailableError)):
        trio.run(receive_all)
