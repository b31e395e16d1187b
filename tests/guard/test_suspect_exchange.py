"""What daemons of a service know of its suspects, across restarts and cuts."""

import functools
import random
import time

import msgspec
import pytest
import trio

from mangospoke.bench.admission import Demand, make_call
from mangospoke.control.interface import ControlError
from mangospoke.guard.poison import QuarantineController
from mangospoke.guard.recorded_crashes import RecordedCrashes
from mangospoke.guard.suspect_learning import LearningPhase, SuspectLearning
from mangospoke.guard.suspects import SUSPECT_LIFETIME_S, SuspectRegistry
from mangospoke.logservice.records import (
    RecordedCrash,
    UpstreamAnnounced,
    UpstreamState,
)
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
        self.write_count = 0
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
            quarantine.record_crashes = functools.partial(self._keep, host_id)
            self.quarantines_by_id[host_id] = quarantine
            scope = self._scopes_by_id[host_id] = trio.CancelScope()
            self._nursery.start_soon(self._run, quarantine, scope)

    async def _run(self, quarantine, scope):
        with scope:
            await quarantine.run()

    def _keep(self, host_id, crashes):
        """Keeps what the log service would hold of a host."""
        record = self.upstreams_by_host.get(host_id)
        if record is not None and record.crashes != crashes:
            self.write_count += 1
            self.upstreams_by_host[host_id] = msgspec.structs.replace(
                record, crashes=crashes
            )

    def stop(self, host_id):
        if host_id in self._scopes_by_id:
            self._scopes_by_id.pop(host_id).cancel()
            del self.controls_by_id[host_id], self.quarantines_by_id[host_id]

    async def send(self, host_id, crashes=True, account="acme"):
        """Sends the request to a host; returns whether it ran."""
        call = make_call(Demand(account, 1), 5.0)
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


async def restart_all(service):
    """Kills all daemons at the same moment, and starts them again."""
    for host_id in HOSTS:
        service.stop(host_id)
    await trio.sleep(1)
    service.start(*HOSTS)
    await trio.sleep(3)


async def test_daemons_that_are_all_killed_forget_a_quarantine(autojump_clock, service):
    # Nobody knew anything then, and the request crashed two more each time.
    await quarantine_it(service)
    for _ in range(3):
        await restart_all(service)
        for host_id in HOSTS:
            assert not await service.send(host_id)
    assert len(service.crashes) == 2


async def test_daemons_that_are_all_killed_forget_a_first_crash(
    autojump_clock, service
):
    for host_id in HOSTS:
        await service.send(host_id)
        await restart_all(service)
    assert len(service.crashes) == 2


async def test_a_lifted_quarantine_comes_back_when_all_daemons_are_killed(
    autojump_clock, service
):
    await quarantine_it(service)
    fingerprint = service.quarantines_by_id["c1"].statuses()[0].fingerprint
    assert await service.quarantines_by_id["c1"].clear(fingerprint)
    await trio.sleep(1.1)
    await restart_all(service)
    assert all(not q.statuses() for q in service.quarantines_by_id.values())


async def test_each_crash_is_written_again_and_again(autojump_clock, service):
    await quarantine_it(service)
    await trio.sleep(60)
    # The host of the first crash, and that of the second.
    assert service.write_count == 2


def test_a_record_holds_few_suspects_and_those_of_trials_first():
    registry = SuspectRegistry()
    for number in range(100):
        registry.record_crash("batches", [f"f{number}"], f"a1/{number}", 0.0)
    registry.record_crash("batches", ["guilty"], "a1/trial", 0.0, is_trial=True)
    registry.record_crash("batches", ["other"], "b1/1", 0.0)
    crashes = RecordedCrashes("a1", registry).own(1.0, 1_000)
    assert sum(len(each.fingerprints) for each in crashes) == 64
    assert "a1/trial" in {each.crash_id for each in crashes}
    assert all(each.crash_id.startswith("a1/") for each in crashes)


def test_a_recorded_crash_that_is_too_old_is_taken_up():
    registry = SuspectRegistry()
    now_ms = time.time_ns() // 1_000_000
    old_ms = now_ms - int(SUSPECT_LIFETIME_S * 1_000)
    crash = RecordedCrash("a1/1", old_ms, True, ("guilty",))
    record = msgspec.structs.replace(announce("a1"), crashes=(crash,))
    RecordedCrashes("b1", registry).learn([record], 0.0, now_ms)
    assert len(registry) == 0


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
    assert await service.send("a1", crashes=False, account="other")
    assert trio.current_time() - started_at < 1.1
    # It knows what its host's record and those of others say.
    assert not await service.send("a1")
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
