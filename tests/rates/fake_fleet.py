"""Daemons' rates in one process, over a fake network and a fake log service."""

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
from mangospoke.logservice.protocol import ReadAnswer, StoredRecord
from mangospoke.logservice.records import (
    UpstreamAnnounced,
    UpstreamState,
    encode_record,
)
from mangospoke.rates.records import Appointee
from mangospoke.rates.service import Rates
from mangospoke.rates.timing import NS_PER_S
from mangospoke.state.fleet import Fleet

ONE_WAY_S = {True: 0.0002, False: 0.0015}
"""Seconds from one daemon to another, by whether they share a domain."""


def read_clock():
    return round(trio.current_time() * NS_PER_S)


class FakeLog:
    def __init__(self, source):
        self.records = []
        self.down_places = set()
        self.lost_answers = 0.0
        self.appended = trio.Event()
        self.source = source

    def client(self, domain):
        return FakeLogClient(self, domain)


class FakeLogClient:
    def __init__(self, log, domain):
        self.log = log
        self.domain = domain

    async def _cross(self):
        await trio.sleep(0.003)
        if self.domain in self.log.down_places:
            await trio.sleep(0.5)
            raise LogUnavailableError("cut off")

    async def append(self, stream, record):
        await self._cross()
        log = self.log
        offset = len(log.records)
        content = msgspec.Raw(encode_record(record))
        log.records.append(StoredRecord(offset, 0, content))
        appended, log.appended = log.appended, trio.Event()
        appended.set()
        if log.source.random() < log.lost_answers:
            raise LogUnavailableError("the answer was lost")
        await self._cross()
        return offset

    async def read(self, stream, from_offset, wait_ms):
        await self._cross()
        if wait_ms:
            with trio.move_on_after(wait_ms / 1000):
                while len(self.log.records) <= from_offset:
                    await self.log.appended.wait()
        await self._cross()
        records = tuple(self.log.records[from_offset : from_offset + 500])
        return ReadAnswer(0, len(self.log.records), records)


class FakeControl:
    def __init__(self, network, domain):
        self.handlers_by_type = {}
        self.network = network
        self.domain = domain

    async def ask(self, address, question, answer_type, timeout_s):
        with trio.move_on_after(timeout_s):
            return await self._exchange(address, question, answer_type)
        raise ControlError("no answer")

    async def _exchange(self, address, question, answer_type):
        network = self.network
        await network.cross(self.domain, address)
        target = network.controls_by_address[address]
        answer = await target.handlers_by_type[type(question)](question)
        assert isinstance(answer, Message)
        await network.cross(target.domain, address, back_to=self.domain)
        if not isinstance(answer, answer_type):
            raise ControlError("rejected")
        return answer


class FakeNetwork:
    def __init__(self, source):
        self.controls_by_address = {}
        self.cut_domains = set()
        self.lost_messages = 0.0
        self.bytes_by_kind = defaultdict(int)
        self.source = source

    async def cross(self, domain, address, back_to=None):
        target = back_to or address[0]
        await trio.sleep(ONE_WAY_S[domain == target])
        cut = domain != target and {domain, target} & self.cut_domains
        gone = address not in self.controls_by_address
        if cut or gone or self.source.random() < self.lost_messages:
            await trio.sleep_forever()


class FakeFleet:
    """Daemons named `DOMAIN` + number, which is also their control address."""

    def __init__(self, nursery, rate, burst, domains=("a", "b", "c"), hosts=4, seed=0):
        self.source = random.Random(seed)
        self.network = FakeNetwork(self.source)
        self.log = FakeLog(self.source)
        self.domains = domains
        self.lost = ()
        self.rate, self.burst = rate, burst
        self.version = 0
        self.states = {}
        self.rates_by_host = {}
        self.scopes_by_host = {}
        self.decisions = []
        self.incarnation = 0
        self._nursery = nursery
        self.names = [f"{domain}{n}" for domain in domains for n in range(hosts)]
        for name in self.names:
            self.states[name] = Fleet("site")
            for other in self.names:
                self.states[name].apply_membership(announcement(other))
        self.configure(rate, burst)
        for name in self.names:
            self.start(name)

    def configure(self, rate, burst, but_not=()):
        self.version += 1
        self.rate, self.burst = rate, burst
        self.account = EffectiveAccount("acme", rate, burst, 1, {}, None, None)
        for name in self.names:
            if name[0] not in but_not:
                self.states[name].configuration = EffectiveConfiguration(
                    self.version,
                    accounts_by_id={"acme": self.account},
                    domains_by_id={
                        domain: FailureDomain(site="site", lost=domain in self.lost)
                        for domain in self.domains
                    },
                )

    def start(self, name):
        self.incarnation += 1
        control = FakeControl(self.network, name[0])
        self.network.controls_by_address[name] = control
        rates = Rates(
            self.states[name],
            name[0],
            Appointee(name, self.incarnation, name),
            control,
            self.log.client(name[0]),
            read_clock,
        )
        self.rates_by_host[name] = rates
        self.scopes_by_host[name] = trio.CancelScope()
        self._nursery.start_soon(self._run, rates, self.scopes_by_host[name])

    async def _run(self, rates, scope):
        with scope:
            await rates.run()

    def kill(self, name):
        self.scopes_by_host.pop(name).cancel()
        del self.rates_by_host[name]
        del self.network.controls_by_address[name]

    def drain(self, name):
        for state in self.states.values():
            state.apply_membership(announcement(name, UpstreamState.DRAINING))

    def grantor_of(self, domain):
        """The host that grants in a domain, or None."""
        for name, rates in self.rates_by_host.items():
            if name[0] == domain and rates.grantor.is_active(read_clock()):
                return name
        return None

    async def wait_until_granting(self):
        with trio.fail_after(60):
            while not all(self.grantor_of(domain) for domain in self.domains):  # noqa: ASYNC110
                await trio.sleep(0.05)
            while not any(r.table.accounts_by_id for r in self.rates_by_host.values()):  # noqa: ASYNC110
                await trio.sleep(0.05)

    async def call(self, name):
        rates = self.rates_by_host.get(name)
        if rates is None:
            return
        refused = await rates.admit(self.account)
        decision = Decision.ADMITTED if refused is None else Decision.REFUSED
        self.decisions.append((read_clock(), decision))

    async def drive(self, seconds, load, domains=None, names=None):
        """Sends requests at random times to random daemons.

        Args:
            seconds: For how long.
            load: Requests over the account's rate.
            domains: Where they enter; everywhere if None.
            names: Daemons where they enter, in place of domains.
        """
        chosen = names or [
            name for name in self.names if domains is None or name[0] in domains
        ]
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                await trio.sleep(self.source.expovariate(self.rate * load))
                nursery.start_soon(self.call, self.source.choice(chosen))

    def admitted(self):
        return [at for at, made in self.decisions if made is Decision.ADMITTED]


def announcement(name, state=UpstreamState.SERVING):
    return UpstreamAnnounced(
        record_id=name,
        host_id=name,
        failure_domain=name[0],
        incarnation=1,
        service="s",
        peer_address="",
        control_address=name,
        slots=1,
        state=state,
    )
