"""Each way in which a connection's requests are cancelled sets its own cause."""

import socket
import struct

import trio
import trio.testing

from mangospoke.bench.waiting import wait_until
from mangospoke.cancellation import CancelCause
from mangospoke.conf.settings import Limits
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.bodies import IncompleteBodyError, buffered_body, streamed_body
from mangospoke.http.complete_bodies import MAX_HELD_BODY_BYTES
from mangospoke.http.messages import HttpResponse
from mangospoke.http.server import ConnectionContext, serve_connection
from mangospoke.idle import WorkCounter
from mangospoke.streams import Stream

READ_TIMEOUT_MS = 200
MANY_BYTES = 8_000_000
"""More than the buffers of two sockets hold."""


def encode_gets(*paths):
    return b"".join(b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % path for path in paths)


class Server:
    """Serves one connection; records causes of cancelled and undelivered requests."""

    def __init__(self, responses_by_path):
        self.causes_by_path = {}
        self.undelivered = []
        self.started_paths = set()
        self._responses_by_path = responses_by_path
        self._answering = trio.Event()
        self._held_back_path = ""
        self._answering_held_back = trio.Event()
        self._context = ConnectionContext(
            Limits(head_timeout_ms=READ_TIMEOUT_MS),
            WorkCounter(),
            HangUpMonitor(),
            self._record_undelivered,
        )

    def answer(self):
        """Lets the handler return the responses that exist."""
        self._answering.set()

    def hold_back(self, path, response):
        """Adds a response that is returned after the others."""
        self._held_back_path = path
        self._responses_by_path[path] = response

    def answer_held_back(self):
        """Lets the handler return the response that was held back."""
        self._answering_held_back.set()

    async def _handle(self, request):
        self.started_paths.add(request.path)
        try:
            response = self._responses_by_path.get(request.path)
            if response is None:
                await trio.sleep_forever()
            await self._answering.wait()
            if request.path == self._held_back_path:
                await self._answering_held_back.wait()
            return response
        except trio.Cancelled:
            self.causes_by_path[request.path] = request.cancellation.cause
            raise

    def _record_undelivered(self, undelivered):
        request = undelivered.request
        self.undelivered.append(
            (request.path, request.cancellation.cause, undelivered.is_started)
        )

    async def serve(self, stream):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._context.hang_ups.run)
            await serve_connection(Stream(stream), self._handle, self._context)
            nursery.cancel_scope.cancel()

    async def wait_until_started(self, *paths):
        async def are_started():
            return self.started_paths.issuperset(paths)

        await wait_until(are_started, "the start of all requests", 5)


async def run_connection(server, paths, drive):
    """Sends pipelined requests and drives the caller's side until the server ends."""
    caller, server_side = trio.socket.socketpair()
    with caller, trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, server_side)
            await caller.send(encode_gets(*(path.encode() for path in paths)))
            await server.wait_until_started(*paths)
            await drive(caller, nursery)


def closing_response():
    return HttpResponse(200, [], buffered_body(b"last"), closes_connection=True)


async def read_all(caller, _nursery):
    while await caller.recv(65536):
        pass


async def hang_up(caller, _nursery):
    caller.close()


async def test_a_single_request_whose_caller_left_is_not_blamed_on_the_daemon():
    server = Server({})
    await run_connection(server, ["/a"], hang_up)
    assert server.causes_by_path == {"/a": CancelCause.CALLER_HUNG_UP}


async def test_pipelined_requests_whose_caller_left_are_not_blamed_on_the_daemon():
    server = Server({})
    await run_connection(server, ["/a", "/b", "/c"], hang_up)
    assert set(server.causes_by_path) == {"/a", "/b", "/c"}
    assert set(server.causes_by_path.values()) == {CancelCause.CALLER_HUNG_UP}


def broken_response():
    """Returns a response that breaks off, too large to be held back until then."""

    async def chunks():
        yield bytes(MAX_HELD_BODY_BYTES + 1)
        raise IncompleteBodyError("gone")

    return HttpResponse(200, [], streamed_body(chunks(), None))


async def test_requests_behind_a_closing_response_are_not_cancelled():
    ready = HttpResponse(200, [], buffered_body(b"ready"))
    server = Server({"/last": closing_response(), "/b": ready, "/c": ready})

    async def drive(caller, nursery):
        server.answer()
        await read_all(caller, nursery)

    await run_connection(server, ["/last", "/b", "/c"], drive)
    assert server.causes_by_path == {}
    assert server.undelivered == []


async def test_requests_behind_a_broken_response_are_not_blamed_on_the_caller():
    server = Server({"/broken": broken_response()})

    async def drive(caller, nursery):
        server.answer()
        await read_all(caller, nursery)

    await run_connection(server, ["/broken", "/b", "/c"], drive)
    assert server.causes_by_path == {
        "/b": CancelCause.CONNECTION_CLOSED,
        "/c": CancelCause.CONNECTION_CLOSED,
    }
    assert server.undelivered == [("/broken", CancelCause.BODY_INCOMPLETE, True)]


async def test_a_response_that_waits_behind_a_broken_one_is_recorded():
    ready = HttpResponse(200, [], buffered_body(b"ready"))
    server = Server({"/ready": ready})

    server.hold_back("/broken", broken_response())

    async def drive(caller, nursery):
        server.answer()
        await trio.testing.wait_all_tasks_blocked(0.02)
        server.answer_held_back()
        await read_all(caller, nursery)

    await run_connection(server, ["/broken", "/ready"], drive)
    assert set(server.undelivered) == {
        ("/broken", CancelCause.BODY_INCOMPLETE, True),
        ("/ready", CancelCause.CONNECTION_CLOSED, False),
    }
    assert len(server.undelivered) == 2


async def test_a_caller_that_does_not_read_is_the_cause_of_all_that_it_loses():
    big = HttpResponse(200, [], buffered_body(bytes(MANY_BYTES)))
    server = Server({"/big": big})

    async def drive(caller, _nursery):
        server.answer()
        await trio.sleep(2 * READ_TIMEOUT_MS / 1000)

    await run_connection(server, ["/big", "/b"], drive)
    assert server.undelivered == [("/big", CancelCause.CALLER_NOT_READING, True)]
    assert server.causes_by_path == {"/b": CancelCause.CALLER_NOT_READING}


async def test_a_body_that_breaks_off_is_recorded():
    async def chunks():
        yield b"first"
        raise IncompleteBodyError("gone")

    broken = HttpResponse(200, [], streamed_body(chunks(), None))
    server = Server({"/broken": broken})

    async def drive(caller, nursery):
        server.answer()
        await read_all(caller, nursery)

    await run_connection(server, ["/broken"], drive)
    assert server.undelivered == [("/broken", CancelCause.BODY_INCOMPLETE, True)]


async def test_the_daemons_end_is_the_cause_where_nobody_set_one():
    server = Server({"/ready": HttpResponse(200, [], buffered_body(b"ready"))})

    async def drive(_caller, nursery):
        server.answer()
        await trio.testing.wait_all_tasks_blocked(0.02)
        nursery.cancel_scope.cancel()

    await run_connection(server, ["/a", "/ready"], drive)
    assert server.causes_by_path == {"/a": CancelCause.STOPPED}
    assert server.undelivered == [("/ready", CancelCause.STOPPED, False)]


async def test_a_connection_reset_while_a_response_is_written_is_a_hang_up():
    big = HttpResponse(200, [], buffered_body(bytes(MANY_BYTES)))
    server = Server({"/big": big})
    listener = trio.socket.socket()
    await listener.bind(("127.0.0.1", 0))
    listener.listen()
    caller = trio.socket.socket()
    await caller.connect(listener.getsockname())
    server_side, _ = await listener.accept()
    with listener, trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, server_side)
            await caller.send(encode_gets(b"/big", b"/b"))
            await server.wait_until_started("/big", "/b")
            server.answer()
            await trio.sleep(READ_TIMEOUT_MS / 4000)
            linger = struct.pack("ii", 1, 0)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            caller.close()
    assert server.undelivered == [("/big", CancelCause.CALLER_HUNG_UP, True)]
    assert server.causes_by_path == {"/b": CancelCause.CALLER_HUNG_UP}
