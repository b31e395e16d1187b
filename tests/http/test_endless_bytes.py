"""An upstream's bytes without end: memory, time and the event loop stay bounded."""

import pytest
import trio

from mangospoke.http.bodies import buffered_body
from mangospoke.http.client import (
    ResponseMalformedError,
    open_connection,
)
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
