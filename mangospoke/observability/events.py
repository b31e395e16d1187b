"""The typed events about requests in the log.

Each event is one line. `mangospoke reference` generates the tables of the documentation
from these classes and their docstrings, so that each field is described only once.
"""

import enum

from msgspec import Struct


class LogPriority(enum.Enum):
    """Priority of a log line; each priority has its own budget of lines.

    `LOSS`: explains a request that failed or may have run, or a refusal that its
    account did not cause. `STATE_CHANGE`: the state of this host or its view of the
    fleet changed. `NOTABLE`: served late or slowly, or failed by the upstream itself.
    `REFUSAL`: a refusal that the caller caused, such as an exceeded rate. `ROUTINE`: a
    success.
    """

    LOSS = "loss"
    STATE_CHANGE = "belief"
    NOTABLE = "notable"
    REFUSAL = "refusal"
    ROUTINE = "routine"


class Attempt(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One attempt to send a request to a host.

    Attributes:
        host: Host that the request was sent to.
        placed: Why this host was chosen.
        outcome: `answered`, or the reason for the missing response.
        after_ms: Milliseconds from the arrival of the request to this attempt.
        took_ms: Milliseconds from this attempt to its outcome.
    """

    host: str
    placed: str
    outcome: str
    after_ms: float
    took_ms: float


class Event(Struct, frozen=True, kw_only=True, omit_defaults=True, tag_field="event"):
    """Base class of events; fields with default values are omitted from the line."""


class RequestEnded(Event, frozen=True, kw_only=True, tag="ended"):
    """How a request ended on its ingress host, which received it from the caller.

    Attributes:
        request_id: Id of the request, the same on all hosts.
        service: Service that it was for; empty if no route matched.
        route: Route that it matched.
        account: Client account; empty for a sub-call.
        sub_call: Whether the upstream on this host made the request.
        caller: For a sub-call, service of the upstream that made it.
        parent: For a sub-call, id of the request that caused it, if known.
        importance: Importance of the request; 0 is the highest.
        outcome: `answered`, `refused` or `unanswered`.
        verdict: Whether it ran: `ran`, `not-run` or `may-have-run`.
        reason: Why it got no response from the upstream.
        status: HTTP status of the upstream's response.
        detail: Details of the reason, with the values that decided it.
        retry_after_s: Seconds after which the caller was told to retry.
        elapsed_ms: Milliseconds from its arrival to its end.
        allowed_ms: Milliseconds from its arrival to its deadline.
        target_ms: Target latency in milliseconds.
        configuration: Version of the configuration under which it was routed.
        proof_age_ms: Milliseconds since that version was last confirmed as the
            newest; -1 if it never was.
        attempts: Attempts to send it to a host, in order.
        cancelled_by: Why it was cancelled: `caller-hung-up`, `caller-not-reading`,
            `connection-closed` or `stopped`; the last two are the daemon's own doing.
        stop: Phase of the daemon's planned stop at its end; empty while serving.
        stop_elapsed_ms: Milliseconds since that stop began.
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
    cancelled_by: str = ""
    stop: str = ""
    stop_elapsed_ms: float | None = None


class ResponseUndelivered(Event, frozen=True, kw_only=True, tag="response_undelivered"):
    """A response was ready, but its caller didn't get all of it.

    Its `ended` line, if it has one, tells how the request itself ended.

    Attributes:
        request_id: Id of the request; empty if it has none.
        service: Service that it was for; empty if unknown.
        status: HTTP status of the response.
        cause: Why it was not sent: `caller-hung-up`, `caller-not-reading`,
            `connection-closed`, `body-incomplete` or `stopped`.
        detail: The cause in words.
        sent: `nothing`, or `part` if some bytes may have been sent.
        stop: Phase of the daemon's planned stop; empty while serving.
        stop_elapsed_ms: Milliseconds since that stop began.
    """

    request_id: str
    service: str = ""
    status: int
    cause: str
    detail: str
    sent: str
    stop: str = ""
    stop_elapsed_ms: float | None = None


class RequestGuarded(Event, frozen=True, kw_only=True, tag="guarded"):
    """How a request ended at the guard, the admission control on the upstream's host.

    Attributes:
        request_id: Id of the request, the same on all hosts.
        service: Service of the upstream.
        account: Client account; empty for a sub-call.
        sub_call: Whether an upstream made the request.
        importance: Importance of the request; 0 is the highest.
        outcome: `answered`, `refused` or `unanswered`.
        verdict: Whether it ran: `ran`, `not-run` or `may-have-run`.
        reason: Why it got no response from the upstream.
        status: HTTP status of the upstream's response.
        detail: Details of the reason.
        instance: Id of the running instance of the upstream.
        waited_ms: Milliseconds that it spent in the queue.
        ran_ms: Milliseconds that it spent in the upstream.
        running: Requests in the upstream when this one ended.
        limit: Concurrency limit of the upstream.
        queued: Requests in the queue when this one ended.
        configuration: Version of the active configuration.
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
    """This host ejected an upstream: it gets no requests from here for a while.

    Attributes:
        service: Service of the upstream.
        host: Host of the upstream.
        reason: Reason of the last failure.
    """

    service: str
    host: str
    reason: str


class LinesDropped(Event, frozen=True, kw_only=True, tag="lines_left_out"):
    """Log lines that were dropped since the previous event of this kind.

    Attributes:
        counts: Number of dropped lines, by event and reason.
    """

    counts: dict[str, int]


EVENTS: tuple[type[Event], ...] = (
    RequestEnded,
    ResponseUndelivered,
    RequestGuarded,
    UpstreamEjected,
    LinesDropped,
)
