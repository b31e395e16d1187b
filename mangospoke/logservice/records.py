"""The records that the system keeps in the log service.

Each stream has one kind of record. State is a fold over a stream, in offset order;
a record that builds on something else than the state in force is ignored by every
reader alike, so that the first writer wins without help from the log service.
"""

import enum
from typing import Any

import msgspec
from msgspec import Raw, Struct

from mangospoke.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    Incarnation,
    ServiceName,
)


class Stream(enum.Enum):
    """Names of the streams."""

    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"
    SHARES = "shares"
    INCIDENTS = "incidents"


class Record(Struct, frozen=True, kw_only=True, tag_field="kind"):
    """Base of all records.

    Attributes:
        record_id: Made by the writer, so that it finds its record again after a
            lost answer and readers ignore a second copy.
    """

    record_id: str


class Snapshot(Record, frozen=True, kw_only=True):
    """A stream's whole state, for readers that retention has left behind.

    Readers that have folded all records before it ignore it, so that a second
    or a late one does no harm.

    Attributes:
        covers: Offset up to which its writer had folded the stream; a reader that
            restores it continues there, not after the snapshot itself.
    """

    covers: int


class ConfigurationChanged(
    Record, frozen=True, kw_only=True, tag="configuration-changed"
):
    """A change of configuration, as changed sections.

    A section is named `domains`, `service/NAME`, `account/ID`, or
    `overlay/SITE/service/NAME` and `overlay/SITE/account/ID`. Its value is the
    JSON of the declaration.

    Attributes:
        builds_on: Version in force that the operator saw; 0 before the first.
        sections: New value by section name.
        removed: Names of sections that are gone.
        author: Who published it.
    """

    builds_on: int
    sections: dict[str, Raw]
    removed: tuple[str, ...] = ()
    author: str = ""


class ConfigurationSnapshot(
    Snapshot, frozen=True, kw_only=True, tag="configuration-snapshot"
):
    """The whole configuration at a version, appended before retention passes it.

    Attributes:
        last_record_id: The change that made the version, by which its publisher
            recognises it.
    """

    version: int
    sections: dict[str, Raw]
    last_record_id: str = ""


class UpstreamState(enum.Enum):
    """What an upstream announced.

    `ABSENT` is said of a daemon whose upstream has not announced itself yet, or has
    left: the host is there, but takes no requests.
    """

    SERVING = "serving"
    DRAINING = "draining"
    ABSENT = "absent"


class UpstreamAnnounced(Record, frozen=True, kw_only=True, tag="upstream-announced"):
    """An upstream and the daemon beside it, or a change of its state.

    Attributes:
        incarnation: Life of the upstream; a higher one replaces a lower one.
        sequence: Number of the announcement in that life; an append that the log
            service took late doesn't undo a later one.
        daemon_incarnation: Life of its daemon, which may see several of upstreams;
            what daemons remember ends with it.
        peer_address: Where its daemon takes forwarded requests.
        control_address: Where its daemon takes control messages.
        operations_address: Where operators ask its daemon; empty if unknown.
    """

    host_id: HostId
    failure_domain: FailureDomainId
    incarnation: Incarnation
    service: ServiceName
    peer_address: str
    control_address: str
    slots: int
    state: UpstreamState = UpstreamState.SERVING
    operations_address: str = ""
    sequence: int = 0
    daemon_incarnation: Incarnation = Incarnation(0)


class UpstreamLeft(Record, frozen=True, kw_only=True, tag="upstream-left"):
    """An upstream is gone: it left, or its domain found its host dead.

    Attributes:
        declared_by: The host that found it dead; empty if it left by itself.
    """

    host_id: HostId
    incarnation: Incarnation
    declared_by: str = ""


class MembershipSnapshot(
    Snapshot, frozen=True, kw_only=True, tag="membership-snapshot"
):
    """All upstreams, appended before retention passes their announcements.

    Attributes:
        upstreams: Those that have not left.
        left: Highest incarnation that has left, by host; oldest first.
    """

    upstreams: tuple[UpstreamAnnounced, ...]
    left: dict[HostId, Incarnation] = {}


class IncidentSummary(Record, frozen=True, kw_only=True, tag="incident-summary"):
    """What may end in a refund claim, kept beyond the life of its host.

    Attributes:
        started_at_ms: Wall-clock start of the period summed up.
        may_have_run: Non-idempotent requests with that verdict.
        refused_within_rate: Requests refused although within their rate.
        reasons: Count by reason.
        request_ids: A few examples, to be found in log lines.
    """

    host_id: HostId
    failure_domain: FailureDomainId
    account_id: ClientAccountId
    service: ServiceName
    started_at_ms: int
    may_have_run: int
    refused_within_rate: int
    reasons: dict[str, int]
    request_ids: tuple[str, ...] = ()


ConfigurationRecord = ConfigurationChanged | ConfigurationSnapshot
MembershipRecord = UpstreamAnnounced | UpstreamLeft | MembershipSnapshot

_DECODERS_BY_STREAM: dict[Stream, msgspec.json.Decoder] = {
    Stream.CONFIGURATION: msgspec.json.Decoder(ConfigurationRecord),
    Stream.MEMBERSHIP: msgspec.json.Decoder(MembershipRecord),
    Stream.INCIDENTS: msgspec.json.Decoder(IncidentSummary),
}

_ENCODER = msgspec.json.Encoder()


def add_record_types(stream: Stream, record_type: Any) -> None:
    """Says which records a stream has; for streams that a subsystem owns.

    Args:
        stream: The stream.
        record_type: A record type, or a union of them.
    """
    _DECODERS_BY_STREAM[stream] = msgspec.json.Decoder(record_type)


def encode_record(record: Record) -> bytes:
    """Encodes a record as JSON, readable by operators."""
    return _ENCODER.encode(record)


def decode_record(stream: Stream, content: bytes) -> Record:
    """Decodes a record of a stream.

    Raises:
        msgspec.ValidationError: If it isn't a record of that stream.
    """
    return _DECODERS_BY_STREAM[stream].decode(content)
