"""Tests explanations and summaries of requests, made from lines as daemons log them."""

from datetime import UTC, datetime, timedelta

import msgspec
import pytest

from mangospoke.forensics.causes import (
    CAUSES_BY_FAILURE_REASON,
    CAUSES_BY_REFUSAL_REASON,
    describe_cause,
)
from mangospoke.forensics.explanation import explain_request
from mangospoke.forensics.log_reader import parse_line, read_logs
from mangospoke.forensics.summary import summarize_losses
from mangospoke.management.commands import explain, losses
from mangospoke.management.exits import ExitCode
from mangospoke.observability.events import (
    Attempt,
    LinesDropped,
    RequestEnded,
    RequestGuarded,
    ResponseUndelivered,
)
from mangospoke.verdicts import RULES_BY_FAILURE, RULES_BY_REFUSAL

NOON = datetime(2026, 12, 4, 12, tzinfo=UTC)


def encode_line(event, host="a1", at_s=0.0):
    """Returns an event's line, as a daemon logs it."""
    fields = {
        "time": (NOON + timedelta(seconds=at_s)).isoformat(timespec="milliseconds"),
        "host_id": host,
        **msgspec.to_builtins(event),
    }
    return msgspec.json.encode(fields)


def parsed_line(event, host="a1", at_s=0.0):
    return parse_line(encode_line(event, host, at_s))


def state_change_line(event, message, host="a1", at_s=0.0):
    at = (NOON + timedelta(seconds=at_s)).isoformat(timespec="milliseconds")
    fields = {"time": at, "host_id": host, "event": event, "message": message}
    return parse_line(msgspec.json.encode(fields))


def request_ended(**changes):
    fields = {
        "request_id": "9c41",
        "service": "bookings",
        "route": "book",
        "account": "acme",
        "outcome": "unanswered",
        "verdict": "may-have-run",
        "reason": "peer-silent",
        "detail": "the peer doesn't answer",
        "elapsed_ms": 500.0,
        "allowed_ms": 500.0,
        "target_ms": 150.0,
        "configuration": 12,
        "proof_age_ms": 250.0,
        "attempts": (
            Attempt(
                host="b1",
                placed="own-domain",
                outcome="peer-silent",
                after_ms=0.4,
                took_ms=499.6,
            ),
        ),
    }
    return RequestEnded(**{**fields, **changes})


def request_guarded(**changes):
    fields = {
        "request_id": "9c41",
        "service": "bookings",
        "outcome": "answered",
        "verdict": "ran",
        "status": 200,
        "instance": "i-7",
        "waited_ms": 12.0,
        "ran_ms": 130.0,
        "running": 62,
        "limit": 62,
        "queued": 3,
    }
    return RequestGuarded(**{**fields, **changes})


@pytest.mark.parametrize("reason", list(RULES_BY_REFUSAL))
def test_each_refusal_has_a_cause(reason):
    assert describe_cause("refused", reason.value) == CAUSES_BY_REFUSAL_REASON[reason]


@pytest.mark.parametrize("reason", list(RULES_BY_FAILURE))
def test_each_failure_has_a_cause(reason):
    assert (
        describe_cause("unanswered", reason.value) == CAUSES_BY_FAILURE_REASON[reason]
    )


def test_prefixes_of_log_lines_are_ignored():
    content = encode_line(request_ended())
    read = parse_line(b"  12.345 sidecar-a-1| " + content + b"\r\n")
    assert read.typed_event == request_ended()
    assert read.host == "a1"
    assert parse_line(b"no line of ours") is None
    assert parse_line(b'{"other": 1}') is None


def test_a_lost_request_is_explained_from_two_hosts(snapshot):
    lines = [
        state_change_line("log_lost", "the hosts can't be read", "b1", -2.0),
        parsed_line(request_guarded(), "b1", 0.1),
        parsed_line(request_ended(), "a1", 0.5),
    ]
    explanation = explain_request("9c41", lines)
    assert explanation.cause.startswith("peer-silent: ")
    assert "\n".join(explanation.sentences) == snapshot


def test_a_request_that_the_daemon_cancelled_is_not_explained_by_its_caller():
    ended = request_ended(
        reason="stopped",
        detail="this daemon ended",
        cancelled_by="stopped",
        stop="draining",
        stop_elapsed_ms=4800.0,
    )
    explanation = explain_request("9c41", [parsed_line(ended)])
    assert explanation.cause == (
        "stopped: the host's daemon ended while it may have been running, 4.80 s "
        "after a planned stop began there (draining)"
    )
    assert explanation.cause.partition(": ")[2] in explanation.sentences[-1].replace(
        " (this daemon ended)", ""
    )


def test_a_response_that_was_ready_and_not_delivered_is_explained():
    ended = request_ended(
        outcome="answered", verdict="ran", reason="", detail="", status=200
    )
    undelivered = ResponseUndelivered(
        request_id="9c41",
        status=200,
        cause="connection-closed",
        detail="this daemon closed the connection",
        sent="nothing",
        stop="draining",
        stop_elapsed_ms=2200.0,
    )
    lines = [parsed_line(ended), parsed_line(undelivered, at_s=0.1)]
    explanation = explain_request("9c41", lines)
    lost = "this daemon closed the connection, 2.20 s after a planned stop began there"
    assert explanation.cause.endswith(f"not delivered: {lost} (draining)")
    assert lost in explanation.sentences[-1]
    assert explanation.sentences[-1].endswith("nothing was sent.")


def test_a_refusal_within_the_rate_is_explained(snapshot):
    refused = request_ended(
        outcome="refused",
        verdict="not-run",
        reason="queue-full",
        detail="no place became free in time",
        retry_after_s=0.6,
        attempts=(
            Attempt(
                host="b1",
                placed="least-loaded",
                outcome="queue-full",
                after_ms=0.2,
                took_ms=480.0,
            ),
        ),
    )
    guard_event = request_guarded(
        outcome="refused",
        verdict="not-run",
        status=0,
        reason="queue-full",
        waited_ms=480.0,
        ran_ms=0.0,
    )
    explanation = explain_request(
        "9c41", [parsed_line(guard_event, "b1", 0.4), parsed_line(refused, "a1", 0.5)]
    )
    assert (
        explanation.cause == "queue-full: no slot at the upstream became free in time"
    )
    assert "\n".join(explanation.sentences) == snapshot


@pytest.mark.parametrize(
    ("waited_ms", "ran_ms", "cause"),
    [
        (300.0, 100.0, "late: it was queued for 300 ms"),
        (10.0, 390.0, "late: it spent 390 ms in the upstream"),
    ],
)
def test_a_late_response_is_attributed_to_the_slowest_part(waited_ms, ran_ms, cause):
    attempt = Attempt(
        host="b1", placed="own-domain", outcome="answered", after_ms=0.2, took_ms=400.0
    )
    late = request_ended(
        outcome="answered",
        verdict="ran",
        reason="",
        detail="",
        status=200,
        elapsed_ms=401.0,
        attempts=(attempt,),
    )
    guard_event = request_guarded(waited_ms=waited_ms, ran_ms=ran_ms)
    explanation = explain_request(
        "9c41", [parsed_line(guard_event, "b1", 0.4), parsed_line(late, "a1", 0.4)]
    )
    assert explanation.cause == cause


def test_a_failed_response_is_attributed_to_the_failed_sub_call():
    failed = request_ended(outcome="answered", verdict="ran", reason="", status=502)
    call = request_ended(
        request_id="9c41.1",
        parent="9c41",
        service="batches",
        outcome="answered",
        verdict="ran",
        reason="",
        status=502,
    )
    deepest = request_ended(
        request_id="9c41.1.7",
        parent="9c41.1",
        service="lots",
        outcome="refused",
        verdict="not-run",
        reason="queue-full",
    )
    lines = [
        parsed_line(deepest, "c1", 0.1),
        parsed_line(call, "b1", 0.2),
        parsed_line(failed, "a1", 0.5),
    ]
    assert explain_request("9c41", lines).cause == (
        "the upstream itself answered with status 502; its call to lots was refused, "
        "queue-full: no slot at the upstream became free in time"
    )


def test_a_restart_explains_a_host_without_a_line():
    lines = [
        parsed_line(request_ended(), "a1", 0.5),
        state_change_line("started", "serving", "b1", 1.0),
    ]
    explanation = explain_request("9c41", lines)
    assert "b1: its daemon restarted at 12:00:01.000." in explanation.sentences


def test_a_request_without_ingress_line_is_explained_from_the_guard():
    lines = [
        parsed_line(request_guarded(), "b1", 0.1),
        state_change_line("started", "serving", "a1", 2.0),
    ]
    explanation = explain_request("9c41", lines)
    assert explanation.cause.startswith("the daemon that received it")


def test_clock_offsets_do_not_reorder_state_changes():
    """The clock of b1 is 60 s ahead, which the answered requests reveal."""
    attempt = Attempt(
        host="b1", placed="own-domain", outcome="answered", after_ms=0, took_ms=100
    )
    lines = [state_change_line("ejected", "c1 ejected", "b1", 59.0)]
    for number in range(5):
        answered = request_ended(
            request_id=f"r{number}",
            outcome="answered",
            verdict="ran",
            reason="",
            attempts=(attempt,),
        )
        lines.append(parsed_line(answered, "a1", -number))
        lines.append(
            parsed_line(request_guarded(request_id=f"r{number}"), "b1", 60 - number)
        )
    lines.append(parsed_line(request_ended(), "a1", 0.0))
    explanation = explain_request("9c41", sorted(lines, key=lambda each: each.time))
    assert "1.0 s before its end, b1: c1 ejected." in explanation.sentences


def test_an_unknown_request_has_no_sentences():
    assert explain_request("other", [parsed_line(request_ended())]).sentences == ()


def test_losses_are_counted_by_reason(tmp_path, capsys):
    path = tmp_path / "logs"
    content = [
        encode_line(request_ended(request_id="r1"), at_s=-100),
        encode_line(request_ended(request_id="r2")),
        encode_line(request_ended(request_id="r3", service="other")),
        encode_line(request_ended(outcome="answered", verdict="ran", reason="")),
        encode_line(LinesDropped(counts={"ended/answered": 7})),
    ]
    path.write_bytes(b"\n".join(content))
    summary = summarize_losses(read_logs([path]), NOON, "bookings")
    assert list(summary.counts.values()) == [1]
    assert (summary.answered, summary.late) == (1, 1)
    assert summary.dropped_lines == {"ended/answered": 7}
    assert losses.run(path) is ExitCode.OK
    assert "peer-silent" in capsys.readouterr().out


def test_the_command_reports_when_no_line_names_the_request(tmp_path, capsys):
    path = tmp_path / "logs"
    path.write_bytes(encode_line(request_ended()))
    assert explain.run("9c41", path) is ExitCode.OK
    assert "Cause: peer-silent" in capsys.readouterr().out
    assert explain.run("none", path) is ExitCode.FAULTS_FOUND
    assert "No line" in capsys.readouterr().out
