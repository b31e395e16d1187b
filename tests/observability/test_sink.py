"""The log's sink: its budget, and a reader that stands still."""

import os

import msgspec
import pytest
import trio
from loguru import logger

from mangospoke.calls import RetryAllowance
from mangospoke.conf.declarations import Importance
from mangospoke.conf.settings import LogFormat, Logging
from mangospoke.http.bodies import whole_body
from mangospoke.observability import sink as sinks
from mangospoke.observability.decisions import DecisionLog
from mangospoke.observability.events import Retention
from mangospoke.observability.logs import EventLog
from mangospoke.observability.sink import LINES_PER_S, WAITING_BYTES, LineSink
from mangospoke.peers.messages import Load
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    RefusalReason,
    Refused,
    Unanswered,
)
from tests.harness.calls import make_call


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class Pipe:
    """A pipe whose reader reads only when the test says so."""

    def __init__(self):
        self.read_end, self.write_end = os.pipe()
        os.set_blocking(self.read_end, False)

    def read(self):
        parts = []
        while True:
            try:
                part = os.read(self.read_end, 65536)
            except BlockingIOError:
                break
            if not part:
                break
            parts.append(part)
        return b"".join(parts)

    def drain(self, sink):
        """Flushes and reads in turns, since a pipe takes only so much."""
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
    made = Pipe()
    yield made
    made.close()


def tell(counts):
    return b"left out: " + msgspec.json.encode(counts, order="sorted")


def write(sink, retention, kind, line):
    allowed = sink.may_write(retention, kind)
    if allowed:
        sink.put(retention, line)
    return allowed


async def test_lines_come_out_whole_and_in_order(pipe):
    sink = LineSink(pipe.write_end, tell, Clock())
    for number in range(40):
        write(sink, Retention.ROUTINE, "answered", b"line %d" % number + b"x" * 300)
    sink.flush()
    lines = pipe.read().split(b"\n")
    assert lines == [b"line %d" % n + b"x" * 300 for n in range(40)] + [b""]


@pytest.mark.parametrize("retention", list(Retention))
async def test_a_second_has_a_budget_of_lines_and_says_what_it_left_out(
    pipe, retention
):
    clock = Clock()
    sink = LineSink(pipe.write_end, tell, clock)
    written = sum(write(sink, retention, "storm", b"x") for _ in range(1000))
    assert written == LINES_PER_S[retention]
    clock.now += 1
    assert write(sink, retention, "storm", b"next")
    sink.flush()
    lines = pipe.read().split(b"\n")
    left_out = 1000 - written
    assert b'left out: {"storm":%d}' % left_out in lines
    assert sink.left_out["storm"] == left_out


async def test_a_storm_of_successes_takes_no_room_from_losses(pipe):
    sink = LineSink(pipe.write_end, tell, Clock())
    for _ in range(10_000):
        write(sink, Retention.ROUTINE, "answered", b"fine")
    assert write(sink, Retention.LOSS, "peer-silent", b"lost")


async def test_a_reader_that_stands_still_blocks_nobody(
    pipe, autojump_clock, monkeypatch
):
    clock = Clock()
    monkeypatch.setattr(sinks, "_FLUSH_WAIT_MS", 0)
    sink = LineSink(pipe.write_end, tell, clock)
    line = b"y" * 1000
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sink.run)
        # 30 s of a storm, which is more than the pipe and all the room take.
        for _ in range(30):
            clock.now += 1
            for _ in range(300):
                write(sink, Retention.LOSS, "lost", line)
            await trio.sleep(1)
        waiting = sum(sink._waiting_bytes.values())
        assert waiting <= WAITING_BYTES[Retention.LOSS] + len(line) + 100
        nursery.cancel_scope.cancel()
    before = pipe.read()
    assert before.startswith(line + b"\n" + line)
    after = pipe.drain(sink)
    assert b"left out" in after
    assert sink.left_out["lost"] + (before + after).count(line + b"\n") == 9000


async def test_an_output_that_is_gone_harms_nobody(pipe):
    sink = LineSink(pipe.write_end, tell, Clock())
    os.close(pipe.read_end)
    pipe.read_end = os.dup(pipe.write_end)
    for _ in range(10):
        write(sink, Retention.LOSS, "lost", b"x" * 500)
    sink.flush()
    assert not write(sink, Retention.LOSS, "lost", b"x")


class Fixture:
    """A decision log, and the lines that it wrote."""

    def __init__(self, pipe, text=False):
        format_ = LogFormat.TEXT if text else LogFormat.JSON
        self.log = EventLog(Logging(format=format_), "h1", pipe.write_end, Clock())
        self.decisions = DecisionLog(self.log)
        self.decisions.read_proof_age_s = lambda: 0.25
        self._pipe = pipe

    def lines(self):
        written = self._pipe.drain(self.log.sink)
        return [msgspec.json.decode(line) for line in written.splitlines()]


def booking(**changes):
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
        "target_s": 1.5,
    }
    return make_call(**(fields | changes))


async def test_a_lost_request_is_told_with_what_was_believed(pipe, autojump_clock):
    fixture = Fixture(pipe)
    call = booking()
    await trio.sleep(0.5)
    fixture.decisions.ended(
        call, Unanswered(FailureReason.PEER_SILENT, "the peer doesn't answer")
    )
    (line,) = fixture.lines()
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


async def test_a_refusal_at_the_entry_names_the_request(pipe, autojump_clock):
    fixture = Fixture(pipe)
    refused = Refused(RefusalReason.OVER_RATE, "over its rate of 20/s", 0.4)
    fixture.decisions.refused_at_entry("acme", "bookings", refused, "9c41", 12)
    (line,) = fixture.lines()
    assert (line["request_id"], line["reason"]) == ("9c41", "over-rate")
    assert (line["verdict"], line["retry_after_s"]) == ("not-run", 0.4)
    assert line["configuration"] == 12


@pytest.mark.parametrize(
    ("outcome", "retention"),
    [
        (Answered(200, [], whole_body(b"")), Retention.ROUTINE),
        (Answered(500, [], whole_body(b"")), Retention.NOTABLE),
        (Refused(RefusalReason.OVER_RATE), Retention.REFUSAL),
        (Refused(RefusalReason.QUEUE_FULL), Retention.LOSS),
        (Refused(RefusalReason.QUARANTINED), Retention.LOSS),
        (Refused(RefusalReason.KEY_WITHDRAWN), Retention.LOSS),
        (Unanswered(FailureReason.CROSSED_ANSWER), Retention.LOSS),
    ],
)
async def test_what_explains_a_loss_has_the_largest_budget(
    pipe, autojump_clock, outcome, retention
):
    fixture = Fixture(pipe)
    for _ in range(300):
        fixture.decisions.ended(booking(), outcome)
    lines = [line for line in fixture.lines() if line["event"] == "ended"]
    assert len(lines) == LINES_PER_S[retention]


async def test_a_late_answer_is_kept_before_a_timely_one(pipe, autojump_clock):
    fixture = Fixture(pipe)
    answered = Answered(200, [], whole_body(b""))
    call = booking()
    await trio.sleep(2)
    for _ in range(LINES_PER_S[Retention.ROUTINE] + 10):
        fixture.decisions.ended(booking(), answered)
    fixture.decisions.ended(call, answered)
    late = [line for line in fixture.lines() if line.get("elapsed_ms", 0) > 1500]
    assert len(late) == 1


async def test_the_librarys_lines_go_the_same_way(pipe):
    log = EventLog(Logging(), "h1", pipe.write_end)
    sink_id = logger.add(log.take_message, format="{message}")
    try:
        logger.bind(event="log_lost", topic="t").warning("{} can't be read", "t")
    finally:
        logger.remove(sink_id)
    log.sink.flush()
    (line,) = pipe.read().splitlines()
    fields = msgspec.json.decode(line)
    assert (fields["event"], fields["level"]) == ("log_lost", "WARNING")
    assert fields["message"] == "t can't be read"


async def test_text_lines_are_for_people(pipe, autojump_clock):
    fixture = Fixture(pipe, text=True)
    fixture.decisions.ended(booking(), Refused(RefusalReason.QUEUE_FULL, "full"))
    fixture.log.sink.flush()
    (line,) = pipe.read().splitlines()
    assert b"event=ended" in line
    assert b"reason=queue-full" in line


async def test_a_slow_answer_beside_the_upstream_is_kept(pipe, autojump_clock):
    fixture = Fixture(pipe)
    answered = Answered(200, [], whole_body(b""))
    load = Load(1, 0, 4, 0.0)
    for _ in range(LINES_PER_S[Retention.ROUTINE] + 10):
        now = trio.current_time()
        fixture.decisions.guarded(booking(), answered, now, "i", lambda: load)
    arrived_at = trio.current_time()
    await trio.sleep(0.2)
    slow = booking(request_id="slow", admitted_at=trio.current_time())
    fixture.decisions.guarded(slow, answered, arrived_at, "i", lambda: load)
    lines = [line for line in fixture.lines() if line.get("request_id") == "slow"]
    assert [line["waited_ms"] for line in lines] == [200.0]
