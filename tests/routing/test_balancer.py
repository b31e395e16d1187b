"""Load balancing: the less utilized upstream, preferably in the own failure domain."""

import random
from collections import Counter

from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.logservice.records import (
    UpstreamAnnounced,
    UpstreamLeft,
    UpstreamState,
)
from mangospoke.peers.messages import Load
from mangospoke.routing.balancer import Balancer
from mangospoke.routing.ejection import Ejector
from mangospoke.state.fleet import Fleet

IDLE = Load(0, 0, 10, 0.0)
FULL = Load(10, 40, 10, 200.0)
QUEUEING = Load(10, 2, 10, 3.0)


def make_upstream(host, domain, state=UpstreamState.SERVING):
    return UpstreamAnnounced(
        record_id=f"{host}-{state.value}",
        host_id=host,
        failure_domain=domain,
        incarnation=1,
        service="batches",
        peer_address=host,
        control_address=host,
        slots=10,
        state=state,
    )


def make_balancer(own_host="x", own_load=IDLE, hosts=None):
    fleet = Fleet("site")
    ejector = Ejector()
    balancer = Balancer(
        fleet, own_host, "a", ejector, lambda route: own_load, random.Random(7)
    )
    default_hosts = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
    for host, domain in (hosts or default_hosts).items():
        fleet.apply_membership(make_upstream(host, domain))
    return fleet, balancer


def count_choices(balancer, count=200, loads=None):
    """Makes a number of choices and counts them by host.

    The loads, if given, are reported again before each choice.
    """
    chosen = Counter()
    for _ in range(count):
        for host, load in (loads or {}).items():
            balancer.record_load(host, load)
        chosen[balancer.choose("batches", ()).upstream.host_id] += 1
    return chosen


async def test_own_domain_is_preferred(autojump_clock):
    _, balancer = make_balancer()
    assert set(count_choices(balancer)) == {"a1", "a2", "a3"}


async def test_most_utilized_of_three_is_never_chosen(autojump_clock):
    _, balancer = make_balancer()
    loads = {"a1": IDLE, "a2": QUEUEING, "a3": IDLE}
    assert set(count_choices(balancer, loads=loads)) == {"a1", "a3"}


async def test_full_domain_spills_over(autojump_clock):
    _, balancer = make_balancer()
    loads = {"a1": FULL, "a2": FULL, "a3": FULL, "b1": IDLE, "b2": IDLE}
    assert set(count_choices(balancer, loads=loads)) == {"b1", "b2"}


async def test_short_queue_is_preferred_to_long_network_delay(autojump_clock):
    _, balancer = make_balancer()
    for host in ("b1", "b2"):
        balancer.record_one_way_delay(host, 0.05)
    loads = {"a1": QUEUEING, "a2": QUEUEING, "a3": QUEUEING, "b1": IDLE, "b2": IDLE}
    assert set(count_choices(balancer, loads=loads)) <= {"a1", "a2", "a3"}


async def test_old_load_is_ignored(autojump_clock):
    _, balancer = make_balancer()
    for host in ("a1", "a2", "a3"):
        balancer.record_load(host, FULL)
    autojump_clock.jump(5)
    assert set(count_choices(balancer)) == {"a1", "a2", "a3"}


async def test_burst_between_load_reports_is_spread(autojump_clock):
    _, balancer = make_balancer()
    for host in ("a1", "a2", "a3"):
        balancer.record_load(host, IDLE)
    chosen = count_choices(balancer, 60)
    assert max(chosen.values()) - min(chosen.values()) <= 6


async def test_own_upstream_is_preferred_while_it_has_capacity(autojump_clock):
    _, balancer = make_balancer(own_host="a1")
    assert balancer.choose("batches", ()).reason == "own-host"
    _, balancer = make_balancer(own_host="a1", own_load=FULL)
    assert balancer.choose("batches", ()).reason == "own-domain"


async def test_draining_and_departed_upstreams_are_not_chosen(autojump_clock):
    fleet, balancer = make_balancer(hosts={"a1": "a", "a2": "a"})
    fleet.apply_membership(make_upstream("a1", "a", UpstreamState.DRAINING))
    assert set(count_choices(balancer)) == {"a2"}
    fleet.apply_membership(UpstreamLeft(record_id="l", host_id="a2", incarnation=1))
    assert balancer.choose("batches", ()) is None


async def test_tried_hosts_are_excluded(autojump_clock):
    _, balancer = make_balancer()
    tried = {"a1", "a2", "a3", "b1"}
    assert balancer.choose("batches", tried).upstream.host_id == "b2"
    assert balancer.choose("batches", tried | {"b2"}) is None


def order_evacuation(fleet, offset, **values_by_domain):
    """Gives the order to evacuate a domain, or takes it back with an empty value."""
    if fleet.evacuations.known[1] < 0:
        fleet.evacuations.handle_newest([], 1, 0)
    orders = [KeyedRecord(d, value, offset) for d, value in values_by_domain.items()]
    fleet.evacuations.handle_orders(orders, 1, offset + 1)


async def test_an_evacuated_domain_gets_nothing_from_its_own_hosts_neither(
    autojump_clock,
):
    fleet, balancer = make_balancer(own_host="a1")
    assert set(count_choices(balancer)) == {"a1"}
    order_evacuation(fleet, 0, a=b"{}")
    assert set(count_choices(balancer)) == {"b1", "b2"}
    loads = {"a1": IDLE, "b1": FULL, "b2": FULL}
    assert set(count_choices(balancer, loads=loads)) <= {"b1", "b2"}
    order_evacuation(fleet, 1, b=b"{}")
    assert balancer.choose("batches", ()) is None
    assert not balancer.has_choice("batches", ())


async def test_a_domain_that_is_taken_back_is_not_flooded(autojump_clock):
    fleet, balancer = make_balancer(own_host="a1")
    order_evacuation(fleet, 0, a=b"{}")
    autojump_clock.jump(30)
    order_evacuation(fleet, 1, a=b"")
    parts = []
    for _ in range(3):
        chosen = count_choices(balancer, 1_000)
        parts.append(chosen["a1"] / 1_000)
        autojump_clock.jump(5)
    assert parts[0] < 0.2 < parts[1] < 0.9 < parts[2]


async def test_a_returning_domain_takes_what_no_other_can(autojump_clock):
    fleet, balancer = make_balancer(hosts={"a1": "a", "a2": "a"})
    order_evacuation(fleet, 0, a=b"{}")
    order_evacuation(fleet, 1, a=b"")
    assert set(count_choices(balancer)) == {"a1", "a2"}
