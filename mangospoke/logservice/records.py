"""Types of the records that the system keeps in the log service.

The records of each stream belong to one union of types. State results from applying a
stream's records in offset order. All readers ignore a change that was based on another
than the current state, so that the first of two concurrent writers wins without support
from the log service.
"""

import enum
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Raw, Struct

from mangospoke.addresses import DialableAddress, OptionalAddress
from mangospoke.decoding import WholeNumber, decode_with
from mangospoke.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    Incarnation,
    InstanceId,
    ServiceName,
)
from mangospoke.numbers import MAX_WHOLE_NUMBER


class LogStream(enum.Enum):
    """Names of the streams."""

    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"
    SHARES = "shares"
    INCIDENTS = "incidents"


class Record(Struct, frozen=True, kw_only=True, tag_field="kind"):
    """Base of all records.

    Attributes:
        record_id: Chosen by the writer, so that it can find its record after a lost
            response, and readers can ignore duplicates.
    """

    record_id: str


class Snapshot(Record, frozen=True, kw_only=True):
    """A stream's complete state, for readers whose offset is past retention.

    Readers that have applied all earlier records ignore it, so that a repeated or late
    snapshot does no harm.

    Attributes:
        covers: Offset up to which its writer had applied the stream. A reader that
            restores it continues there, not after the snapshot itself.
    """

    covers: int


class ConfigurationChanged(
    Record, frozen=True, kw_only=True, tag="configuration-changed"
):
    """A change of the configuration, which lists the changed sections.

    A section is named `domains`, `service/NAME`, `account/ID`, or
    `overlay/SITE/service/NAME` and `overlay/SITE/account/ID`. Its value is the
    JSON of the declaration.

    Attributes:
        builds_on: Version on which the operator based the change; 0 before the first.
        sections: New values by section name.
        removed: Names of removed sections.
        author: Who published the change.
    """

    builds_on: int
    sections: dict[str, Raw]
    removed: tuple[str, ...] = ()
    author: str = ""


class ConfigurationSnapshot(
    Snapshot, frozen=True, kw_only=True, tag="configuration-snapshot"
):
    """The complete configuration at a version.

    It is appended before retention removes the changes that it results from.

    Attributes:
        version: The version.
        sections: Values by section name.
        last_record_id: Id of the change that created the version, by which its
            publisher recognises it.
    """

    version: int
    sections: dict[str, Raw]
    last_record_id: str = ""


class UpstreamState(enum.Enum):
    """State of an upstream, as announced.

    `ABSENT` stands for a daemon whose upstream has not announced itself yet, or has
    left: the host is up, but accepts no requests.
    """

    SERVING = "serving"
    DRAINING = "draining"
    ABSENT = "absent"


_Incarnation = Annotated[Incarnation, Meta(ge=0, le=MAX_WHOLE_NUMBER)]


class Departure(Struct, frozen=True, array_like=True):
    """Process runs of an upstream that have left for good.

    Attributes:
        instance: Their instance.
        last_start_ms: All its runs that started until then have left, in Unix
            milliseconds of the upstream's clock.
        unheard_until_ms: When a message that names no start said that the present run
            leaves, in Unix milliseconds of the daemon's clock; 0 if none did. The run
            may be a later one, which the daemon hadn't heard of.
    """

    instance: InstanceId
    last_start_ms: WholeNumber
    unheard_until_ms: WholeNumber = 0


class RecordedCrash(Struct, frozen=True, array_like=True):
    """A crash of an upstream, and the requests that are suspected of it.

    Attributes:
        crash_id: Id of the crash, which begins with the host's.
        crashed_at_ms: When it was noticed, in Unix milliseconds.
        is_trial: Whether the requests were on trial.
        fingerprints: The requests.
    """

    crash_id: str
    crashed_at_ms: WholeNumber
    is_trial: bool
    fingerprints: tuple[str, ...]


class UpstreamAnnounced(Record, frozen=True, kw_only=True, tag="upstream-announced"):
    """Announces an upstream and the daemon on its host, or a change of their state.

    Attributes:
        host_id: The host of both.
        failure_domain: The host's failure domain.
        incarnation: Incarnation of the upstream process; a higher one replaces a lower.
        service: The service that the upstream belongs to.
        peer_address: Where the daemon accepts forwarded requests.
        control_address: Where the daemon accepts control messages.
        slots: Number of requests that the upstream may run at once.
        state: State of the upstream.
        operations_address: Where the daemon serves operators; empty if unknown.
        sequence: Number of the announcement within the incarnation, so that an append
            that is completed late doesn't undo a later one.
        daemon_incarnation: Incarnation of the daemon, during which several incarnations
            of the upstream may run. The daemon's in-memory state is lost with it.
        departures: Process runs of the upstream that have left for good, for the next
            daemon on this host.
        present_since_ms: Unix milliseconds since which no record of the daemon has said
            that it drains; 0 if unknown.
        crashes: Crashes of the upstream of which requests are still suspected, for
            daemons that start when nobody else knows of them any more.
    """

    host_id: HostId
    failure_domain: FailureDomainId
    incarnation: _Incarnation
    service: ServiceName
    peer_address: DialableAddress
    control_address: DialableAddress
    slots: WholeNumber
    state: UpstreamState = UpstreamState.SERVING
    operations_address: OptionalAddress = ""
    sequence: WholeNumber = 0
    daemon_incarnation: _Incarnation = Incarnation(0)
    departures: tuple[Departure, ...] = ()
    present_since_ms: WholeNumber = 0
    crashes: tuple[RecordedCrash, ...] = ()


class UpstreamLeft(Record, frozen=True, kw_only=True, tag="upstream-left"):
    """An upstream shut down, or its failure domain declared its host dead.

    Attributes:
        host_id: The upstream's host.
        incarnation: The upstream's incarnation.
        declared_by: The host that declared it dead; empty if the upstream shut down.
    """

    host_id: HostId
    incarnation: Incarnation
    declared_by: str = ""


class MembershipSnapshot(
    Snapshot, frozen=True, kw_only=True, tag="membership-snapshot"
):
    """All upstreams, appended before retention removes their announcements.

    Attributes:
        upstreams: The upstreams that have not left.
        left: Highest incarnation that has left, by host; oldest first.
    """

    upstreams: tuple[UpstreamAnnounced, ...]
    left: dict[HostId, Incarnation] = {}


class IncidentSummary(Record, frozen=True, kw_only=True, tag="incident-summary"):
    """Failures that may lead to a refund claim; outlives the host that recorded them.

    Attributes:
        host_id: The host that recorded the failures.
        failure_domain: The host's failure domain.
        account_id: The client account that sent the requests.
        service: The requested service.
        started_at_ms: Wall-clock start of the summarised period, in milliseconds since
            the Unix epoch.
        may_have_run: Number of non-idempotent requests with the verdict `may-have-run`.
        refused_within_rate: Number of requests that were refused although the client
            account was within its rate.
        reasons: Number of requests by reason.
        request_ids: Ids of some of the requests, to look up in the logs.
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

_DECODERS_BY_STREAM: dict[LogStream, msgspec.json.Decoder] = {
    LogStream.CONFIGURATION: msgspec.json.Decoder(ConfigurationRecord),
    LogStream.MEMBERSHIP: msgspec.json.Decoder(MembershipRecord),
    LogStream.INCIDENTS: msgspec.json.Decoder(IncidentSummary),
}

_ENCODER = msgspec.json.Encoder()


def register_record_types(stream: LogStream, record_type: Any) -> None:
    """Registers the record types of a stream that is owned by another package.

    Args:
        stream: The stream.
        record_type: A record type, or a union of record types.
    """
    _DECODERS_BY_STREAM[stream] = msgspec.json.Decoder(record_type)


def encode_record(record: Record) -> bytes:
    """Encodes a record as JSON, so that operators can read it in the log service."""
    return _ENCODER.encode(record)


def decode_record(stream: LogStream, content: bytes) -> Record:
    """Decodes a record of a stream.

    Raises:
        msgspec.ValidationError: If it isn't a record of that stream.
        msgspec.DecodeError: If it isn't JSON.
    """
    return decode_with(_DECODERS_BY_STREAM[stream], content)
