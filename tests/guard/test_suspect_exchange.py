"""What daemons of a service know of its suspects, across restarts and cuts."""

import random

import pytest
import trio

from mangospoke.bench.admission import Demand, make_call
from mangospoke.control.interface import ControlError
from mangospoke.guard.poison import QuarantineController
from mangospoke.guard.suspect_learning import LearningPhase, SuspectLearning
from mangospoke.guard.suspects import SUSPECT_LIFETIME_S
from mangospoke.logservice.records import UpstreamAnnounced, UpstreamState
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import Answered, FailureReason, Refused, Unanswered

LOST = Unanswered(FailureReason.UPSTREAM_CONNECTION_LOST)
RESPONSE_DELAY_S = 0.002


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
        state=UpstreamState.SERVING,
    )


class FakeControl:
    """The control channel of one host of a fake service."""

    def __init__(self, service, host_id):
        self.handlers_by_type = {}
        self._service = service
        self._host_id = host_id

    async def send_request(self, address, request, response_type, timeout_s):
        self._service.sent.append((self._host_id, address, request))
        target = self._service.controls_by_id.get(address)
        domains = {self._host_id[0], address[0]}
        if target is None or (len(domains) == 2 and domains & self._service.cut):
            await trio.sleep(timeout_s)
            raise ControlError("silent")
        await trio.sleep(RESPONSE_DELAY_S)
        return await target.handlers_by_type[type(request)](request)


class FakeService:
    """Daemons of one service, whose upstreams crash on one request."""

    def __init__(self, nursery, host_ids):
        self.controls_by_id = {}
        self.quarantines_by_id = {}
        self.crashes = []
        self.sent = []
        self.cut = set()
        self.upstreams_by_host = {each: announce(each) for each in host_ids}
        self._nursery = nursery
        self._scopes_by_id = {}

    def start(self, *host_ids, knows_hosts=True):
        for host_id in host_ids:
            self.stop(host_id)
            fleet = Fleet("site")
            if knows_hosts:
                fleet.set_upstreams(dict(self.upstreams_by_host))
            control = self.controls_by_id[host_id] = FakeControl(self, host_id)

            async def is_reachable():
                return False

            quarantine = QuarantineController(
                host_id, host_id[0], fleet, control, is_reachable, lambda: "batches"
            )
            self.quarantines_by_id[host_id] = quarantine
            scope = self._scopes_by_id[host_id] = trio.CancelScope()
            self._nursery.start_soon(self._run, quarantine, scope)

    async def _run(self, quarantine, scope):
        with scope:
            await quarantine.run()

    def stop(self, host_id):
        if host_id in self._scopes_by_id:
            self._scopes_by_id.pop(host_id).cancel()
            del self.controls_by_id[host_id], self.quarantines_by_id[host_id]

    async def send(self, host_id, crashes=True):
        """Sends the request to a host; returns whether it ran."""
        call = make_call(Demand("acme", 1), 5.0)
        call.service = "batches"
        call.deadline = trio.current_time() + 5
        quarantine = self.quarantines_by_id[host_id]
        trial = await quarantine.admit(call)
        if isinstance(trial, Refused):
            return False
        if crashes:
            self.crashes.append(host_id)
        outcome = LOST if crashes else Answered(200, [], None)
        try:
            await quarantine.handle_outcome(call, trial, outcome)
        finally:
            if trial is not None:
                await quarantine.end_trial(trial)
        return True


HOSTS = ("a1", "a2", "b1", "b2", "c1", "c2")


@pytest.fixture
async def service(nursery):
    service = FakeService(nursery, HOSTS)
    service.start(*HOSTS)
    await trio.sleep(20)
    return service


async def quarantine_it(service):
    await service.send("a1")
    await service.send("a2")
    assert service.crashes == ["a1", "a2"]
    assert not await service.send("b1")


async def test_a_restarted_daemon_runs_a_quarantined_request(autojump_clock, service):
    await quarantine_it(service)
    for host_id in HOSTS * 2:
        service.start(host_id)
        # At the very start: it waits until others were asked.
        assert not await service.send(host_id)
        await trio.sleep(3)
    assert len(service.crashes) == 2


async def test_a_release_with_new_hosts_loses_the_quarantine(autojump_clock, service):
    await quarantine_it(service)
    for old_id in HOSTS:
        new_id = old_id + "new"
        service.upstreams_by_host[new_id] = announce(new_id)
        service.start(new_id)
        await trio.sleep(1)
        del service.upstreams_by_host[old_id]
        service.stop(old_id)
        assert not await service.send(new_id)


async def test_a_cut_off_domain_never_hears_of_a_crash(autojump_clock, service):
    service.cut = {"c"}
    await quarantine_it(service)
    service.cut = set()
    await trio.sleep(3)
    assert not await service.send("c1")
    assert not await service.send("c2")


async def test_the_reporter_ends_before_a_cut_does(autojump_clock, service):
    service.cut = {"c"}
    await quarantine_it(service)
    service.stop("a1")
    service.stop("a2")
    service.cut = set()
    await trio.sleep(30)
    assert not await service.send("c1")
    assert not await service.send("c2")


async def test_daemons_that_all_start_at_once_stand_still(autojump_clock, service):
    service.start(*HOSTS)
    started_at = trio.current_time()
    assert await service.send("a1", crashes=False)
    assert trio.current_time() - started_at < 0.1
    await trio.sleep(5)
    phases = {q._exchange.learning.phase for q in service.quarantines_by_id.values()}
    assert phases == {LearningPhase.LEARNED}


async def test_a_lone_daemon_waits_for_neighbours(autojump_clock, nursery):
    service = FakeService(nursery, ["a1"])
    service.start("a1")
    assert await service.send("a1", crashes=False)
    assert trio.current_time() < 0.1


async def test_a_daemon_whose_neighbours_are_cut_off_stands_still(
    autojump_clock, service
):
    await quarantine_it(service)
    service.cut = {"a", "b", "c"}
    service.stop("a2")
    service.start("a1")
    started_at = trio.current_time()
    assert await service.send("a1", crashes=False)
    assert trio.current_time() - started_at < 1.1
    service.cut = set()
    await trio.sleep(2)
    assert not await service.send("a1")


async def test_a_daemon_that_knows_no_hosts_stands_still(autojump_clock, service):
    service.start("a1", knows_hosts=False)
    started_at = trio.current_time()
    assert await service.send("a1", crashes=False)
    assert trio.current_time() - started_at < 1.5


async def test_two_upstreams_that_fail_at_once_quarantine_a_popular_request(
    autojump_clock, service
):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(service.send, "a1")
        nursery.start_soon(service.send, "b1")
    assert len(service.crashes) == 2
    assert await service.send("c1", crashes=False)
    assert await service.send("a2", crashes=False)
    assert all(not q.statuses() for q in service.quarantines_by_id.values())


async def test_a_poison_request_that_crashed_two_at_once_gets_one_trial(
    autojump_clock, service
):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(service.send, "a1")
        nursery.start_soon(service.send, "b1")
    await service.send("c1")
    for host_id in HOSTS:
        assert not await service.send(host_id)
    assert len(service.crashes) == 3


async def test_a_host_that_missed_a_lift_brings_the_quarantine_back(
    autojump_clock, service
):
    await quarantine_it(service)
    service.cut = {"c"}
    fingerprint = service.quarantines_by_id["a1"].statuses()[0].fingerprint
    assert await service.quarantines_by_id["a1"].clear(fingerprint)
    service.cut = set()
    await trio.sleep(120)
    assert all(not q.statuses() for q in service.quarantines_by_id.values())


async def test_exchanged_suspects_never_expire(autojump_clock, service):
    await quarantine_it(service)
    await trio.sleep(SUSPECT_LIFETIME_S + 30)
    assert all(not q.statuses() for q in service.quarantines_by_id.values())
    assert await service.send("a1", crashes=False)


async def test_more_suspects_than_fit_in_a_message_are_cut_off(autojump_clock, service):
    registry = service.quarantines_by_id["b1"]._suspects
    fingerprints = [f"{number:04}" for number in range(1_000)]
    registry.record_crash("batches", fingerprints, "b1/1", trio.current_time())
    service.stop("a2")
    service.stop("b2")
    service.stop("c1")
    service.stop("c2")
    service.start("a1")
    await trio.sleep(30)
    assert len(service.quarantines_by_id["a1"]._suspects) == 1_000


async def test_daemons_of_a_calm_service_send_with_the_square_of_its_size(
    autojump_clock, service
):
    service.sent.clear()
    await trio.sleep(150)
    assert len(service.sent) <= 3 * len(HOSTS) * 150 / 15


def test_a_start_asks_few_hosts_of_a_large_service():
    upstreams = [announce(f"{domain}{n}") for domain in "abc" for n in range(1_000)]
    learning = SuspectLearning("a1", "a", random.Random(1))
    asked = 0
    while learning.phase is not LearningPhase.LEARNED:
        sources = learning.choose_sources(upstreams)
        assert {each.failure_domain for each in sources} > {"a"}
        asked += len(sources)
        answers = {each.host_id: False for each in sources}
        learning.record_round(answers, len(sources), upstreams)
    assert asked <= 20
