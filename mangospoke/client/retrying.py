"""When a caller may send a request again, and how long it waits before."""

import random
from dataclasses import dataclass

from mangospoke.client.outcomes import CONNECTION_LOST, UNREACHABLE, CallOutcome
from mangospoke.verdicts import FailureReason, Verdict

_PASSING_STATUSES = frozenset({429, 502, 503, 504})
"""Statuses of conditions that may pass; others come back however often one asks."""

_FINAL_REASONS = frozenset(
    {
        FailureReason.EARLIER_ATTEMPT_UNKNOWN.value,
        FailureReason.EARLIER_ATTEMPT_ANSWER_LOST.value,
    }
)
"""Reasons that say that nobody will ever know more."""

_CONTINUING_REASONS = frozenset({FailureReason.EARLIER_ATTEMPT_IN_PROGRESS.value})


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How a caller sends again.

    Attributes:
        attempts: Most attempts, the first included.
        base_seconds: Longest wait before the second attempt; it doubles each time.
        maximum_seconds: Longest wait that the caller chooses by itself.
    """

    attempts: int = 4
    base_seconds: float = 0.1
    maximum_seconds: float = 5.0


def may_send_again(outcome: CallOutcome, idempotent: bool) -> bool:
    """Whether sending the same request again is safe and may help.

    Args:
        outcome: What became of the last attempt.
        idempotent: Whether running it twice is harmless. Otherwise it carries an
            idempotency key, under which the fleet runs it at most once.
    """
    if outcome.succeeded or outcome.reason in _FINAL_REASONS:
        return False
    if outcome.verdict is Verdict.RAN:
        return idempotent and outcome.status in _PASSING_STATUSES
    if outcome.reason in _CONTINUING_REASONS:
        return True
    if outcome.status is None:
        return outcome.reason in (UNREACHABLE, CONNECTION_LOST)
    return outcome.status in _PASSING_STATUSES


def wait_seconds(
    policy: RetryPolicy, attempts: int, outcome: CallOutcome, source: random.Random
) -> float:
    """Draws the wait before the next attempt.

    Args:
        policy: The policy.
        attempts: Attempts made so far, at least 1.
        outcome: What became of the last one; its `Retry-After` is a least wait.
        source: Spreads callers that were refused together.
    """
    longest = min(policy.maximum_seconds, policy.base_seconds * 2 ** (attempts - 1))
    jittered = source.uniform(0, longest)
    least = outcome.retry_after_s
    return jittered if least is None else least + jittered
