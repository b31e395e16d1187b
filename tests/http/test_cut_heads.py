"""A response that is cut anywhere before its end is never taken for a whole one.

Failures: an upstream stopped in the middle of its response's head and closed; callers
got a 200 with an empty or short body that looked whole. An upstream reset a connection
while an upload was written to it; the write was told so, and the read saw a plain end.
"""

import socket
import struct

import pytest
import trio

from mangospoke.conf.settings import Limits
from mangospoke.guard.upstream import UpstreamConnectionPool
from mangospoke.http.bodies import buffered_body
from mangospoke.platform.headers import UPSTREAM_DIALECT
from mangospoke.streams import open_stream
from mangospoke.verdicts import Answered, Unanswered
from tests.harness.calls import make_call

_HEAD = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Signature: s\r\n"
    b"Server-Load: 1,0,8\r\nKeep-Alive: timeout=60\r\n"
)
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
WITH_LENGTH = _HEAD + b"Content-Length: 1234\r\n\r\n" + b"x" * 1234
CHUNKED = (
    _HEAD + b"Transfer-Encoding: chunked\r\n\r\n10\r\n" + b"x" * 16 + b"\r\n0\r\n\r\n"
)
UNTIL_THE_END = _HEAD + b"\r\n"
"""The head alone: what follows, up to the end of the connection, is the body."""

BARE_NEWLINES = WITH_LENGTH.replace(b"\r\n", b"\n")


def cut_positions(response, step=1):
    return range(0, len(response), step)


CASES = {
    "length": (WITH_LENGTH, cut_positions(WITH_LENGTH)),
    "chunked": (CHUNKED, cut_positions(CHUNKED)),
    "until the end": (UNTIL_THE_END, cut_positions(UNTIL_THE_END)),
    "interim": (_INTERIM + WITH_LENGTH, cut_positions(_INTERIM + WITH_LENGTH, 7)),
    "newlines": (BARE_NEWLINES, cut_positions(BARE_NEWLINES, 5)),
}


class FaultyUpstream:
    """An upstream whose subclass serves its connections."""

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        task_status.started(f"127.0.0.1:{port}")
        await trio.serve_listeners(self._serve, listeners)


class CuttingUpstream(FaultyUpstream):
    """Sends the first `cut_at` bytes of a response, and closes or resets."""

    def __init__(self, response):
        self.response = response
        self.cut_at = 0
        self.resets = False

    async def _serve(self, stream):
        async with stream:
            received = b""
            while b"\r\n\r\n" not in received:
                received += await stream.receive_some()
            await stream.send_all(self.response[: self.cut_at])
            if self.resets:
                linger = struct.pack("ii", 1, 0)
                stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def send(pool):
    call = make_call(5.0, headers=[(b"host", b"x")], request_id="a")
    return await pool.execute(call, "token", echoes_request_id=True)


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("case", CASES)
async def test_a_cut_response_is_no_response(nursery, case, resets):
    response, positions = CASES[case]
    upstream = CuttingUpstream(response)
    upstream.resets = resets
    address = await nursery.start(upstream.run)
    pool = UpstreamConnectionPool(address, Limits(), UPSTREAM_DIALECT)
    for upstream.cut_at in positions:
        outcome = await send(pool)
        assert isinstance(outcome, Unanswered), (upstream.cut_at, outcome)
    # The whole response is one, so that the cuts are all that is missing above.
    upstream.cut_at, upstream.resets = len(response), False
    assert isinstance(await send(pool), Answered)


class ResettingUpstream(FaultyUpstream):
    """Answers an upload at once, without a length, and resets while it is sent.

    Attributes:
        body_bytes: Size of the part of its response's body that it sends.
        reset_after_s: Time after which it resets the connection.
        lingers: Whether it closes in the ordinary way, with unread bytes.
    """

    def __init__(self):
        self.body_bytes = 0
        self.reset_after_s = 0.0
        self.lingers = False

    async def _serve(self, stream):
        await stream.receive_some(1_000)
        await stream.send_all(UNTIL_THE_END + b"x" * self.body_bytes)
        await trio.sleep(self.reset_after_s)
        if not self.lingers:
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.socket.close()


@pytest.mark.parametrize("lingers", [False, True], ids=["reset", "unread bytes"])
async def test_a_response_that_is_reset_during_an_upload_is_no_response(
    nursery, lingers
):
    upstream = ResettingUpstream()
    upstream.lingers = lingers
    address = await nursery.start(upstream.run)
    pool = UpstreamConnectionPool(address, Limits(), UPSTREAM_DIALECT)
    upload = buffered_body(bytes(4_000_000))
    for upstream.body_bytes in (1, 40, 700, 1_500):
        for upstream.reset_after_s in (0.0, 0.002, 0.02, 0.1, 0.2):
            headers = [(b"host", b"x")]
            call = make_call(5.0, headers=headers, request_id="a", body=upload)
            outcome = await pool.execute(call, "token", echoes_request_id=True)
            assert isinstance(outcome, Unanswered), upstream.reset_after_s


async def test_a_read_after_a_write_that_was_told_of_a_reset_sees_no_plain_end(nursery):
    upstream = ResettingUpstream()
    upstream.body_bytes = 10
    stream = await open_stream(
        "127.0.0.1", int((await nursery.start(upstream.run))[10:])
    )
    await stream.send_all(b"x")
    await trio.sleep(0.1)
    with pytest.raises(trio.BrokenResourceError):
        await stream.send_all(b"x")
    with pytest.raises(trio.BrokenResourceError):
        while await stream.receive_some():
            pass
    stream.close()


async def test_an_end_that_precedes_a_reset_is_an_end(nursery):
    # The response is whole: its end came first, and the reset is for the upload.
    ended = trio.Event()

    async def serve(stream):
        await stream.receive_some(1)
        await stream.send_all(b"whole")
        await stream.send_eof()
        await ended.wait()
        stream.socket.close()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    port = listeners[0].socket.getsockname()[1]
    stream = await open_stream("127.0.0.1", port)
    await stream.send_all(b"xx")
    await trio.sleep(0.05)
    ended.set()
    await trio.sleep(0.05)
    with pytest.raises(trio.BrokenResourceError):
        await stream.send_all(b"x")
    assert await stream.receive_some() == b"whole"
    assert await stream.receive_some() == b""
    stream.close()
