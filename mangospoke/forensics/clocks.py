"""Estimates how far the clocks of hosts differ, from the lines that they logged."""

from collections.abc import Iterable
from statistics import median

from mangospoke.forensics.ingress_records import IngressRecord
from mangospoke.forensics.log_reader import LogLine
from mangospoke.ids import RequestId
from mangospoke.observability.events import RequestEnded, RequestGuarded

_MIN_CLOCK_OFFSET_S = 0.05
"""Smaller clock differences are ignored."""


def estimate_offsets_s(lines: Iterable[LogLine]) -> dict[str, float]:
    """Estimates how far each host's clock is ahead of its senders' clocks.

    The sender logs the end of a request shortly after the upstream's host logs it: only
    the network delay of the response lies between. The median of the differences over
    many requests approximates the clock offset.

    Returns:
        Offsets in seconds by host; hosts with negligible offsets are omitted.
    """
    ingress_by_id: dict[RequestId, IngressRecord] = {}
    guarded: list[tuple[LogLine, RequestId]] = []
    for line in lines:
        if isinstance(line.typed_event, RequestEnded):
            request_id = RequestId(line.typed_event.request_id)
            ingress_by_id[request_id] = IngressRecord(
                line.host, line.time, line.typed_event
            )
        elif isinstance(line.typed_event, RequestGuarded):
            guarded.append((line, RequestId(line.typed_event.request_id)))
    differences_by_host: dict[str, list[float]] = {}
    for line, request_id in guarded:
        ingress = ingress_by_id.get(request_id)
        if (
            ingress is None
            or ingress.host == line.host
            or not _is_single_attempt(ingress.event)
        ):
            continue
        difference_s = (line.time - ingress.ended_at).total_seconds()
        differences_by_host.setdefault(line.host, []).append(difference_s)
    offsets_s = {
        host: median(differences) for host, differences in differences_by_host.items()
    }
    return {
        host: offset_s
        for host, offset_s in offsets_s.items()
        if abs(offset_s) > _MIN_CLOCK_OFFSET_S
    }


def _is_single_attempt(event: RequestEnded) -> bool:
    """Returns whether a request was answered at the first attempt."""
    return event.outcome == "answered" and len(event.attempts) == 1
