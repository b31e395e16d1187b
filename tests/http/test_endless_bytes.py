"""An upstream's bytes without end: memory, time and the event loop stay bounded."""

import pytest
import trio

from mangospoke.http.bodies import buffered_body
from mangospoke.http.client import (
    HttpConnection,
    ResponseMalformedError,
    open_connection,
)
from mangospoke.streams import Stream
from tests.harness.raw_upstreams import RawUpstream

MAX_HEAD_BYTES = 8_192
BUFFERED_BYTES = 100_000
MAX_BODY_BYTES = 1_000_000
KERNEL_BYTES = 8_000_000
"""More than what the kernel holds between two sockets of this machine."""

SOON_S = 2.0
LONG_S = 20.0
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
LENGTHLESS_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n"
TINY_CHUNK = b"1\r\nx\r\n"
CHUNK = b"1000\r\n" + b"x" * 4_096 + b"\r\n"
LATE_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 4\r\n\r\nlate"


def is_mine(response):
    return (b"x-id", b"mine") in response.headers


async def exchange(connection):
    return await connection.exchange(
        b"GET",
        b"/",
        [(b"host", b"x")],
        buffered_body(b""),
        BUFFERED_BYTES,
        is_mine,
    )


@pytest.fixture
async def call(nursery):
    """Calls an upstream that plays a script, until its connection is closed."""

    async def run(script):
        upstream = await nursery.start(RawUpstream(script).run)
        connection = await open_connection(upstream.address, MAX_HEAD_BYTES, 1.0)
        try:
            with trio.fail_after(SOON_S):
                return await exchange(connection), upstream
        finally:
            await connection.aclose()

    return run


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x" * 1_024),
        (b"HTTP/1.1 200 OK\r\n", b"X-Line: x\r\n"),
        (b"HTTP/1.1 200 ", b"x" * 1_024),
        (b"", b"\x00\xff no answer"),
    ],
)
async def test_a_head_without_end_is_malformed_soon(call, start, repeated):
    async def script(upstream, stream):
        await stream.send_all(start)
        await upstream.flood(stream, repeated)

    with pytest.raises(ResponseMalformedError):
        await call(script)


@pytest.mark.parametrize("content", [b"x", b"SSH-2.0", b"\x15\x03\x01", b"HTTP/2"])
async def test_trickled_garbage_is_malformed_at_its_first_bytes(call, content):
    async def script(upstream, stream):
        await stream.send_all(content)
        await trio.sleep(LONG_S)

    with pytest.raises(ResponseMalformedError):
        await call(script)


@pytest.mark.parametrize(
    "repeated",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
    ],
)
async def test_informational_responses_without_end_are_malformed_soon(call, repeated):
    async def script(upstream, stream):
        await upstream.flood(stream, repeated)

    with pytest.raises(ResponseMalformedError):
        await call(script)


async def test_a_few_informational_responses_precede_a_response(call):
    async def script(upstream, stream):
        early = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        await stream.send_all(early * 3 + LENGTHLESS_HEAD + b"own")

    response, _ = await call(script)
    assert response.body.content == b"own"


async def test_late_responses_without_end_are_not_read_on_and_on(call):
    async def script(upstream, stream):
        await upstream.flood(stream, LATE_RESPONSE)

    response, _ = await call(script)
    assert not is_mine(response)


async def test_trailers_without_end_break_off(call):
    async def script(upstream, stream):
        await stream.send_all(CHUNKED_HEAD + CHUNK + b"0\r\n")
        await upstream.flood(stream, b"X-Trailer: x\r\n")

    with pytest.raises(Exception, match="too long"):
        await call(script)


async def preloaded(content):
    """Returns a connection whose upstream has already sent its bytes."""
    client_socket, upstream_socket = trio.socket.socketpair()
    upstream = trio.SocketStream(upstream_socket)
    await upstream.send_all(content)
    return HttpConnection(Stream(client_socket), MAX_HEAD_BYTES), upstream


async def test_a_block_of_tiny_chunks_lets_other_tasks_run(nursery):
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            await trio.lowlevel.checkpoint()
            turns += 1

    content = CHUNKED_HEAD + TINY_CHUNK * 10_000 + b"0\r\n\r\n"
    connection, _ = await preloaded(content)
    nursery.start_soon(count_turns)
    response = await exchange(connection)
    assert len(response.body.content) == 10_000
    assert turns > 100


async def test_streamed_tiny_chunks_are_passed_on_together(nursery):
    async def script(upstream, stream):
        await stream.send_all(CHUNKED_HEAD + TINY_CHUNK * 200_000 + b"0\r\n\r\n")

    upstream = await nursery.start(RawUpstream(script).run)
    connection = await open_connection(upstream.address, MAX_HEAD_BYTES, 1.0)
    chunks = []
    with trio.fail_after(LONG_S):
        async with (await exchange(connection)).body as body:
            async for chunk in body.chunks():
                chunks.append(chunk)
    assert len(b"".join(chunks)) == 200_000
    assert len(chunks) < 10_000


async def test_bytes_after_a_complete_streamed_body_belong_to_no_request(nursery):
    size = BUFFERED_BYTES + 1

    async def script(upstream, stream):
        await stream.send_all(
            b"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: %d\r\n\r\n" % size
        )
        await upstream.flood(stream, b"y" * size)

    upstream = await nursery.start(RawUpstream(script).run)
    connection = await open_connection(upstream.address, MAX_HEAD_BYTES, 1.0)
    with trio.fail_after(SOON_S):
        async with (await exchange(connection)).body as body:
            received = b"".join([chunk async for chunk in body.chunks()])
        await upstream.ended.wait()
    assert received == b"y" * size
