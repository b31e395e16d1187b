"""Counts from the logs of many hosts how many requests failed, by reason."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

from mangospoke.forensics.log_reader import LogLine
from mangospoke.observability.events import LinesDropped, RequestEnded


@dataclass(frozen=True, order=True, slots=True)
class LossKind:
    """Category of requests that got no response; the key of the counts."""

    service: str
    outcome: str
    verdict: str
    reason: str


@dataclass(slots=True)
class LossSummary:
    """Counts of requests without a response, and of late responses.

    Attributes:
        counts: Number of requests without a response, by category.
        examples: Id of the first request of each category.
        answered: Number of answered requests.
        late: Number of answered requests that exceeded their target latency.
        dropped_lines: Number of log lines that daemons dropped, by event and reason.
    """

    counts: Counter[LossKind] = field(default_factory=Counter)
    examples: dict[LossKind, str] = field(default_factory=dict)
    answered: int = 0
    late: int = 0
    dropped_lines: Counter[str] = field(default_factory=Counter)


def summarize_losses(
    lines: Iterable[LogLine], since: datetime | None = None, service: str | None = None
) -> LossSummary:
    """Counts how requests ended on their ingress hosts.

    Args:
        lines: Log lines of all hosts.
        since: Earlier lines are ignored.
        service: If given, only requests for this service are counted.
    """
    summary = LossSummary()
    for line in lines:
        if since is not None and line.time < since:
            continue
        if isinstance(line.typed_event, LinesDropped):
            summary.dropped_lines.update(line.typed_event.counts)
        elif isinstance(line.typed_event, RequestEnded) and (
            service is None or line.typed_event.service == service
        ):
            _count_request(summary, line.typed_event)
    return summary


def _count_request(summary: LossSummary, event: RequestEnded) -> None:
    if event.outcome == "answered":
        summary.answered += 1
        if event.target_ms and event.elapsed_ms > event.target_ms:
            summary.late += 1
        return
    kind = LossKind(event.service, event.outcome, event.verdict, event.reason)
    summary.counts[kind] += 1
    summary.examples.setdefault(kind, event.request_id)
