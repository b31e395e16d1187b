"""Nothing is written to a caller's connection out of turn.

An interim response used to be written at once, into the body of an earlier response,
and bytes that a full connection hadn't taken yet were replaced by the next ones.
"""

import pytest
import trio
import trio.testing

from mangospoke.conf.settings import Limits
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.bodies import buffered_body, streamed_body
from mangospoke.http.messages import HttpResponse
from mangospoke.http.server import ConnectionContext, serve_connection
from mangospoke.idle import WorkCounter
from mangospoke.streams import Stream

CONTINUE = b"HTTP/1.1 100 \r\n\r\n"
GET_SHORT = b"GET /short HTTP/1.1\r\nHost: x\r\n\r\n"
GET_LONG = b"GET /long HTTP/1.1\r\nHost: x\r\n\r\n"
BODY = b"number=4711"
LONG_BODY = b"x" * 100_000
LIMITS = Limits(head_timeout_ms=2_000)
LARGE = Limits().buffered_body_bytes + 1
MORE_THAN_A_SOCKET_TAKES = 8_000_000


def post(body=BODY):
    return (
        b"POST /short HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body)
    )


class Caller:
    """A caller's end of a connection that the server serves."""

    def __init__(self, stream):
        self.stream = stream
        self.received = b""

    async def read_until(self, end):
        while end not in self.received:
            chunk = await self.stream.receive_some()
            assert chunk, self.received[-200:]
            self.received += chunk

    def take_until(self, end):
        taken, _, self.received = self.received.partition(end)
        return taken


@pytest.fixture
async def connect(nursery):
    async def start(handler):
        ours, theirs = trio.socket.socketpair()
        context = ConnectionContext(LIMITS, WorkCounter(), HangUpMonitor())
        nursery.start_soon(context.hang_ups.run)
        nursery.start_soon(serve_connection, Stream(theirs), handler, context)
        return Caller(trio.SocketStream(ours))

    return start


class Handler:
    """Answers `/long` with a body that waits in its middle, others with a short one."""

    def __init__(self):
        self.is_midway = trio.Event()
        self.may_go_on = trio.Event()

    async def __call__(self, request):
        if request.path == "/long":
            return HttpResponse(200, [], streamed_body(self._chunks(), len(LONG_BODY)))
        content = b"".join([chunk async for chunk in request.body.chunks()])
        return HttpResponse(200, [], buffered_body(b"got %d" % len(content)))

    async def _chunks(self):
        middle = len(LONG_BODY) // 2
        yield LONG_BODY[:middle]
        self.is_midway.set()
        await self.may_go_on.wait()
        yield LONG_BODY[middle:]


@pytest.mark.parametrize("body", [BODY, b"y" * LARGE])
async def test_an_interim_response_waits_for_the_end_of_an_earlier_body(connect, body):
    handler = Handler()
    caller = await connect(handler)
    await caller.stream.send_all(GET_SHORT + GET_LONG)
    with trio.fail_after(10):
        await handler.is_midway.wait()
    await caller.stream.send_all(post(body))
    await trio.sleep(0.1)
    handler.may_go_on.set()
    with trio.fail_after(10):
        await caller.read_until(CONTINUE)
    caller.take_until(b"got 0")
    caller.take_until(b"\r\n\r\n")
    assert caller.received == LONG_BODY + CONTINUE
    await caller.stream.send_all(body)
    with trio.fail_after(10):
        await caller.read_until(b"got %d" % len(body))


async def test_a_caller_that_sends_its_body_unasked_gets_no_interim_response(connect):
    handler = Handler()
    caller = await connect(handler)
    await caller.stream.send_all(GET_SHORT + GET_LONG)
    with trio.fail_after(10):
        await handler.is_midway.wait()
    await caller.stream.send_all(post())
    await trio.sleep(0.1)
    await caller.stream.send_all(BODY)
    await trio.sleep(0.1)
    handler.may_go_on.set()
    with trio.fail_after(10):
        await caller.read_until(b"got %d" % len(BODY))
    assert CONTINUE not in caller.received


async def test_the_wait_for_the_turn_does_not_make_a_caller_too_slow(
    connect, autojump_clock
):
    handler = Handler()
    caller = await connect(handler)
    await caller.stream.send_all(GET_SHORT + GET_LONG)
    with trio.fail_after(10):
        await handler.is_midway.wait()
    await caller.stream.send_all(post())
    await trio.sleep(2 * LIMITS.head_timeout_ms / 1000)
    handler.may_go_on.set()
    await caller.read_until(CONTINUE)
    await caller.stream.send_all(BODY)
    await caller.read_until(b"got %d" % len(BODY))


async def test_the_rest_of_a_cancelled_send_is_not_replaced(nursery):
    ours, theirs = trio.socket.socketpair()
    stream = Stream(theirs)
    first, second = b"a" * MORE_THAN_A_SOCKET_TAKES, b"b" * 10
    with trio.move_on_after(0.05):
        await stream.send_all(first)
    nursery.start_soon(stream.send_all, second)
    await expect_bytes(ours, first + second)


async def test_two_senders_on_a_full_connection_keep_their_order(nursery):
    ours, theirs = trio.socket.socketpair()
    stream = Stream(theirs)
    parts = [b"a" * MORE_THAN_A_SOCKET_TAKES, b"b" * 10, b"c" * 10]
    for part in parts:
        nursery.start_soon(stream.send_all, part)
        await trio.testing.wait_all_tasks_blocked()
    await expect_bytes(ours, b"".join(parts))


async def expect_bytes(sock, expected):
    received = bytearray()
    with trio.fail_after(10):
        while len(received) < len(expected):
            received += await sock.recv(1_000_000)
    assert received == expected
