"""Shares with token lending: fleet-wide rates hold, and tokens follow the demand."""

import random

import pytest

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.rates.lending import BORROWED_LIFETIME_NS, Excess, LendingShares
from mangospoke.rates.messages import TokenAmount
from mangospoke.rates.timing import NS_PER_MS, NS_PER_S

STEP_NS = 10 * NS_PER_MS
ASK_INTERVAL_STEPS = 10
HOSTS_ASKED = 3
MAX_WAIT_NS = 150 * NS_PER_MS


class LendingFleet:
    """Hosts that ask each other for tokens over a network that may lose messages.

    Attributes:
        reaches: Returns whether one host can reach another, both by index.
        lost_answer_probability: Probability that tokens lent get lost on the way.
    """

    def __init__(self, account, hosts=12, excess=None, seed=1, starts_full=True):
        self.account = account
        self.accounts_by_id = {account.account_id: account}
        self.rng = random.Random(seed)
        self.now = NS_PER_S
        self.reaches = lambda asker, asked: True
        self.lost_answer_probability = 0.0
        excess = excess or Excess()
        self.hosts = [
            LendingShares(lambda: hosts, excess, starts_full, self.now)
            for _ in range(hosts)
        ]
        self.admitted_at = []
        self.refused = 0
        self.requests = 0
        self.waiting_since = [[] for _ in range(hosts)]

    def run(self, seconds, arrivals_per_s):
        """Runs the fleet with random arrivals.

        Args:
            seconds: Duration.
            arrivals_per_s: Mean arrival rate at each host.
        """
        for step in range(int(seconds * NS_PER_S // STEP_NS)):
            self.now += STEP_NS
            for index, host in enumerate(self.hosts):
                self._serve_waiting(index, host)
                self._arrive(index, host, arrivals_per_s[index])
            if step % ASK_INTERVAL_STEPS == 0:
                for index in range(len(self.hosts)):
                    self._ask(index)

    def _arrive(self, index, host, host_arrivals_per_s):
        for _ in range(4):
            if self.rng.random() >= host_arrivals_per_s * STEP_NS / NS_PER_S / 4:
                continue
            host.arrived(self.account, self.now)
            if host.take_token(self.account, self.now):
                self.admitted_at.append(self.now)
            else:
                self.waiting_since[index].append(self.now)
                host.change_waiting(self.account.account_id, 1)

    def _serve_waiting(self, index, host):
        """Admits waiting requests that get a token; refuses those past the maximum."""
        still_waiting = []
        for since in self.waiting_since[index]:
            if host.take_token(self.account, self.now):
                self.admitted_at.append(self.now)
            elif self.now - since > MAX_WAIT_NS:
                host.count_refusal(self.account.account_id)
                self.refused += 1
            else:
                still_waiting.append(since)
                continue
            host.change_waiting(self.account.account_id, -1)
        self.waiting_since[index] = still_waiting

    def _ask(self, index):
        host = self.hosts[index]
        host.update_demand(self.now)
        wanted = host.tokens_to_borrow(self.now)
        if not wanted:
            return
        others = [other for other in range(len(self.hosts)) if other != index]
        lent_accounts = set()
        for asked in self.rng.sample(others, HOSTS_ASKED):
            wants = host.tokens_to_borrow(self.now, HOSTS_ASKED)
            if not wants or not self.reaches(index, asked):
                continue
            lent = self.hosts[asked].lend(wants, self.accounts_by_id, self.now)
            if self.rng.random() >= self.lost_answer_probability:
                host.borrow(lent, self.now)
                lent_accounts.update(amount.account_id for amount in lent)
        host.record_round(wanted, lent_accounts, self.now)
        self.requests += HOSTS_ASKED

    def max_admitted_in(self, window_ns):
        """Returns the largest number of requests admitted in any window."""
        maximum = first = 0
        for last, at in enumerate(self.admitted_at):
            while at - self.admitted_at[first] >= window_ns:
                first += 1
            maximum = max(maximum, last - first + 1)
        return maximum


def make_account(rate, burst):
    return EffectiveAccount("acme", rate, burst, 1, {}, None, None)


@pytest.mark.parametrize("seed", range(5))
def test_no_window_admits_more_than_rate_and_burst(seed):
    fleet = LendingFleet(make_account(60, 60), seed=seed)
    fleet.lost_answer_probability = 0.1
    for _ in range(6):
        arrivals_per_s = [fleet.rng.choice((0, 5, 120)) for _ in fleet.hosts]
        fleet.run(3, arrivals_per_s)
    for window_s in (1, 2, 5):
        assert fleet.max_admitted_in(window_s * NS_PER_S) <= 60 * window_s + 60


@pytest.mark.parametrize("seed", range(5))
def test_a_single_busy_host_gets_nearly_the_whole_rate(seed):
    # Load pattern: all of an account's requests enter at one of twelve hosts.
    fleet = LendingFleet(make_account(60, 60), seed=seed)
    fleet.run(10, [50] + [0] * 11)
    offered = len(fleet.admitted_at) + fleet.refused
    assert fleet.refused / offered < 0.05


def test_an_isolated_host_uses_only_its_own_share():
    fleet = LendingFleet(make_account(60, 60))
    fleet.reaches = lambda asker, asked: False
    fleet.run(20, [50] + [0] * 11)
    assert len(fleet.admitted_at) <= 20 * 60 / 12 + 60 / 12 + 1
    assert len(fleet.admitted_at) >= 20 * 60 / 12 - 1


def test_one_overloaded_host_uses_the_rate_without_exceeding_it():
    # Load pattern: one host gets many times the rate, the others get few requests.
    fleet = LendingFleet(make_account(60, 60))
    fleet.run(10, [400] + [2] * 11)
    assert fleet.max_admitted_in(5 * NS_PER_S) <= 5 * 60 + 60
    assert len(fleet.admitted_at) >= 10 * 60 * 0.8


def test_a_small_account_uses_the_allowed_excess():
    # Load pattern: a handful of requests a second, spread at random.
    fleet = LendingFleet(make_account(6, 6), excess=Excess(0.1, 20))
    fleet.run(20, [4 / 12] * 12)
    offered = len(fleet.admitted_at) + fleet.refused
    assert fleet.refused / offered < 0.02
    assert fleet.max_admitted_in(5 * NS_PER_S) <= (5 * 6 + 6) * 1.1 + 20


def test_few_requests_for_tokens_are_sent_if_all_hosts_are_short():
    # Load pattern: one account sends many times its rate at every host.
    fleet = LendingFleet(make_account(60, 60))
    fleet.run(10, [50] * 12)
    assert fleet.requests <= 10 * 12 * HOSTS_ASKED / 0.8 * 1.5
    assert len(fleet.admitted_at) >= 10 * 60 * 0.95


def test_a_returned_token_can_be_used_again():
    account = make_account(1, 5)
    shares = LendingShares(lambda: 1, Excess(), True, 0)
    shares.arrived(account, 1)
    while shares.take_token(account, 1):
        pass
    shares.give_back(account, 1)
    assert sum(shares.take_token(account, 1) for _ in range(9)) == 1


def test_borrowed_tokens_expire():
    account = make_account(10, 10)
    shares = LendingShares(lambda: 10, Excess(), False, 0)
    shares.arrived(account, 0)
    shares.borrow([TokenAmount("acme", 5_000)], 0)
    assert shares.take_token(account, BORROWED_LIFETIME_NS - 1)
    assert not shares.take_token(account, BORROWED_LIFETIME_NS)


def test_a_host_lends_no_tokens_that_it_needs_itself():
    account = make_account(100, 100)
    shares = LendingShares(lambda: 10, Excess(), True, 0)
    for step in range(1, 101):
        now = step * STEP_NS
        shares.arrived(account, now)
        shares.take_token(account, now)
        shares.update_demand(now)
    assert shares.lend([TokenAmount("acme", 10_000)], {"acme": account}, now) == ()


def test_no_tokens_of_an_undeclared_account_are_lent():
    shares = LendingShares(lambda: 1, Excess(), True, 0)
    assert shares.lend([TokenAmount("who", 1_000)], {}, 1) == ()


def test_a_lower_rate_takes_effect_at_once():
    shares = LendingShares(lambda: 1, Excess(), True, 0)
    high, low = make_account(100, 100), make_account(1, 1)
    assert shares.take_token(high, 1)
    taken = sum(shares.take_token(low, 2) for _ in range(50))
    assert taken <= 1


@pytest.mark.parametrize("rate", [10, 30, 63])
@pytest.mark.parametrize("seed", range(3))
def test_demand_beyond_the_rate_does_not_reduce_throughput(rate, seed):
    # Load pattern: an account's demand is a fifth more than its rate for 30 s.
    fleet = LendingFleet(make_account(rate, rate), 13, Excess(0.1, 20), seed)
    fleet.run(30, [rate * 1.2 / 13] * 13)
    assert len(fleet.admitted_at) >= 30 * rate
    assert fleet.max_admitted_in(5 * NS_PER_S) <= (5 * rate + rate) * 1.1 + 20
