"""Retries stay within the root request's allowance, over any fan-out and depth."""

import random

import pytest
import trio

from mangospoke.calls import RetryAllowance
from mangospoke.http.bodies import streamed_body, whole_body
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

HOSTS = 12
LOST = Unanswered(FailureReason.UPSTREAM_CONNECTION_LOST)
FULL = Refused(RefusalReason.QUEUE_FULL)


def retried_call(retries, idempotent=True, deadline_s=1e6, body=None):
    return make_call(
        deadline_s,
        body=body or whole_body(b""),
        idempotent=idempotent,
        idempotency_key=None if idempotent else "key",
        retries=retries,
    )


class FakePeers:
    """Peers that run what a test says, and give back what wasn't spent."""

    def __init__(self, run):
        self.run = run

    async def execute(self, address, call, retries):
        holding = RetryAllowance(retries)
        outcome = await self.run(call, holding)
        call.retries.give_back(holding.remaining)
        return outcome


def make_dispatcher(run, budgets_unlimited=False):
    fleet = Fleet("site")
    ejector = Ejector()
    balancer = Balancer(fleet, "me", "a", ejector, lambda: None, random.Random(1))
    for number in range(HOSTS):
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
        "me", None, FakePeers(run), balancer, ejector, DecisionLog()
    )
    if budgets_unlimited:
        dispatcher._budgets.spend = lambda service: True
    return dispatcher


async def attempts_of(call, outcome):
    count = 0

    async def run(_call, _holding):
        nonlocal count
        count += 1
        return outcome

    await make_dispatcher(run).dispatch(call)
    return count


async def test_a_refusal_is_retried_within_the_allowance(autojump_clock):
    for retries in range(4):
        call = retried_call(RetryAllowance(retries))
        assert await attempts_of(call, FULL) == 1 + retries


async def test_what_may_have_run_is_retried_only_if_idempotent(autojump_clock):
    assert await attempts_of(retried_call(RetryAllowance(2)), LOST) == 3
    booking = retried_call(RetryAllowance(2), idempotent=False)
    assert await attempts_of(booking, LOST) == 1
    booking = retried_call(RetryAllowance(2), idempotent=False)
    assert await attempts_of(booking, FULL) == 3


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
    call = retried_call(RetryAllowance(5))
    assert await attempts_of(call, Refused(reason)) == 1


@pytest.mark.parametrize("last", [FULL, Refused(RefusalReason.DEADLINE_EXCEEDED)])
async def test_a_refused_retry_does_not_unsay_an_earlier_attempt(last, autojump_clock):
    outcomes = [LOST, last]

    async def run(_call, _holding):
        return outcomes.pop(0)

    outcome = await make_dispatcher(run).dispatch(retried_call(RetryAllowance(1)))
    assert outcome.verdict is Verdict.MAY_HAVE_RUN


async def test_a_hang_up_after_a_lost_attempt_may_have_run(autojump_clock):
    decisions = DecisionLog()

    async def run(call, _holding):
        if call.earlier is not None:
            await trio.sleep_forever()
        return LOST

    dispatcher = make_dispatcher(run)
    dispatcher._decisions = decisions
    with trio.move_on_after(1):
        await dispatcher.dispatch_recorded(retried_call(RetryAllowance(1)))
    ((_, _, verdict, _),) = decisions.outcomes
    assert verdict is Verdict.MAY_HAVE_RUN


async def test_a_deadline_that_has_come_stops_retries(autojump_clock):
    call = retried_call(RetryAllowance(5), deadline_s=0.001)
    assert await attempts_of(call, FULL) == 1


async def test_a_streamed_body_is_sent_once(autojump_clock):
    async def chunks():
        yield b"x"

    call = retried_call(RetryAllowance(5), body=streamed_body(chunks(), None))
    assert await attempts_of(call, FULL) == 1


async def test_retries_die_out_while_a_service_is_down(autojump_clock):
    count = 0

    async def run(_call, _holding):
        nonlocal count
        count += 1
        return FULL

    dispatcher = make_dispatcher(run)
    for _ in range(1000):
        await dispatcher.dispatch(retried_call(RetryAllowance(3)))
    assert count <= 1000 + 10


@pytest.mark.parametrize("seed", range(20))
async def test_the_whole_tree_stays_within_the_allowance(seed, autojump_clock):
    """Each execution fails at random after making sub-calls, some at once."""
    source = random.Random(seed)
    allowance = source.randrange(0, 6)
    depth = source.randrange(2, 13)
    executions = 0
    first_sends = 0

    def run_at(level):
        async def run(_call, holding):
            nonlocal executions
            executions += 1
            if level < depth:
                await make_sub_calls(level, holding)
            return source.choice([LOST, FULL, Answered(200, [], whole_body(b""))])

        return run

    async def make_sub_calls(level, holding):
        nonlocal first_sends
        dispatcher = make_dispatcher(run_at(level + 1), budgets_unlimited=True)
        fan_out = source.choice([1, 1, 2])
        first_sends += fan_out
        async with trio.open_nursery() as nursery:
            for _ in range(fan_out):
                nursery.start_soon(dispatcher.dispatch, retried_call(holding))

    root = RetryAllowance(allowance)
    dispatcher = make_dispatcher(run_at(1), budgets_unlimited=True)
    await dispatcher.dispatch(retried_call(root))
    assert executions <= 1 + first_sends + allowance
    assert root.remaining >= 0
