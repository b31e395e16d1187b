"""Tests of the HTTP server: one connection, with handlers defined by the tests."""

import pytest
import trio
import trio.testing

from mangospoke.conf.settings import Limits
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.bodies import IncompleteBodyError, buffered_body, streamed_body
from mangospoke.http.complete_bodies import MAX_HELD_BODY_BYTES, HeldBodyBudget
from mangospoke.http.messages import HttpResponse
from mangospoke.http.server import ConnectionContext, serve_connection
from mangospoke.idle import WorkCounter
from mangospoke.streams import Stream

GET_REQUEST = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"


async def exchange(handler, request):
    """Sends bytes and returns everything received until the connection is closed."""
    caller_socket, server_socket = trio.socket.socketpair()
    context = ConnectionContext(Limits(), WorkCounter(), HangUpMonitor())
    received = b""
    async with (
        trio.SocketStream(caller_socket) as stream,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(context.hang_ups.run)
        nursery.start_soon(serve_connection, Stream(server_socket), handler, context)
        await stream.send_all(request)
        with trio.fail_after(10):
            while chunk := await stream.receive_some():
                received += chunk
        nursery.cancel_scope.cancel()
    assert context.work.count == 0
    return received


async def test_an_exception_in_the_handler_is_reported_as_may_have_run():
    async def handler(request):
        raise RuntimeError("a fault")

    received = await exchange(handler, GET_REQUEST)
    assert received.startswith(b"HTTP/1.1 500")
    assert b"mangospoke-verdict: may-have-run" in received
    assert b"a fault" not in received


async def test_a_streamed_body_that_fails_is_sent_without_its_end():
    async def chunks():
        yield b"first"
        raise IncompleteBodyError("gone")

    async def handler(request):
        return HttpResponse(200, [], streamed_body(chunks(), None))

    received = await exchange(handler, GET_REQUEST)
    assert b"first" in received
    assert not received.endswith(b"0\r\n\r\n")


async def test_a_body_shorter_than_its_declared_length_is_left_incomplete():
    async def chunks():
        yield b"first"

    async def handler(request):
        return HttpResponse(200, [], streamed_body(chunks(), 100))

    received = await exchange(handler, GET_REQUEST)
    assert b"content-length: 100" in received
    assert received.endswith(b"first")


async def test_a_closing_response_ends_the_connection():
    handled = []

    async def handler(request):
        handled.append(request)
        return HttpResponse(200, [], buffered_body(b"last"), closes_connection=True)

    received = await exchange(handler, GET_REQUEST + GET_REQUEST)
    assert received.count(b"HTTP/1.1 200") == len(handled)
    assert received.lower().count(b"connection: close") == 1
    last_response = received[received.rindex(b"HTTP/1.1") :]
    assert b"connection: close" in last_response.lower()
    assert received.endswith(b"last")


async def test_a_request_behind_a_closing_response_is_not_handled():
    handled = []

    async def handler(request):
        handled.append(request)
        return HttpResponse(200, [], buffered_body(b"last"), closes_connection=True)

    post = encode_post(b"/x")
    received = await exchange(handler, post + post)
    assert len(handled) == 1
    assert received.count(b"HTTP/1.1 200") == 1
    assert b"connection: close" in received.lower()


async def test_a_head_response_has_the_length_and_no_body():
    async def handler(request):
        return HttpResponse(200, [], buffered_body(b"12345"), closes_connection=True)

    received = await exchange(handler, GET_REQUEST.replace(b"GET", b"HEAD"))
    assert b"content-length: 5" in received
    assert received.endswith(b"\r\n\r\n")


def encode_get(path):
    return b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n"


def encode_post(path):
    return b"POST " + path + b" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"


class RecordingHandler:
    """Delays the response to `/slow`, and closes the connection after the last path."""

    def __init__(self, last_path):
        self.events = []
        self._last_path = last_path

    async def __call__(self, request):
        self.events.append(f"start {request.path}")
        if request.path == "/slow":
            await trio.sleep(0.05)
        self.events.append(f"end {request.path}")
        is_last = request.path == self._last_path
        return HttpResponse(
            200, [], buffered_body(request.target), closes_connection=is_last
        )


async def test_pipelined_requests_run_concurrently_and_are_answered_in_order():
    handler = RecordingHandler(last_path="/last")
    received = await exchange(
        handler, encode_get(b"/slow") + encode_get(b"/fast") + encode_get(b"/last")
    )
    assert handler.events.index("end /fast") < handler.events.index("end /slow")
    positions = [received.index(path) for path in (b"/slow", b"/fast", b"/last")]
    assert positions == sorted(positions)


async def test_a_request_with_an_unsafe_method_waits_for_earlier_ones():
    handler = RecordingHandler(last_path="/last")
    received = await exchange(
        handler, encode_get(b"/slow") + encode_post(b"/change") + encode_get(b"/last")
    )
    assert handler.events == [
        "start /slow",
        "end /slow",
        "start /change",
        "end /change",
        "start /last",
        "end /last",
    ]
    assert received.count(b"HTTP/1.1 200") == 3


async def test_a_close_after_an_earlier_response_cuts_no_handled_request():
    handler = RecordingHandler(last_path="/slow")
    received = await exchange(handler, encode_get(b"/slow") + encode_get(b"/fast"))
    assert handler.events.count("start /fast") == 1
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.lower().count(b"connection: close") == 1
    assert received.endswith(b"/fast")


async def test_requests_after_a_closing_response_are_not_answered():
    handler = RecordingHandler(last_path="/slow")
    received = await exchange(handler, encode_get(b"/slow") + encode_post(b"/fast"))
    assert "start /fast" not in handler.events
    assert received.count(b"HTTP/1.1 200") == 1
    assert received.endswith(b"/slow")


async def test_a_caller_that_disconnects_cancels_all_its_requests():
    cancelled = []

    async def handler(request):
        try:
            await trio.sleep_forever()
        finally:
            cancelled.append(request.path)

    caller_socket, server_socket = trio.socket.socketpair()
    context = ConnectionContext(Limits(), WorkCounter(), HangUpMonitor())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connection, Stream(server_socket), handler, context)
        async with trio.SocketStream(caller_socket) as stream:
            await stream.send_all(encode_get(b"/a") + encode_get(b"/b"))
            await trio.testing.wait_all_tasks_blocked(0.02)
    assert sorted(cancelled) == ["/a", "/b"]


async def test_the_idle_timeout_of_a_pipelining_caller_begins_with_its_last_response(
    autojump_clock,
):
    async def handler(request):
        await trio.sleep(0.9)
        return HttpResponse(200, [], buffered_body(b"ok"))

    caller_socket, server_socket = trio.socket.socketpair()
    limits = Limits(idle_timeout_ms=1_000)
    context = ConnectionContext(limits, WorkCounter(), HangUpMonitor())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connection, Stream(server_socket), handler, context)
        async with trio.SocketStream(caller_socket) as stream:
            await stream.send_all(GET_REQUEST + GET_REQUEST)
            await trio.sleep(1.5)
            await stream.send_all(GET_REQUEST)
            await trio.sleep(1.0)
            received = await stream.receive_some()
            assert received.count(b"HTTP/1.1 200") == 3
            assert await stream.receive_some() == b""


async def test_a_streamed_response_that_waits_for_its_turn_frees_its_slot_in_time(
    autojump_clock,
):
    released_at = []

    async def chunks():
        yield bytes(MAX_HELD_BODY_BYTES + 1)

    async def release():
        released_at.append(trio.current_time())

    async def handler(request):
        if request.path == "/slow":
            await trio.sleep(5.0)
            return HttpResponse(200, [], buffered_body(b"slow"))
        deadline = trio.current_time() + 1.0
        body = streamed_body(chunks(), None, release, deadline)
        return HttpResponse(200, [], body)

    caller_socket, server_socket = trio.socket.socketpair()
    context = ConnectionContext(Limits(), WorkCounter(), HangUpMonitor())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connection, Stream(server_socket), handler, context)
        started_at = trio.current_time()
        async with trio.SocketStream(caller_socket) as stream:
            await stream.send_all(encode_get(b"/slow") + encode_get(b"/streamed"))
            await trio.sleep(6.0)
            received = b""
            while received.count(b"HTTP/1.1") < 2:
                received += await stream.receive_some()
    assert [at - started_at for at in released_at] == [1.0]
    assert received.startswith(b"HTTP/1.1 200")
    assert b"slowHTTP/1.1 502" in received


@pytest.mark.parametrize("max_held", [0, 1])
async def test_bodies_of_pipelining_callers_do_not_fill_the_memory(
    autojump_clock, max_held
):
    read_at = []

    async def chunks():
        read_at.append(trio.current_time())
        yield b"streamed"

    async def handler(request):
        if request.path == "/streamed":
            return HttpResponse(200, [], streamed_body(chunks(), None))
        await trio.sleep(1.0)
        return HttpResponse(200, [], buffered_body(b"slow"))

    budget = HeldBodyBudget(max_held)
    caller_socket, server_socket = trio.socket.socketpair()
    context = ConnectionContext(
        Limits(), WorkCounter(), HangUpMonitor(), held_bodies=budget
    )
    paths = (b"/slow", b"/streamed", b"/slow")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connection, Stream(server_socket), handler, context)
        started_at = trio.current_time()
        async with trio.SocketStream(caller_socket) as stream:
            await stream.send_all(b"".join(encode_get(path) for path in paths))
            received = b""
            while received.count(b"HTTP/1.1 200") < 3:
                received += await stream.receive_some()
    assert [at - started_at for at in read_at] == [0.0 if max_held else 1.0]
    with budget.reserve() as is_reserved:
        assert is_reserved == bool(max_held)
