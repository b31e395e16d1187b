"""Tests of what heartbeats change in the guard and in the host's record."""

import dataclasses

import msgspec
import pytest
import trio
import trio.testing
from harness.calls import make_call

from mangospoke.conf.settings import Fleet as FleetSettings
from mangospoke.conf.settings import Host, Limits, Listen, LogService, Settings
from mangospoke.guard.guard import Guard
from mangospoke.logservice.calls import (
    LogUnavailableError,
    WriterFencedError,
    WriterOutOfOrderError,
)
from mangospoke.logservice.era import LogEra
from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.logservice.records import UpstreamAnnounced, UpstreamState
from mangospoke.observability.decisions import DecisionLog
from mangospoke.state.fleet import Fleet
from mangospoke.state.heartbeats import Heartbeat, HeartbeatState
from mangospoke.state.host_directory import HostDirectory
from mangospoke.state.registrar import HostRegistrar
from mangospoke.verdicts import RefusalReason

ADDRESS = "127.0.0.1:1"
SETTINGS = Settings(
    host=Host(id="h1", failure_domain="a", site="s"),
    listen=Listen(
        public=ADDRESS, local=ADDRESS, peer=ADDRESS, control=ADDRESS, operations=ADDRESS
    ),
    fleet=FleetSettings(secret="s"),
    log=LogService(address=ADDRESS),
)


class FakeLog:
    """Stores what is put, after `put_s` seconds; the next `failures` puts fail."""

    def __init__(self):
        self.puts = []
        self.failures = 0
        self.put_s = 0.0
        self.era = LogEra()

    async def put(self, topic, key, value, writer):
        await trio.sleep(self.put_s)
        if self.failures:
            self.failures -= 1
            raise LogUnavailableError("lost")
        self.puts.append((topic, key, value, writer))

    def written_states(self):
        return [
            msgspec.json.decode(value, type=UpstreamAnnounced).state
            for _, _, value, _ in self.puts
        ]


@pytest.fixture
def guard():
    return Guard(Fleet("s"), Limits(), DecisionLog(), drain_notice_s=0.7)


@pytest.fixture
def log():
    return FakeLog()


@pytest.fixture
def registrar(guard, log):
    return HostRegistrar(SETTINGS, 7, "batches", guard, log, "hosts")


@pytest.fixture
async def running(registrar, autojump_clock):
    registrar.take_over([])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(registrar.run)
        yield registrar
        nursery.cancel_scope.cancel()


HEARTBEAT = Heartbeat(
    instance="i-1",
    service="batches",
    address="127.0.0.1:2",
    slots=10,
    state=HeartbeatState.SERVING,
    started_at_ms=1_000,
    sequence=5,
    cold_left_ms=0,
)


def heartbeat(**changes):
    return dataclasses.replace(HEARTBEAT, **changes)


async def test_the_host_is_registered_before_the_first_heartbeat(running, log):
    await running.wait_written()
    assert log.written_states() == [UpstreamState.ABSENT]


async def test_a_first_heartbeat_makes_the_host_serve(running, log, guard):
    assert running.handle_heartbeat(HEARTBEAT)
    await running.wait_written()
    assert log.written_states()[-1] is UpstreamState.SERVING
    assert guard.announcement.instance == "i-1"


async def test_heartbeats_that_change_nothing_write_nothing(running, log):
    running.handle_heartbeat(HEARTBEAT)
    await running.wait_written()
    written = len(log.puts)
    for sequence in range(6, 12):
        running.handle_heartbeat(heartbeat(sequence=sequence, cold_left_ms=sequence))
    await running.wait_written()
    assert len(log.puts) == written


@pytest.mark.parametrize(
    "state", [HeartbeatState.DRAINING, HeartbeatState.LEAVING], ids=lambda s: s.value
)
async def test_an_upstream_that_leaves_is_drained(running, log, guard, state):
    running.handle_heartbeat(HEARTBEAT)
    running.handle_heartbeat(heartbeat(state=state, sequence=6))
    await running.wait_written()
    assert guard.draining
    assert log.written_states()[-1] is UpstreamState.DRAINING


async def test_a_late_heartbeat_does_not_undo_a_drain(running, guard):
    running.handle_heartbeat(HEARTBEAT)
    running.handle_heartbeat(heartbeat(state=HeartbeatState.DRAINING, sequence=8))
    assert not running.handle_heartbeat(heartbeat(sequence=7))
    assert guard.draining


async def test_a_heartbeat_after_leaving_is_ignored(running, guard):
    running.handle_heartbeat(HEARTBEAT)
    running.handle_heartbeat(heartbeat(state=HeartbeatState.LEAVING, sequence=6))
    assert not running.handle_heartbeat(heartbeat(sequence=9))
    assert guard.draining


async def test_a_late_heartbeat_of_an_earlier_start_is_ignored(running, guard):
    running.handle_heartbeat(heartbeat(instance="i-2", started_at_ms=2_000, sequence=1))
    assert not running.handle_heartbeat(heartbeat(sequence=50))
    assert guard.announcement.instance == "i-2"


async def test_a_restart_under_the_same_instance_id_is_recognized(running, guard):
    running.handle_heartbeat(heartbeat(sequence=50))
    running.handle_heartbeat(heartbeat(state=HeartbeatState.DRAINING, sequence=51))
    assert running.handle_heartbeat(heartbeat(started_at_ms=9_000, sequence=1))
    assert not guard.draining


async def test_a_failed_write_is_retried(running, log):
    log.failures = 3
    running.handle_heartbeat(HEARTBEAT)
    await running.wait_written()
    assert log.written_states()[-1] is UpstreamState.SERVING


async def test_writes_are_numbered_within_the_incarnation(running, log):
    running.handle_heartbeat(HEARTBEAT)
    await running.wait_written()
    running.handle_heartbeat(heartbeat(state=HeartbeatState.DRAINING, sequence=6))
    await running.wait_written()
    writers = [writer for _, _, _, writer in log.puts]
    assert {writer.epoch for writer in writers} == {7}
    assert [writer.sequence for writer in writers] == list(range(len(writers)))


async def test_changes_skipped_by_newer_ones_leave_no_gap_in_the_numbers(running, log):
    running.handle_heartbeat(HEARTBEAT)
    await running.wait_written()
    running.handle_heartbeat(heartbeat(state=HeartbeatState.DRAINING, sequence=6))
    running.handle_heartbeat(heartbeat(instance="i-2", started_at_ms=3_000))
    await running.wait_written()
    numbers = [writer.sequence for _, _, _, writer in log.puts]
    assert numbers == list(range(len(numbers)))
    assert log.written_states()[-1] is UpstreamState.SERVING


async def test_a_write_without_an_answer_is_retried_before_the_next(running, log):
    running.handle_heartbeat(HEARTBEAT)
    await running.wait_written()
    attempts = []
    put = log.put

    async def lose_answer(topic, key, value, writer):
        attempts.append((writer.sequence, value))
        if len(attempts) == 1:
            raise LogUnavailableError("lost")
        await put(topic, key, value, writer)

    log.put = lose_answer
    running.handle_heartbeat(heartbeat(state=HeartbeatState.DRAINING, sequence=6))
    await trio.testing.wait_all_tasks_blocked()
    running.handle_heartbeat(heartbeat(instance="i-2", started_at_ms=3_000))
    await running.wait_written()
    assert attempts[0] == attempts[1]
    assert attempts[2][0] == attempts[1][0] + 1


async def test_a_stopping_daemon_does_not_serve_a_new_upstream(running, log):
    running.handle_heartbeat(HEARTBEAT)
    running.stop()
    running.handle_heartbeat(heartbeat(instance="i-2", started_at_ms=5_000))
    await running.wait_written()
    assert log.written_states()[-1] is UpstreamState.DRAINING


@pytest.mark.parametrize(
    "changes",
    [{"sequence": 6}, {"instance": "i-2", "started_at_ms": 5_000}],
    ids=["same-upstream", "new-upstream"],
)
async def test_a_heartbeat_during_a_stop_does_not_undo_the_drain(
    running, guard, changes
):
    running.handle_heartbeat(HEARTBEAT)
    running.stop()
    guard.drain()
    running.handle_heartbeat(heartbeat(**changes))
    await trio.sleep(1)
    outcome = await guard.execute(make_call(service="batches"))
    assert outcome.reason is RefusalReason.DRAINING


def host_record(host_id, incarnation, sequence, state=UpstreamState.SERVING):
    return UpstreamAnnounced(
        record_id="r",
        host_id=host_id,
        failure_domain="a",
        incarnation=incarnation,
        service="batches",
        peer_address=ADDRESS,
        control_address=ADDRESS,
        slots=1,
        state=state,
        sequence=sequence,
    )


def keyed_record(host, offset=0):
    return KeyedRecord(host.host_id, msgspec.json.encode(host), offset)


def test_the_directory_keeps_the_newest_record_of_each_host():
    fleet = Fleet("s")
    directory = HostDirectory(fleet)
    directory.handle_records(
        [keyed_record(host_record("h1", 5, 2)), keyed_record(host_record("h2", 5, 0))]
    )
    late = host_record("h1", 5, 1, UpstreamState.DRAINING)
    directory.handle_records([keyed_record(late)])
    assert fleet.upstreams_by_host["h1"].state is UpstreamState.SERVING
    directory.handle_records(
        [keyed_record(host_record("h1", 6, 0, UpstreamState.DRAINING))]
    )
    assert fleet.upstreams_by_host["h1"].state is UpstreamState.DRAINING
    directory.handle_records([KeyedRecord("h2", b"", 9)])
    assert set(fleet.upstreams_by_host) == {"h1"}


def test_a_record_that_cannot_be_decoded_is_skipped():
    fleet = Fleet("s")
    directory = HostDirectory(fleet)
    undecodable = [
        KeyedRecord("x", b"\xff\x00", 0),
        KeyedRecord("y", b"{}", 1),
        KeyedRecord("z", b'{"kind": "upstream-announced", "host_id": 3}', 2),
    ]
    directory.handle_records([*undecodable, keyed_record(host_record("h1", 1, 0))])
    assert set(fleet.upstreams_by_host) == {"h1"}


async def test_a_host_whose_clock_stepped_back_is_written_all_the_same(running, log):
    put = log.put
    known_epoch = 5_000

    async def fence(topic, key, value, writer):
        if writer.epoch < known_epoch:
            raise WriterFencedError("fenced")
        await put(topic, key, value, writer)

    log.put = fence
    running.handle_heartbeat(HEARTBEAT)
    await running.wait_written()
    assert log.written_states()[-1] is UpstreamState.SERVING


async def test_a_sequence_that_the_log_forgot_is_started_anew(running, log):
    running.handle_heartbeat(HEARTBEAT)
    await running.wait_written()
    put = log.put

    async def expect_first(topic, key, value, writer):
        if writer.epoch == 7:
            raise WriterOutOfOrderError("seq")
        await put(topic, key, value, writer)

    log.put = expect_first
    running.handle_heartbeat(heartbeat(state=HeartbeatState.DRAINING, sequence=6))
    await running.wait_written()
    writer = log.puts[-1][-1]
    assert (writer.epoch, writer.sequence) == (8, 0)


async def test_listeners_hear_of_a_record_only_once_it_is_written(running, log):
    written = []
    await running.wait_written()
    running.written_listeners.append(written.append)
    log.failures = 2
    running.handle_heartbeat(HEARTBEAT)
    await trio.sleep(0.4)
    assert written == []
    await running.wait_written()
    assert [record.state for record in written] == [UpstreamState.SERVING]


async def test_a_record_written_while_the_topic_was_read_is_not_written_again(
    running, log
):
    sent_at = trio.current_time()
    await trio.sleep(0.1)
    running.handle_heartbeat(HEARTBEAT)
    await running.wait_written()
    running.check_written([], sent_at, log.era.current)
    await running.wait_written()
    assert running.rewrite_count == 0
    await trio.sleep(0.1)
    running.check_written([], trio.current_time(), log.era.current)
    assert running.rewrite_count == 1


async def test_a_record_that_a_restored_log_service_lacks_is_written_again(
    running, log
):
    sent_at = trio.current_time()
    await trio.sleep(0.1)
    running.handle_heartbeat(HEARTBEAT)
    await running.wait_written()
    running.check_written([], sent_at, 2)
    assert running.rewrite_count == 1


def test_a_host_that_has_read_nothing_does_not_take_itself_for_the_only_one():
    fleet = Fleet("s")
    directory = HostDirectory(fleet)
    own = UpstreamAnnounced(
        record_id="r",
        host_id="h1",
        failure_domain="a",
        incarnation=7,
        service="batches",
        peer_address=ADDRESS,
        control_address=ADDRESS,
        slots=10,
        state=UpstreamState.SERVING,
    )
    directory.handle_written(own)
    assert fleet.upstreams_by_host == {}
    directory.handle_records([], 1, 3)
    directory.handle_written(own)
    assert list(fleet.upstreams_by_host) == ["h1"]
