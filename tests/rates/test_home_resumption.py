"""Homes after a power loss of all hosts, some of which don't come back."""

import pytest
import trio

from mangospoke.logservice.records import UpstreamState
from mangospoke.rates.named_homes import Excess
from tests.rates.home_fleet import HomeFleet, make_account

EXCESS = Excess(0.05, 16, 5)
WINDOW_S = 5


def last_of_each_domain(fleet):
    return {
        sorted(each for each in fleet.records_by_host if each[0] == d)[-1]
        for d in fleet.domains
    }


def lose_power(fleet, *, gone=(), earlier_lifetime_s):
    hosts = sorted(fleet.records_by_host)
    for host_id in hosts:
        fleet.kill_host(host_id)
    for host_id in hosts:
        if host_id not in gone:
            fleet.start_host(host_id, earlier_lifetime_s)


@pytest.mark.parametrize("rate", [6, 60])
async def test_accounts_have_their_rates_soon_after_a_power_loss(autojump_clock, rate):
    account = make_account(rate, rate)
    async with trio.open_nursery() as nursery:
        fleet = HomeFleet(nursery, 12, 3, [account], EXCESS)
        await trio.sleep(30)
        gone = last_of_each_domain(fleet)
        lose_power(fleet, gone=gone, earlier_lifetime_s=30.0)
        await trio.sleep(1.5)
        alive = sorted(fleet.hosts_by_id)
        choose = lambda: fleet.rng.choice(alive)  # noqa: E731
        await fleet.send(8, {"acme": rate / 2}, choose)
        nursery.cancel_scope.cancel()
    allowed = (account.rate * WINDOW_S + account.burst) * 1.1 + 20
    assert fleet.max_admitted_in(WINDOW_S) <= allowed
    assert fleet.refused_ratio() < 0.1


def held(fleet):
    return [
        part
        for host in fleet.hosts_by_id.values()
        for part in host.homes.parts.held_since_by_part
        if not part.is_reserve
    ]


async def test_a_process_that_was_hardly_listed_leaves_nothing_to_take_over(
    autojump_clock,
):
    async with trio.open_nursery() as nursery:
        fleet = HomeFleet(nursery, 6, 3, [make_account(6, 6)], EXCESS)
        await trio.sleep(15)
        lose_power(fleet, gone=last_of_each_domain(fleet), earlier_lifetime_s=19.0)
        assert not held(fleet)
        nursery.cancel_scope.cancel()


async def test_nothing_is_taken_over_behind_a_host_that_leaves(autojump_clock):
    # It held the part until it left, and its successor may hold it by now.
    account = make_account(6, 6)
    async with trio.open_nursery() as nursery:
        fleet = HomeFleet(nursery, 9, 3, [account], EXCESS)
        await trio.sleep(15)
        home = fleet.homes_of(account)[0]
        fleet.write_record(home, UpstreamState.DRAINING)
        lose_power(fleet, earlier_lifetime_s=60.0)
        assert not held(fleet)
        nursery.cancel_scope.cancel()
