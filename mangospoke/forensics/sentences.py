"""Sentences that describe what happened to a request."""

from collections.abc import Iterable, Sequence
from datetime import datetime, timedelta

from mangospoke.forensics.causes import describe_cause
from mangospoke.forensics.ingress_records import IngressRecord
from mangospoke.forensics.log_reader import LogLine
from mangospoke.observability.events import (
    Attempt,
    LinesDropped,
    RequestEnded,
    RequestGuarded,
    ResponseUndelivered,
)

_CONTEXT_WINDOW = timedelta(seconds=5)
"""How long before the end of a request state changes of its hosts are reported."""

_STATE_CHANGE_EVENTS = frozenset(
    {
        "started",
        "stopping",
        "stopped",
        "reloaded",
        "configuration_in_force",
        "configuration_rejected",
        "keys_accepted",
        "keys_refused",
        "log_lost",
        "log_regained",
        "log_unavailable",
        "membership",
        "declared_dead",
        "ejected",
        "probed",
        "upstream_started",
        "upstream_leaves",
        "overload_started",
        "overload_ended",
        "suspected",
    }
)
"""Events that report a change of a host's state or view of the fleet."""


def describe_request(
    ingress: IngressRecord,
    guarded_by_host: dict[str, list[RequestGuarded]],
    lines: Sequence[LogLine],
) -> list[str]:
    """Describes a request from its arrival to its end.

    Args:
        ingress: The end of the request on its ingress host.
        guarded_by_host: Events of the guards on the upstreams' hosts, by host.
        lines: Log lines of all hosts, sorted by time.
    """
    event = ingress.event
    sentences = [_describe_arrival(ingress), _describe_configuration(event)]
    for attempt in event.attempts:
        sentences.append(_describe_attempt(attempt))
        guard_events = [
            each
            for each in guarded_by_host.get(attempt.host, [])
            if each.request_id == event.request_id
        ]
        sentences += [_describe_guarded(attempt.host, each) for each in guard_events]
        if not guard_events and attempt.outcome != "answered":
            sentences.append(
                _explain_missing_line(attempt.host, ingress.ended_at, lines)
            )
    sentences.append(_describe_end(event))
    return sentences


def _describe_arrival(ingress: IngressRecord) -> str:
    event = ingress.event
    began_at = ingress.ended_at - timedelta(milliseconds=event.elapsed_ms)
    caller = f"of account {event.account}" if event.account else "without an account"
    if event.sub_call:
        parent = f" for request {event.parent}" if event.parent else ""
        caller = f"made by the upstream of {event.caller} on that host{parent}"
    service = f"for {event.service}" if event.service else "for an unknown service"
    route = f", route {event.route}" if event.route else ""
    return (
        f"{_format_time(began_at)} {ingress.host}: request {event.request_id} {caller} "
        f"arrived here {service}{route}."
    )


def _describe_configuration(event: RequestEnded) -> str:
    if event.configuration == 0:
        return "The host had no configuration."
    basis = f"It was handled under configuration {event.configuration}"
    if event.proof_age_ms is None:
        return f"{basis}."
    if event.proof_age_ms < 0:
        return f"{basis}, which was never confirmed as the newest."
    age_s = event.proof_age_ms / 1000
    return f"{basis}, confirmed as the newest {age_s:.2f} s earlier."


def _describe_attempt(attempt: Attempt) -> str:
    return (
        f"After {attempt.after_ms:.1f} ms it was sent to {attempt.host} "
        f"({attempt.placed}), with the outcome {attempt.outcome} after "
        f"{attempt.took_ms:.1f} ms."
    )


def _describe_guarded(host: str, event: RequestGuarded) -> str:
    instance = f" (instance {event.instance})" if event.instance else ""
    waited = f"{host}: it was queued for {event.waited_ms:.1f} ms"
    load = f"{event.running} of {event.limit} slots in use, {event.queued} queued"
    if event.outcome == "answered":
        return (
            f"{waited}, spent {event.ran_ms:.1f} ms in the upstream{instance} and got "
            f"status {event.status}; at its end {load}."
        )
    ran = f", spent {event.ran_ms:.1f} ms in the upstream{instance}"
    if event.verdict == "not-run" or event.ran_ms == 0:
        ran = ""
    cause = describe_cause(event.outcome, event.reason)
    return f"{waited}{ran} and was {event.outcome}: {cause}; at its end {load}."


def _explain_missing_line(host: str, at: datetime, lines: Sequence[LogLine]) -> str:
    """Returns a likely reason why a host has no line about a request sent to it."""
    host_lines = [line for line in lines if line.host == host]
    if not host_lines:
        return f"{host}: the given log files contain no line of this host."
    for line in host_lines:
        if line.event == "started" and abs(line.time - at) < _CONTEXT_WINDOW:
            return f"{host}: its daemon restarted at {_format_time(line.time)}."
    for line in host_lines:
        is_near = abs(line.time - at) < _CONTEXT_WINDOW
        if isinstance(line.typed_event, LinesDropped) and is_near:
            return f"{host}: log lines were dropped around that time."
    return f"{host}: no line about it; it may never have arrived."


def _describe_end(event: RequestEnded) -> str:
    if event.outcome == "answered":
        late = ""
        if event.target_ms and event.elapsed_ms > event.target_ms:
            late = f", later than the target of {event.target_ms:.0f} ms"
        return (
            f"It was answered with status {event.status} after "
            f"{event.elapsed_ms:.1f} ms{late}."
        )
    ran = "did not run" if event.verdict == "not-run" else "may have run"
    if event.verdict == "ran":
        ran = "ran"
    retry_advice = ""
    if event.retry_after_s is not None:
        retry_advice = (
            f" Its caller was told to retry after {event.retry_after_s:.2f} s."
        )
    cause = describe_cause(event.outcome, event.reason)
    detail = f" ({event.detail})" if event.detail else ""
    return (
        f"It was {event.outcome} after {event.elapsed_ms:.1f} ms and {ran}: "
        f"{cause}{detail}{describe_stop(event)}.{retry_advice}"
    )


def describe_stop(event: RequestEnded | ResponseUndelivered) -> str:
    """Describes the planned stop during which an event happened; empty without one."""
    if not event.stop:
        return ""
    if event.stop_elapsed_ms is None:
        return f", while the host's daemon was {event.stop}"
    elapsed_s = event.stop_elapsed_ms / 1000
    return f", {elapsed_s:.2f} s after a planned stop began there ({event.stop})"


def describe_undelivered(line: LogLine, event: ResponseUndelivered) -> str:
    """Describes that a response was ready and that its caller didn't get it."""
    sent = "a part of it" if event.sent == "part" else "nothing"
    return (
        f"{_format_time(line.time)} {line.host}: its response with status "
        f"{event.status} was ready, but {event.detail}{describe_stop(event)}; {sent} "
        "was sent."
    )


def describe_without_ingress(
    guarded_by_host: dict[str, list[RequestGuarded]], lines: Sequence[LogLine]
) -> list[str]:
    """Describes a request without a line of its ingress host."""
    sentences = ["No line shows where it was received."]
    for host, events in guarded_by_host.items():
        sentences += [_describe_guarded(host, event) for event in events]
    starts = [line for line in lines if line.event == "started"]
    sentences += [
        f"{line.host}: a daemon started at {_format_time(line.time)}."
        for line in starts
    ]
    return sentences


def describe_state_changes(
    ingress: IngressRecord, lines: Iterable[LogLine], offsets_s: dict[str, float]
) -> list[str]:
    """Describes state changes on a request's hosts shortly before its end.

    Args:
        ingress: The end of the request on its ingress host.
        lines: Log lines of all hosts.
        offsets_s: Clock offsets in seconds by host; missing hosts have 0.
    """
    hosts = {ingress.host, *(attempt.host for attempt in ingress.event.attempts)}
    sentences = []
    for line in lines:
        if line.host not in hosts or line.event not in _STATE_CHANGE_EVENTS:
            continue
        difference_s = offsets_s.get(line.host, 0.0) - offsets_s.get(ingress.host, 0.0)
        at = line.time - timedelta(seconds=difference_s)
        if not timedelta(0) <= ingress.ended_at - at <= _CONTEXT_WINDOW:
            continue
        before_s = (ingress.ended_at - at).total_seconds()
        text = line.message or line.event
        sentences.append(f"{before_s:.1f} s before its end, {line.host}: {text}.")
    return sentences


def _format_time(at: datetime) -> str:
    return at.strftime("%H:%M:%S.%f")[:-3]
