"""Outcomes of requests, and whether the request may have run.

Every request ends with one `Outcome`: `Answered`, `Refused` or `Unanswered`. Each has
exactly one `Verdict`, one HTTP status and, if a later retry can succeed, a delay
after which the caller may retry.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from mangospoke.http.bodies import Body

Headers = Sequence[tuple[bytes, bytes]]


class Verdict(enum.Enum):
    """Whether an upstream may have run the request."""

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


class RefusalReason(enum.Enum):
    """Reasons for which a request is refused before it has run."""

    BAD_REQUEST = "bad-request"
    HEAD_TOO_LARGE = "head-too-large"
    BODY_TOO_LARGE = "body-too-large"
    UNAUTHENTICATED = "unauthenticated"
    KEY_WITHDRAWN = "key-withdrawn"
    ROUTE_INTERNAL = "route-internal"
    UNKNOWN_ROUTE = "unknown-route"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    UNKNOWN_EXECUTION = "unknown-execution"
    OVER_RATE = "over-rate"
    RATE_UNAVAILABLE = "rate-unavailable"
    QUEUE_FULL = "queue-full"
    SHED_FOR_IMPORTANCE = "shed-for-importance"
    SHED_BY_UPSTREAM = "shed-by-upstream"
    OVERLOADED_BELOW = "overloaded-below"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    NO_UPSTREAM = "no-upstream"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    OTHER_INSTANCE = "other-instance"
    RETRIES_SPENT = "retries-spent"
    CONFIGURATION_STALE = "configuration-stale"
    PEER_UNREACHABLE = "peer-unreachable"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    QUARANTINED = "quarantined"
    IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
    IDEMPOTENCY_STORE_FULL = "idempotency-store-full"
    NOT_CONFIGURED = "not-configured"
    CANCELLED = "cancelled"
    CONNECTION_CLOSED = "connection-closed"
    STOPPED = "stopped"


class FailureReason(enum.Enum):
    """Reasons for which a forwarded request got no complete response."""

    DEADLINE_EXCEEDED = "deadline-exceeded"
    UPSTREAM_CONNECTION_LOST = "upstream-connection-lost"
    PEER_CONNECTION_LOST = "peer-connection-lost"
    PEER_SILENT = "peer-silent"
    TRUNCATED_ANSWER = "truncated-answer"
    CROSSED_ANSWER = "crossed-answer"
    MALFORMED_ANSWER = "malformed-answer"
    ANSWER_TOO_LARGE = "answer-too-large"
    CANCELLED = "cancelled"
    CONNECTION_CLOSED = "connection-closed"
    STOPPED = "stopped"
    REQUEST_BROKEN = "request-broken"
    EARLIER_ATTEMPT_IN_PROGRESS = "earlier-attempt-in-progress"
    EARLIER_ATTEMPT_UNKNOWN = "earlier-attempt-unknown"
    EARLIER_ATTEMPT_ANSWER_LOST = "earlier-attempt-answer-lost"
    IDEMPOTENCY_KEY_EXPIRED = "idempotency-key-expired"


@dataclass(frozen=True, slots=True)
class RefusalRule:
    """How a refusal is reported to the caller.

    Attributes:
        status: The HTTP status.
        retry_after_s: Seconds after which a retry may succeed, or None.
        retryable: Whether the daemons themselves may retry at another upstream.
    """

    status: int
    retry_after_s: int | None = None
    retryable: bool = False


@dataclass(frozen=True, slots=True)
class FailureRule:
    """How a failure is reported to the caller.

    Attributes:
        status: The HTTP status.
        verdict: Whether the request may have run.
    """

    status: int
    verdict: Verdict = Verdict.MAY_HAVE_RUN


RULES_BY_REFUSAL: dict[RefusalReason, RefusalRule] = {
    RefusalReason.BAD_REQUEST: RefusalRule(400),
    RefusalReason.HEAD_TOO_LARGE: RefusalRule(431),
    RefusalReason.BODY_TOO_LARGE: RefusalRule(413),
    RefusalReason.UNAUTHENTICATED: RefusalRule(401),
    RefusalReason.KEY_WITHDRAWN: RefusalRule(401),
    RefusalReason.ROUTE_INTERNAL: RefusalRule(404),
    RefusalReason.UNKNOWN_ROUTE: RefusalRule(404),
    RefusalReason.METHOD_NOT_ALLOWED: RefusalRule(405),
    RefusalReason.UNKNOWN_EXECUTION: RefusalRule(403),
    RefusalReason.OVER_RATE: RefusalRule(429, retry_after_s=1),
    RefusalReason.RATE_UNAVAILABLE: RefusalRule(429, retry_after_s=2),
    RefusalReason.QUEUE_FULL: RefusalRule(503, retry_after_s=1, retryable=True),
    RefusalReason.SHED_FOR_IMPORTANCE: RefusalRule(
        503, retry_after_s=2, retryable=True
    ),
    RefusalReason.SHED_BY_UPSTREAM: RefusalRule(503, retry_after_s=1, retryable=True),
    RefusalReason.OVERLOADED_BELOW: RefusalRule(503, retry_after_s=1),
    RefusalReason.DEADLINE_EXCEEDED: RefusalRule(504),
    RefusalReason.NO_UPSTREAM: RefusalRule(503, retry_after_s=2),
    RefusalReason.UPSTREAM_UNREACHABLE: RefusalRule(
        502, retry_after_s=1, retryable=True
    ),
    RefusalReason.OTHER_INSTANCE: RefusalRule(503, retry_after_s=1, retryable=True),
    RefusalReason.RETRIES_SPENT: RefusalRule(503, retry_after_s=1),
    RefusalReason.CONFIGURATION_STALE: RefusalRule(503, retry_after_s=1),
    RefusalReason.PEER_UNREACHABLE: RefusalRule(502, retry_after_s=1, retryable=True),
    RefusalReason.DRAINING: RefusalRule(503, retry_after_s=1, retryable=True),
    RefusalReason.EVACUATED: RefusalRule(503, retry_after_s=1, retryable=True),
    RefusalReason.QUARANTINED: RefusalRule(422),
    RefusalReason.IDEMPOTENCY_KEY_REUSED: RefusalRule(409),
    RefusalReason.IDEMPOTENCY_STORE_FULL: RefusalRule(503, retry_after_s=5),
    RefusalReason.NOT_CONFIGURED: RefusalRule(503, retry_after_s=1),
    RefusalReason.CANCELLED: RefusalRule(499),
    # Requests that this daemon cancels get no response; the rules are for the log.
    RefusalReason.CONNECTION_CLOSED: RefusalRule(503, retry_after_s=1),
    RefusalReason.STOPPED: RefusalRule(503, retry_after_s=1),
}

RULES_BY_FAILURE: dict[FailureReason, FailureRule] = {
    FailureReason.DEADLINE_EXCEEDED: FailureRule(504),
    FailureReason.UPSTREAM_CONNECTION_LOST: FailureRule(502),
    FailureReason.PEER_CONNECTION_LOST: FailureRule(502),
    FailureReason.PEER_SILENT: FailureRule(504),
    # An upstream that has started its response has run the request.
    FailureReason.TRUNCATED_ANSWER: FailureRule(502, Verdict.RAN),
    FailureReason.ANSWER_TOO_LARGE: FailureRule(502, Verdict.RAN),
    FailureReason.CROSSED_ANSWER: FailureRule(502),
    FailureReason.MALFORMED_ANSWER: FailureRule(502),
    FailureReason.CANCELLED: FailureRule(499),
    FailureReason.CONNECTION_CLOSED: FailureRule(502),
    FailureReason.STOPPED: FailureRule(502),
    FailureReason.REQUEST_BROKEN: FailureRule(400),
    FailureReason.EARLIER_ATTEMPT_IN_PROGRESS: FailureRule(409),
    FailureReason.EARLIER_ATTEMPT_UNKNOWN: FailureRule(409),
    FailureReason.EARLIER_ATTEMPT_ANSWER_LOST: FailureRule(409, Verdict.RAN),
    FailureReason.IDEMPOTENCY_KEY_EXPIRED: FailureRule(409),
}


@dataclass(slots=True)
class Answered:
    """A response from an upstream; its body may still be streaming."""

    status: int
    headers: Headers
    body: Body

    @property
    def verdict(self) -> Verdict:
        """Always `RAN`, since the upstream responded."""
        return Verdict.RAN


@dataclass(frozen=True, slots=True)
class Refused:
    """A request that was refused and has not run at any upstream.

    Attributes:
        reason: Why it was refused.
        detail: Explanation for the caller, in one sentence.
        retry_after_s: Overrides the delay of the reason's rule, in seconds.
    """

    reason: RefusalReason
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def verdict(self) -> Verdict:
        """Always `NOT_RUN`: no byte reached an upstream, or the upstream shed it."""
        return Verdict.NOT_RUN

    @property
    def status(self) -> int:
        """HTTP status that the caller receives."""
        return RULES_BY_REFUSAL[self.reason].status


@dataclass(frozen=True, slots=True)
class Unanswered:
    """A request that was forwarded and got no complete response."""

    reason: FailureReason
    detail: str = ""

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        return RULES_BY_FAILURE[self.reason].verdict

    @property
    def status(self) -> int:
        """HTTP status that the caller receives."""
        return RULES_BY_FAILURE[self.reason].status


Outcome = Answered | Refused | Unanswered
