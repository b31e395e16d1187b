"""Hosts that follow a log service through each other, in virtual time."""

import random
from collections import Counter

import msgspec
import trio

from mangospoke.conf.effective import EffectiveConfiguration
from mangospoke.conf.settings import Fleet as FleetSettings
from mangospoke.conf.settings import Host, Listen, LogService, Settings
from mangospoke.control.interface import ControlError
from mangospoke.logservice.calls import LogUnavailableError
from mangospoke.logservice.era import LogEra
from mangospoke.logservice.keyed import KeyedBatch, KeyedRecord
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.rates.timing import HOME_LEASE_NS, NS_PER_S
from mangospoke.state.fleet import Fleet
from mangospoke.state.freshness import Freshness
from mangospoke.state.host_directory import HostDirectory
from mangospoke.state.keyed_following import KeyedFollowing, KeyedTopics
from tests.harness.addresses import fake_address, host_at

MAX_AGE_S = 4.4
LATENCY_S = 0.004
SILENT_TIMEOUT_S = 1.0
_SECOND_PAGE_KEY = "c"


class FakeKeyedLog:
    """A log service with two keyed topics, which counts calls by second.

    Attributes:
        is_down_for: Returns whether a host's calls are not answered.
        refuses_at_once: Whether these calls are refused, not left without an answer.
        answer_delay_s: Returns how late a host's answers come, after they were made.
        page_interval_s: Time between the two pages of the newest records.
    """

    def __init__(self):
        self.records_by_topic = {"op": [], "hosts": []}
        self.era = 1
        self.page_interval_s = 0.0
        self.is_down_for = lambda host_id: False
        self.refuses_at_once = False
        self.answer_delay_s = lambda host_id: 0.0
        self.calls_by_second = Counter()
        self.calls_by_host = Counter()
        self.call_count = 0
        self.appended = trio.Event()

    def append(self, topic, key, value):
        records = self.records_by_topic[topic]
        records.append(KeyedRecord(key, value, len(records)))
        appended, self.appended = self.appended, trio.Event()
        appended.set()

    def restore(self, records_by_topic):
        """Comes back from an older copy."""
        self.era += 1
        self.records_by_topic = records_by_topic
        appended, self.appended = self.appended, trio.Event()
        appended.set()


class LogClient:
    """One host's client, with the interface of `KeyedLog`."""

    def __init__(self, log, host_id):
        self.log = log
        self.host_id = host_id
        self.era = LogEra()

    async def _transmit(self):
        self.log.calls_by_second[int(trio.current_time())] += 1
        self.log.call_count += 1
        self.log.calls_by_host[self.host_id] += 1
        if self.log.is_down_for(self.host_id):
            if not self.log.refuses_at_once:
                await trio.sleep(SILENT_TIMEOUT_S)
            raise LogUnavailableError("no answer")
        await trio.sleep(LATENCY_S)

    async def read_newest(self, topic):
        """Reads two pages, which aren't one snapshot."""
        await self._transmit()
        self.era.observe(self.log.era)
        end = len(self.log.records_by_topic[topic])
        first_page = self._newest_records(topic, lambda key: key < _SECOND_PAGE_KEY)
        await trio.sleep(self.log.page_interval_s)
        second_page = self._newest_records(topic, lambda key: key >= _SECOND_PAGE_KEY)
        return KeyedBatch(first_page + second_page, end, era=self.log.era)

    def _newest_records(self, topic, is_on_page):
        records = self.log.records_by_topic[topic]
        newest = {each.key: each for each in records if is_on_page(each.key)}
        return list(newest.values())

    async def read(self, topic, from_offset, wait_ms):
        with trio.move_on_after(wait_ms / 1000 + SILENT_TIMEOUT_S):
            batch = await self._read(topic, from_offset, wait_ms)
            await trio.sleep(self.log.answer_delay_s(self.host_id))
            return batch
        raise LogUnavailableError("no answer in time")

    async def _read(self, topic, from_offset, wait_ms):
        await self._transmit()
        started_at = trio.current_time()
        era = self.log.era
        with trio.move_on_after(wait_ms / 1000):
            while (
                len(self.log.records_by_topic[topic]) <= from_offset
                and self.log.era == era
            ):
                await self.log.appended.wait()
        if not self.era.observe(self.log.era):
            raise LogUnavailableError("an era that has ended")
        if self.log.is_down_for(self.host_id):
            raise LogUnavailableError("no answer")
        records = self.log.records_by_topic[topic][from_offset:]
        waited_s = trio.current_time() - started_at if not records else 0.0
        return KeyedBatch(records, from_offset + len(records), waited_s, self.log.era)

    async def put(self, topic, key, value):
        await self._transmit()
        self.log.append(topic, key, value)


class FollowingHost:
    """The parts of a hosted daemon that keep it up to date."""

    def __init__(self, following_fleet, host_id):
        self.following_fleet = following_fleet
        self.host_id = host_id
        self.handlers_by_type = {}
        self.client = LogClient(following_fleet.log, host_id)
        self.fleet = Fleet("site")
        self.directory = HostDirectory(
            self.fleet, Freshness(HOME_LEASE_NS / NS_PER_S, trio.current_time)
        )
        self.freshness = Freshness(MAX_AGE_S, trio.current_time)
        following = KeyedFollowing(
            _settings(host_id),
            self.client,
            KeyedTopics("op", "config", "hosts", "evacuate/"),
            _decode,
            self.fleet,
            self.directory,
            self.freshness,
            self,
            trio.current_time,
            following_fleet.rng,
        )
        self.configuration = following.configuration
        self.hosts_follower = following.hosts_follower
        self.peers = following.peers
        self.services_by_name = following.services_by_name()

    @property
    def version(self):
        return self.fleet.configuration.version

    async def run(self):
        async with trio.open_nursery() as nursery:
            for run_service in self.services_by_name.values():
                nursery.start_soon(run_service)
            if self.host_id not in self.following_fleet.registered:
                self.following_fleet.registered.add(self.host_id)
                record = msgspec.json.encode(_announcement(self.host_id))
                await self.client.put("hosts", self.host_id, record)

    async def send_request(self, address, request, answer_type, timeout_s):
        with trio.move_on_after(timeout_s):
            return await self.following_fleet.transmit(
                self.host_id, host_at(address), request
            )
        raise ControlError("no answer")


class FollowingFleet:
    """Hosts named by domain and number, such as `a12`, and a network between them.

    Attributes:
        is_cut: Returns whether nothing passes from one host to another.
    """

    def __init__(self, nursery, hosts, domains, seed=1):
        self.nursery = nursery
        self.rng = random.Random(seed)
        random.seed(seed)
        self.log = FakeKeyedLog()
        self.log.append("op", "config", b"1")
        self.is_cut = lambda sender, receiver: False
        self.registered = set()
        self.message_count = 0
        self.hosts_by_id = {}
        self.scopes_by_host = {}
        for index in range(hosts):
            self.start_host(f"{chr(ord('a') + index % domains)}{index}")

    def start_host(self, host_id):
        host = self.hosts_by_id[host_id] = FollowingHost(self, host_id)
        scope = self.scopes_by_host[host_id] = trio.CancelScope()
        self.nursery.start_soon(self._run_host, host, scope)

    async def _run_host(self, host, scope):
        await trio.sleep(self.rng.uniform(0, 0.3))
        with scope:
            await host.run()

    def kill_host(self, host_id):
        self.scopes_by_host.pop(host_id).cancel()
        return self.hosts_by_id.pop(host_id)

    async def transmit(self, sender, receiver, request):
        self.message_count += 1
        for source, target in ((sender, receiver), (receiver, sender)):
            await trio.sleep(0.001)
            if self.is_cut(source, target):
                await trio.sleep_forever()
            if receiver not in self.hosts_by_id:
                raise ControlError("connection refused")
            if target == receiver:
                handler = self.hosts_by_id[receiver].handlers_by_type[type(request)]
                answer = await handler(request)
        return answer

    def hosts(self):
        return list(self.hosts_by_id.values())

    def hosts_by_rank(self):
        """Returns the hosts' ids, the readers of all domains first."""
        return sorted(
            self.hosts_by_id,
            key=lambda each: self.hosts_by_id[each].peers._topology.position(),
        )

    def readers(self):
        return [
            host_id
            for host_id, host in self.hosts_by_id.items()
            if host.peers._topology.is_reader()
        ]

    def publish(self, content):
        self.log.append("op", "config", content)

    def versions(self):
        return {host.version for host in self.hosts_by_id.values()}

    def stale_hosts(self):
        return [
            host_id
            for host_id, host in self.hosts_by_id.items()
            if not host.freshness.is_fresh()
        ]


def _decode(content):
    version, _, _ = content.partition(b"/")
    return EffectiveConfiguration(int(version)) if version.isdigit() else None


def _announcement(host_id):
    return UpstreamAnnounced(
        record_id=host_id,
        host_id=host_id,
        failure_domain=host_id[0],
        incarnation=1,
        service="s",
        peer_address=fake_address(host_id),
        control_address=fake_address(host_id),
        slots=1,
    )


def _settings(host_id):
    return Settings(
        host=Host(id=host_id, failure_domain=host_id[0], site="site"),
        listen=Listen(
            public=host_id,
            local=host_id,
            peer=host_id,
            control=host_id,
            operations=host_id,
        ),
        fleet=FleetSettings(secret="secret"),
        log=LogService(address="log", timeout_ms=1_000),
    )
