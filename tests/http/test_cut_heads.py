"""A response that is cut anywhere before its end is never taken for a whole one.

Failure: an upstream stopped in the middle of its response's head and closed; callers
got a 200 with an empty or short body that looked whole.
"""

import socket
import struct

import pytest
import trio

from mangospoke.conf.settings import Limits
from mangospoke.guard.upstream import UpstreamConnectionPool
from mangospoke.platform.headers import UPSTREAM_DIALECT
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


class CuttingUpstream:
    """Sends the first `cut_at` bytes of a response, and closes or resets."""

    def __init__(self, response):
        self.response = response
        self.cut_at = 0
        self.resets = False

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        task_status.started(f"127.0.0.1:{port}")
        await trio.serve_listeners(self._serve, listeners)

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
