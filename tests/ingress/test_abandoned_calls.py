"""Calls on their way to a failure domain that falls silent."""

import random

import trio

from mangospoke.calls import RetryAllowance, SendStatus
from mangospoke.ingress.dispatch import Dispatcher
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.observability.decisions import DecisionLog
from mangospoke.peers.messages import Load
from mangospoke.routing.balancer import Balancer
from mangospoke.routing.ejection import Ejector
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import Answered, RefusalReason
from tests.harness.calls import make_call

ANSWERED = Answered(200, [], None)


class FakeRetryBudget:
    """A number of retries that is never refilled."""

    def __init__(self, retries):
        self._retries = retries

    def record_success(self, service):
        """Does nothing."""

    def try_spend(self, service):
        self._retries -= 1
        return self._retries >= 0


class SilentHosts:
    """Upstreams in two domains, of which the other one falls silent."""

    def __init__(self, hosts=("b1", "b2", "b3", "a1"), budget=100):
        self.silent = set()
        self.sent_to = []
        self.marks_sent = True
        self.ejector = Ejector()
        fleet = Fleet("site")
        balancer = Balancer(
            fleet,
            "me",
            "a",
            self.ejector,
            lambda route: Load(0, 0, 1, 0.0),
            random.Random(1),
            lambda domain: domain in self.silent,
        )
        fleet.set_upstreams(
            {
                host_id: UpstreamAnnounced(
                    record_id=host_id,
                    host_id=host_id,
                    failure_domain=host_id[0],
                    incarnation=1,
                    service="batches",
                    peer_address=host_id,
                    control_address=host_id,
                    slots=1,
                )
                for host_id in hosts
            }
        )
        # The upstream of the own domain is full.
        balancer.record_load("a1", Load(9, 9, 1, 5_000.0))
        self.fleet = fleet
        self.dispatcher = Dispatcher(
            "me",
            None,
            self,
            balancer,
            self.ejector,
            DecisionLog(),
            FakeRetryBudget(budget),
            2,
            peers_retry=False,
        )

    async def execute(self, address, call, retries):
        self.sent_to.append(address)
        if self.marks_sent:
            call.send_status = SendStatus.SENT
        if address[0] in self.silent or address[0] == "b":
            await trio.sleep(call.deadline - trio.current_time())
        call.retries.return_unused(retries)
        return ANSWERED

    async def run(self, call):
        """Dispatches a call; the other domain falls silent a second later."""
        outcomes = []
        async with trio.open_nursery() as nursery:

            async def dispatch():
                outcomes.append(await self.dispatcher.dispatch(call))

            nursery.start_soon(dispatch)
            await trio.sleep(1)
            self.silent = {"b"}
            self.abandoned = self.dispatcher.abandon_calls(["b1", "b2", "b3"])
        return outcomes[0]


async def test_a_safe_call_waits_for_a_silent_domain(autojump_clock):
    hosts = SilentHosts()
    call = make_call(retries=RetryAllowance(1))
    assert await hosts.run(call) is ANSWERED
    assert trio.current_time() < call.deadline - 3
    assert [address[0] for address in hosts.sent_to] == ["b", "a"]
    assert call.retries.remaining == 0
    assert not hosts.ejector.states_by_host()


async def test_an_unsafe_call_is_sent_again_as_a_domain_falls_silent(autojump_clock):
    hosts = SilentHosts()
    call = make_call(retries=RetryAllowance(1), idempotent=False, idempotency_key="key")
    await hosts.run(call)
    assert hosts.abandoned == 0
    assert len(hosts.sent_to) == 1


async def test_an_unsafe_call_that_was_not_sent_waits_for_a_silent_domain(
    autojump_clock,
):
    hosts = SilentHosts()
    hosts.marks_sent = False
    call = make_call(retries=RetryAllowance(1), idempotent=False, idempotency_key="key")
    assert await hosts.run(call) is ANSWERED
    assert [address[0] for address in hosts.sent_to] == ["b", "a"]
    assert call.retries.remaining == 1


async def test_calls_are_tried_again_beyond_the_shared_budget(autojump_clock):
    hosts = SilentHosts(budget=2)
    outcomes = []
    async with trio.open_nursery() as nursery:

        async def dispatch():
            call = make_call(retries=RetryAllowance(1))
            outcomes.append(await hosts.dispatcher.dispatch(call))

        for _ in range(10):
            nursery.start_soon(dispatch)
        await trio.sleep(1)
        hosts.silent = {"b"}
        assert hosts.dispatcher.abandon_calls(["b1", "b2", "b3"]) == 2
    assert sum(address == "a1" for address in hosts.sent_to) == 2


async def test_a_call_is_given_up_though_nobody_else_serves_it(autojump_clock):
    hosts = SilentHosts(hosts=("b1", "b2"))
    await hosts.run(make_call(retries=RetryAllowance(1)))
    assert hosts.abandoned == 0


async def test_a_call_whose_route_allows_no_retry_is_sent_again(autojump_clock):
    hosts = SilentHosts()
    await hosts.run(make_call(retries=RetryAllowance(0)))
    assert hosts.abandoned == 0
    assert len(hosts.sent_to) == 1


async def test_a_silent_domain_gets_new_calls(autojump_clock):
    hosts = SilentHosts()
    hosts.silent = {"b"}
    for _ in range(20):
        outcome = await hosts.dispatcher.dispatch(make_call(retries=RetryAllowance(1)))
        assert outcome is ANSWERED
    assert set(hosts.sent_to) == {"a1"}


async def test_a_service_that_is_only_behind_the_cut_is_called(autojump_clock):
    hosts = SilentHosts(hosts=("b1", "b2"))
    hosts.silent = {"b"}
    outcome = await hosts.dispatcher.dispatch(make_call(retries=RetryAllowance(1)))
    assert outcome.reason is RefusalReason.NO_UPSTREAM
    assert hosts.sent_to == []


async def test_a_call_that_ends_as_it_is_given_up_gets_a_retry_too_many(autojump_clock):
    hosts = SilentHosts()
    call = make_call(retries=RetryAllowance(1))

    async def execute(address, call, retries):
        call.send_status = SendStatus.SENT
        hosts.silent = {"b"}
        assert hosts.dispatcher.abandon_calls([address]) == 1
        call.retries.return_unused(retries)
        return ANSWERED

    hosts.execute = execute
    assert await hosts.dispatcher.dispatch(call) is ANSWERED
    assert call.retries.remaining <= 1


async def test_a_service_is_taken_for_cut_off_while_one_domain_serves_it(
    autojump_clock,
):
    hosts = SilentHosts(hosts=("b1", "c1"))
    balancer = hosts.dispatcher._balancer
    assert not balancer.is_behind_cut("batches")
    hosts.silent = {"b"}
    assert not balancer.is_behind_cut("batches")
    hosts.silent = {"b", "c"}
    assert balancer.is_behind_cut("batches")
    assert not balancer.is_behind_cut("unknown")
