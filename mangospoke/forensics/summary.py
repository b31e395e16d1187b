"""How many requests were lost, and of what, from logs of many hosts."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

from mangospoke.forensics.reading import Line
from mangospoke.observability.events import LinesLeftOut, RequestEnded


@dataclass(frozen=True, order=True, slots=True)
class LossKind:
    """What requests that ended alike have in common."""

    service: str
    outcome: str
    verdict: str
    reason: str


@dataclass(slots=True)
class Summary:
    """Requests that brought no answer, and answers that came late.

    Attributes:
        counts: Requests by what became of them.
        examples: A request of each kind.
        answered: Requests that were answered.
        late: Of these, later than aimed at.
        left_out: Lines that were not written, by what they tell of.
    """

    counts: Counter[LossKind] = field(default_factory=Counter)
    examples: dict[LossKind, str] = field(default_factory=dict)
    answered: int = 0
    late: int = 0
    left_out: Counter[str] = field(default_factory=Counter)


def summarize(
    lines: Iterable[Line], since: datetime | None = None, service: str | None = None
) -> Summary:
    """Counts how requests ended where they entered.

    Args:
        lines: Lines of all hosts.
        since: Earlier lines are passed over.
        service: Only requests for this service.
    """
    summary = Summary()
    for line in lines:
        if since is not None and line.time < since:
            continue
        if isinstance(line.known, LinesLeftOut):
            summary.left_out.update(line.known.counts)
        elif isinstance(line.known, RequestEnded) and (
            service is None or line.known.service == service
        ):
            _add(summary, line.known)
    return summary


def _add(summary: Summary, event: RequestEnded) -> None:
    if event.outcome == "answered":
        summary.answered += 1
        if event.target_ms and event.elapsed_ms > event.target_ms:
            summary.late += 1
        return
    kind = LossKind(event.service, event.outcome, event.verdict, event.reason)
    summary.counts[kind] += 1
    summary.examples.setdefault(kind, event.request_id)
