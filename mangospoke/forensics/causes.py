"""What each reason means, in a sentence for whoever is on call."""

from mangospoke.verdicts import FailureReason, RefusalReason

CAUSES_BY_REFUSAL = {
    RefusalReason.BAD_REQUEST: "the request was malformed",
    RefusalReason.HEAD_TOO_LARGE: "its head was larger than allowed",
    RefusalReason.BODY_TOO_LARGE: "its body was larger than allowed",
    RefusalReason.UNAUTHENTICATED: "no account has its key under this configuration",
    RefusalReason.KEY_WITHDRAWN: "its key had been withdrawn when its turn came",
    RefusalReason.ROUTE_INTERNAL: "only upstreams may use its route",
    RefusalReason.UNKNOWN_ROUTE: "no route of this configuration has its path",
    RefusalReason.METHOD_NOT_ALLOWED: "its route takes other methods",
    RefusalReason.UNKNOWN_EXECUTION: "its upstream named no execution that runs",
    RefusalReason.OVER_RATE: "its account had no token left within reach",
    RefusalReason.RATE_UNAVAILABLE: "nobody could say what its account may use",
    RefusalReason.QUEUE_FULL: "no place at the upstream became free in time",
    RefusalReason.SHED_FOR_IMPORTANCE: "more important requests took its place",
    RefusalReason.SHED_BY_UPSTREAM: "the upstream itself had no room and didn't run it",
    RefusalReason.OVERLOADED_BELOW: "a service that it would have called had no room",
    RefusalReason.DEADLINE_EXCEEDED: "it could not have ended in time and wasn't begun",
    RefusalReason.NO_UPSTREAM: "no host was known that serves it",
    RefusalReason.UPSTREAM_UNREACHABLE: "the upstream took no connection",
    RefusalReason.OTHER_INSTANCE: "another instance answered at the upstream's address",
    RefusalReason.CONFIGURATION_STALE: (
        "the host had heard from nobody for so long that its key might have been "
        "withdrawn"
    ),
    RefusalReason.PEER_UNREACHABLE: "the daemon beside the upstream took no connection",
    RefusalReason.DRAINING: "the upstream or its host was about to stop",
    RefusalReason.QUARANTINED: "upstreams died while they ran the same request",
    RefusalReason.IDEMPOTENCY_KEY_REUSED: "its idempotency key named another request",
    RefusalReason.IDEMPOTENCY_STORE_FULL: "there was no room to note its key",
    RefusalReason.NOT_CONFIGURED: "the host had no configuration yet",
    RefusalReason.CANCELLED: "its caller hung up before it was sent on",
}
"""Causes of refusals: none of these requests ran."""

CAUSES_BY_FAILURE = {
    FailureReason.DEADLINE_EXCEEDED: "the upstream gave no answer by the deadline",
    FailureReason.UPSTREAM_CONNECTION_LOST: (
        "the upstream's connection ended before an answer"
    ),
    FailureReason.PEER_CONNECTION_LOST: (
        "the connection to the daemon beside the upstream ended before an answer"
    ),
    FailureReason.PEER_SILENT: (
        "the daemon beside the upstream was not heard from by the deadline"
    ),
    FailureReason.TRUNCATED_ANSWER: "the upstream's answer broke off",
    FailureReason.CROSSED_ANSWER: "the answer that came belonged to another request",
    FailureReason.MALFORMED_ANSWER: "the upstream's answer could not be read",
    FailureReason.ANSWER_TOO_LARGE: "the upstream's answer was larger than allowed",
    FailureReason.CANCELLED: "its caller hung up while it may have run",
    FailureReason.REQUEST_BROKEN: "its caller broke off while sending it",
    FailureReason.EARLIER_ATTEMPT_IN_PROGRESS: (
        "an earlier sending with its key was still running"
    ),
    FailureReason.EARLIER_ATTEMPT_UNKNOWN: (
        "what became of an earlier sending with its key is not known"
    ),
    FailureReason.EARLIER_ATTEMPT_ANSWER_LOST: (
        "an earlier sending with its key ran and its answer was lost"
    ),
    FailureReason.IDEMPOTENCY_KEY_EXPIRED: "its key is older than what is remembered",
}
"""Causes of losses: these requests may have run."""


def cause_of(outcome: str, reason: str) -> str:
    """The sentence for a reason, as it stands in a line.

    Args:
        outcome: `refused` or `unanswered`.
        reason: The reason's value.
    """
    try:
        if outcome == "refused":
            return CAUSES_BY_REFUSAL[RefusalReason(reason)]
        return CAUSES_BY_FAILURE[FailureReason(reason)]
    except ValueError:
        return f"of a reason that this version doesn't know: {reason}"
