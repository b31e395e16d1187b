"""Whether a call's end says something about the upstream that ran it."""

import enum

from mangospoke.guard.executions import Execution
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
)

_MIN_SERVER_ERROR_STATUS = 500

_FAILURES_BY_UPSTREAM = frozenset(
    {
        FailureReason.UPSTREAM_CONNECTION_LOST,
        FailureReason.TRUNCATED_ANSWER,
        FailureReason.CROSSED_ANSWER,
        FailureReason.MALFORMED_ANSWER,
    }
)


class ExecutionResult(enum.Enum):
    """What the end of a call says about its upstream.

    `INCONCLUSIVE`: nothing, since others may have caused it: the caller, or a service
    that the upstream called.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    INCONCLUSIVE = "inconclusive"


def judge_execution(
    execution: Execution, outcome: Outcome | None, now: float
) -> ExecutionResult:
    """Judges the end of a call.

    Args:
        execution: The call's execution.
        outcome: Its outcome; None if it was cancelled.
        now: Time on trio's clock, in seconds.
    """
    if outcome is None:
        return _judge_cancelled(execution, now)
    if isinstance(outcome, Answered):
        if outcome.status < _MIN_SERVER_ERROR_STATUS:
            return ExecutionResult.SUCCEEDED
        is_own_error = not _depends_on_others(execution)
    elif isinstance(outcome, Refused):
        is_own_error = outcome.reason is RefusalReason.SHED_BY_UPSTREAM
    else:
        is_own_error = outcome.reason in _FAILURES_BY_UPSTREAM
    return ExecutionResult.FAILED if is_own_error else ExecutionResult.INCONCLUSIVE


def _judge_cancelled(execution: Execution, now: float) -> ExecutionResult:
    """Judges a call without an answer: at its deadline, the upstream is too slow."""
    is_overdue = now >= execution.call.deadline
    if is_overdue and not _depends_on_others(execution):
        return ExecutionResult.FAILED
    return ExecutionResult.INCONCLUSIVE


def _depends_on_others(execution: Execution) -> bool:
    return execution.has_failed_sub_call or execution.is_waiting()
