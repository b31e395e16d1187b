"""Many hosts whose accounts have homes, in one process and in virtual time."""

import random
from collections import Counter, defaultdict

import msgspec
import trio

from mangospoke.conf.effective import EffectiveAccount, EffectiveConfiguration
from mangospoke.control.interface import ControlError
from mangospoke.logservice.records import UpstreamState
from mangospoke.rates.borrowing import BorrowedRates
from mangospoke.rates.claiming import PartClaimer
from mangospoke.rates.homes import HomeDirectory
from mangospoke.rates.lending import LendingShares
from mangospoke.rates.named_homes import Excess
from mangospoke.rates.timing import HOME_LEASE_NS, NS_PER_S
from mangospoke.state.fleet import Fleet
from mangospoke.state.freshness import Freshness
from mangospoke.state.membership import announcement_order
from tests.harness.addresses import fake_address, host_at
from tests.rates.fake_fleet import (
    LATENCY_S_BY_SAME_DOMAIN,
    announcement,
    read_clock_ns,
)

FOLLOWING_INTERVAL_S = 1.0


def make_account(rate, burst, account_id="acme"):
    return EffectiveAccount(account_id, rate, burst, 1, {}, None, None)


def _announcement(host_id, state=UpstreamState.SERVING):
    """Returns a host's record with an address that can be decoded."""
    address = fake_address(host_id)
    return msgspec.structs.replace(
        announcement(host_id, state), peer_address=address, control_address=address
    )


class _HomeHost:
    """A daemon of the fleet: its view of the hosts, and its part of the rates."""

    def __init__(self, home_fleet, host_id, earlier_lifetime_s):
        self.home_fleet = home_fleet
        self.host_id = host_id
        self.handlers_by_type = {}
        self.fleet = Fleet("site")
        self.list_freshness = Freshness(HOME_LEASE_NS / NS_PER_S, trio.current_time)
        self.homes = HomeDirectory(
            self.fleet,
            host_id,
            host_id[0],
            home_fleet.domains,
            home_fleet.excess,
            self.list_freshness,
            read_clock_ns,
        )
        shares = LendingShares(self.homes.share_of, read_clock_ns())
        self.claimer = PartClaimer(
            host_id,
            self.fleet,
            self,
            self.homes,
            shares,
            self.learn_host,
            read_clock_ns,
        )
        self.rates = BorrowedRates(
            host_id, self.fleet, self, self.homes, shares, read_clock_ns
        )
        self.homes.resume(earlier_lifetime_s)
        self.learn_hosts()
        self.activate_configuration()

    def activate_configuration(self):
        accounts_by_id = self.home_fleet.accounts_by_id
        self.fleet.activate_configuration(
            EffectiveConfiguration(1, accounts_by_id=accounts_by_id)
        )

    def learn_hosts(self):
        """Learns all records, which are proved to be all that there are now."""
        known = self.fleet.upstreams_by_host
        self.fleet.set_upstreams(
            {
                host_id: max(known.get(host_id, record), record, key=announcement_order)
                for host_id, record in self.home_fleet.records_by_host.items()
            }
        )
        self.list_freshness.confirm(trio.current_time())

    def learn_host(self, record):
        known = self.fleet.upstreams_by_host.get(record.host_id)
        if known is not None and announcement_order(known) > announcement_order(record):
            return
        known = {**self.fleet.upstreams_by_host, record.host_id: record}
        self.fleet.set_upstreams(known)

    async def send_request(self, address, request, answer_type, timeout_s):
        """The control channel of this host."""
        await self.home_fleet.wait_thawed(self.host_id)
        self.home_fleet.message_count += 1
        receiver = host_at(address)
        self.home_fleet.messages_by_host[receiver] += 1
        with trio.move_on_after(timeout_s):
            return await self.home_fleet.transmit(self.host_id, receiver, request)
        raise ControlError("no answer")


class HomeFleet:
    """Hosts named by domain and number, such as `a12`, and a network between them.

    Attributes:
        is_cut: Returns whether nothing passes from one host to another.
        is_blind: Returns whether a host doesn't learn of other hosts' records.
        cut_hosts: Hosts that a test has cut off.
        blind_hosts: Hosts that a test has made blind.
        thawed_by_host: Hosts whose process is frozen, and what they wait for.
        loss_probability: Probability that a message or an answer is lost.
        admitted_at_by_account: Nanoseconds of each admission.
        refused_by_account: Refusals.
    """

    def __init__(self, nursery, hosts, domains, accounts, excess=None, seed=1):
        self.nursery = nursery
        self.rng = random.Random(seed)
        random.seed(seed)
        self.domains = [chr(ord("a") + index) for index in range(domains)]
        self.accounts_by_id = {each.account_id: each for each in accounts}
        self.excess = excess or Excess()
        self.is_cut = lambda sender, receiver: False
        self.is_blind = lambda host_id: False
        self.cut_hosts = set()
        self.blind_hosts = set()
        self.thawed_by_host = {}
        self.loss_probability = 0.0
        self.admitted_at_by_account = defaultdict(list)
        self.refused_by_account = Counter()
        self.delays_s = []
        self.message_count = 0
        self.messages_by_host = Counter()
        self.records_by_host = {}
        self.hosts_by_id = {}
        self.scopes_by_host = {}
        for index in range(hosts):
            host_id = f"{self.domains[index % domains]}{index}"
            self.records_by_host[host_id] = _announcement(host_id)
        for host_id in self.records_by_host:
            self.start_host(host_id)

    def start_host(self, host_id, earlier_lifetime_s=0.0):
        """Starts a daemon, after one that had run for a time without leaving."""
        host = self.hosts_by_id[host_id] = _HomeHost(self, host_id, earlier_lifetime_s)
        scope = self.scopes_by_host[host_id] = trio.CancelScope()
        self.nursery.start_soon(self._run_host, host, scope)

    async def _run_host(self, host, scope):
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(host.rates.run)
                nursery.start_soon(host.claimer.run)
                nursery.start_soon(self._follow, host)

    async def _follow(self, host):
        """Lets a host hear of all records about once a second."""
        while True:
            await trio.sleep(self.rng.uniform(0.8, 1.2) * FOLLOWING_INTERVAL_S)
            await self.wait_thawed(host.host_id)
            if not self.is_blind(host.host_id):
                host.learn_hosts()

    async def wait_thawed(self, host_id):
        while host_id in self.thawed_by_host:
            await self.thawed_by_host[host_id].wait()

    def freeze_host(self, host_id):
        self.thawed_by_host[host_id] = trio.Event()

    def thaw_host(self, host_id):
        self.thawed_by_host.pop(host_id).set()

    async def restart_host(self, host_id, grace_s, down_s):
        """Stops a daemon as planned, and starts it again."""
        await trio.sleep(0.02)
        self.write_record(host_id, UpstreamState.DRAINING)
        await trio.sleep(grace_s)
        self.kill_host(host_id)
        await trio.sleep(down_s)
        self.start_host(host_id)
        await trio.sleep(0.02)
        self.write_record(host_id, UpstreamState.SERVING)

    def write_record(self, host_id, state=UpstreamState.SERVING):
        """Changes a host's record, which it knows at once and the others later."""
        sequence = self.records_by_host[host_id].sequence + 1
        record = msgspec.structs.replace(
            _announcement(host_id, state), sequence=sequence
        )
        self.records_by_host[host_id] = record
        host = self.hosts_by_id.get(host_id)
        if host is not None:
            host.learn_host(record)

    def kill_host(self, host_id):
        self.scopes_by_host.pop(host_id).cancel()
        del self.hosts_by_id[host_id]

    def declare(self, account):
        """Changes an account's declaration at all hosts at once."""
        self.accounts_by_id = {**self.accounts_by_id, account.account_id: account}
        for host in self.hosts_by_id.values():
            host.activate_configuration()

    async def announce(self, host_id, state=UpstreamState.SERVING, max_lag_s=0.0):
        """Changes a host's record, which each host learns of after some time."""
        sequence = (
            self.records_by_host.get(host_id, _announcement(host_id)).sequence + 1
        )
        self.records_by_host[host_id] = msgspec.structs.replace(
            _announcement(host_id, state), sequence=sequence
        )
        for host in list(self.hosts_by_id.values()):
            self.nursery.start_soon(self._learn, host, self.rng.uniform(0, max_lag_s))

    async def _learn(self, host, lag_s):
        await trio.sleep(lag_s)
        host.learn_hosts()

    def tokens_of(self, account):
        """Returns the tokens of an account that lie at all hosts together."""
        return sum(
            status.tokens
            for host in self.hosts_by_id.values()
            for status in host.rates.statuses()
            if status.account_id == account.account_id
        )

    def homes_of(self, account):
        return [
            host_id
            for host_id, host in self.hosts_by_id.items()
            if host.homes.share_of(account).rate
        ]

    async def transmit(self, sender, receiver, request):
        latency_s = LATENCY_S_BY_SAME_DOMAIN[sender[0] == receiver[0]]
        for source, target in ((sender, receiver), (receiver, sender)):
            await trio.sleep(latency_s * self.rng.uniform(1.0, 1.5))
            is_lost = self.rng.random() < self.loss_probability
            if is_lost or self.is_cut(source, target):
                await trio.sleep_forever()
            if receiver not in self.hosts_by_id:
                raise ControlError("connection refused")
            await self.wait_thawed(target)
            if target == receiver:
                handler = self.hosts_by_id[receiver].handlers_by_type[type(request)]
                answer = await handler(request)
        return answer

    async def call(self, host_id, account):
        host = self.hosts_by_id.get(host_id)
        if host is None:
            return
        started_at = trio.current_time()
        await self.wait_thawed(host_id)
        refused = await host.rates.admit(account)
        self.delays_s.append(trio.current_time() - started_at)
        if refused is None:
            self.admitted_at_by_account[account.account_id].append(read_clock_ns())
        else:
            self.refused_by_account[account.account_id] += 1

    async def send(self, seconds, rates_by_account, choose_host=None):
        """Sends Poisson arrivals of each account to random hosts for some time."""
        choose_host = choose_host or (lambda: self.rng.choice(sorted(self.hosts_by_id)))
        end_at = trio.current_time() + seconds
        async with trio.open_nursery() as calls:
            for account_id, rate in rates_by_account.items():
                account = self.accounts_by_id[account_id]
                calls.start_soon(
                    self._send_account, calls, account, rate, end_at, choose_host
                )

    async def _send_account(self, calls, account, rate, end_at, choose_host):
        while rate:
            await trio.sleep(self.rng.expovariate(rate))
            if trio.current_time() >= end_at:
                return
            calls.start_soon(self.call, choose_host(), account)

    @property
    def admitted_count(self):
        return sum(map(len, self.admitted_at_by_account.values()))

    def refused_ratio(self):
        refused = sum(self.refused_by_account.values())
        return refused / (refused + self.admitted_count)

    def max_admitted_in(self, window_s, account_id="acme"):
        """Returns the largest number of an account's admissions in any window."""
        admitted_at = sorted(self.admitted_at_by_account[account_id])
        maximum = first = 0
        for last, at in enumerate(admitted_at):
            while at - admitted_at[first] >= window_s * NS_PER_S:
                first += 1
            maximum = max(maximum, last - first + 1)
        return maximum

    def reset_counts(self):
        self.admitted_at_by_account.clear()
        self.refused_by_account.clear()
        self.delays_s.clear()
        self.message_count = 0
        self.messages_by_host.clear()
