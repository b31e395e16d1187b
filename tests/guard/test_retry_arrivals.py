"""The limit of repeated requests, enforced where they arrive."""

import random

import pytest
import trio

from mangospoke.calls import Repetition
from mangospoke.guard.retry_arrivals import RetryArrivals, RetryLimit
from mangospoke.guard.retry_gate import RetryGate
from mangospoke.verdicts import RefusalReason
from tests.harness.calls import make_call

WINDOW_S = 10.0
LIMIT = RetryLimit(WINDOW_S, 110.0, 0.2)


def make_gate(upstream_count, *, calls_others=False, callees_refuse=lambda: False):
    return RetryGate(
        RetryArrivals(LIMIT),
        lambda: upstream_count,
        lambda: calls_others,
        callees_refuse,
    )


def make_arrival(repetition=Repetition.NONE, is_sub_call=False):
    call = make_call(1.0)
    call.repetition = repetition
    call.is_sub_call = is_sub_call
    return call


def largest_window(times):
    """Returns the most of some times that lie within one window."""
    return max(
        (sum(start <= t < start + WINDOW_S for t in times) for start in times),
        default=0,
    )


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("upstream_count", [1, 7, 43])
async def test_a_failing_service_gets_no_more_retries_than_allowed(
    seed, upstream_count, autojump_clock
):
    random_source = random.Random(seed)
    gates = [make_gate(upstream_count) for _ in range(upstream_count)]
    request_times, retry_times = [], []
    for _ in range(2_000):
        await trio.sleep(0.02 * random_source.random())
        gate = random_source.choice(gates)
        if random_source.random() < 0.5:
            request_times.append(trio.current_time())
            assert gate.check(make_arrival()) is None
        elif gate.check(make_arrival(Repetition.RETRY)) is None:
            retry_times.append(trio.current_time())
    fewest = len(request_times) * WINDOW_S / (request_times[-1] - request_times[0])
    assert largest_window(retry_times) <= 110 + 0.2 * fewest
    assert len(retry_times) > 50


async def test_retries_are_let_through_where_they_are_needed(autojump_clock):
    gate = make_gate(4)
    passed = [gate.check(make_arrival(Repetition.RETRY)) is None for _ in range(12)]
    assert sum(passed) >= 8
    assert gate.check(make_arrival(Repetition.RETRY)).reason is (
        RefusalReason.RETRIES_SPENT
    )
    assert not gate.is_open()


async def test_calls_of_repeated_runs_are_counted_but_not_refused(autojump_clock):
    gate = make_gate(4)
    for _ in range(40):
        call = make_arrival(Repetition.INHERITED, is_sub_call=True)
        assert gate.check(call) is None
    assert gate.check(make_arrival(Repetition.RETRY)) is not None
    await trio.sleep(2 * WINDOW_S)
    assert gate.check(make_arrival(Repetition.RETRY)) is not None


async def test_nothing_is_repeated_for_a_service_below_that_has_spent_its_part(
    autojump_clock,
):
    spent = True
    gate = make_gate(4, calls_others=True, callees_refuse=lambda: spent)
    assert gate.check(make_arrival(Repetition.RETRY)) is not None
    assert not gate.is_open()
    spent = False
    await trio.sleep(0.1)
    assert gate.is_open()
    assert gate.check(make_arrival(Repetition.RETRY)) is None
