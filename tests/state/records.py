"""Builders of records and streams for the tests of the state."""

import msgspec
from msgspec import Raw

from mangospoke.logservice.protocol import ReadResponse, StoredRecord
from mangospoke.logservice.records import (
    ConfigurationChanged,
    LogStream,
    UpstreamAnnounced,
    UpstreamLeft,
    UpstreamState,
    encode_record,
)
from mangospoke.state.configuration import ConfigurationState
from mangospoke.state.streams import StreamReplica


def configuration_changed(builds_on, **sections):
    return ConfigurationChanged(
        record_id=f"c{builds_on}-{sorted(sections)}",
        builds_on=builds_on,
        sections={
            name: Raw(msgspec.json.encode(value)) for name, value in sections.items()
        },
    )


def announced(host, incarnation, sequence=0, domain="a", state="serving"):
    return UpstreamAnnounced(
        record_id=f"{host}-{incarnation}-{sequence}",
        host_id=host,
        failure_domain=domain,
        incarnation=incarnation,
        service="jobs",
        peer_address=f"{host}:1",
        control_address=f"{host}:2",
        slots=4,
        state=UpstreamState(state),
        sequence=sequence,
    )


def left(host, incarnation):
    return UpstreamLeft(record_id="left", host_id=host, incarnation=incarnation)


class FakeLog:
    """An in-memory stream of the log service, with retention."""

    def __init__(self):
        self.first_offset = 0
        self.stored = []

    @property
    def next_offset(self):
        return self.first_offset + len(self.stored)

    def append(self, record):
        content = Raw(encode_record(record))
        self.stored.append(StoredRecord(self.next_offset, 1, content))

    def drop_before(self, offset):
        self.stored = [each for each in self.stored if each.offset >= offset]
        self.first_offset = offset

    def read(self, offset, limit=1_000):
        records = [each for each in self.stored if each.offset >= offset]
        return ReadResponse(self.first_offset, self.next_offset, tuple(records[:limit]))


def configuration_stream():
    """Returns an empty configuration state and the stream replica that feeds it."""
    state = ConfigurationState()
    return state, StreamReplica(LogStream.CONFIGURATION, state)


def follow(replica, log):
    replica.apply_log_answer(replica.next_offset, log.read(replica.next_offset))
