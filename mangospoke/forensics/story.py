"""The story of one request, told from the lines of all hosts that it passed."""

from collections.abc import Iterable, Sequence, Set
from dataclasses import dataclass

from mangospoke.forensics.causes import cause_of
from mangospoke.forensics.clocks import estimate_offsets_s
from mangospoke.forensics.entries import Entry
from mangospoke.forensics.reading import Line
from mangospoke.forensics.sentences import tell_beliefs, tell_entry, tell_orphan
from mangospoke.observability.events import RequestEnded, RequestGuarded

_FIRST_FAILURE_STATUS = 500


@dataclass(frozen=True, slots=True)
class Story:
    """What the logs say of a request.

    Attributes:
        sentences: The story; empty if no line names the request.
        cause: Why it ended as it did, in a sentence; empty if the logs don't say.
    """

    sentences: tuple[str, ...]
    cause: str


def tell(request_id: str, lines: Sequence[Line]) -> Story:
    """Tells the story of a request.

    Args:
        request_id: The request's id.
        lines: Lines of all hosts, in the order of time.
    """
    entries = _entries_of(request_id, lines)
    ids = {request_id, *(entry.event.request_id for entry in entries)}
    guarded = _guarded_by_host(ids, lines)
    if not entries and not guarded:
        return Story((), "")
    offsets_s = estimate_offsets_s(lines)
    sentences: list[str] = []
    for entry in entries:
        sentences += tell_entry(entry, guarded, lines)
        sentences += tell_beliefs(entry, lines, offsets_s)
    if not entries:
        sentences += tell_orphan(guarded, lines)
    return Story(tuple(sentences), _cause(entries, guarded, lines))


def _entries_of(request_id: str, lines: Iterable[Line]) -> list[Entry]:
    """The request, then those of its sub-calls that failed, at any depth."""
    own: list[Entry] = []
    failed_by_parent: dict[str, list[Entry]] = {}
    for line in lines:
        event = line.known
        if not isinstance(event, RequestEnded):
            continue
        entry = Entry(line.host, line.time, event)
        if event.request_id == request_id:
            own.append(entry)
        elif event.parent and _has_failed(event):
            failed_by_parent.setdefault(event.parent, []).append(entry)
    found = own + failed_by_parent.get(request_id, [])
    for entry in found:
        if entry.event.request_id != request_id:
            # Calls of calls are appended to the list that is gone through.
            found += failed_by_parent.get(entry.event.request_id, [])
    return found


def _has_failed(event: RequestEnded) -> bool:
    return event.outcome != "answered" or event.status >= _FIRST_FAILURE_STATUS


def _guarded_by_host(
    request_ids: Set[str], lines: Iterable[Line]
) -> dict[str, list[RequestGuarded]]:
    by_host: dict[str, list[RequestGuarded]] = {}
    for line in lines:
        event = line.known
        if isinstance(event, RequestGuarded) and event.request_id in request_ids:
            by_host.setdefault(line.host, []).append(event)
    return by_host


def _cause(
    entries: Sequence[Entry],
    guarded: dict[str, list[RequestGuarded]],
    lines: Sequence[Line],
) -> str:
    if entries:
        return _cause_of_end(entries[0].event, entries[1:], guarded)
    for events in guarded.values():
        for seen in events:
            if seen.outcome != "answered":
                return f"{seen.reason}: {cause_of(seen.outcome, seen.reason)}"
    restarted = any(line.event == "started" for line in lines)
    if restarted:
        return "the daemon where it entered is likely to have ended before it"
    return ""


def _cause_of_end(
    event: RequestEnded,
    others: Sequence[Entry],
    guarded: dict[str, list[RequestGuarded]],
) -> str:
    if event.outcome == "answered":
        cause = _cause_of_answer(event, guarded)
    else:
        reason = cause_of(event.outcome, event.reason)
        cause = f"{event.reason}: {reason}{_answer_lost(event, guarded)}"
    if not others:
        return cause
    # The last of the calls that failed is the deepest.
    return f"{cause}; {_failure_below(others[-1].event)}"


def _failure_below(event: RequestEnded) -> str:
    if event.outcome == "answered":
        return f"its call to {event.service} got status {event.status}"
    cause = cause_of(event.outcome, event.reason)
    return f"its call to {event.service} was {event.outcome}, {event.reason}: {cause}"


def _answer_lost(event: RequestEnded, guarded: dict[str, list[RequestGuarded]]) -> str:
    """Adds that an answer was lost on its way back, where a guard had one."""
    if event.outcome != "unanswered":
        return ""
    for host, seen in guarded.items():
        own = [each for each in seen if each.request_id == event.request_id]
        if any(each.outcome == "answered" for each in own):
            return f"; its upstream had answered on {host}, and that was lost"
    return ""


def _cause_of_answer(
    event: RequestEnded, guarded: dict[str, list[RequestGuarded]]
) -> str:
    if _has_failed(event):
        return f"the upstream itself answered with status {event.status}"
    if not event.target_ms or event.elapsed_ms <= event.target_ms:
        return f"answered in time with status {event.status}"
    waited_ms = sum(each.waited_ms for events in guarded.values() for each in events)
    ran_ms = sum(each.ran_ms for events in guarded.values() for each in events)
    if len(event.attempts) > 1:
        return f"late: it was sent {len(event.attempts)} times"
    if waited_ms > ran_ms:
        return f"late: it waited {waited_ms:.0f} ms for its turn"
    if ran_ms > 0:
        return f"late: it spent {ran_ms:.0f} ms in the upstream"
    return "late: the host that it was sent to has no line about it"
