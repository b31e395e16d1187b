"""Tests the log sink: its budgets, stalled readers and closed outputs."""

import os

import msgspec
import pytest
import trio
from loguru import logger

from mangospoke.calls import RetryAllowance, SendStatus
from mangospoke.cancellation import CancelCause, Cancellation, ShutdownStatus
from mangospoke.conf.declarations import Importance
from mangospoke.conf.settings import LogFormat, Logging
from mangospoke.http.bodies import buffered_body
from mangospoke.http.delivery import UndeliveredResponse
from mangospoke.http.messages import HttpRequest
from mangospoke.observability import sink as sinks
from mangospoke.observability.decisions import DecisionLog
from mangospoke.observability.events import LogPriority
from mangospoke.observability.logs import EventLog
from mangospoke.observability.sink import MAX_BUFFERED_BYTES, MAX_LINES_PER_S, LineSink
from mangospoke.peers.messages import Load
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    RefusalReason,
    Refused,
    Unanswered,
)
from tests.harness.calls import make_call


class FakeClock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class Pipe:
    """A pipe that is read only when the test calls `read`."""

    def __init__(self):
        self.read_end, self.write_end = os.pipe()
        os.set_blocking(self.read_end, False)

    def read(self):
        chunks = []
        while True:
            try:
                chunk = os.read(self.read_end, 65536)
            except BlockingIOError:
                break
            if not chunk:
                break
            chunks.append(chunk)
        return b"".join(chunks)

    def drain(self, sink):
        """Flushes and reads alternately, since the capacity of a pipe is limited."""
        parts = []
        while True:
            sink.flush()
            parts.append(self.read())
            if not parts[-1]:
                return b"".join(parts)

    def close(self):
        os.close(self.read_end)
        os.close(self.write_end)


@pytest.fixture
def pipe():
    opened_pipe = Pipe()
    yield opened_pipe
    opened_pipe.close()


def format_dropped_lines(counts):
    return b"left out: " + msgspec.json.encode(counts, order="sorted")


def write_if_allowed(sink, priority, kind, line):
    allowed = sink.may_write(priority, kind)
    if allowed:
        sink.put(priority, line)
    return allowed


async def test_lines_are_written_whole_and_in_order(pipe):
    sink = LineSink(pipe.write_end, format_dropped_lines, FakeClock())
    for number in range(40):
        write_if_allowed(
            sink, LogPriority.ROUTINE, "answered", b"line %d" % number + b"x" * 300
        )
    sink.flush()
    lines = pipe.read().split(b"\n")
    assert lines == [b"line %d" % n + b"x" * 300 for n in range(40)] + [b""]


@pytest.mark.parametrize("priority", list(LogPriority))
async def test_lines_per_second_are_limited_and_dropped_lines_reported(pipe, priority):
    clock = FakeClock()
    sink = LineSink(pipe.write_end, format_dropped_lines, clock)
    written = sum(write_if_allowed(sink, priority, "storm", b"x") for _ in range(1000))
    assert written == MAX_LINES_PER_S[priority]
    clock.now += 1
    assert write_if_allowed(sink, priority, "storm", b"next")
    sink.flush()
    lines = pipe.read().split(b"\n")
    dropped_lines = 1000 - written
    assert b'left out: {"storm":%d}' % dropped_lines in lines
    assert sink.dropped_lines["storm"] == dropped_lines


async def test_many_successes_use_no_budget_of_failures(pipe):
    sink = LineSink(pipe.write_end, format_dropped_lines, FakeClock())
    for _ in range(10_000):
        write_if_allowed(sink, LogPriority.ROUTINE, "answered", b"fine")
    assert write_if_allowed(sink, LogPriority.LOSS, "peer-silent", b"lost")


async def test_a_stalled_reader_blocks_no_writer(pipe, autojump_clock, monkeypatch):
    clock = FakeClock()
    monkeypatch.setattr(sinks, "_FLUSH_TIMEOUT_MS", 0)
    sink = LineSink(pipe.write_end, format_dropped_lines, clock)
    line = b"y" * 1000
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sink.run)
        # 30 s of lines: more than the pipe and all buffers hold.
        for _ in range(30):
            clock.now += 1
            for _ in range(300):
                write_if_allowed(sink, LogPriority.LOSS, "lost", line)
            await trio.sleep(1)
        waiting = sum(sink._queued_bytes.values())
        assert waiting <= MAX_BUFFERED_BYTES[LogPriority.LOSS] + len(line) + 100
        nursery.cancel_scope.cancel()
    before = pipe.read()
    assert before.startswith(line + b"\n" + line)
    after = pipe.drain(sink)
    assert b"left out" in after
    assert sink.dropped_lines["lost"] + (before + after).count(line + b"\n") == 9000


async def test_a_closed_output_raises_no_error(pipe):
    sink = LineSink(pipe.write_end, format_dropped_lines, FakeClock())
    os.close(pipe.read_end)
    pipe.read_end = os.dup(pipe.write_end)
    for _ in range(10):
        write_if_allowed(sink, LogPriority.LOSS, "lost", b"x" * 500)
    sink.flush()
    assert not write_if_allowed(sink, LogPriority.LOSS, "lost", b"x")


class LoggedDecisions:
    """A decision log whose output can be read."""

    def __init__(self, pipe, text=False):
        format_ = LogFormat.TEXT if text else LogFormat.JSON
        self.log = EventLog(Logging(format=format_), "h1", pipe.write_end, FakeClock())
        self.decisions = DecisionLog(self.log)
        self.decisions.read_proof_age_s = lambda: 0.25
        self._pipe = pipe

    def lines(self):
        written = self._pipe.drain(self.log.sink)
        return [msgspec.json.decode(line) for line in written.splitlines()]


def make_booking(**changes):
    fields = {
        "request_id": "9c41",
        "key_id": "k",
        "service": "bookings",
        "route": "book",
        "method": b"POST",
        "target": b"/book",
        "importance": Importance.HIGH,
        "idempotent": False,
        "retries": RetryAllowance(1),
        "version": 12,
        "entered_at": trio.current_time(),
        "target_latency_s": 1.5,
    }
    return make_call(**(fields | changes))


async def test_a_failed_request_is_logged_with_its_configuration(pipe, autojump_clock):
    logged = LoggedDecisions(pipe)
    call = make_booking()
    await trio.sleep(0.5)
    logged.decisions.record_end(
        call, Unanswered(FailureReason.PEER_SILENT, "the peer doesn't answer")
    )
    (line,) = logged.lines()
    assert line.pop("time").endswith("+00:00")
    assert line == {
        "host_id": "h1",
        "event": "ended",
        "request_id": "9c41",
        "service": "bookings",
        "route": "book",
        "account": "acme",
        "importance": int(Importance.HIGH),
        "outcome": "unanswered",
        "verdict": "may-have-run",
        "reason": "peer-silent",
        "detail": "the peer doesn't answer",
        "elapsed_ms": 500.0,
        "allowed_ms": 5000.0,
        "target_ms": 1500.0,
        "configuration": 12,
        "proof_age_ms": 250.0,
    }


def cancelled_by(cause):
    cancellation = Cancellation()
    cancellation.set_cause(cause)
    return cancellation


@pytest.mark.parametrize(
    ("cause", "reason", "is_counted"),
    [
        (CancelCause.CALLER_HUNG_UP, "cancelled", False),
        (CancelCause.CALLER_NOT_READING, "cancelled", False),
        (CancelCause.CONNECTION_CLOSED, "connection-closed", True),
        (CancelCause.STOPPED, "stopped", True),
    ],
)
@pytest.mark.parametrize("status", SendStatus)
async def test_a_request_that_the_daemon_cancels_is_not_logged_as_its_callers_doing(
    pipe, autojump_clock, cause, reason, is_counted, status
):
    logged = LoggedDecisions(pipe)
    logged.decisions.read_shutdown_status = lambda: ShutdownStatus("draining", 4.8)
    call = make_booking(cancellation=cancelled_by(cause), send_status=status)
    logged.decisions.record_cancellation(call)
    (line,) = logged.lines()
    assert (line["request_id"], line["reason"]) == ("9c41", reason)
    assert (line["cancelled_by"], line["detail"]) == (
        cause.value,
        call.cancellation.detail,
    )
    assert (line["stop"], line["stop_elapsed_ms"]) == ("draining", 4800.0)
    expected = "not-run" if status is SendStatus.UNSENT else "may-have-run"
    assert line["verdict"] == expected
    counts = {("bookings", cause): 1} if is_counted else {}
    assert logged.decisions.unanswered == counts


@pytest.mark.parametrize("cause", [CancelCause.CONNECTION_CLOSED, CancelCause.STOPPED])
async def test_callers_that_leave_use_no_budget_of_what_the_daemon_cancelled(
    pipe, autojump_clock, cause
):
    logged = LoggedDecisions(pipe)
    for _ in range(MAX_LINES_PER_S[LogPriority.REFUSAL] + 10):
        left = make_booking(cancellation=cancelled_by(CancelCause.CALLER_HUNG_UP))
        logged.decisions.record_cancellation(left)
    logged.decisions.record_cancellation(
        make_booking(request_id="lost", cancellation=cancelled_by(cause))
    )
    ids = [line["request_id"] for line in logged.lines() if line["event"] == "ended"]
    assert len(ids) == MAX_LINES_PER_S[LogPriority.REFUSAL] + 1
    assert ids.count("lost") == 1


async def test_a_request_cancelled_before_the_call_names_the_cause(
    pipe, autojump_clock
):
    logged = LoggedDecisions(pipe)
    logged.decisions.record_early_cancellation(
        "acme", "bookings", Cancellation(), "9c41", 12
    )
    (line,) = logged.lines()
    assert (line["request_id"], line["verdict"]) == ("9c41", "not-run")
    assert (line["reason"], line["cancelled_by"]) == ("stopped", "stopped")
    assert "stop" not in line
    assert logged.decisions.unanswered == {("bookings", CancelCause.STOPPED): 1}


@pytest.mark.parametrize(
    ("cause", "is_counted"),
    [
        (CancelCause.CALLER_HUNG_UP, False),
        (CancelCause.CALLER_NOT_READING, False),
        (CancelCause.CONNECTION_CLOSED, True),
        (CancelCause.BODY_INCOMPLETE, False),
        (CancelCause.STOPPED, True),
    ],
)
async def test_a_ready_response_that_is_not_written_leaves_a_line(
    pipe, autojump_clock, cause, is_counted
):
    logged = LoggedDecisions(pipe)
    logged.decisions.read_shutdown_status = lambda: ShutdownStatus("draining", 2.2)
    request = HttpRequest(
        b"GET", b"/x", [], buffered_body(b""), cancelled_by(cause), "9c41", "bookings"
    )
    logged.decisions.record_undelivered(UndeliveredResponse(request, 200, False))
    (line,) = logged.lines()
    del line["time"]
    assert line == {
        "host_id": "h1",
        "event": "response_undelivered",
        "request_id": "9c41",
        "service": "bookings",
        "status": 200,
        "cause": cause.value,
        "detail": request.cancellation.detail,
        "sent": "nothing",
        "stop": "draining",
        "stop_elapsed_ms": 2200.0,
    }
    counts = {("bookings", cause): 1} if is_counted else {}
    assert logged.decisions.unanswered == counts


async def test_a_refusal_before_the_call_names_the_request(pipe, autojump_clock):
    logged = LoggedDecisions(pipe)
    refused = Refused(RefusalReason.OVER_RATE, "over its rate of 20/s", 0.4)
    logged.decisions.record_early_refusal("acme", "bookings", refused, "9c41", 12)
    (line,) = logged.lines()
    assert (line["request_id"], line["reason"]) == ("9c41", "over-rate")
    assert (line["verdict"], line["retry_after_s"]) == ("not-run", 0.4)
    assert line["configuration"] == 12


@pytest.mark.parametrize(
    ("outcome", "priority"),
    [
        (Answered(200, [], buffered_body(b"")), LogPriority.ROUTINE),
        (Answered(500, [], buffered_body(b"")), LogPriority.NOTABLE),
        (Refused(RefusalReason.OVER_RATE), LogPriority.REFUSAL),
        (Refused(RefusalReason.QUEUE_FULL), LogPriority.LOSS),
        (Refused(RefusalReason.QUARANTINED), LogPriority.LOSS),
        (Refused(RefusalReason.KEY_WITHDRAWN), LogPriority.LOSS),
        (Unanswered(FailureReason.CROSSED_ANSWER), LogPriority.LOSS),
    ],
)
async def test_lines_that_explain_failures_have_the_largest_budget(
    pipe, autojump_clock, outcome, priority
):
    logged = LoggedDecisions(pipe)
    for _ in range(300):
        logged.decisions.record_end(make_booking(), outcome)
    lines = [line for line in logged.lines() if line["event"] == "ended"]
    assert len(lines) == MAX_LINES_PER_S[priority]


async def test_a_late_response_has_its_own_budget(pipe, autojump_clock):
    logged = LoggedDecisions(pipe)
    answered = Answered(200, [], buffered_body(b""))
    call = make_booking()
    await trio.sleep(2)
    for _ in range(MAX_LINES_PER_S[LogPriority.ROUTINE] + 10):
        logged.decisions.record_end(make_booking(), answered)
    logged.decisions.record_end(call, answered)
    late = [line for line in logged.lines() if line.get("elapsed_ms", 0) > 1500]
    assert len(late) == 1


async def test_messages_of_the_logging_library_are_written(pipe):
    log = EventLog(Logging(), "h1", pipe.write_end)
    sink_id = logger.add(log.write_message, format="{message}")
    try:
        logger.bind(event="log_lost", topic="t").warning("{} can't be read", "t")
    finally:
        logger.remove(sink_id)
    log.sink.flush()
    (line,) = pipe.read().splitlines()
    fields = msgspec.json.decode(line)
    assert (fields["event"], fields["level"]) == ("log_lost", "WARNING")
    assert fields["message"] == "t can't be read"


async def test_text_lines_list_the_fields(pipe, autojump_clock):
    logged = LoggedDecisions(pipe, text=True)
    logged.decisions.record_end(
        make_booking(), Refused(RefusalReason.QUEUE_FULL, "full")
    )
    logged.log.sink.flush()
    (line,) = pipe.read().splitlines()
    assert b"event=ended" in line
    assert b"reason=queue-full" in line


async def test_a_slow_response_of_the_upstream_has_its_own_budget(pipe, autojump_clock):
    logged = LoggedDecisions(pipe)
    answered = Answered(200, [], buffered_body(b""))
    load = Load(1, 0, 4, 0.0)
    for _ in range(MAX_LINES_PER_S[LogPriority.ROUTINE] + 10):
        now = trio.current_time()
        logged.decisions.record_guarded(
            make_booking(), answered, now, "i", lambda: load
        )
    arrived_at = trio.current_time()
    await trio.sleep(0.2)
    slow = make_booking(request_id="slow", admitted_at=trio.current_time())
    logged.decisions.record_guarded(slow, answered, arrived_at, "i", lambda: load)
    lines = [line for line in logged.lines() if line.get("request_id") == "slow"]
    assert [line["waited_ms"] for line in lines] == [200.0]
