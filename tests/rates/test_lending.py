"""Shares with token lending: fleet-wide rates hold, and tokens follow the demand."""

import random

import pytest
import trio

from mangospoke.rates.homes import BORROWED_LIFETIME_S, HeldShare
from mangospoke.rates.lending import BORROWED_LIFETIME_NS, LendingShares
from mangospoke.rates.messages import TokenAmount
from mangospoke.rates.named_homes import Excess
from mangospoke.rates.timing import NS_PER_MS, NS_PER_S
from mangospoke.rates.units import MILLI
from tests.rates.home_fleet import HomeFleet, make_account

STEP_NS = 10 * NS_PER_MS
HOSTS_ASKED = 3
EXCESS = Excess(0.05, 16, 5)
"""What hosts use of an allowed excess of 10 % and 20 requests in 5 s."""


def make_shares(hosts=1, is_full=True):
    """Returns what one host holds if an account is split equally."""
    since = -60 * NS_PER_S if is_full else 0

    def read_share(declared):
        share = shares_by_rate.get(declared.rate)
        if share is None:
            rate, burst = declared.rate * MILLI, declared.burst * MILLI
            burst = int(max(burst - rate * BORROWED_LIFETIME_S, burst / 2))
            share = HeldShare(rate // hosts, burst // hosts, earning_since=since)
            shares_by_rate[declared.rate] = share
        return share

    shares_by_rate = {}
    return LendingShares(read_share, 0)


async def run_fleet(
    account, seconds, rates_by_host, hosts=12, excess=None, seed=1, prepare=None
):
    """Runs a fleet whose hosts get the account's requests at different rates."""
    async with trio.open_nursery() as nursery:
        fleet = HomeFleet(nursery, hosts, 3, [account], excess, seed)
        if prepare is not None:
            prepare(fleet)
        await trio.sleep(2)
        for rates in rates_by_host:
            hosts_by_id = sorted(fleet.hosts_by_id)
            await fleet.send(
                seconds,
                {account.account_id: sum(rates)},
                lambda hosts=hosts_by_id, rates=rates: fleet.rng.choices(hosts, rates)[
                    0
                ],
            )
        nursery.cancel_scope.cancel()
    return fleet


@pytest.mark.parametrize("seed", range(5))
async def test_no_window_admits_more_than_rate_and_burst(autojump_clock, seed):
    def prepare(fleet):
        fleet.loss_probability = 0.1

    rng = random.Random(seed)
    rates = [[rng.choice((0, 5, 120)) for _ in range(12)] for _ in range(6)]
    fleet = await run_fleet(make_account(60, 60), 3, rates, seed=seed, prepare=prepare)
    for window_s in (1, 2, 5):
        assert fleet.max_admitted_in(window_s) <= 60 * window_s + 60


@pytest.mark.parametrize("seed", range(5))
async def test_a_single_busy_host_gets_nearly_the_whole_rate(autojump_clock, seed):
    # Load pattern: all of an account's requests enter at one of twelve hosts.
    rates = [[50] + [0] * 11]
    fleet = await run_fleet(make_account(60, 60), 10, rates, seed=seed)
    assert fleet.refused_ratio() < 0.05


async def test_an_isolated_host_uses_only_its_own_share(autojump_clock):
    def prepare(fleet):
        # A host that is alone from its start on can't claim its share of the others.
        fleet.is_cut = lambda sender, receiver: trio.current_time() > 1

    rates = [[50] + [0] * 11]
    fleet = await run_fleet(make_account(60, 60), 20, rates, prepare=prepare)
    assert fleet.admitted_count <= 20 * 60 / 12 + 60 / 12 + 1
    assert fleet.admitted_count >= 20 * 60 / 12 - 1


async def test_one_overloaded_host_uses_the_rate_without_exceeding_it(autojump_clock):
    # Load pattern: one host gets many times the rate, the others get few requests.
    fleet = await run_fleet(make_account(60, 60), 10, [[400] + [2] * 11])
    assert fleet.max_admitted_in(5) <= 5 * 60 + 60
    assert fleet.admitted_count >= 10 * 60 * 0.8


async def test_a_small_account_uses_the_allowed_excess(autojump_clock):
    # Load pattern: a handful of requests a second, spread at random.
    rates = [[4 / 12] * 12]
    fleet = await run_fleet(make_account(6, 6), 20, rates, excess=EXCESS)
    assert fleet.refused_ratio() < 0.02
    assert fleet.max_admitted_in(5) <= (5 * 6 + 6) * 1.1 + 20


async def test_few_messages_are_sent_if_all_hosts_are_short(autojump_clock):
    # Load pattern: one account sends many times its rate at every host.
    fleet = await run_fleet(make_account(60, 60), 10, [[50] * 12])
    assert fleet.message_count <= 10 * 12 * HOSTS_ASKED / 0.8 * 1.5
    assert fleet.admitted_count >= 10 * 60 * 0.95


def test_a_returned_token_can_be_used_again():
    account = make_account(1, 5)
    shares = make_shares()
    shares.arrived(account, 1)
    while shares.take_token(account, 1):
        pass
    shares.give_back(account, 1)
    assert sum(shares.take_token(account, 1) for _ in range(9)) == 1


def test_borrowed_tokens_expire():
    account = make_account(10, 10)
    shares = make_shares(hosts=10, is_full=False)
    shares.arrived(account, 0)
    shares.borrow([TokenAmount("acme", 5_000)], 0)
    assert shares.take_token(account, BORROWED_LIFETIME_NS - 1)
    assert not shares.take_token(account, BORROWED_LIFETIME_NS)


def test_a_host_lends_no_tokens_that_it_needs_itself():
    account = make_account(100, 100)
    shares = make_shares(hosts=10)
    for step in range(1, 101):
        now = step * STEP_NS
        shares.arrived(account, now)
        shares.take_token(account, now)
        shares.update_demand(now)
    assert shares.lend([TokenAmount("acme", 10_000)], {"acme": account}, now) == ()


def test_no_tokens_of_an_undeclared_account_are_lent():
    shares = make_shares()
    assert shares.lend([TokenAmount("who", 1_000)], {}, 1) == ()


def test_a_lower_rate_takes_effect_at_once():
    high, low = make_account(100, 100), make_account(1, 1)
    shares = make_shares()
    assert shares.take_token(high, 1)
    taken = sum(shares.take_token(low, 2) for _ in range(50))
    assert taken <= 1


@pytest.mark.parametrize("rate", [10, 30, 63])
@pytest.mark.parametrize("seed", range(3))
async def test_demand_beyond_the_rate_does_not_reduce_throughput(
    autojump_clock, rate, seed
):
    # Load pattern: an account's demand is a fifth more than its rate for 30 s.
    rates = [[rate * 1.2 / 13] * 13]
    fleet = await run_fleet(
        make_account(rate, rate), 30, rates, 13, excess=EXCESS, seed=seed
    )
    assert fleet.admitted_count >= 30 * rate
    assert fleet.max_admitted_in(5) <= (5 * rate + rate) * 1.1 + 20
