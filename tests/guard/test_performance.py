"""What a guard learns of its upstream, and what an outcome says about it."""

import pytest

from mangospoke.guard.execution_results import ExecutionResult, judge_execution
from mangospoke.guard.executions import ExecutionRegistry, track_sub_call
from mangospoke.guard.performance import UpstreamPerformance
from mangospoke.http.bodies import buffered_body
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    RefusalReason,
    Refused,
    Unanswered,
)
from tests.harness.calls import make_call

OK = Answered(200, [], buffered_body(b""))
ERROR = Answered(500, [], buffered_body(b""))
LOST = Unanswered(FailureReason.UPSTREAM_CONNECTION_LOST)


def judge(outcome, sub_call_outcomes=(), late_s=0.0):
    registry = ExecutionRegistry()
    call = make_call(1.0)
    with registry.register(call) as execution:
        for sub_call_outcome in sub_call_outcomes:
            with track_sub_call(registry, call.request_id) as sub_call:
                sub_call.outcome = sub_call_outcome
        return judge_execution(execution, outcome, call.deadline + late_s)


@pytest.mark.parametrize(
    ("outcome", "result"),
    [
        (OK, ExecutionResult.SUCCEEDED),
        (ERROR, ExecutionResult.FAILED),
        (LOST, ExecutionResult.FAILED),
        (Refused(RefusalReason.SHED_BY_UPSTREAM), ExecutionResult.FAILED),
        (Refused(RefusalReason.DRAINING), ExecutionResult.INCONCLUSIVE),
        (Unanswered(FailureReason.REQUEST_BROKEN), ExecutionResult.INCONCLUSIVE),
        (None, ExecutionResult.FAILED),
    ],
)
async def test_an_end_is_blamed_on_whoever_caused_it(outcome, result, autojump_clock):
    assert judge(outcome) is result


@pytest.mark.parametrize("failed", [ERROR, LOST, None])
async def test_an_upstream_is_not_blamed_for_the_services_that_it_calls(
    failed, autojump_clock
):
    assert judge(ERROR, [OK, failed]) is ExecutionResult.INCONCLUSIVE
    assert judge(None, [failed]) is ExecutionResult.INCONCLUSIVE
    assert judge(ERROR, [OK]) is ExecutionResult.FAILED


async def test_a_caller_that_hangs_up_is_not_blamed_on_the_upstream(autojump_clock):
    assert judge(None, late_s=-0.5) is ExecutionResult.INCONCLUSIVE


def test_an_upstream_that_loses_answers_is_told_from_one_that_fails_once():
    steady, once = UpstreamPerformance(), UpstreamPerformance()
    for number in range(40):
        now = number * 0.02
        if number % 5 < 2:
            steady.record_failure(now)
        else:
            steady.record_success("r", 0.1, now)
        once.record_success("r", 0.1, now) if number else once.record_failure(now)
    assert steady.failure_ratio(0.8) > 0.25
    assert once.failure_ratio(0.8) < 0.01


def test_an_upstream_without_calls_is_tried_again():
    performance = UpstreamPerformance()
    for number in range(40):
        performance.record_failure(number * 0.02)
    assert performance.failure_ratio(0.8) > 0.8
    assert performance.failure_ratio(12.8) < 0.05


def test_a_slow_moment_does_not_change_the_usual_work():
    performance = UpstreamPerformance()
    for number in range(100):
        now = number * 0.01
        is_slow = 40 <= number < 60
        performance.record_slowness(2.5 if is_slow else 1.0, now)
        performance.record_success("r", 0.25 if is_slow else 0.1, now)
    assert performance.work_s("r") == pytest.approx(0.1, rel=0.02)
    performance.record_slowness(2.5, 1.0)
    assert performance.slowness_ratio(1.1) == 2.5
    assert performance.slowness_ratio(2.0) == 1.0


async def test_time_in_sub_calls_is_not_taken_for_own_work(autojump_clock):
    registry = ExecutionRegistry()
    call = make_call(10.0)
    with registry.register(call) as execution:
        execution.begin_sub_call(execution.started_at + 0.1)
        execution.begin_sub_call(execution.started_at + 0.2)
        execution.end_sub_call(execution.started_at + 0.5)
        execution.end_sub_call(execution.started_at + 0.7)
        assert execution.own_work_s(execution.started_at + 1.0) == pytest.approx(0.4)
