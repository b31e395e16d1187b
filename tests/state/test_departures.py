"""Tests of upstreams that have left: no late heartbeat brings one back.

Each registrar is one daemon process; the next one starts with the host's record.
"""

import time

import msgspec
import pytest
import trio
from test_registrar import HEARTBEAT, SETTINGS, FakeLog, heartbeat

from mangospoke.conf.settings import Limits
from mangospoke.guard.guard import Guard
from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.logservice.records import (
    Departure,
    RecordedCrash,
    UpstreamAnnounced,
    UpstreamState,
)
from mangospoke.observability.decisions import DecisionLog
from mangospoke.peers.messages import UpstreamNotice
from mangospoke.state.departures import Departures
from mangospoke.state.fleet import Fleet
from mangospoke.state.heartbeats import HeartbeatState, make_heartbeat_check
from mangospoke.state.registrar import HostRegistrar

NOW_MS = time.time_ns() // 1_000_000


def next_millisecond():
    """Waits until the wall clock shows another millisecond, and returns it."""
    time.sleep(0.002)
    return time.time_ns() // 1_000_000


class Host:
    """A host whose daemon is started again and again beside the same log."""

    def __init__(self, nursery):
        self.log = FakeLog()
        self.starts = 0
        self._nursery = nursery
        self.scope = None

    def start(self, *, is_store_readable=True, find_mismatch=lambda heartbeat: None):
        """Ends the daemon, if there is one, and starts another."""
        if self.scope is not None:
            self.scope.cancel()
        self.starts += 1
        self.guard = Guard(Fleet("s"), Limits(), DecisionLog(), drain_notice_s=0.7)
        self.registrar = HostRegistrar(
            SETTINGS,
            self.starts,
            "batches",
            self.guard,
            self.log,
            "hosts",
            find_mismatch,
        )
        self.scope = trio.CancelScope()
        self._nursery.start_soon(self._run, self.registrar, self.scope)
        if is_store_readable:
            self.read_store()
        return self.registrar

    async def _run(self, registrar, scope):
        with scope:
            await registrar.run()

    def read_store(self):
        puts = self.log.puts[-1:]
        self.registrar.take_over([KeyedRecord("h1", put[2], 0) for put in puts])

    def uses(self):
        """Returns the instance that gets requests, or None."""
        announcement = self.guard.announcement
        return (
            None
            if announcement is None or self.guard.draining
            else (announcement.instance)
        )

    def record(self):
        return msgspec.json.decode(self.log.puts[-1][2], type=UpstreamAnnounced)


@pytest.fixture
async def host(autojump_clock):
    async with trio.open_nursery() as nursery:
        yield Host(nursery)
        nursery.cancel_scope.cancel()


async def test_a_late_heartbeat_of_an_unheard_upstream_that_left_is_ignored(host):
    registrar = host.start()
    registrar.handle_deregistration("i-1")
    assert not registrar.handle_heartbeat(heartbeat(started_at_ms=NOW_MS - 4_000))
    assert host.uses() is None


@pytest.mark.parametrize("state", [HeartbeatState.DRAINING, HeartbeatState.LEAVING])
async def test_a_restarted_daemon_ignores_late_heartbeats_of_one_that_left(host, state):
    registrar = host.start()
    registrar.handle_heartbeat(HEARTBEAT)
    registrar.handle_heartbeat(heartbeat(state=state, sequence=6))
    await registrar.wait_departures_recorded()
    for sequence in (5, 7, 900):
        registrar = host.start()
        assert not registrar.handle_heartbeat(heartbeat(sequence=sequence))
        assert host.uses() is None
        await registrar.wait_written()
        assert host.record().state is UpstreamState.ABSENT


async def test_a_restart_after_an_unheard_departure_does_not_undo_it(host):
    registrar = host.start()
    registrar.handle_deregistration("i-1")
    await registrar.wait_departures_recorded()
    registrar = host.start()
    assert not registrar.handle_heartbeat(heartbeat(started_at_ms=NOW_MS - 4_000))


async def test_a_daemon_that_was_told_in_a_response_remembers_over_a_restart(host):
    registrar = host.start()
    registrar.handle_heartbeat(HEARTBEAT)
    notice = UpstreamNotice("i-1/1000", None, 0, True)
    host.guard.statements.process_notice(notice)
    await registrar.wait_departures_recorded()
    registrar = host.start()
    assert not registrar.handle_heartbeat(heartbeat(sequence=9))


@pytest.mark.parametrize("clock_ms", [-3_000, 0, 3_000], ids=["slow", "same", "fast"])
@pytest.mark.parametrize("is_restarted", [False, True], ids=["same", "restarted"])
async def test_a_later_start_under_the_same_instance_is_used(
    host, clock_ms, is_restarted
):
    # It was refused for ever if the upstream's clock was behind this host's.
    registrar = host.start()
    registrar.handle_heartbeat(heartbeat(started_at_ms=NOW_MS - 60_000))
    registrar.handle_deregistration("i-1")
    assert host.uses() is None
    await registrar.wait_departures_recorded()
    if is_restarted:
        registrar = host.start()
    started_at_ms = next_millisecond() + clock_ms
    for sequence in (1, 2, 3):
        is_used = registrar.handle_heartbeat(
            heartbeat(started_at_ms=started_at_ms, sequence=sequence)
        )
        await trio.sleep(1.5)
    assert is_used
    assert host.uses() == "i-1"
    registrar.handle_heartbeat(heartbeat(started_at_ms=started_at_ms, sequence=4))
    assert host.uses() == "i-1"


@pytest.mark.parametrize("clock_ms", [-3_000, 0, 3_000], ids=["slow", "same", "fast"])
@pytest.mark.parametrize("late_s", [0.1, 4.0])
async def test_late_heartbeats_of_a_run_that_left_unheard_bring_nothing_back(
    host, clock_ms, late_s
):
    # With a clock ahead of this host's, it was taken for a start after the departure.
    registrar = host.start()
    registrar.handle_heartbeat(heartbeat(started_at_ms=NOW_MS - 60_000))
    started_at_ms = next_millisecond() - 1_600 + clock_ms
    registrar.handle_deregistration("i-1")
    await trio.sleep(late_s)
    for sequence in (1, 2):
        late = heartbeat(started_at_ms=started_at_ms, sequence=sequence)
        assert not registrar.handle_heartbeat(late)
        await trio.sleep(1.5)
    # One that comes twice proves nothing either.
    assert not registrar.handle_heartbeat(late)
    assert host.uses() is None


async def test_heartbeats_that_are_heard_before_a_departure_do_not_count_after_it(host):
    registrar = host.start()
    registrar.handle_deregistration("i-1")
    later = [heartbeat(started_at_ms=NOW_MS, sequence=each) for each in range(1, 5)]
    assert not registrar.handle_heartbeat(later[0])
    await trio.sleep(3)
    # It leaves too, before it is used.
    registrar.handle_deregistration("i-1")
    for each in later[1:]:
        assert not registrar.handle_heartbeat(each)
        await trio.sleep(1.5)
    assert host.uses() is None


async def test_a_start_long_after_a_departure_is_used_at_once(host):
    registrar = host.start()
    registrar.handle_heartbeat(heartbeat(started_at_ms=NOW_MS - 90_000))
    record = msgspec.structs.replace(
        registrar.handle_deregistration("i-1"), unheard_until_ms=NOW_MS - 40_000
    )
    departures = Departures()
    departures.add(record)
    assert departures.has_left("i-1", NOW_MS - 90_000)
    assert not departures.may_have_left("i-1", NOW_MS)


@pytest.mark.parametrize("is_restarted", [False, True], ids=["same", "restarted"])
async def test_a_deregistration_binds_a_later_run_than_the_heard_one(
    host, is_restarted
):
    # A late heartbeat brought back an upstream that started again under its old
    # instance and left, since its deregistration was taken for the run before.
    registrar = host.start()
    registrar.handle_heartbeat(heartbeat(started_at_ms=NOW_MS - 60_000))
    departure = registrar.handle_deregistration("i-1")
    assert await registrar.wait_recorded(departure)
    if is_restarted:
        registrar = host.start()
    assert not registrar.handle_heartbeat(
        heartbeat(started_at_ms=NOW_MS - 1_000, sequence=1)
    )
    assert host.uses() is None


@pytest.mark.parametrize("is_restarted", [False, True], ids=["same", "restarted"])
async def test_a_response_that_says_leaving_binds_a_later_run_than_the_heard_one(
    host, is_restarted
):
    # The same by way of a response, which names no start either.
    registrar = host.start()
    registrar.handle_heartbeat(heartbeat(started_at_ms=NOW_MS - 60_000))
    run = f"i-1/{NOW_MS - 60_000}"
    host.guard.statements.process_notice(UpstreamNotice(run, None, 0, True))
    await registrar.wait_departures_recorded()
    if is_restarted:
        registrar = host.start()
    assert not registrar.handle_heartbeat(
        heartbeat(started_at_ms=NOW_MS - 1_000, sequence=1)
    )
    assert host.uses() is None


async def test_a_deregistration_after_an_acknowledged_one_is_recorded_anew(host):
    # It was taken for a repetition, and acknowledged before its own record was written.
    registrar = host.start()
    registrar.handle_heartbeat(heartbeat(started_at_ms=NOW_MS - 60_000))
    assert await registrar.wait_recorded(registrar.handle_deregistration("i-1"))
    later_start_ms = next_millisecond()
    assert await registrar.wait_recorded(registrar.handle_deregistration("i-1"))
    registrar = host.start()
    late = heartbeat(started_at_ms=later_start_ms, sequence=1)
    assert not registrar.handle_heartbeat(late)


async def test_a_heartbeat_before_the_earlier_record_is_read_waits_for_it(host):
    registrar = host.start()
    registrar.handle_heartbeat(HEARTBEAT)
    registrar.handle_deregistration("i-1")
    await registrar.wait_departures_recorded()
    written = len(host.log.puts)
    registrar = host.start(is_store_readable=False)
    registrar.handle_heartbeat(heartbeat(sequence=7))
    registrar.handle_heartbeat(heartbeat(instance="i-2", started_at_ms=2_000))
    await trio.sleep(1)
    assert host.uses() is None
    assert len(host.log.puts) == written
    host.read_store()
    assert host.uses() == "i-2"


async def test_an_upstream_that_goes_on_is_used_though_the_store_is_away(host):
    registrar = host.start(is_store_readable=False)
    registrar.handle_heartbeat(heartbeat(sequence=7))
    await trio.sleep(0.1)
    # Held up together, and a repeated one: they prove nothing.
    registrar.handle_heartbeat(heartbeat(sequence=8))
    await trio.sleep(1.4)
    registrar.handle_heartbeat(heartbeat(sequence=7))
    assert host.uses() is None
    registrar.handle_heartbeat(heartbeat(sequence=9))
    assert host.uses() == "i-1"
    assert not host.log.puts
    host.read_store()
    await registrar.wait_written()
    assert host.record().state is UpstreamState.SERVING


async def test_an_upstream_that_starts_after_its_daemon_is_used_at_once(host):
    registrar = host.start(is_store_readable=False)
    born_ms = time.time_ns() // 1_000_000 + 60_000
    registrar.handle_heartbeat(heartbeat(started_at_ms=born_ms))
    assert host.uses() == "i-1"
    registrar.handle_heartbeat(
        heartbeat(started_at_ms=born_ms, sequence=6, state=HeartbeatState.DRAINING)
    )
    assert host.uses() is None


async def test_a_departure_found_later_ends_the_use_of_its_upstream(host):
    registrar = host.start()
    registrar.handle_heartbeat(HEARTBEAT)
    registrar.handle_deregistration("i-1")
    await registrar.wait_departures_recorded()
    registrar = host.start(is_store_readable=False)
    for sequence in (6, 7):
        registrar.handle_heartbeat(heartbeat(sequence=sequence))
        await trio.sleep(1.5)
    assert host.uses() == "i-1"
    host.read_store()
    assert host.uses() is None
    await registrar.wait_written()
    assert host.record().state is UpstreamState.DRAINING


async def test_a_departure_is_acknowledged_once_it_is_recorded(host):
    registrar = host.start()
    registrar.handle_heartbeat(HEARTBEAT)
    await registrar.wait_written()
    host.log.failures = 1
    departure = registrar.handle_deregistration("i-1")
    assert await registrar.wait_recorded(departure)
    assert host.record().departures[-1].instance == "i-1"
    assert host.record().state is UpstreamState.DRAINING


async def test_without_the_log_a_departure_is_answered_within_a_second(host):
    registrar = host.start()
    registrar.handle_heartbeat(HEARTBEAT)
    await registrar.wait_written()
    host.log.failures = 10
    departure = registrar.handle_deregistration("i-1")
    with trio.fail_after(0.9):
        assert not await registrar.wait_recorded(departure)
    assert host.uses() is None
    await registrar.wait_written()
    assert host.record().departures[-1].instance == "i-1"


@pytest.mark.parametrize("is_heard", [False, True], ids=["unheard", "heard"])
async def test_no_acknowledged_departure_is_lost_with_its_process(host, is_heard):
    # A daemon acknowledged it from memory, ended, and used the upstream again.
    registrar = host.start()
    started_at_ms = NOW_MS - 4_000
    if is_heard:
        registrar.handle_heartbeat(heartbeat(started_at_ms=started_at_ms))
    await registrar.wait_written()
    host.log.failures = 1_000
    departure = registrar.handle_deregistration("i-1")
    is_acknowledged = await registrar.wait_recorded(departure)
    host.log.failures = 0
    registrar = host.start()
    is_used = registrar.handle_heartbeat(heartbeat(started_at_ms=started_at_ms))
    assert not (is_acknowledged and is_used)


@pytest.mark.parametrize("write_s", [0.9, 1.3, 2.5])
async def test_a_repeated_deregistration_is_acknowledged_by_a_slow_log(host, write_s):
    host.log.put_s = write_s
    registrar = host.start()
    await registrar.wait_written()
    for _ in range(4):
        departure = registrar.handle_deregistration("i-1")
        if await registrar.wait_recorded(departure):
            break
        await trio.sleep(0.8)
    else:
        raise AssertionError("none of four deregistrations was acknowledged")
    assert host.record().departures[-1].instance == "i-1"


async def test_a_daemon_that_has_not_read_its_record_acknowledges_no_departure(host):
    registrar = host.start(is_store_readable=False)
    departure = registrar.handle_deregistration("i-1")
    assert not await registrar.wait_recorded(departure)
    host.read_store()
    assert await registrar.wait_recorded(departure)


async def test_the_departure_of_a_stray_upstream_is_not_acknowledged(host):
    # It was acknowledged, though nothing remembered it.
    registrar = host.start(find_mismatch=CHECK)
    registrar.handle_heartbeat(HEARTBEAT)
    stray = heartbeat(
        instance="i-stray", service="unknown", state=HeartbeatState.DRAINING
    )
    assert not registrar.handle_heartbeat(stray)
    assert not await registrar.wait_recorded(stray.departure())
    assert host.uses() == "i-1"


async def test_a_stop_waits_for_the_record_of_a_departure(host):
    registrar = host.start()
    registrar.handle_heartbeat(HEARTBEAT)
    await registrar.wait_written()
    host.log.failures = 10
    registrar.handle_deregistration("i-1")
    registrar.stop()
    await registrar.wait_departures_recorded()
    registrar = host.start()
    assert not registrar.handle_heartbeat(heartbeat(sequence=9))


async def test_a_stop_without_news_waits_for_no_record(host):
    registrar = host.start()
    registrar.handle_deregistration("i-0")
    await registrar.wait_departures_recorded()
    host.log.failures = 1_000
    registrar = host.start()
    registrar.stop()
    with trio.fail_after(0.1):
        await registrar.wait_departures_recorded()


async def test_a_departure_binds_though_a_later_heartbeat_overtook_it(host):
    registrar = host.start()
    registrar.handle_heartbeat(heartbeat(sequence=9))
    registrar.handle_heartbeat(heartbeat(state=HeartbeatState.DRAINING, sequence=8))
    assert host.uses() is None


async def test_the_departure_of_an_earlier_run_does_not_touch_the_present_one(host):
    registrar = host.start()
    registrar.handle_heartbeat(heartbeat(instance="i-2", started_at_ms=2_000))
    registrar.handle_deregistration("i-1")
    assert host.uses() == "i-2"


def test_departures_are_bounded_and_the_latest_are_kept():
    departures = Departures()
    for number in range(100):
        departures.add(Departure(f"i-{number}", number))
    assert len(departures.records()) == 8
    assert departures.has_left("i-99", 99)
    assert not departures.has_left("i-99", 100)


def is_known(service):
    return service == "batches"


CHECK = make_heartbeat_check("127.0.0.1:2", "a", is_known)


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "unknown"},
        {"address": "127.0.0.1:3"},
        {"failure_domain": "b"},
    ],
    ids=["service", "address", "domain"],
)
@pytest.mark.parametrize("state", HeartbeatState, ids=lambda state: state.value)
@pytest.mark.parametrize("instance", ["i-1", "i-stray"])
async def test_a_stray_heartbeat_does_not_replace_the_sound_upstream(
    host, changes, state, instance
):
    registrar = host.start(find_mismatch=CHECK)
    registrar.handle_heartbeat(HEARTBEAT)
    stray = heartbeat(instance=instance, started_at_ms=9_000, state=state, **changes)
    assert not registrar.handle_heartbeat(stray)
    assert host.uses() == "i-1"
    assert registrar.handle_heartbeat(heartbeat(sequence=6))
    await registrar.wait_written()
    assert host.record().state is UpstreamState.SERVING
    assert host.record().service == "batches"


async def test_an_upstream_whose_service_was_removed_may_still_leave(host):
    services = {"batches"}
    check = make_heartbeat_check("127.0.0.1:2", "a", services.__contains__)
    registrar = host.start(find_mismatch=check)
    registrar.handle_heartbeat(HEARTBEAT)
    services.clear()
    registrar.handle_heartbeat(heartbeat(sequence=6))
    assert host.uses() == "i-1"
    registrar.handle_heartbeat(heartbeat(sequence=7, state=HeartbeatState.DRAINING))
    assert host.uses() is None


async def test_the_next_daemon_on_a_host_carries_its_crashes_on(host):
    # Its first record replaced the one that held them.
    crash = RecordedCrash("h1/1", NOW_MS, True, ("guilty",))
    registrar = host.start()
    registrar.record_crashes((crash,))
    await registrar.wait_written()
    assert host.record().crashes == (crash,)
    registrar = host.start()
    registrar.handle_heartbeat(HEARTBEAT)
    await registrar.wait_written()
    assert host.record().crashes == (crash,)
    registrar.record_crashes(())
    await registrar.wait_written()
    assert host.record().crashes == ()
