"""Texts that explain each refusal and failure reason to an operator."""

from mangospoke.verdicts import FailureReason, RefusalReason

CAUSES_BY_REFUSAL_REASON = {
    RefusalReason.BAD_REQUEST: "the request was malformed",
    RefusalReason.HEAD_TOO_LARGE: "its header section was larger than allowed",
    RefusalReason.BODY_TOO_LARGE: "its body was larger than allowed",
    RefusalReason.UNAUTHENTICATED: "no account of this configuration has its API key",
    RefusalReason.KEY_WITHDRAWN: "its API key was withdrawn before its admission",
    RefusalReason.ROUTE_INTERNAL: "its route is reserved for upstreams",
    RefusalReason.UNKNOWN_ROUTE: "no route of this configuration matches its path",
    RefusalReason.METHOD_NOT_ALLOWED: "its route doesn't allow its method",
    RefusalReason.UNKNOWN_EXECUTION: "its upstream named no execution in progress",
    RefusalReason.OVER_RATE: "its account exceeded its rate: no token was available",
    RefusalReason.RATE_UNAVAILABLE: "the rate left to its account was unknown",
    RefusalReason.QUEUE_FULL: "no slot at the upstream became free in time",
    RefusalReason.SHED_FOR_IMPORTANCE: "it was shed for more important requests",
    RefusalReason.SHED_BY_UPSTREAM: "the upstream itself shed it without running it",
    RefusalReason.OVERLOADED_BELOW: "a downstream service was overloaded",
    RefusalReason.DEADLINE_EXCEEDED: (
        "it could not have met its deadline and was not started"
    ),
    RefusalReason.NO_UPSTREAM: "no host was known to serve it",
    RefusalReason.UPSTREAM_UNREACHABLE: "the upstream accepted no connection",
    RefusalReason.OTHER_INSTANCE: "another instance answered at the upstream's address",
    RefusalReason.RETRIES_SPENT: (
        "it was sent again, and its service takes no more repeated requests now"
    ),
    RefusalReason.CONFIGURATION_STALE: (
        "the host's configuration was unconfirmed for so long that the request's API "
        "key might have been withdrawn"
    ),
    RefusalReason.PEER_UNREACHABLE: (
        "the daemon on the upstream's host accepted no connection"
    ),
    RefusalReason.DRAINING: "the upstream or its host was shutting down",
    RefusalReason.EVACUATED: "the upstream's failure domain was evacuated",
    RefusalReason.QUARANTINED: "upstreams crashed while running the same request",
    RefusalReason.IDEMPOTENCY_KEY_REUSED: (
        "its idempotency key was used for another request"
    ),
    RefusalReason.IDEMPOTENCY_STORE_FULL: "the idempotency store was full",
    RefusalReason.NOT_CONFIGURED: "the host had no configuration yet",
    RefusalReason.CANCELLED: "its caller disconnected before it was forwarded",
    RefusalReason.CONNECTION_CLOSED: (
        "the host closed the caller's connection before it was forwarded"
    ),
    RefusalReason.STOPPED: "the host's daemon ended before it was forwarded",
}
"""Causes of refusals; the request did not run."""

CAUSES_BY_FAILURE_REASON = {
    FailureReason.DEADLINE_EXCEEDED: "the upstream sent no response by the deadline",
    FailureReason.UPSTREAM_CONNECTION_LOST: (
        "the upstream's connection closed before a response"
    ),
    FailureReason.PEER_CONNECTION_LOST: (
        "the connection to the daemon on the upstream's host closed before a response"
    ),
    FailureReason.PEER_SILENT: (
        "the daemon on the upstream's host sent nothing by the deadline"
    ),
    FailureReason.TRUNCATED_ANSWER: "the upstream's response was truncated",
    FailureReason.CROSSED_ANSWER: "the response received belonged to another request",
    FailureReason.MALFORMED_ANSWER: "the upstream's response was malformed",
    FailureReason.ANSWER_TOO_LARGE: "the upstream's response was larger than allowed",
    FailureReason.CANCELLED: "its caller disconnected while it may have been running",
    FailureReason.CONNECTION_CLOSED: (
        "the host closed the caller's connection while it may have been running"
    ),
    FailureReason.STOPPED: "the host's daemon ended while it may have been running",
    FailureReason.REQUEST_BROKEN: "its caller aborted while sending it",
    FailureReason.EARLIER_ATTEMPT_IN_PROGRESS: (
        "an earlier attempt with its idempotency key was still running"
    ),
    FailureReason.EARLIER_ATTEMPT_UNKNOWN: (
        "the outcome of an earlier attempt with its idempotency key is unknown"
    ),
    FailureReason.EARLIER_ATTEMPT_ANSWER_LOST: (
        "an earlier attempt with its idempotency key ran; its response was lost"
    ),
    FailureReason.IDEMPOTENCY_KEY_EXPIRED: (
        "its idempotency key is older than the retention period"
    ),
}
"""Causes of failures; the request may have run."""


def describe_cause(outcome: str, reason: str) -> str:
    """Returns the explanation of a reason.

    Args:
        outcome: `refused` or `unanswered`.
        reason: Value of the reason, as in the log line.
    """
    try:
        if outcome == "refused":
            return CAUSES_BY_REFUSAL_REASON[RefusalReason(reason)]
        return CAUSES_BY_FAILURE_REASON[FailureReason(reason)]
    except ValueError:
        return f"the reason is unknown to this version: {reason}"
