"""Placement of calls among upstreams that differ in speed or lose answers."""

import random
from collections import Counter

import pytest
import trio

from mangospoke.peers.messages import Load
from mangospoke.routing.balancer import Balancer
from mangospoke.routing.ejection import Ejector
from mangospoke.routing.expected_costs import ExpectedCosts
from mangospoke.state.fleet import Fleet
from tests.routing.test_balancer import make_upstream

ROUTE = "r"


def tell(in_flight=1, work_ms=100, failure_percent=0, slowness_percent=100):
    return Load(
        in_flight,
        0,
        10,
        0.0,
        work_ms=work_ms,
        failure_percent=failure_percent,
        slowness_percent=slowness_percent,
    )


def make_balancer(hosts, own_host="x"):
    fleet = Fleet("site")
    balancer = Balancer(
        fleet, own_host, "a", Ejector(), lambda route: tell(), random.Random(7)
    )
    for host, domain in hosts.items():
        fleet.apply_membership(make_upstream(host, domain))
    return balancer


def count_choices(balancer, loads, count=200):
    chosen = Counter()
    for _ in range(20):
        for host, load in loads.items():
            balancer.record_load(host, load, ROUTE)
    for _ in range(count):
        for host, load in loads.items():
            balancer.record_load(host, load, ROUTE)
        chosen[balancer.choose("batches", (), ROUTE).upstream.host_id] += 1
    return chosen


async def test_an_upstream_that_loses_answers_gets_hardly_any(autojump_clock):
    balancer = make_balancer({"a1": "a", "a2": "a", "a3": "a"})
    loads = {"a1": tell(failure_percent=30), "a2": tell(), "a3": tell()}
    assert count_choices(balancer, loads)["a1"] == 0


async def test_a_domain_whose_upstreams_lose_answers_sends_elsewhere(autojump_clock):
    balancer = make_balancer({"a1": "a", "b1": "b"})
    loads = {"a1": tell(failure_percent=30), "b1": tell()}
    assert count_choices(balancer, loads) == {"b1": 200}


async def test_a_hop_is_not_made_for_a_little_speed(autojump_clock):
    balancer = make_balancer({"a1": "a", "b1": "b"})
    loads = {"a1": tell(work_ms=120), "b1": tell(work_ms=80)}
    assert count_choices(balancer, loads) == {"a1": 200}


async def test_the_faster_of_two_gets_more_until_it_is_fuller(autojump_clock):
    balancer = make_balancer({"a1": "a", "a2": "a"})
    loads = {"a1": tell(work_ms=50), "a2": tell(work_ms=150)}
    assert count_choices(balancer, loads)["a1"] > 190
    crowded = {"a1": tell(in_flight=9, work_ms=50), "a2": tell(work_ms=150)}
    assert count_choices(balancer, crowded)["a2"] > 190


async def test_an_own_upstream_that_fails_is_passed_over(autojump_clock):
    fleet = Fleet("site")
    own = tell(failure_percent=40)
    balancer = Balancer(
        fleet, "a1", "a", Ejector(), lambda route: own, random.Random(7)
    )
    for host in ("a1", "a2"):
        fleet.apply_membership(make_upstream(host, "a"))
    balancer.record_load("a2", tell(), ROUTE)
    assert balancer.choose("batches", (), ROUTE).upstream.host_id == "a2"


async def test_a_slow_moment_is_forgotten_when_it_is_over(autojump_clock):
    costs = ExpectedCosts()
    for address in ("a1", "a2"):
        costs.record(address, ROUTE, tell(), trio.current_time())
    costs.record("a1", ROUTE, tell(slowness_percent=250), trio.current_time())
    usual_s = costs.cost_s("a2", ROUTE, trio.current_time())
    assert costs.cost_s("a1", ROUTE, trio.current_time()) > 2 * usual_s
    await trio.sleep(1.0)
    assert costs.cost_s("a1", ROUTE, trio.current_time()) == pytest.approx(usual_s)


async def test_when_all_lose_answers_all_are_used(autojump_clock):
    balancer = make_balancer({"a1": "a", "a2": "a", "a3": "a"})
    loads = dict.fromkeys(("a1", "a2", "a3"), tell(failure_percent=30))
    chosen = Counter()
    for _ in range(300):
        choice = balancer.choose("batches", (), ROUTE).upstream
        chosen[choice.host_id] += 1
        balancer.record_load(choice.host_id, loads[choice.host_id], ROUTE)
    assert min(chosen.values()) > 50
