"""Failure domains that fall silent: found out once, for all hosts, and only then."""

import random

import pytest
import trio

from mangospoke.control.interface import ControlError
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.routing.reachability import DomainReachability
from mangospoke.routing.reachability_watch import ReachabilityWatch
from mangospoke.state.fleet import Fleet

DOMAINS = "abc"
ROUND_TRIP_S = 0.003
SEND_INTERVAL_S = 0.05
MAX_DETECTION_S = 1.2
MAX_RETURN_S = 1.0
RETRANSMISSION_S = 0.2


def announce(host_id):
    return UpstreamAnnounced(
        record_id=host_id,
        host_id=host_id,
        failure_domain=host_id[0],
        incarnation=1,
        service="batches",
        peer_address=host_id,
        control_address=host_id,
        slots=4,
    )


class FakeNetwork:
    """Hosts that exchange control messages and requests, with links that can be cut."""

    def __init__(self, nursery, hosts_per_domain, seed=0):
        self.random = random.Random(seed)
        self.host_ids = [f"{d}{n}" for d in DOMAINS for n in range(hosts_per_domain)]
        self.cut_domains = set()
        self.dead_hosts = set()
        self.delay_s = 0.0
        self.loss_ratio = 0.0
        self.sent = []
        self.work_s = 0.0
        self.handlers_by_id = {}
        self.hosts_by_id = {}
        upstreams = {host_id: announce(host_id) for host_id in self.host_ids}
        for host_id in self.host_ids:
            self.hosts_by_id[host_id] = FakeHost(self, host_id, upstreams)
            nursery.start_soon(self.hosts_by_id[host_id].watch.run)

    def is_cut(self, a, b):
        if {a, b} & self.dead_hosts:
            return True
        return a[0] != b[0] and bool({a[0], b[0]} & self.cut_domains)

    async def travel(self, a, b):
        await trio.sleep(ROUND_TRIP_S + self.delay_s * self.random.random())
        if self.random.random() < self.loss_ratio:
            await trio.sleep(RETRANSMISSION_S)
        if self.is_cut(a, b):
            await trio.sleep_forever()

    def silent_pairs(self):
        return {
            (host_id, domain)
            for host_id, host in self.hosts_by_id.items()
            for domain in host.reachability.silent_domains()
        }


class FakeHost:
    """One host: its view of the domains, and a load that it sends to others."""

    def __init__(self, network, host_id, upstreams):
        self.network = network
        self.host_id = host_id
        self.handlers_by_type = {}
        fleet = Fleet("site")
        self.reachability = DomainReachability(
            host_id, host_id[0], random.Random(host_id)
        )
        self.watch = ReachabilityWatch(
            host_id,
            host_id[0],
            1,
            fleet,
            self,
            self.reachability,
            random.Random(host_id),
        )
        fleet.set_upstreams(upstreams)

    async def send_request(self, address, request, response_type, timeout_s):
        self.network.sent.append((self.host_id, address, request))
        self.reachability.record_sent(address, trio.current_time())
        with trio.move_on_after(timeout_s):
            await self.network.travel(self.host_id, address)
            target = self.network.hosts_by_id[address]
            response = await target.handlers_by_type[type(request)](request)
            self.reachability.record_heard(address, trio.current_time())
            return response
        raise ControlError("silent")

    async def send_load(self, targets):
        """Sends requests to some hosts in turn, unless their domain is silent."""
        async with trio.open_nursery() as nursery:
            while True:
                for target in targets:
                    if not self.reachability.is_silent(target[0]):
                        nursery.start_soon(self.send_call, target)
                    await trio.sleep(SEND_INTERVAL_S)

    async def send_call(self, target):
        self.reachability.record_sent(target, trio.current_time())
        with trio.move_on_after(5):
            await self.network.travel(self.host_id, target)
            await trio.sleep(self.network.work_s)
            if self.network.is_cut(self.host_id, target):
                await trio.sleep_forever()
            self.reachability.record_heard(target, trio.current_time())


def start_load(network, nursery, senders):
    for host_id in senders:
        others = [each for each in network.host_ids if each[0] != host_id[0]]
        network.random.shuffle(others)
        nursery.start_soon(network.hosts_by_id[host_id].send_load, others)


@pytest.mark.parametrize("hosts_per_domain", [2, 5, 30])
async def test_a_silent_domain_is_found_out_host_by_host(
    hosts_per_domain, autojump_clock, nursery
):
    network = FakeNetwork(nursery, hosts_per_domain)
    start_load(network, nursery, ["a0", "b0", "c0"])
    await trio.sleep(5)
    assert not network.silent_pairs()
    network.cut_domains = {"c"}
    await trio.sleep(MAX_DETECTION_S)
    # All hosts know, also those that send nothing there.
    expected = {(each, "c") for each in network.host_ids if each[0] != "c"}
    expected |= {(each, d) for each in network.host_ids if each[0] == "c" for d in "ab"}
    assert network.silent_pairs() == expected
    await trio.sleep(6)
    network.cut_domains = set()
    await trio.sleep(MAX_RETURN_S)
    assert not network.silent_pairs()


async def test_all_hosts_check_for_the_return_of_a_silent_domain(
    autojump_clock, nursery
):
    network = FakeNetwork(nursery, 40)
    start_load(network, nursery, network.host_ids)
    await trio.sleep(2)
    network.cut_domains = {"c"}
    await trio.sleep(2)
    network.sent.clear()
    await trio.sleep(10)
    across = [
        (a, b) for a, b, _ in network.sent if a[0] != b[0] and "c" in (a[0], b[0])
    ]
    # Four pairs of domains: three hosts that check often, the others every 5 s.
    per_pair = 3 * 10 / 0.3 * 2 + 40 * 2 * 10 / 5
    assert len(across) <= 4 * per_pair * 1.3


async def test_a_slow_domain_is_taken_for_a_silent_one(autojump_clock, nursery):
    network = FakeNetwork(nursery, 4)
    network.delay_s = 0.15
    network.work_s = 4.0
    start_load(network, nursery, network.host_ids)
    await trio.sleep(30)
    assert all(host.watch.changes == 0 for host in network.hosts_by_id.values())


async def test_lost_packets_are_taken_for_a_silent_domain(autojump_clock, nursery):
    network = FakeNetwork(nursery, 4)
    network.loss_ratio = 0.025
    network.work_s = 0.5
    start_load(network, nursery, network.host_ids)
    await trio.sleep(60)
    assert all(host.watch.changes == 0 for host in network.hosts_by_id.values())


async def test_a_dead_host_is_taken_for_a_silent_domain(autojump_clock, nursery):
    network = FakeNetwork(nursery, 3)
    # Only the dead host gets requests of this one.
    nursery.start_soon(network.hosts_by_id["a0"].send_load, ["c0"])
    await trio.sleep(1)
    network.dead_hosts = {"c0"}
    await trio.sleep(20)
    assert not network.silent_pairs()


@pytest.mark.parametrize("seed", range(5))
async def test_a_domain_of_which_half_is_cut_off_is_taken_for_silent(
    seed, autojump_clock, nursery
):
    network = FakeNetwork(nursery, 8, seed)
    senders = ["a0", "a1", "b0", "b1"]
    start_load(network, nursery, senders)
    await trio.sleep(2)
    network.dead_hosts = {"c0", "c1", "c2", "c3"}
    for _ in range(100):
        await trio.sleep(0.1)
        assert not {pair for pair in network.silent_pairs() if pair[0] in senders}


async def test_a_host_that_is_cut_off_alone_persuades_its_neighbours(
    autojump_clock, nursery
):
    network = FakeNetwork(nursery, 3)
    start_load(network, nursery, ["a0", "a1"])
    await trio.sleep(2)
    a0 = network.hosts_by_id["a0"].reachability
    now = trio.current_time()
    neighbour = network.hosts_by_id["a1"].reachability
    assert not neighbour.handle_report("c", is_silent=True, silent_for_s=0.9, now=now)
    assert not neighbour.is_silent("c")
    assert not a0.is_silent("c")


def test_a_process_that_stood_still_takes_the_others_for_silent():
    reachability = DomainReachability("a0", "a", random.Random(1))
    reachability.set_hosts([announce(each) for each in ("a0", "c0", "c1")])
    reachability.record_sent("c0", 0.0)
    (check,) = reachability.due_checks(0.5)
    assert reachability.record_check(check, is_answered=False, now=3.0) is None
    assert not reachability.silent_domains()


def test_a_domain_with_a_single_host_is_judged_as_a_domain():
    reachability = DomainReachability("a0", "a", random.Random(1))
    reachability.set_hosts([announce(each) for each in ("a0", "c0")])
    reachability.record_sent("c0", 0.0)
    assert reachability.due_checks(5.0) == []
