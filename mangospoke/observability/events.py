"""The typed events of requests, as they are written to the log.

Each is one line. `mangospoke reference` makes the table of the documentation from
these classes, so that a field is named and explained once.
"""

import enum

from msgspec import Struct


class Retention(enum.Enum):
    """Which lines are kept when there are more than may be written.

    `LOSS`: explains a request that was lost or may have run, or a refusal that its
    account did not cause. `BELIEF`: what this host knows has changed. `NOTABLE`:
    served late or slowly, or failed by the upstream itself. `REFUSAL`: one that the
    caller's own doing explains, such as a rate. `ROUTINE`: a success.
    """

    LOSS = "loss"
    BELIEF = "belief"
    NOTABLE = "notable"
    REFUSAL = "refusal"
    ROUTINE = "routine"


class Attempt(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One sending of a request to a host.

    Attributes:
        host: The host that it was sent to.
        placed: Why that host was chosen.
        outcome: `answered`, or the reason why there was no answer.
        after_ms: Milliseconds from the entry to the sending.
        took_ms: Milliseconds until the outcome was known.
    """

    host: str
    placed: str
    outcome: str
    after_ms: float
    took_ms: float


class Event(Struct, frozen=True, kw_only=True, omit_defaults=True, tag_field="event"):
    """Base of the events; a field that has its default is left out of the line."""


class RequestEnded(Event, frozen=True, kw_only=True, tag="ended"):
    """How a request ended on the host where it entered.

    Attributes:
        request_id: The same on each host that the request passes.
        service: Service that it was for; empty if no route was found.
        route: Its route.
        account: Its client account; empty for a sub-call.
        sub_call: Whether this host's upstream made it.
        caller: Service whose upstream made it, for a sub-call.
        parent: The request that it was made for, where that is known.
        importance: Its importance; 0 is the highest.
        outcome: `answered`, `refused` or `unanswered`.
        verdict: Whether it ran: `ran`, `not-run` or `may-have-run`.
        reason: Why there was no answer.
        status: HTTP status of the upstream's answer.
        detail: What decided it, with the figures of that moment.
        retry_after_s: Seconds after which the caller was told to come back.
        elapsed_ms: Milliseconds from its entry to its end.
        allowed_ms: Milliseconds that it had at its entry.
        target_ms: Milliseconds within which it should have been answered.
        configuration: Version of the configuration that it was matched by.
        proof_age_ms: Milliseconds since that version was last known to be the
            newest; -1 if it never was.
        attempts: Hosts that it was sent to, in order.
    """

    request_id: str
    service: str = ""
    route: str = ""
    account: str = ""
    sub_call: bool = False
    caller: str = ""
    parent: str = ""
    importance: int = 0
    outcome: str
    verdict: str
    reason: str = ""
    status: int = 0
    detail: str = ""
    retry_after_s: float | None = None
    elapsed_ms: float = 0.0
    allowed_ms: float = 0.0
    target_ms: float = 0.0
    configuration: int = 0
    proof_age_ms: float | None = None
    attempts: tuple[Attempt, ...] = ()


class RequestGuarded(Event, frozen=True, kw_only=True, tag="guarded"):
    """What became of a request beside its upstream.

    Attributes:
        request_id: The same on each host that the request passes.
        service: Service of the upstream.
        account: Its client account; empty for a sub-call.
        sub_call: Whether an upstream made it.
        importance: Its importance; 0 is the highest.
        outcome: `answered`, `refused` or `unanswered`.
        verdict: Whether it ran: `ran`, `not-run` or `may-have-run`.
        reason: Why there was no answer.
        status: HTTP status of the upstream's answer.
        detail: What decided it.
        instance: The upstream's name for this start of it.
        waited_ms: Milliseconds that it waited for its turn.
        ran_ms: Milliseconds that it spent in the upstream.
        running: Requests in the upstream when it ended.
        limit: Requests that the upstream may run at once.
        queued: Requests that waited for their turn when it ended.
        configuration: Version of the configuration in force.
    """

    request_id: str
    service: str
    account: str = ""
    sub_call: bool = False
    importance: int = 0
    outcome: str
    verdict: str
    reason: str = ""
    status: int = 0
    detail: str = ""
    instance: str = ""
    waited_ms: float = 0.0
    ran_ms: float = 0.0
    running: int = 0
    limit: int = 0
    queued: int = 0
    configuration: int = 0


class UpstreamEjected(Event, frozen=True, kw_only=True, tag="ejected"):
    """An upstream gets no requests from this host for a while.

    Attributes:
        service: Its service.
        host: Its host.
        reason: The last failure.
    """

    service: str
    host: str
    reason: str


class LinesLeftOut(Event, frozen=True, kw_only=True, tag="lines_left_out"):
    """Lines that were not written in the second before.

    Attributes:
        counts: How many, by event and reason.
    """

    counts: dict[str, int]


EVENTS: tuple[type[Event], ...] = (
    RequestEnded,
    RequestGuarded,
    UpstreamEjected,
    LinesLeftOut,
)
