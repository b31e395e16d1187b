"""A home's role is held by one host at a time, whatever others know of the fleet.

`HOME_LEASE_SEEDS` is the number of seeds to play, for long runs by hand.
"""

import os

import pytest
import trio

from mangospoke.logservice.records import UpstreamState
from mangospoke.rates.named_homes import Excess
from mangospoke.rates.timing import HOME_LEASE_NS, NS_PER_S
from mangospoke.rates.units import MILLI
from tests.rates.home_fleet import HomeFleet, make_account

SEED_COUNT = int(os.environ.get("HOME_LEASE_SEEDS", "3"))

EXCESS = Excess(0.05, 16, 5)
WINDOW_S = 5
BLIND_S = 9.0


def allowed_in_window(account):
    return (account.rate * WINDOW_S + account.burst) * 1.1 + 20


def assert_rate_held(fleet, account):
    admitted = fleet.max_admitted_in(WINDOW_S, account.account_id)
    assert admitted <= allowed_in_window(account)


def domain_of_home(fleet, account):
    """Returns a home of the account, and the hosts of its failure domain."""
    home = fleet.homes_of(account)[0]
    return home, [each for each in sorted(fleet.records_by_host) if each[0] == home[0]]


async def send_too_much(fleet, account, seconds, hosts):
    """Sends three times the allowance, most of it to hosts that may be homes."""
    await fleet.send(
        seconds,
        {account.account_id: 3 * account.rate},
        lambda: fleet.rng.choice(hosts),
    )


@pytest.mark.parametrize("seed", range(SEED_COUNT))
async def test_a_restarted_home_and_a_blind_successor_hand_out_one_allowance(
    autojump_clock, seed
):
    # Both readers are away: nobody hears that the home is back.
    account = make_account(60, 6)
    async with trio.open_nursery() as nursery:
        fleet = HomeFleet(nursery, 9, 3, [account], EXCESS, seed)
        await trio.sleep(15)
        home, hosts = domain_of_home(fleet, account)
        nursery.start_soon(send_too_much, fleet, account, 30, hosts)
        await trio.sleep(5)
        nursery.start_soon(fleet.restart_host, home, 2.5, 1.0)
        await trio.sleep(2.6 + fleet.rng.uniform(0, 1))
        fleet.is_blind = lambda host_id: True
        await trio.sleep(BLIND_S)
        fleet.is_blind = lambda host_id: False
        await trio.sleep(8)
        nursery.cancel_scope.cancel()
    assert fleet.admitted_count > account.rate * 15
    assert_rate_held(fleet, account)


async def _disturb(fleet, account):
    """Disturbs the hosts of the domain that has the home, several at a time."""
    _, hosts = domain_of_home(fleet, account)
    busy = set()

    async def trouble(host_id, cause):
        busy.add(host_id)
        await cause(fleet, host_id)
        busy.discard(host_id)

    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(fleet.rng.uniform(0.2, 3))
            free = [each for each in hosts if each not in busy]
            if free:
                cause = fleet.rng.choice((_restart, _crash, _freeze, _cut, _blind))
                nursery.start_soon(trouble, fleet.rng.choice(free), cause)


async def _restart(fleet, host_id):
    await fleet.restart_host(
        host_id, fleet.rng.uniform(0.3, 3), fleet.rng.uniform(0.3, 3)
    )


async def _crash(fleet, host_id):
    fleet.kill_host(host_id)
    await trio.sleep(fleet.rng.uniform(0.3, 20))
    fleet.start_host(host_id)
    await trio.sleep(0.02)
    fleet.write_record(host_id)


async def _freeze(fleet, host_id):
    fleet.freeze_host(host_id)
    await trio.sleep(fleet.rng.uniform(0.5, 20))
    fleet.thaw_host(host_id)


async def _cut(fleet, host_id):
    fleet.cut_hosts.add(host_id)
    await trio.sleep(fleet.rng.uniform(0.5, 20))
    fleet.cut_hosts.discard(host_id)


async def _blind(fleet, host_id):
    fleet.blind_hosts.add(host_id)
    await trio.sleep(fleet.rng.uniform(0.5, 20))
    fleet.blind_hosts.discard(host_id)


async def _watch_holders(fleet, account, held_rates):
    """Adds up what the hosts that run hold, again and again."""
    while True:
        await trio.sleep(0.02)
        held_rates.append(
            sum(
                host.homes.share_of(account).rate
                for host_id, host in fleet.hosts_by_id.items()
                if host_id not in fleet.thawed_by_host
            )
        )


@pytest.mark.parametrize("seed", range(SEED_COUNT))
async def test_a_part_is_held_once_whatever_hosts_go_through(autojump_clock, seed):
    # Hosts are restarted, crash, freeze, are cut off and hear nothing, all at once.
    rate, burst = [(60, 6), (5, 5), (60, 60)][seed % 3]
    account = make_account(rate, burst)
    held_rates = []
    async with trio.open_nursery() as nursery:
        fleet = HomeFleet(nursery, [9, 20, 30][seed % 3], 3, [account], EXCESS, seed)
        fleet.is_blind = fleet.blind_hosts.__contains__
        fleet.is_cut = lambda one, other: (
            one != other and (one in fleet.cut_hosts or other in fleet.cut_hosts)
        )
        await trio.sleep(2)
        nursery.start_soon(_watch_holders, fleet, account, held_rates)
        nursery.start_soon(_disturb, fleet, account)
        hosts = sorted(fleet.records_by_host)
        await send_too_much(fleet, account, 90, hosts)
        nursery.cancel_scope.cancel()
    assert_rate_held(fleet, account)
    assert max(held_rates) <= account.rate * 1.05 * MILLI
    # What the reserves of the undisturbed domains hand out at least.
    assert fleet.admitted_count > 90


@pytest.mark.parametrize("seed", range(SEED_COUNT))
async def test_a_planned_restart_of_a_home_refuses_nothing(autojump_clock, seed):
    account = make_account(60, 6)
    async with trio.open_nursery() as nursery:
        fleet = HomeFleet(nursery, 30, 3, [account], EXCESS, seed)
        await trio.sleep(3)
        (home,) = fleet.homes_of(account)
        others = [each for each in sorted(fleet.records_by_host) if each != home]
        nursery.start_soon(fleet.restart_host, home, 2.5, 1.0)
        await fleet.send(
            8, {"acme": account.rate / 2}, lambda: fleet.rng.choice(others)
        )
        holders = fleet.homes_of(account)
        nursery.cancel_scope.cancel()
    assert holders == [home]
    # Less than a pause of 0.2 s would refuse.
    assert fleet.refused_ratio() < 0.2 / 8


@pytest.mark.parametrize("seed", range(SEED_COUNT))
async def test_a_successor_waits_out_a_home_that_it_can_not_reach(autojump_clock, seed):
    # Frozen, so that nobody is told; the home believes for long that it is one.
    account = make_account(60, 6)
    async with trio.open_nursery() as nursery:
        fleet = HomeFleet(nursery, 9, 3, [account], EXCESS, seed)
        await trio.sleep(15)
        home, hosts = domain_of_home(fleet, account)
        await fleet.restart_host(home, 0.01, 0.3)
        await trio.sleep(1)
        holder = fleet.homes_of(account)
        fleet.freeze_host(home)
        fleet.write_record(home, UpstreamState.DRAINING)
        nursery.start_soon(send_too_much, fleet, account, 40, hosts)
        await trio.sleep(HOME_LEASE_NS / NS_PER_S - 2)
        early = [each for each in fleet.homes_of(account) if each != home]
        await trio.sleep(4)
        late = [each for each in fleet.homes_of(account) if each != home]
        fleet.thaw_host(home)
        await trio.sleep(5)
        nursery.cancel_scope.cancel()
    assert holder == [home]
    assert early == []
    assert len(late) == 1
    assert_rate_held(fleet, account)
