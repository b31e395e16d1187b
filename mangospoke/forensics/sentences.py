"""The sentences of a request's story."""

from collections.abc import Iterable, Sequence
from datetime import datetime, timedelta

from mangospoke.forensics.causes import cause_of
from mangospoke.forensics.entries import Entry
from mangospoke.forensics.reading import Line
from mangospoke.observability.events import (
    Attempt,
    LinesLeftOut,
    RequestEnded,
    RequestGuarded,
)

_CONTEXT = timedelta(seconds=5)
"""Changes of what hosts believed are told from so long before a request's end."""

_BELIEFS = frozenset(
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
"""Events that change what a host believes."""


def tell_entry(
    entry: Entry, guarded: dict[str, list[RequestGuarded]], lines: Sequence[Line]
) -> list[str]:
    """Tells what became of a request from its entry to its end.

    Args:
        entry: Its entry.
        guarded: What the daemons beside upstreams saw, by host.
        lines: All lines, in the order of time.
    """
    event = entry.event
    sentences = [_tell_arrival(entry), _tell_configuration(event)]
    for attempt in event.attempts:
        sentences.append(_tell_attempt(attempt))
        seen = [
            each
            for each in guarded.get(attempt.host, [])
            if each.request_id == event.request_id
        ]
        sentences += [_tell_guarded(attempt.host, each) for each in seen]
        if not seen and attempt.outcome != "answered":
            sentences.append(_tell_silence(attempt.host, entry.ended_at, lines))
    sentences.append(_tell_end(event))
    return sentences


def _tell_arrival(entry: Entry) -> str:
    event = entry.event
    began_at = entry.ended_at - timedelta(milliseconds=event.elapsed_ms)
    who = f"of account {event.account}" if event.account else "without an account"
    if event.sub_call:
        parent = f" for request {event.parent}" if event.parent else ""
        who = f"made by the upstream of {event.caller} on that host{parent}"
    what = f"for {event.service}" if event.service else "for a service not found"
    route = f", route {event.route}" if event.route else ""
    return (
        f"{_clock(began_at)} {entry.host}: request {event.request_id} {who} entered "
        f"here {what}{route}."
    )


def _tell_configuration(event: RequestEnded) -> str:
    if event.configuration == 0:
        return "The host had no configuration."
    believed = f"It was judged by configuration {event.configuration}"
    if event.proof_age_ms is None:
        return f"{believed}."
    if event.proof_age_ms < 0:
        return f"{believed}, which was never known to be the newest."
    age_s = event.proof_age_ms / 1000
    return f"{believed}, known to be the newest {age_s:.2f} s before."


def _tell_attempt(attempt: Attempt) -> str:
    return (
        f"After {attempt.after_ms:.1f} ms it was sent to {attempt.host} "
        f"({attempt.placed}), where it came to {attempt.outcome} within "
        f"{attempt.took_ms:.1f} ms."
    )


def _tell_guarded(host: str, event: RequestGuarded) -> str:
    instance = f" (instance {event.instance})" if event.instance else ""
    waited = f"{host}: it waited {event.waited_ms:.1f} ms for its turn"
    load = f"{event.running} of {event.limit} places taken, {event.queued} waiting"
    if event.outcome == "answered":
        return (
            f"{waited}, spent {event.ran_ms:.1f} ms in the upstream{instance} and got "
            f"status {event.status}; then {load}."
        )
    ran = f", spent {event.ran_ms:.1f} ms in the upstream{instance}"
    if event.verdict == "not-run" or event.ran_ms == 0:
        ran = ""
    cause = cause_of(event.outcome, event.reason)
    return f"{waited}{ran} and was {event.outcome}: {cause}; then {load}."


def _tell_silence(host: str, at: datetime, lines: Sequence[Line]) -> str:
    """Says why a host that was asked may have no line about the request."""
    own = [line for line in lines if line.host == host]
    if not own:
        return f"{host}: none of the files has a line of this host."
    for line in own:
        if line.event == "started" and abs(line.time - at) < _CONTEXT:
            return f"{host}: its daemon started anew at {_clock(line.time)}."
    for line in own:
        is_near = abs(line.time - at) < _CONTEXT
        if isinstance(line.known, LinesLeftOut) and is_near:
            return f"{host}: lines were left out there around that time."
    return f"{host}: no line about it; it may never have come there."


def _tell_end(event: RequestEnded) -> str:
    if event.outcome == "answered":
        late = ""
        if event.target_ms and event.elapsed_ms > event.target_ms:
            late = f", later than the {event.target_ms:.0f} ms aimed at"
        return (
            f"It was answered with status {event.status} after "
            f"{event.elapsed_ms:.1f} ms{late}."
        )
    ran = "did not run" if event.verdict == "not-run" else "may have run"
    if event.verdict == "ran":
        ran = "ran"
    again = ""
    if event.retry_after_s is not None:
        again = f" Its caller was told to come back after {event.retry_after_s:.2f} s."
    cause = cause_of(event.outcome, event.reason)
    detail = f" ({event.detail})" if event.detail else ""
    return (
        f"It was {event.outcome} after {event.elapsed_ms:.1f} ms and {ran}: "
        f"{cause}{detail}.{again}"
    )


def tell_orphan(
    guarded: dict[str, list[RequestGuarded]], lines: Sequence[Line]
) -> list[str]:
    """Tells of a request whose entry no line tells."""
    sentences = ["No line tells where it entered."]
    for host, events in guarded.items():
        sentences += [_tell_guarded(host, event) for event in events]
    starts = [line for line in lines if line.event == "started"]
    sentences += [
        f"{line.host}: a daemon started at {_clock(line.time)}." for line in starts
    ]
    return sentences


def tell_beliefs(
    entry: Entry, lines: Iterable[Line], offsets_s: dict[str, float]
) -> list[str]:
    """What changed on the hosts concerned shortly before a request's end."""
    hosts = {entry.host, *(attempt.host for attempt in entry.event.attempts)}
    sentences = []
    for line in lines:
        if line.host not in hosts or line.event not in _BELIEFS:
            continue
        difference_s = offsets_s.get(line.host, 0.0) - offsets_s.get(entry.host, 0.0)
        at = line.time - timedelta(seconds=difference_s)
        if not timedelta(0) <= entry.ended_at - at <= _CONTEXT:
            continue
        before_s = (entry.ended_at - at).total_seconds()
        text = line.message or line.event
        sentences.append(f"{before_s:.1f} s before that, {line.host}: {text}.")
    return sentences


def _clock(at: datetime) -> str:
    return at.strftime("%H:%M:%S.%f")[:-3]
