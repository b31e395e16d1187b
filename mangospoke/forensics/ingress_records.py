"""The logged end of a request on its ingress host."""

from dataclasses import dataclass
from datetime import datetime

from mangospoke.observability.events import RequestEnded


@dataclass(frozen=True, slots=True)
class IngressRecord:
    """How a request ended, as logged by the host that received it from its caller.

    Attributes:
        host: The ingress host.
        ended_at: Time of the end, by the clock of that host.
        event: The logged event.
    """

    host: str
    ended_at: datetime
    event: RequestEnded
