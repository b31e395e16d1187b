"""Explains one request from the log lines of all hosts involved."""

from collections.abc import Iterable, Sequence, Set
from dataclasses import dataclass

from mangospoke.forensics.causes import describe_cause
from mangospoke.forensics.clocks import estimate_offsets_s
from mangospoke.forensics.ingress_records import IngressRecord
from mangospoke.forensics.log_reader import LogLine
from mangospoke.forensics.sentences import (
    describe_request,
    describe_state_changes,
    describe_stop,
    describe_undelivered,
    describe_without_ingress,
)
from mangospoke.observability.events import (
    RequestEnded,
    RequestGuarded,
    ResponseUndelivered,
)

_MIN_SERVER_ERROR_STATUS = 500


@dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs reveal about a request.

    Attributes:
        sentences: What happened, in order; empty if no line names the request.
        cause: Why it ended as it did; empty if the logs don't show it.
    """

    sentences: tuple[str, ...]
    cause: str


def explain_request(request_id: str, lines: Sequence[LogLine]) -> Explanation:
    """Explains what happened to a request and why.

    Args:
        request_id: The request's id.
        lines: Log lines of all hosts, sorted by time.
    """
    ingress_records = _find_ingress_records(request_id, lines)
    ids = {request_id, *(ingress.event.request_id for ingress in ingress_records)}
    guarded_by_host = _group_guarded_by_host(ids, lines)
    undelivered = _find_undelivered(request_id, lines)
    if not ingress_records and not guarded_by_host and not undelivered:
        return Explanation((), "")
    offsets_s = estimate_offsets_s(lines)
    sentences: list[str] = []
    for ingress in ingress_records:
        sentences += describe_request(ingress, guarded_by_host, lines)
        sentences += describe_state_changes(ingress, lines, offsets_s)
    if guarded_by_host and not ingress_records:
        sentences += describe_without_ingress(guarded_by_host, lines)
    sentences += [describe_undelivered(line, event) for line, event in undelivered]
    cause = _find_cause(ingress_records, guarded_by_host, lines)
    if undelivered:
        _, event = undelivered[-1]
        lost = f"its response was not delivered: {event.detail}{describe_stop(event)}"
        cause = f"{cause}; {lost}" if cause else lost
    return Explanation(tuple(sentences), cause)


def _find_undelivered(
    request_id: str, lines: Iterable[LogLine]
) -> list[tuple[LogLine, ResponseUndelivered]]:
    """Returns the lines about responses to a request that were not delivered."""
    return [
        (line, line.typed_event)
        for line in lines
        if isinstance(line.typed_event, ResponseUndelivered)
        and line.typed_event.request_id == request_id
    ]


def _find_ingress_records(
    request_id: str, lines: Iterable[LogLine]
) -> list[IngressRecord]:
    """Returns the request and its failed sub-calls, parents before their children."""
    matching: list[IngressRecord] = []
    failed_by_parent: dict[str, list[IngressRecord]] = {}
    for line in lines:
        event = line.typed_event
        if not isinstance(event, RequestEnded):
            continue
        ingress = IngressRecord(line.host, line.time, event)
        if event.request_id == request_id:
            matching.append(ingress)
        elif event.parent and _has_failed(event):
            failed_by_parent.setdefault(event.parent, []).append(ingress)
    ingress_records = matching + failed_by_parent.get(request_id, [])
    for ingress in ingress_records:
        if ingress.event.request_id != request_id:
            # Extends the list during iteration, so that nested sub-calls follow.
            ingress_records += failed_by_parent.get(ingress.event.request_id, [])
    return ingress_records


def _has_failed(event: RequestEnded) -> bool:
    return event.outcome != "answered" or event.status >= _MIN_SERVER_ERROR_STATUS


def _group_guarded_by_host(
    request_ids: Set[str], lines: Iterable[LogLine]
) -> dict[str, list[RequestGuarded]]:
    by_host: dict[str, list[RequestGuarded]] = {}
    for line in lines:
        event = line.typed_event
        if isinstance(event, RequestGuarded) and event.request_id in request_ids:
            by_host.setdefault(line.host, []).append(event)
    return by_host


def _find_cause(
    ingress_records: Sequence[IngressRecord],
    guarded_by_host: dict[str, list[RequestGuarded]],
    lines: Sequence[LogLine],
) -> str:
    if ingress_records:
        return _cause_of_end(
            ingress_records[0].event, ingress_records[1:], guarded_by_host
        )
    for events in guarded_by_host.values():
        for event in events:
            if event.outcome != "answered":
                return f"{event.reason}: {describe_cause(event.outcome, event.reason)}"
    restarted = any(line.event == "started" for line in lines)
    if restarted:
        return "the daemon that received it probably restarted before it ended"
    return ""


def _cause_of_end(
    event: RequestEnded,
    sub_calls: Sequence[IngressRecord],
    guarded_by_host: dict[str, list[RequestGuarded]],
) -> str:
    if event.outcome == "answered":
        cause = _cause_of_answer(event, guarded_by_host)
    else:
        reason = describe_cause(event.outcome, event.reason)
        cause = (
            f"{event.reason}: {reason}{describe_stop(event)}"
            f"{_describe_lost_response(event, guarded_by_host)}"
        )
    if not sub_calls:
        return cause
    # The last failed sub-call is the most deeply nested one.
    return f"{cause}; {_describe_failed_sub_call(sub_calls[-1].event)}"


def _describe_failed_sub_call(event: RequestEnded) -> str:
    if event.outcome == "answered":
        return f"its call to {event.service} got status {event.status}"
    cause = describe_cause(event.outcome, event.reason)
    return f"its call to {event.service} was {event.outcome}, {event.reason}: {cause}"


def _describe_lost_response(
    event: RequestEnded, guarded_by_host: dict[str, list[RequestGuarded]]
) -> str:
    """Returns a note if a guard logged a response that the ingress host never got."""
    if event.outcome != "unanswered":
        return ""
    for host, events in guarded_by_host.items():
        matching = [each for each in events if each.request_id == event.request_id]
        if any(each.outcome == "answered" for each in matching):
            return f"; its upstream answered on {host}, but the response was lost"
    return ""


def _cause_of_answer(
    event: RequestEnded, guarded_by_host: dict[str, list[RequestGuarded]]
) -> str:
    if _has_failed(event):
        return f"the upstream itself answered with status {event.status}"
    if not event.target_ms or event.elapsed_ms <= event.target_ms:
        return f"answered in time with status {event.status}"
    waited_ms = sum(
        each.waited_ms for events in guarded_by_host.values() for each in events
    )
    ran_ms = sum(each.ran_ms for events in guarded_by_host.values() for each in events)
    if len(event.attempts) > 1:
        return f"late: it was sent {len(event.attempts)} times"
    if waited_ms > ran_ms:
        return f"late: it was queued for {waited_ms:.0f} ms"
    if ran_ms > 0:
        return f"late: it spent {ran_ms:.0f} ms in the upstream"
    return "late: the host that it was sent to has no line about it"
