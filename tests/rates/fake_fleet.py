"""Rate limiting of many daemons in one process, with a fake network and log service."""

import random
from collections import defaultdict

import msgspec
import trio

from mangospoke.bench.rate_histories import Decision
from mangospoke.conf.declarations import FailureDomain
from mangospoke.conf.effective import EffectiveAccount, EffectiveConfiguration
from mangospoke.control.interface import ControlError
from mangospoke.control.messages import Message
from mangospoke.logservice.client import LogUnavailableError
from mangospoke.logservice.protocol import ReadResponse, StoredRecord
from mangospoke.logservice.records import (
    UpstreamAnnounced,
    UpstreamState,
    encode_record,
)
from mangospoke.rates.records import DaemonIdentity
from mangospoke.rates.service import Rates
from mangospoke.rates.timing import NS_PER_S
from mangospoke.state.fleet import Fleet

LATENCY_S_BY_SAME_DOMAIN = {True: 0.0002, False: 0.0015}
"""One-way latency between two daemons, by whether they are in the same domain."""


def read_clock_ns():
    return round(trio.current_time() * NS_PER_S)


class FakeLog:
    def __init__(self, rng):
        self.records = []
        self.unreachable_from_domains = set()
        self.lost_answer_probability = 0.0
        self.appended = trio.Event()
        self.rng = rng

    def client(self, domain):
        return FakeLogClient(self, domain)


class FakeLogClient:
    def __init__(self, log, domain):
        self.log = log
        self.domain = domain

    async def _transmit(self):
        await trio.sleep(0.003)
        if self.domain in self.log.unreachable_from_domains:
            await trio.sleep(0.5)
            raise LogUnavailableError("cut off")

    async def append(self, stream, record):
        await self._transmit()
        log = self.log
        offset = len(log.records)
        content = msgspec.Raw(encode_record(record))
        log.records.append(StoredRecord(offset, 0, content))
        appended, log.appended = log.appended, trio.Event()
        appended.set()
        if log.rng.random() < log.lost_answer_probability:
            raise LogUnavailableError("the answer was lost")
        await self._transmit()
        return offset

    async def read(self, stream, from_offset, wait_ms):
        await self._transmit()
        if wait_ms:
            with trio.move_on_after(wait_ms / 1000):
                while len(self.log.records) <= from_offset:
                    await self.log.appended.wait()
        await self._transmit()
        records = tuple(self.log.records[from_offset : from_offset + 500])
        return ReadResponse(0, len(self.log.records), records)


class FakeControl:
    def __init__(self, network, domain):
        self.handlers_by_type = {}
        self.network = network
        self.domain = domain

    async def send_request(self, address, question, answer_type, timeout_s):
        with trio.move_on_after(timeout_s):
            return await self._exchange(address, question, answer_type)
        raise ControlError("no answer")

    async def _exchange(self, address, question, answer_type):
        network = self.network
        await network.transmit(self.domain, address)
        receiver = network.controls_by_address[address]
        answer = await receiver.handlers_by_type[type(question)](question)
        assert isinstance(answer, Message)
        await network.transmit(receiver.domain, address, answer_domain=self.domain)
        if not isinstance(answer, answer_type):
            raise ControlError("rejected")
        return answer


class FakeNetwork:
    def __init__(self, rng):
        self.controls_by_address = {}
        self.cut_domains = set()
        self.lost_message_probability = 0.0
        self.bytes_by_kind = defaultdict(int)
        self.rng = rng

    async def transmit(self, domain, address, answer_domain=None):
        """Waits for the latency of a message, forever if it is lost.

        Args:
            domain: Domain of the sender.
            address: Address of the daemon that gets, or answers, the request.
            answer_domain: Domain that gets the answer; None for a request.
        """
        receiver_domain = answer_domain or address[0]
        await trio.sleep(LATENCY_S_BY_SAME_DOMAIN[domain == receiver_domain])
        is_cut_off = (
            domain != receiver_domain and {domain, receiver_domain} & self.cut_domains
        )
        is_down = address not in self.controls_by_address
        if is_cut_off or is_down or self.rng.random() < self.lost_message_probability:
            await trio.sleep_forever()


class FakeFleet:
    """Daemons with their rate limiting; all clients use the account "acme".

    A daemon's host id is its domain's letter and a number. It also serves as the
    daemon's control address.
    """

    def __init__(self, nursery, rate, burst, domains=("a", "b", "c"), hosts=4, seed=0):
        self.rng = random.Random(seed)
        self.network = FakeNetwork(self.rng)
        self.log = FakeLog(self.rng)
        self.domains = domains
        self.lost_domains = ()
        self.rate, self.burst = rate, burst
        self.version = 0
        self.fleets_by_host = {}
        self.rates_by_host = {}
        self.cancel_scopes_by_host = {}
        self.decisions = []
        self.last_incarnation = 0
        self._nursery = nursery
        self.host_ids = [f"{domain}{n}" for domain in domains for n in range(hosts)]
        for host_id in self.host_ids:
            self.fleets_by_host[host_id] = Fleet("site")
            for other in self.host_ids:
                self.fleets_by_host[host_id].apply_membership(announcement(other))
        self.configure(rate, burst)
        for host_id in self.host_ids:
            self.start(host_id)

    def configure(self, rate, burst, except_domains=()):
        self.version += 1
        self.rate, self.burst = rate, burst
        self.account = EffectiveAccount("acme", rate, burst, 1, {}, None, None)
        for host_id in self.host_ids:
            if host_id[0] not in except_domains:
                self.fleets_by_host[host_id].configuration = EffectiveConfiguration(
                    self.version,
                    accounts_by_id={"acme": self.account},
                    domains_by_id={
                        domain: FailureDomain(
                            site="site", lost=domain in self.lost_domains
                        )
                        for domain in self.domains
                    },
                )

    def start(self, host_id):
        self.last_incarnation += 1
        control = FakeControl(self.network, host_id[0])
        self.network.controls_by_address[host_id] = control
        rates = Rates(
            self.fleets_by_host[host_id],
            host_id[0],
            DaemonIdentity(host_id, self.last_incarnation, host_id),
            control,
            self.log.client(host_id[0]),
            read_clock_ns,
        )
        self.rates_by_host[host_id] = rates
        self.cancel_scopes_by_host[host_id] = trio.CancelScope()
        self._nursery.start_soon(self._run, rates, self.cancel_scopes_by_host[host_id])

    async def _run(self, rates, scope):
        with scope:
            await rates.run()

    def kill(self, host_id):
        self.cancel_scopes_by_host.pop(host_id).cancel()
        del self.rates_by_host[host_id]
        del self.network.controls_by_address[host_id]

    def drain(self, host_id):
        for fleet in self.fleets_by_host.values():
            fleet.apply_membership(announcement(host_id, UpstreamState.DRAINING))

    def grantor_of(self, domain):
        """Returns the host that is the active grantor of a domain, or None."""
        for host_id, rates in self.rates_by_host.items():
            if host_id[0] == domain and rates.grantor.is_active(read_clock_ns()):
                return host_id
        return None

    async def wait_until_granting(self):
        with trio.fail_after(60):
            while not all(self.grantor_of(domain) for domain in self.domains):  # noqa: ASYNC110
                await trio.sleep(0.05)
            while not any(r.table.accounts_by_id for r in self.rates_by_host.values()):  # noqa: ASYNC110
                await trio.sleep(0.05)

    async def call(self, host_id):
        rates = self.rates_by_host.get(host_id)
        if rates is None:
            return
        refused = await rates.admit(self.account)
        decision = Decision.ADMITTED if refused is None else Decision.REFUSED
        self.decisions.append((read_clock_ns(), decision))

    async def drive(self, seconds, load, domains=None, host_ids=None):
        """Sends requests at random times to random daemons.

        Args:
            seconds: Duration.
            load: Mean arrival rate as a multiple of the account's rate.
            domains: Domains whose hosts get the requests; all if None.
            host_ids: Hosts that get the requests, instead of `domains`.
        """
        entry_hosts = host_ids or [
            host_id
            for host_id in self.host_ids
            if domains is None or host_id[0] in domains
        ]
        ends_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at:
                await trio.sleep(self.rng.expovariate(self.rate * load))
                nursery.start_soon(self.call, self.rng.choice(entry_hosts))

    def admitted(self):
        return [at for at, decision in self.decisions if decision is Decision.ADMITTED]


def announcement(host_id, state=UpstreamState.SERVING):
    return UpstreamAnnounced(
        record_id=host_id,
        host_id=host_id,
        failure_domain=host_id[0],
        incarnation=1,
        service="s",
        peer_address="",
        control_address=host_id,
        slots=1,
        state=state,
    )
