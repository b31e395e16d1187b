"""No request that was handed on ends unanswered when its connection is closed.

A response that ends the connection used to cancel the requests behind it, although
they had been handed on to upstreams.
"""

import enum
from dataclasses import dataclass, field

import h11
import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from mangospoke.conf.settings import Limits
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.bodies import IncompleteBodyError, buffered_body, streamed_body
from mangospoke.http.messages import HttpResponse
from mangospoke.http.server import ConnectionContext, serve_connection
from mangospoke.idle import WorkCounter
from mangospoke.streams import Stream

QUIET_S = 4.0
"""The caller closes the connection after this time without a byte."""

CHUNK = b"x" * 1_024
CHUNKS_BEFORE_BREAK = 4
CHUNK_INTERVAL_S = 0.01
MAX_REQUESTS = 20
"""More than the server handles concurrently on one connection."""


class Kind(enum.Enum):
    """How the handler answers a request; `breaks` after a few KiB of its body."""

    BUFFERED = "buffered"
    STREAMED = "streamed"
    RAISES = "raises"
    BREAKS_CHUNKED = "breaks-chunked"
    BREAKS_WITH_LENGTH = "breaks-with-length"


BREAKING_KINDS = (Kind.BREAKS_CHUNKED, Kind.BREAKS_WITH_LENGTH)


@dataclass
class Plan:
    """One request: when it is sent, and how and when the handler answers it."""

    kind: Kind = Kind.BUFFERED
    delay_s: float = 0.0
    gap_s: float = 0.0
    method: bytes = b"GET"


@dataclass
class StoppableHandler:
    """Answers request `/N` as plan N says; closes connections once stopping."""

    plans: list[Plan]
    stopping: bool = False
    handed_on: list[int] = field(default_factory=list)

    async def __call__(self, request):
        number = int(request.target[1:])
        self.handed_on.append(number)
        plan = self.plans[number]
        await trio.sleep(plan.delay_s)
        if plan.kind is Kind.RAISES:
            raise RuntimeError("a fault")
        body = build_body(plan.kind, request.target)
        return HttpResponse(200, [], body, closes_connection=self.stopping)


def build_body(kind, content):
    if kind is Kind.BUFFERED:
        return buffered_body(content)
    if kind is Kind.STREAMED:
        return streamed_body(stream_chunks([content]), None)
    length = None if kind is Kind.BREAKS_CHUNKED else 1_000 * len(CHUNK)
    return streamed_body(break_off(), length)


async def stream_chunks(chunks):
    for chunk in chunks:
        await trio.lowlevel.checkpoint()
        yield chunk


async def break_off():
    for _ in range(CHUNKS_BEFORE_BREAK):
        await trio.sleep(CHUNK_INTERVAL_S)
        yield CHUNK
    raise IncompleteBodyError("the upstream broke off")


@dataclass
class Response:
    """A complete response."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def closes(self):
        return self.headers.get(b"connection") == b"close"


@dataclass
class Exchange:
    """What the caller saw until the connection ended.

    Attributes:
        responses: The complete responses, in order.
        rest: Bytes after the last complete response.
        end: How the connection ended: `eof`, `reset`, or `quiet` if it stayed open.
    """

    responses: list[Response]
    rest: bytes
    end: str


@dataclass
class ServedConnection:
    """A connection that is being served, and what belongs to it."""

    caller: trio.SocketStream
    context: ConnectionContext
    handler: StoppableHandler

    def begin_stop(self):
        """Begins the planned stop, as the daemon does."""
        self.handler.stopping = True


def open_socketpair():
    return trio.socket.socketpair()


async def open_tcp_pair():
    """Opens a TCP connection, on which a reset destroys unread bytes."""
    [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
    caller_socket = trio.socket.socket()
    await caller_socket.connect(listener.socket.getsockname())
    server_stream = await listener.accept()
    await listener.aclose()
    return caller_socket, server_stream.socket


async def run_connection(handler, sockets, use):
    """Serves a connection while `use` plays its caller; returns what that returns."""
    caller_socket, server_socket = sockets
    context = ConnectionContext(Limits(), WorkCounter(), HangUpMonitor())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(context.hang_ups.run)
        nursery.start_soon(serve_connection, Stream(server_socket), handler, context)
        async with trio.SocketStream(caller_socket) as caller:
            result = await use(ServedConnection(caller, context, handler))
        nursery.cancel_scope.cancel()
    assert context.work.count == 0
    return result


def encode_request(number, method=b"GET"):
    body = b"Content-Length: 3\r\n\r\nabc" if method == b"POST" else b"\r\n"
    return b"%s /%d HTTP/1.1\r\nHost: x\r\n%s" % (method, number, body)


async def receive_until_end(caller):
    """Returns all bytes until the connection ends or is quiet, and which it was."""
    received = b""
    while True:
        with trio.move_on_after(QUIET_S) as scope:
            try:
                chunk = await caller.receive_some()
            except trio.BrokenResourceError:
                return received, "reset"
        if scope.cancelled_caught:
            return received, "quiet"
        if not chunk:
            return received, "eof"
        received += chunk


def parse_responses(received, end):
    """Splits received bytes into complete responses."""
    responses = []
    while received:
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        http.send(h11.EndOfMessage())
        http.receive_data(received)
        response = read_response(http)
        if response is None:
            break
        responses.append(response)
        received = http.trailing_data[0]
    return Exchange(responses, received, end)


def read_response(http):
    """Returns the next response; None if it isn't complete."""
    head, body = None, b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            return None
        if isinstance(event, h11.Response):
            head = event
        if isinstance(event, h11.Data):
            body += bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return Response(head.status_code, dict(head.headers), body)


async def send_planned(caller, plans):
    """Sends all requests, each after its gap; those without a gap go together."""
    unsent = b""
    try:
        for number, plan in enumerate(plans):
            if plan.gap_s:
                await caller.send_all(unsent)
                unsent = b""
                await trio.sleep(plan.gap_s)
            unsent += encode_request(number, plan.method)
        await caller.send_all(unsent)
    except trio.BrokenResourceError:
        # The server has closed the connection: what was sent is checked all the same.
        return


async def play(plans, stop_after_s=None, *, announces_first=True):
    """Plays the plans on one connection; returns the handler and the exchange.

    Args:
        plans: The requests.
        stop_after_s: When the planned stop begins, in seconds; None for no stop.
        announces_first: Whether the stop precedes what is sent in the same moment.
    """
    handler = StoppableHandler(plans)

    async def use(connection):
        async def stop():
            await trio.sleep(stop_after_s)
            if not announces_first:
                await trio.testing.wait_all_tasks_blocked()
            connection.begin_stop()

        async with trio.open_nursery() as nursery:
            if stop_after_s is not None:
                nursery.start_soon(stop)
            nursery.start_soon(send_planned, connection.caller, plans)
            received, end = await receive_until_end(connection.caller)
            nursery.cancel_scope.cancel()
        return parse_responses(received, end)

    exchange = await run_connection(handler, open_socketpair(), use)
    return handler, exchange


def check_handed_on_are_answered(handler, exchange):
    """Each handed-on request has its response; no other request has a success.

    A body that breaks off may be left incomplete if no handed-on request is behind it.
    """
    handed_on = set(handler.handed_on)
    assert len(handler.handed_on) == len(handed_on), "handed on twice"
    unanswered = handed_on - set(range(len(exchange.responses)))
    if exchange.rest:
        last = len(exchange.responses)
        assert handler.plans[last].kind in BREAKING_KINDS, "an incomplete response"
        unanswered.discard(last)
    assert not unanswered
    assert len(exchange.responses) <= len(handler.plans)
    for number, response in enumerate(exchange.responses):
        if 200 <= response.status < 300:
            assert number in handed_on
            assert response.body == b"/%d" % number
    assert not any(response.closes for response in exchange.responses[:-1])


async def test_a_planned_stop_answers_all_pipelined_requests(autojump_clock):
    plans = [Plan(delay_s=delay_s) for delay_s in (0.3, 0.2, 0.25)]
    handler, exchange = await play(plans, stop_after_s=0.1)
    assert [response.status for response in exchange.responses] == [200, 200, 200]
    assert [response.body for response in exchange.responses] == [b"/0", b"/1", b"/2"]
    closes = [response.closes for response in exchange.responses]
    assert closes == [False, False, True]
    assert exchange.end == "eof"


async def test_nothing_is_handed_on_behind_the_closing_response(autojump_clock):
    plans = [Plan(delay_s=0.3), Plan(delay_s=0.2), Plan(delay_s=0.25)]
    plans += [Plan(gap_s=0.31), Plan(gap_s=0.1)]
    handler, exchange = await play(plans, stop_after_s=0.1)
    assert sorted(handler.handed_on) == [0, 1, 2]
    check_handed_on_are_answered(handler, exchange)


async def test_a_planned_stop_answers_as_many_as_one_connection_may_have(
    autojump_clock,
):
    plans = [Plan(delay_s=0.3 - 0.01 * number) for number in range(MAX_REQUESTS)]
    handler, exchange = await play(plans, stop_after_s=0.1)
    assert len(handler.handed_on) >= 2
    check_handed_on_are_answered(handler, exchange)


async def test_a_fault_in_the_handler_leaves_later_requests_answered(autojump_clock):
    plans = [Plan(Kind.RAISES, 0.1), Plan(delay_s=0.3), Plan(delay_s=0.2)]
    _, exchange = await play(plans)
    assert [response.status for response in exchange.responses] == [500, 200, 200]
    assert [response.body for response in exchange.responses[1:]] == [b"/1", b"/2"]


@pytest.mark.parametrize("kind", BREAKING_KINDS)
async def test_a_short_body_that_breaks_off_leaves_later_requests_answered(
    kind, autojump_clock
):
    plans = [Plan(kind, 0.1), Plan(delay_s=0.3), Plan(delay_s=0.2)]
    _, exchange = await play(plans)
    assert [response.status for response in exchange.responses] == [502, 200, 200]
    assert [response.body for response in exchange.responses[1:]] == [b"/1", b"/2"]


async def test_the_length_in_a_response_to_head_is_not_taken_for_a_broken_body(
    autojump_clock,
):
    async def answer_as_to_head(request):
        await trio.sleep(0.1)
        return HttpResponse(200, [], streamed_body(stream_chunks([]), 100_000))

    async def use(connection):
        requests = encode_request(0, b"HEAD") + encode_request(1, b"HEAD")
        await connection.caller.send_all(requests)
        received, _ = await receive_until_end(connection.caller)
        return received

    received = await run_connection(answer_as_to_head, open_socketpair(), use)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.count(b"content-length: 100000") == 2


async def test_garbage_behind_pipelined_requests_leaves_them_answered(autojump_clock):
    plans = [Plan(delay_s=0.3), Plan(delay_s=0.2), Plan(method=b"G T")]
    handler, exchange = await play(plans)
    assert [response.status for response in exchange.responses] == [200, 200, 400]
    assert sorted(handler.handed_on) == [0, 1]


async def test_a_caller_that_leaves_behind_garbage_is_no_error_of_the_daemon():
    handler = StoppableHandler([Plan(delay_s=3), Plan(delay_s=3)])

    async def use(connection):
        requests = encode_request(0) + encode_request(1) + b"G T / x\r\n\r\n"
        await connection.caller.send_all(requests)
        await trio.sleep(0.2)
        await connection.caller.aclose()
        await trio.sleep(0.2)

    # An error of the connection's task would be raised here.
    await run_connection(handler, await open_tcp_pair(), use)


@pytest.mark.parametrize("sends_rest", [False, True])
async def test_a_partly_read_head_is_not_handed_on_and_resets_nothing(sends_rest):
    handler = StoppableHandler([Plan(delay_s=0.1), Plan()], stopping=True)
    first, second = encode_request(0), encode_request(1)

    async def use(connection):
        await connection.caller.send_all(first + second[:9])
        # The response is there and unread: a reset would destroy it.
        await trio.sleep(0.3)
        if sends_rest:
            await connection.caller.send_all(second[9:])
            await trio.sleep(0.1)
        return parse_responses(*await receive_until_end(connection.caller))

    exchange = await run_connection(handler, await open_tcp_pair(), use)
    assert handler.handed_on == [0]
    assert [response.body for response in exchange.responses] == [b"/0"]
    assert exchange.responses[0].closes
    assert exchange.end == "eof"


@pytest.mark.parametrize("announces_first", [False, True])
@pytest.mark.parametrize("delay_s", [0.0, 0.05])
async def test_a_request_in_the_moment_of_the_stop_is_answered_or_not_handed_on(
    announces_first, delay_s, autojump_clock
):
    plans = [Plan(delay_s=0.1), Plan(delay_s=delay_s, gap_s=0.2), Plan(gap_s=0.2)]
    handler, exchange = await play(plans, 0.2, announces_first=announces_first)
    check_handed_on_are_answered(handler, exchange)
    assert exchange.responses[-1].closes
    assert exchange.end == "eof"


MILLISECONDS = st.integers(0, 50).map(lambda ms: ms / 1000)
SHORT_GAPS = st.sampled_from([0.0, 0.0, 0.0, 0.001, 0.01, 0.03])


def planned_requests(kinds):
    """Plans of the pipelined requests of one connection."""
    plan = st.builds(
        Plan, kinds, MILLISECONDS, SHORT_GAPS, st.sampled_from([b"GET"] * 4 + [b"POST"])
    )
    return st.lists(plan, min_size=1, max_size=MAX_REQUESTS)


def play_in_virtual_time(plans, stop_after_s, announces_first):
    async def main():
        return await play(plans, stop_after_s, announces_first=announces_first)

    # Hundreds of tracebacks of the faults of the handler would take half a minute.
    logger.disable("mangospoke.http.server")
    try:
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    finally:
        logger.enable("mangospoke.http.server")


@settings(derandomize=True, max_examples=300, deadline=None)
@given(planned_requests(st.just(Kind.BUFFERED)), MILLISECONDS, st.booleans())
def test_no_moment_of_a_stop_leaves_a_request_unanswered(plans, stop_after_s, first):
    handler, exchange = play_in_virtual_time(plans, stop_after_s, first)
    check_handed_on_are_answered(handler, exchange)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    planned_requests(st.sampled_from(Kind)),
    st.none() | MILLISECONDS,
    st.booleans(),
)
def test_no_failed_response_leaves_a_request_unanswered(plans, stop_after_s, first):
    handler, exchange = play_in_virtual_time(plans, stop_after_s, first)
    check_handed_on_are_answered(handler, exchange)
