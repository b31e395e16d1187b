"""Tests of stream replicas fed by the log service and by peers, in any order."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from mangospoke.control.messages import RelayedRecord, StreamPart
from mangospoke.logservice.client import OffsetExpiredError
from mangospoke.logservice.records import (
    ConfigurationSnapshot,
    LogStream,
    encode_record,
)
from mangospoke.state.snapshot_lookup import find_snapshot
from mangospoke.state.streams import StreamReplica
from tests.state.records import (
    FakeLog,
    configuration_changed,
    configuration_stream,
    follow,
)


class FakeClient:
    def __init__(self, log):
        self.log = log

    async def read(self, _, offset, __):
        if offset < self.log.first_offset:
            raise OffsetExpiredError(self.log.first_offset)
        return self.log.read(offset, 2)


def relay(source, target):
    """Passes what `source` has on to `target`, through the wire encoding."""
    asked = target.next_offset
    part = source.read(asked)
    if part is not None:
        content = msgspec.msgpack.decode(msgspec.msgpack.encode(part), type=StreamPart)
        target.apply_part(asked, content)


async def test_a_change_between_a_snapshot_and_its_append_is_not_lost():
    """A reader with a gap must not skip changes that a snapshot doesn't cover.

    A snapshot covers the stream up to offset 2, and another change is appended
    before the snapshot itself.
    """
    log = FakeLog()
    log.append(configuration_changed(0, x=1))
    log.append(configuration_changed(1, x=2))
    state, replica = configuration_stream()
    follow(replica, log)
    snapshot = state.snapshot(replica.next_offset)
    log.append(configuration_changed(2, x=3))
    log.append(snapshot)
    log.drop_before(2)
    late_state, late = configuration_stream()
    found = await find_snapshot(FakeClient(log), LogStream.CONFIGURATION, 2)
    assert late.restore_snapshot(found)
    follow(late, log)
    assert (late_state.version, late_state.sections) == (3, {"x": b"3"})
    follow(replica, log)
    assert state.version == 3


async def test_a_snapshot_with_dropped_records_after_it_is_unusable():
    log = FakeLog()
    log.append(configuration_changed(0, x=1))
    state, replica = configuration_stream()
    follow(replica, log)
    snapshot = state.snapshot(replica.next_offset)
    log.append(configuration_changed(1, x=2))
    log.append(snapshot)
    follow(replica, log)
    log.drop_before(2)
    assert await find_snapshot(FakeClient(log), LogStream.CONFIGURATION, 2) is None
    late_state, late = configuration_stream()
    follow(late, log)
    assert late_state.version == 0
    assert late.next_offset == 0
    follow(replica, log)
    relay(replica, late)
    assert (late_state.version, late.next_offset) == (2, 3)


async def test_the_first_of_two_concurrent_changes_wins_everywhere():
    log = FakeLog()
    log.append(configuration_changed(0, x="first"))
    log.append(configuration_changed(0, x="second"))
    states = []
    for _ in range(2):
        state, replica = configuration_stream()
        follow(replica, log)
        states.append(state)
    assert [state.sections["x"] for state in states] == [b'"first"'] * 2
    assert {state.version for state in states} == {1}


async def test_a_peer_that_is_behind_does_not_revert_state():
    log = FakeLog()
    old_state, old = configuration_stream()
    log.append(configuration_changed(0, x=1))
    follow(old, log)
    log.append(configuration_changed(1, x=2))
    state, replica = configuration_stream()
    follow(replica, log)
    relay(old, replica)
    replica.apply_part(0, StreamPart(1, snapshot=encode_record(old_state.snapshot(1))))
    assert (state.version, replica.next_offset) == (2, 2)


async def test_a_snapshot_of_a_lower_version_is_refused_whatever_it_covers():
    state, replica = configuration_stream()
    log = FakeLog()
    log.append(configuration_changed(0, x=1))
    log.append(configuration_changed(1, x=2))
    follow(replica, log)
    wrong = ConfigurationSnapshot(record_id="l", covers=99, version=1, sections={})
    assert not replica.restore_snapshot(wrong)
    assert (state.version, replica.next_offset) == (2, 2)


async def test_a_log_that_lost_records_changes_and_confirms_nothing():
    state, replica = configuration_stream()
    log = FakeLog()
    log.append(configuration_changed(0, x=1))
    log.append(configuration_changed(1, x=2))
    follow(replica, log)
    confirmed_at = replica.confirmed_at
    restarted_log = FakeLog()
    restarted_log.append(configuration_changed(0, x="other"))
    follow(replica, restarted_log)
    assert (state.version, replica.next_offset) == (2, 2)
    assert replica.confirmed_at == confirmed_at


async def test_an_undecodable_record_is_skipped():
    state, replica = configuration_stream()
    log = FakeLog()
    log.append(configuration_changed(0, x=1))
    log.stored.append(
        msgspec.structs.replace(log.stored[0], offset=1, content=msgspec.Raw(b'"?"'))
    )
    log.append(configuration_changed(1, x=2))
    follow(replica, log)
    assert (state.version, replica.next_offset) == (2, 3)


async def test_a_tail_is_bounded_and_a_peer_beyond_it_gets_a_snapshot(monkeypatch):
    monkeypatch.setattr("mangospoke.state.streams._MAX_TAIL_BYTES", 400)
    log = FakeLog()
    _, replica = configuration_stream()
    for number in range(20):
        log.append(configuration_changed(number, x=number))
        follow(replica, log)
    assert replica.read(0).snapshot is not None
    assert replica.read(20) is None
    near = replica.read(19)
    assert near.snapshot is None
    assert len(near.records) == 1


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    steps=st.lists(
        st.one_of(
            st.tuples(st.just("append"), st.integers(0, 2), st.integers(0, 3)),
            st.tuples(st.just("follow"), st.integers(0, 2), st.just(0)),
            st.tuples(st.just("relay"), st.integers(0, 2), st.integers(0, 2)),
            st.tuples(st.just("restart"), st.integers(0, 2), st.just(0)),
            st.tuples(st.just("snapshot"), st.integers(0, 2), st.just(0)),
            st.tuples(st.just("retain"), st.integers(0, 4), st.just(0)),
        ),
        max_size=40,
    )
)
async def test_every_schedule_gives_every_reader_the_same_versions(steps):
    """Three readers of one log, with restarts, retention and relays between them.

    A reader's state at an offset always equals the state after applying all records
    of the log up to there, and a reader's offset and version never decrease.
    """
    log = FakeLog()
    history = []
    readers = [configuration_stream() for _ in range(3)]
    seen = [(0, 0)] * 3
    for kind, first, second in steps:
        state, replica = readers[first % 3]
        if kind == "append":
            # `second` lets some changes build on an outdated version.
            log.append(
                configuration_changed(
                    max(0, state.version - second // 3), x=len(history)
                )
            )
            history.append(log.stored[-1])
        elif kind == "follow":
            _follow_or_restore(replica, log)
        elif kind == "relay":
            relay(readers[second][1], replica)
        elif kind == "restart":
            readers[first] = configuration_stream()
            seen[first] = (0, 0)
        elif kind == "snapshot":
            snapshot = state.snapshot(replica.next_offset)
            if snapshot is not None:
                log.append(snapshot)
                history.append(log.stored[-1])
        else:
            log.drop_before(max(log.first_offset, log.next_offset - first))
        for number, (each_state, each) in enumerate(readers):
            assert (each.next_offset, each_state.version) >= seen[number]
            assert each_state.version >= seen[number][1]
            seen[number] = (each.next_offset, each_state.version)
            expected = _apply_all(history[: each.next_offset])
            assert each_state.version == expected.version
            assert each_state.sections == expected.sections


def _follow_or_restore(replica: StreamReplica, log):
    if replica.next_offset >= log.first_offset:
        follow(replica, log)
        return
    serving = [
        record
        for stored in log.stored
        if isinstance(
            record := msgspec.json.decode(stored.content, type=_RECORD_TYPE),
            _SNAPSHOT_TYPE,
        )
        and record.covers >= log.first_offset
    ]
    if serving:
        replica.restore_snapshot(serving[-1])


_SNAPSHOT_TYPE = ConfigurationSnapshot
_RECORD_TYPE = type(configuration_changed(0)) | ConfigurationSnapshot


def _apply_all(stored):
    state, replica = configuration_stream()
    records = tuple(
        RelayedRecord(each.offset, 1, bytes(each.content)) for each in stored
    )
    replica.apply_records(0, records, len(stored))
    return state
