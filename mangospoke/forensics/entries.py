"""Where a request entered, as a log tells it."""

from dataclasses import dataclass
from datetime import datetime

from mangospoke.observability.events import RequestEnded


@dataclass(frozen=True, slots=True)
class Entry:
    """Where a request entered, and the line of its end there."""

    host: str
    ended_at: datetime
    event: RequestEnded
