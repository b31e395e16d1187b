"""An upstream's answers without end: the deadline holds, and the slot is given back."""

import pytest
import trio

from mangospoke.announcements import Announcement
from mangospoke.conf.settings import Limits
from mangospoke.guard.guard import Guard
from mangospoke.guard.hints import poll_hints
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.bodies import IncompleteBodyError, until_deadline
from mangospoke.http.messages import HttpResponse
from mangospoke.http.server import ConnectionContext, serve_connection
from mangospoke.idle import WorkCounter
from mangospoke.observability.decisions import DecisionLog
from mangospoke.state.fleet import Fleet
from mangospoke.streams import Stream
from mangospoke.verdicts import Answered, FailureReason, Verdict
from tests.harness.calls import make_call
from tests.harness.raw_upstreams import RawUpstream

DEADLINE_S = 0.5
LATE_S = 0.5
"""How long after its deadline a call may end: the rules allow half a second."""

LONG_S = 20.0
BUFFERED_BYTES = 10_000
MAX_BODY_BYTES = 2_000_000
LIMITS = Limits(buffered_body_bytes=BUFFERED_BYTES, body_bytes=MAX_BODY_BYTES)
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nMangospoke-Request-Id: r\r\n"
CHUNKED_HEAD = ANSWER_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LENGTHLESS_HEAD = ANSWER_HEAD + b"\r\n"
CHUNK = b"1000\r\n" + b"x" * 4_096 + b"\r\n"
FLOOD = [(CHUNKED_HEAD, CHUNK * 16), (LENGTHLESS_HEAD, b"x" * 65_536)]
REQUEST = b"GET /batches/1 HTTP/1.1\r\nHost: x\r\n\r\n"
OLD_REQUEST = b"GET /batches/1 HTTP/1.0\r\n\r\n"


def make_guarded_call(deadline_s, method=b"GET"):
    return make_call(deadline_s, headers=[(b"host", b"x")], method=method)


class Setting:
    """A guard and its upstream, which plays a script."""

    def __init__(self, guard, upstream):
        self.guard = guard
        self.upstream = upstream

    async def assert_released(self):
        assert self.guard.admission.in_flight == 0
        with trio.fail_after(LATE_S):
            await self.upstream.ended.wait()

    async def execute(self, deadline_s=DEADLINE_S):
        with trio.fail_after(deadline_s + LATE_S):
            return await self.guard.execute(make_guarded_call(deadline_s))


@pytest.fixture
async def start(nursery):
    async def start_guard(script, limits=LIMITS):
        upstream = await nursery.start(RawUpstream(script).run)
        guard = Guard(Fleet("s"), limits, DecisionLog())
        guard.attach(
            Announcement(
                service="batches", address=upstream.address, slots=4, connections=9
            )
        )
        return Setting(guard, upstream)

    return start_guard


def flood_after(head, content):
    async def script(upstream, stream):
        await stream.send_all(head)
        await upstream.flood(stream, content)

    return script


def trickle_after(head, content):
    async def script(upstream, stream):
        await stream.send_all(head)
        await upstream.trickle(stream, content)

    return script


@pytest.mark.parametrize(
    ("head", "content"),
    [
        (b"", b"HTTP/1.1 200 OK\r\n"[:7]),
        (b"HTTP/1.1 200 OK\r\n", b"X-Line: x\r\n"),
        (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x"),
        (CHUNKED_HEAD, b"1\r\nx\r\n"),
        (LENGTHLESS_HEAD, b"x"),
    ],
)
async def test_trickled_bytes_end_at_the_deadline_while_they_are_held(
    start, head, content
):
    setting = await start(trickle_after(head, content))
    outcome = await setting.execute()
    assert outcome.reason is FailureReason.DEADLINE_EXCEEDED
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    await setting.assert_released()


@pytest.mark.parametrize(
    ("content", "reason"),
    [
        (b"no answer ", FailureReason.MALFORMED_ANSWER),
        (b"HTTP/1.1 100 Continue\r\n\r\n", FailureReason.MALFORMED_ANSWER),
        (b"HTTP/1.1 200 OK\r\nX: " + b"x" * 9_999, FailureReason.MALFORMED_ANSWER),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
            FailureReason.CROSSED_ANSWER,
        ),
    ],
)
async def test_a_head_without_end_may_have_run_and_gives_the_slot_back(
    start, content, reason
):
    setting = await start(flood_after(b"", content))
    outcome = await setting.execute(LONG_S)
    assert outcome.reason is reason
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    await setting.assert_released()


async def read_all(body):
    size = 0
    with until_deadline(body):
        async for chunk in body.chunks():
            size += len(chunk)
    return size


@pytest.mark.parametrize("head", [CHUNKED_HEAD, LENGTHLESS_HEAD])
async def test_a_streamed_body_that_trickles_on_ends_at_the_deadline(start, head):
    script = trickle_after(head + CHUNK * 4, b"1\r\nx\r\n")
    setting = await start(script)
    outcome = await setting.execute()
    assert isinstance(outcome, Answered)
    with trio.fail_after(DEADLINE_S + LATE_S):
        async with outcome.body as body:
            with pytest.raises(IncompleteBodyError, match="deadline"):
                await read_all(body)
    await setting.assert_released()


@pytest.mark.parametrize(("head", "content"), FLOOD)
async def test_a_streamed_body_at_full_speed_ends_at_the_deadline(start, head, content):
    limits = Limits(buffered_body_bytes=BUFFERED_BYTES, body_bytes=10**12)
    setting = await start(flood_after(head, content), limits)
    outcome = await setting.execute()
    with trio.fail_after(DEADLINE_S + LATE_S):
        async with outcome.body as body:
            with pytest.raises(IncompleteBodyError, match="deadline"):
                await read_all(body)
    await setting.assert_released()


@pytest.mark.parametrize(("head", "content"), FLOOD)
async def test_a_streamed_body_without_end_ends_at_the_size_limit(start, head, content):
    setting = await start(flood_after(head, content))
    outcome = await setting.execute(LONG_S)
    with trio.fail_after(LONG_S):
        async with outcome.body as body:
            with pytest.raises(IncompleteBodyError, match="larger"):
                await read_all(body)
    await setting.assert_released()


async def test_a_body_declared_over_the_limit_is_not_waited_for(start):
    head = ANSWER_HEAD + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
    setting = await start(trickle_after(head, b"x"))
    outcome = await setting.execute(LONG_S)
    assert outcome.reason is FailureReason.ANSWER_TOO_LARGE
    assert outcome.verdict is Verdict.RAN
    await setting.assert_released()


async def test_the_length_in_an_answer_to_head_may_be_over_the_limit(start):
    head = ANSWER_HEAD + b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)

    async def script(_, stream):
        await stream.send_all(head)

    setting = await start(script)
    outcome = await setting.guard.execute(make_guarded_call(LONG_S, b"HEAD"))
    async with outcome.body as body:
        assert body.length == MAX_BODY_BYTES + 1
        assert await read_all(body) == 0
    await setting.assert_released()


async def test_bytes_behind_a_complete_answer_are_not_the_next_ones(start):
    head = ANSWER_HEAD + b"Content-Length: 3\r\n\r\nown and more"
    setting = await start(flood_after(head, b"more"))
    for count in (1, 2):
        outcome = await setting.execute()
        assert outcome.body.content == b"own"
        assert setting.upstream.accepted_count == count
        assert setting.guard.admission.in_flight == 0


async def test_bytes_behind_a_complete_streamed_answer_end_with_its_connection(start):
    head = ANSWER_HEAD + b"Content-Length: 20000\r\n\r\n"
    setting = await start(flood_after(head, b"x" * 20_000))
    for count in (1, 2):
        outcome = await setting.execute()
        async with outcome.body as body:
            assert await read_all(body) == 20_000
        assert setting.upstream.accepted_count == count
        await setting.assert_released()


async def test_endless_answers_to_polls_suggest_no_bound(nursery):
    for script in (
        flood_after(CHUNKED_HEAD, CHUNK),
        flood_after(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        trickle_after(CHUNKED_HEAD, b"1\r\nx\r\n"),
    ):
        upstream = await nursery.start(RawUpstream(script).run)
        announcement = Announcement(
            service="batches", address=upstream.address, slots=4, connections=9
        )
        with trio.fail_after(2.0):
            assert await poll_hints(announcement, 4) >= 2


async def call_through_server(setting, request, read, call_deadline_s=DEADLINE_S):
    """Sends a request to an HTTP server in front of the guard."""

    async def handle(_):
        outcome = await setting.guard.execute(make_guarded_call(call_deadline_s))
        return HttpResponse(outcome.status, outcome.headers, outcome.body)

    context = ConnectionContext(LIMITS, WorkCounter(), HangUpMonitor())
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    caller = await trio.open_tcp_stream(*listener.socket.getsockname())
    accepted = await listener.accept()
    async with caller, trio.open_nursery() as nursery:
        nursery.start_soon(context.hang_ups.run)
        nursery.start_soon(serve_connection, Stream(accepted.socket), handle, context)
        await caller.send_all(request)
        result = await read(caller)
        nursery.cancel_scope.cancel()
    await listener.aclose()
    return result


async def read_to_end(caller):
    received = b""
    with trio.fail_after(DEADLINE_S + LATE_S):
        while chunk := await caller.receive_some():
            received += chunk
    return received


@pytest.mark.parametrize("content", [b"1\r\nx\r\n", CHUNK])
async def test_an_answer_that_ends_at_the_deadline_does_not_look_complete(
    start, content
):
    limits = Limits(buffered_body_bytes=BUFFERED_BYTES, body_bytes=10**12)
    setting = await start(trickle_after(CHUNKED_HEAD + CHUNK * 4, content), limits)
    received = await call_through_server(setting, REQUEST, read_to_end)
    assert received.startswith(b"HTTP/1.1 200")
    assert not received.endswith(b"0\r\n\r\n")
    await setting.assert_released()


async def test_an_answer_to_an_old_caller_does_not_look_complete(start):
    # HTTP/1.0 knows no chunks: there, the end of the connection ends a body.
    setting = await start(trickle_after(CHUNKED_HEAD + CHUNK * 4, b"1\r\nx\r\n"))

    async def read_to_reset(caller):
        with pytest.raises(trio.BrokenResourceError):
            await read_to_end(caller)

    await call_through_server(setting, OLD_REQUEST, read_to_reset)
    await setting.assert_released()


async def test_a_caller_that_does_not_read_holds_no_slot_after_the_deadline(start):
    async def wait(caller):
        with trio.fail_after(DEADLINE_S + LATE_S):
            await setting.upstream.ended.wait()
        assert (await caller.receive_some(99)).startswith(b"HTTP/1.1 200")

    setting = await start(flood_after(CHUNKED_HEAD, CHUNK * 16))
    await call_through_server(setting, REQUEST, wait)
    await setting.assert_released()


async def test_a_slow_caller_gets_a_large_answer_whole_within_the_deadline(start):
    size = 1_900_000

    async def read_slowly(caller):
        received = b""
        with trio.fail_after(LONG_S):
            while not received.endswith(b"0\r\n\r\n"):
                received += await caller.receive_some(20_000)
                await trio.sleep(0.01)
        return received

    async def script(_, stream):
        await stream.send_all(CHUNKED_HEAD)
        await stream.send_all(b"%x\r\n" % size + b"x" * size + b"\r\n0\r\n\r\n")

    setting = await start(script)
    received = await call_through_server(setting, REQUEST, read_slowly, LONG_S)
    assert received.count(b"x") >= size
    await setting.assert_released()


class SlowQuarantine:
    """A quarantine whose handling of an outcome takes longer than the call has."""

    async def admit(self, _):
        return None

    async def handle_outcome(self, *_):
        await trio.sleep(LONG_S)


async def test_an_answer_that_nobody_is_given_gives_its_slot_back(start):
    setting = await start(flood_after(CHUNKED_HEAD, CHUNK * 16))
    setting.guard.quarantine = SlowQuarantine()
    await setting.execute()
    await setting.assert_released()
