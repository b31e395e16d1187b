"""Retries stay within the root request's allowance, for any fan-out and depth."""

import random

import pytest
import trio

from mangospoke.calls import RetryAllowance
from mangospoke.cancellation import CancelCause
from mangospoke.http.bodies import buffered_body, streamed_body
from mangospoke.ingress.dispatch import Dispatcher
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.observability.decisions import DecisionLog
from mangospoke.routing.balancer import Balancer
from mangospoke.routing.ejection import Ejector
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    RefusalReason,
    Refused,
    Unanswered,
    Verdict,
)
from tests.harness.calls import make_call

HOST_COUNT = 12
CONNECTION_LOST = Unanswered(FailureReason.UPSTREAM_CONNECTION_LOST)
QUEUE_FULL = Refused(RefusalReason.QUEUE_FULL)


def make_retried_call(retries, idempotent=True, deadline_s=1e6, body=None):
    return make_call(
        deadline_s,
        body=body or buffered_body(b""),
        idempotent=idempotent,
        idempotency_key=None if idempotent else "key",
        retries=retries,
    )


class FakePeers:
    """Peers that execute calls by a function and return the unspent retries."""

    def __init__(self, execute_call):
        self.execute_call = execute_call

    async def execute(self, address, call, retries):
        call_allowance = RetryAllowance(retries)
        outcome = await self.execute_call(call, call_allowance)
        call.retries.return_unused(call_allowance.remaining)
        return outcome


def make_dispatcher(execute_call, unlimited_budget=False):
    fleet = Fleet("site")
    ejector = Ejector()
    balancer = Balancer(fleet, "me", "a", ejector, lambda: None, random.Random(1))
    for number in range(HOST_COUNT):
        fleet.apply_membership(
            UpstreamAnnounced(
                record_id=f"{number}",
                host_id=f"h{number}",
                failure_domain="a",
                incarnation=1,
                service="batches",
                peer_address=f"h{number}",
                control_address="",
                slots=1,
            )
        )
    dispatcher = Dispatcher(
        "me", None, FakePeers(execute_call), balancer, ejector, DecisionLog()
    )
    if unlimited_budget:
        dispatcher._retry_budget.try_spend = lambda service: True
    return dispatcher


async def count_attempts(call, outcome):
    count = 0

    async def execute_call(_call, _allowance):
        nonlocal count
        count += 1
        return outcome

    await make_dispatcher(execute_call).dispatch(call)
    return count


async def test_refusal_is_retried_within_the_allowance(autojump_clock):
    for retries in range(4):
        call = make_retried_call(RetryAllowance(retries))
        assert await count_attempts(call, QUEUE_FULL) == 1 + retries


async def test_call_that_may_have_run_is_retried_only_if_idempotent(autojump_clock):
    assert (
        await count_attempts(make_retried_call(RetryAllowance(2)), CONNECTION_LOST) == 3
    )
    booking = make_retried_call(RetryAllowance(2), idempotent=False)
    assert await count_attempts(booking, CONNECTION_LOST) == 1
    booking = make_retried_call(RetryAllowance(2), idempotent=False)
    assert await count_attempts(booking, QUEUE_FULL) == 3


@pytest.mark.parametrize(
    "reason",
    [
        RefusalReason.KEY_WITHDRAWN,
        RefusalReason.QUARANTINED,
        RefusalReason.DEADLINE_EXCEEDED,
        RefusalReason.IDEMPOTENCY_KEY_REUSED,
    ],
)
async def test_final_refusals_are_not_retried(reason, autojump_clock):
    call = make_retried_call(RetryAllowance(5))
    assert await count_attempts(call, Refused(reason)) == 1


@pytest.mark.parametrize(
    "retry_refusal", [QUEUE_FULL, Refused(RefusalReason.DEADLINE_EXCEEDED)]
)
async def test_refused_retry_does_not_hide_that_an_attempt_may_have_run(
    retry_refusal, autojump_clock
):
    outcomes = [CONNECTION_LOST, retry_refusal]

    async def execute_call(_call, _allowance):
        return outcomes.pop(0)

    outcome = await make_dispatcher(execute_call).dispatch(
        make_retried_call(RetryAllowance(1))
    )
    assert outcome.verdict is Verdict.MAY_HAVE_RUN


async def test_call_cancelled_after_a_lost_attempt_may_have_run(autojump_clock):
    decisions = DecisionLog()

    async def execute_call(call, _allowance):
        if call.earlier is not None:
            await trio.sleep_forever()
        return CONNECTION_LOST

    dispatcher = make_dispatcher(execute_call)
    dispatcher._decisions = decisions
    with trio.move_on_after(1):
        await dispatcher.dispatch_and_record(make_retried_call(RetryAllowance(1)))
    ((_, _, verdict, _),) = decisions.outcomes
    assert verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ("cause", "reason"),
    [
        (CancelCause.CALLER_HUNG_UP, "cancelled"),
        (CancelCause.CALLER_NOT_READING, "cancelled"),
        (CancelCause.CONNECTION_CLOSED, "connection-closed"),
        (CancelCause.STOPPED, "stopped"),
    ],
)
async def test_a_call_cancelled_while_it_is_dispatched_is_recorded_with_its_cause(
    autojump_clock, cause, reason
):
    decisions = DecisionLog()

    async def execute_call(_call, _allowance):
        await trio.sleep_forever()

    dispatcher = make_dispatcher(execute_call)
    dispatcher._decisions = decisions
    call = make_retried_call(RetryAllowance(1))
    with trio.move_on_after(1):
        call.cancellation.set_cause(cause)
        await dispatcher.dispatch_and_record(call)
    assert [key[3] for key in decisions.outcomes] == [reason]


async def test_nothing_is_retried_after_the_deadline(autojump_clock):
    call = make_retried_call(RetryAllowance(5), deadline_s=0.001)
    assert await count_attempts(call, QUEUE_FULL) == 1


async def test_streamed_body_is_sent_once(autojump_clock):
    async def chunks():
        yield b"x"

    call = make_retried_call(RetryAllowance(5), body=streamed_body(chunks(), None))
    assert await count_attempts(call, QUEUE_FULL) == 1


async def test_retry_budget_is_exhausted_while_a_service_is_down(autojump_clock):
    count = 0

    async def execute_call(_call, _allowance):
        nonlocal count
        count += 1
        return QUEUE_FULL

    dispatcher = make_dispatcher(execute_call)
    for _ in range(1000):
        await dispatcher.dispatch(make_retried_call(RetryAllowance(3)))
    assert count <= 1000 + 10


@pytest.mark.parametrize("seed", range(20))
async def test_whole_call_tree_stays_within_the_allowance(seed, autojump_clock):
    """Executions make sub-calls, some of them concurrently, then fail at random."""
    random_source = random.Random(seed)
    allowance = random_source.randrange(0, 6)
    depth = random_source.randrange(2, 13)
    executions = 0
    first_sends = 0

    def execute_at(level):
        async def execute_call(_call, call_allowance):
            nonlocal executions
            executions += 1
            if level < depth:
                await make_sub_calls(level, call_allowance)
            return random_source.choice(
                [CONNECTION_LOST, QUEUE_FULL, Answered(200, [], buffered_body(b""))]
            )

        return execute_call

    async def make_sub_calls(level, call_allowance):
        nonlocal first_sends
        dispatcher = make_dispatcher(execute_at(level + 1), unlimited_budget=True)
        fan_out = random_source.choice([1, 1, 2])
        first_sends += fan_out
        async with trio.open_nursery() as nursery:
            for _ in range(fan_out):
                nursery.start_soon(
                    dispatcher.dispatch, make_retried_call(call_allowance)
                )

    root = RetryAllowance(allowance)
    dispatcher = make_dispatcher(execute_at(1), unlimited_budget=True)
    await dispatcher.dispatch(make_retried_call(root))
    assert executions <= 1 + first_sends + allowance
    assert root.remaining >= 0
