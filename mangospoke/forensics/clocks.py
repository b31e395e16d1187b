"""How far hosts' clocks are apart, from the lines that they wrote."""

from collections.abc import Iterable
from statistics import median

from mangospoke.forensics.entries import Entry
from mangospoke.forensics.reading import Line
from mangospoke.ids import RequestId
from mangospoke.observability.events import RequestEnded, RequestGuarded

_CLOCK_NOISE_S = 0.05
"""A difference of clocks below this isn't worth a sentence."""


def estimate_offsets_s(lines: Iterable[Line]) -> dict[str, float]:
    """How far hosts' clocks are ahead of those of the hosts that sent to them.

    A sending ends at the sender when the guard's line is written, but for the way
    back; over many of them the median tells the difference.
    """
    ended_by_id: dict[RequestId, Entry] = {}
    guarded: list[tuple[Line, RequestId]] = []
    for line in lines:
        if isinstance(line.known, RequestEnded):
            request_id = RequestId(line.known.request_id)
            ended_by_id[request_id] = Entry(line.host, line.time, line.known)
        elif isinstance(line.known, RequestGuarded):
            guarded.append((line, RequestId(line.known.request_id)))
    differences_by_host: dict[str, list[float]] = {}
    for line, request_id in guarded:
        entry = ended_by_id.get(request_id)
        if entry is None or entry.host == line.host or not _is_plain(entry.event):
            continue
        difference_s = (line.time - entry.ended_at).total_seconds()
        differences_by_host.setdefault(line.host, []).append(difference_s)
    offsets_s = {host: median(each) for host, each in differences_by_host.items()}
    return {
        host: offset_s
        for host, offset_s in offsets_s.items()
        if abs(offset_s) > _CLOCK_NOISE_S
    }


def _is_plain(event: RequestEnded) -> bool:
    """Whether a request was answered by the first host that it was sent to."""
    return event.outcome == "answered" and len(event.attempts) == 1
