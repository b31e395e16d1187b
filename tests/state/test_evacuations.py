"""Evacuated failure domains: known everywhere in time, and never undone by old news."""

import itertools

import pytest
import trio

from mangospoke.control.messages import EvacuationState
from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.logservice.records import UpstreamState
from mangospoke.state.evacuated_services import EvacuatedServices
from mangospoke.state.evacuations import Evacuations
from mangospoke.state.fleet import Fleet
from tests.routing.test_balancer import make_upstream
from tests.state.following_fleet import FollowingFleet

START_S = 3.0
KNOWN_WITHIN_S = 4.2
"""Less than the bound of 5 s, by the notice in which a host still takes requests."""


def order(domain, offset, value=b"{}"):
    return KeyedRecord(domain, value, offset)


def take_back(domain, offset):
    return order(domain, offset, b"")


@pytest.fixture
async def evacuations():
    known = Evacuations()
    known.handle_newest([], 1, 5)
    return known


async def test_a_repeated_order_does_not_begin_the_notice_anew(
    autojump_clock, evacuations
):
    evacuations.handle_orders([order("a", 5)], 1, 6)
    await trio.sleep(3)
    evacuations.handle_orders([order("a", 6)], 1, 7)
    assert evacuations.age_s("a") == pytest.approx(3)


async def test_overlapping_orders_are_taken_back_one_by_one(evacuations):
    evacuations.handle_orders([order("a", 5), order("b", 6)], 1, 7)
    evacuations.handle_orders([take_back("a", 7)], 1, 8)
    assert evacuations.domains() == ["b"]


async def test_an_order_whose_records_were_deleted_holds_until_it_is_taken_back(
    evacuations,
):
    evacuations.handle_orders([order("a", 5)], 1, 6)
    evacuations.handle_newest([order("a", 5)], 1, 9)
    assert evacuations.is_evacuated("a")
    evacuations.handle_newest([], 1, 12)
    assert not evacuations.is_evacuated("a")


async def test_a_peer_that_is_behind_takes_nothing_back(evacuations):
    evacuations.handle_orders([order("a", 5)], 1, 6)
    evacuations.handle_state_of_peer(EvacuationState(1, 5, ()))
    evacuations.handle_newest([], 1, 5)
    assert evacuations.is_evacuated("a")
    evacuations.handle_state_of_peer(EvacuationState(1, 7, ()))
    assert not evacuations.is_evacuated("a")


async def test_a_reader_that_is_behind_its_peers_repeats_nothing_old(evacuations):
    evacuations.handle_state_of_peer(EvacuationState(1, 8, ("b",)))
    evacuations.handle_orders([order("a", 5), take_back("a", 6)], 1, 7)
    assert evacuations.domains() == ["b"]
    evacuations.handle_orders([take_back("b", 7), order("c", 8)], 1, 9)
    assert evacuations.domains() == ["b", "c"]


async def test_only_the_present_era_of_the_log_counts(evacuations):
    evacuations.handle_orders([order("a", 5)], 1, 6)
    evacuations.handle_newest([order("b", 1)], 2, 2)
    assert evacuations.domains() == ["b"]
    evacuations.handle_orders([order("c", 50)], 1, 51)
    assert evacuations.domains() == ["b"]


async def test_a_host_that_starts_in_an_evacuated_domain_gives_no_notice(
    autojump_clock,
):
    found = Evacuations()
    found.handle_newest([order("a", 5)], 1, 6)
    assert found.age_s("a") == float("inf")


async def test_a_domain_that_is_taken_back_gets_its_share_slowly(
    autojump_clock, evacuations
):
    evacuations.handle_orders([order("a", 5)], 1, 6)
    assert evacuations.share("a") == 0
    evacuations.handle_orders([take_back("a", 6)], 1, 7)
    shares = []
    for _ in range(12):
        shares.append(evacuations.share("a"))
        await trio.sleep(1)
    assert shares[0] <= 0.1
    assert shares[-1] == 1
    assert max(b - a for a, b in itertools.pairwise(shares)) < 0.15
    evacuations.handle_orders([order("a", 7)], 1, 8)
    assert evacuations.share("a") == 0


async def test_a_service_without_any_other_upstream_is_reported(autojump_clock):
    fleet = Fleet("s")
    watched = EvacuatedServices(fleet, ("a", "b"))
    for host, domain in (("a1", "a"), ("b1", "b")):
        fleet.apply_membership(make_upstream(host, domain))
    fleet.evacuations.handle_newest([order("a", 0)], 1, 1)
    assert watched.services == []
    fleet.apply_membership(make_upstream("b1", "b", UpstreamState.DRAINING))
    assert watched.services == ["batches"]
    fleet.evacuations.handle_newest([], 1, 2)
    assert watched.services == []


@pytest.fixture
async def make_fleet():
    async with trio.open_nursery() as nursery:
        yield lambda hosts, domains=3, seed=1: FollowingFleet(
            nursery, hosts, domains, seed
        )
        nursery.cancel_scope.cancel()


async def time_until_known(fleet, domains, hosts=None):
    """Waits until hosts know just these evacuated domains; returns the seconds."""
    since = trio.current_time()
    while True:
        known = [
            host.fleet.evacuations.domains()
            for host in (hosts or list(fleet.hosts_by_id.values()))
        ]
        if all(each == domains for each in known):
            return trio.current_time() - since
        assert trio.current_time() - since < 30, known
        await trio.sleep(0.05)


async def test_all_hosts_learn_of_an_evacuation_and_of_its_end(
    autojump_clock, make_fleet
):
    fleet = make_fleet(195, 5)
    await trio.sleep(START_S)
    for value, expected in ((b"{}", ["b"]), (b"{}", ["b"]), (b"", [])):
        fleet.log.append("op", "evacuate/b", value)
        assert await time_until_known(fleet, expected) < 0.5
    assert fleet.versions() == {1}


@pytest.mark.parametrize("seed", range(5))
async def test_domains_whose_hosts_the_log_turns_away_learn_of_it_in_time(
    autojump_clock, make_fleet, seed
):
    fleet = make_fleet(60, 3, seed)
    await trio.sleep(START_S)
    fleet.log.is_down_for = lambda host_id: host_id[0] != "c"
    await trio.sleep(seed)
    fleet.log.append("op", "evacuate/c", b"{}")
    assert await time_until_known(fleet, ["c"]) < KNOWN_WITHIN_S


async def test_an_order_given_while_the_log_was_away_is_learnt_afterwards(
    autojump_clock, make_fleet
):
    fleet = make_fleet(30)
    await trio.sleep(START_S)
    fleet.log.is_down_for = lambda host_id: True
    fleet.log.append("op", "evacuate/a", b"{}")
    await trio.sleep(8)
    fleet.log.is_down_for = lambda host_id: False
    assert await time_until_known(fleet, ["a"]) < KNOWN_WITHIN_S


async def test_a_host_that_starts_during_an_evacuation_knows_it(
    autojump_clock, make_fleet
):
    fleet = make_fleet(30)
    await trio.sleep(START_S)
    fleet.log.append("op", "evacuate/a", b"{}")
    fleet.start_host("a100")
    host = fleet.hosts_by_id["a100"]
    assert await time_until_known(fleet, ["a"], [host]) < 1


async def test_quiet_orders_wake_nobody(autojump_clock, make_fleet):
    fleet = make_fleet(60)
    await trio.sleep(START_S)
    await trio.sleep(5)
    before = fleet.message_count
    await trio.sleep(10)
    quiet = fleet.message_count - before
    fleet.log.append("op", "evacuate/a", b"{}")
    await trio.sleep(5)
    before = fleet.message_count
    await trio.sleep(10)
    assert fleet.message_count - before < 1.1 * quiet
