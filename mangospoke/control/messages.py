"""Control messages between daemons, each a question with one answer."""

from msgspec import Struct

from mangospoke.ids import (
    ClientAccountId,
    HostId,
    IdempotencyKey,
    Incarnation,
    ServiceName,
)


class Message(Struct, frozen=True, array_like=True):
    """Base of control messages; the tag names the kind on the wire."""


class Probe(Message, frozen=True, tag="probe"):
    """Asks whether a daemon lives."""


class ProbeAnswer(Message, frozen=True, tag="probe-answer"):
    """Says that a daemon lives.

    Attributes:
        incarnation: Life of its upstream; 0 while it has none.
        version: Configuration version in force.
    """

    host_id: HostId
    incarnation: Incarnation
    version: int

    @property
    def upstream_alive(self) -> bool:
        """Whether the daemon has an upstream that takes requests."""
        return self.incarnation != 0


class ConfirmUnreachable(Message, frozen=True, tag="confirm-unreachable"):
    """Asks a daemon to probe another that the asker can't reach."""

    control_address: str


class Reachability(Message, frozen=True, tag="reachability"):
    """Whether a daemon answered a probe."""

    reachable: bool


class ReadStreams(Message, frozen=True, tag="read-streams"):
    """Asks a peer for what streams hold beyond the given offsets.

    Attributes:
        offsets: Next offset to read, by stream name.
        wait_ms: Milliseconds to wait for something if there is nothing yet.
        sender: Control address of the asker, so that a peer that learns from the
            offsets that it is behind can ask back; empty to hide it.
    """

    offsets: dict[str, int]
    wait_ms: int
    sender: str = ""


class RelayedRecord(Struct, frozen=True, array_like=True):
    """A record of a stream, passed on from the log service.

    Attributes:
        content: The record's JSON; empty for a snapshot, which readers that have
            all before it don't need.
    """

    offset: int
    appended_at_ms: int
    content: bytes


class StreamPart(Struct, frozen=True, array_like=True):
    """Records of a stream, or a snapshot where they are no longer held.

    Attributes:
        next_offset: Offset to read from next.
        records: All records from the asked offset up to `next_offset`.
        snapshot: JSON of a snapshot record that covers the stream up to
            `next_offset`, in place of records.
    """

    next_offset: int
    records: tuple[RelayedRecord, ...] = ()
    snapshot: bytes | None = None


class StreamsRead(Message, frozen=True, tag="streams-read"):
    """What a peer holds beyond the asked offsets.

    Attributes:
        parts: By stream name; a stream without news is left out.
        age_ms: Milliseconds since the peer's state was that of the log service;
            negative if it never was.
        busy: Whether the peer serves too many already and did not wait.
    """

    parts: dict[str, StreamPart]
    age_ms: float
    busy: bool = False


class AskConfiguration(Message, frozen=True, tag="ask-configuration"):
    """Asks a host how fresh its configuration is.

    Attributes:
        version: The asker's version.
    """

    version: int


class ConfigurationTold(Message, frozen=True, tag="configuration-told"):
    """A host's configuration and its age.

    Attributes:
        age_ms: Milliseconds since this version was last known to be the newest;
            negative if it never was.
        content: The configuration as the log service has it, if it is newer than
            the asker's.
    """

    version: int
    age_ms: float
    content: bytes | None = None


class ShareMembership(Message, frozen=True, tag="share-membership"):
    """Membership records that the log service hasn't taken yet.

    Attributes:
        records: JSON of `UpstreamAnnounced` and `UpstreamLeft` records.
    """

    records: tuple[bytes, ...]


class MembershipShared(Message, frozen=True, tag="membership-shared"):
    """The records of the same kind that the receiver holds."""

    records: tuple[bytes, ...]


class EpochOver(Message, frozen=True, tag="epoch-over"):
    """The question named no current epoch of the receiver and was not handled."""


class Rejected(Message, frozen=True, tag="rejected"):
    """The answer to a message that the receiver can't serve."""

    detail: str


class ClaimKey(Message, frozen=True, tag="claim-key"):
    """Claims the right to run an idempotency key, asked of every member of a group.

    Attributes:
        host_id: The claimant.
    """

    account_id: ClientAccountId
    service: ServiceName
    key: IdempotencyKey
    host_id: HostId
    incarnation: Incarnation


class KeyClaimed(Message, frozen=True, tag="key-claimed"):
    """A member's answer to a claim.

    Attributes:
        host_id: Who answers.
        stand: Value of the `ClaimStand`.
        holder_host_id: Who holds the key; empty if nobody does.
        vouches: Whether the member would know of any earlier run.
    """

    host_id: HostId
    incarnation: Incarnation
    stand: str
    holder_host_id: HostId
    holder_incarnation: Incarnation
    vouches: bool


class ReadNotes(Message, frozen=True, tag="read-notes"):
    """Asks a member of a group for its notes, by one that joined later."""

    host_id: HostId
    incarnation: Incarnation


class NotesRead(Message, frozen=True, tag="notes-read"):
    """A member's notes of claimed keys.

    Attributes:
        host_id: Who answers.
        knows_reader: Whether it has read the reader's announcement, so that it
            asks the reader for all claims from now on; no notes if it hasn't.
        is_complete: Whether it knows of all claims in its domain that still count.
        notes: Account, service, key, and the holder's host and incarnation.
    """

    host_id: HostId
    incarnation: Incarnation
    knows_reader: bool
    is_complete: bool
    notes: tuple[
        tuple[ClientAccountId, ServiceName, IdempotencyKey, HostId, Incarnation], ...
    ] = ()


class Done(Message, frozen=True, tag="done"):
    """The answer to a message that only tells something."""


class ReportDeath(Message, frozen=True, tag="report-death"):
    """Tells that an upstream died while it ran requests.

    Attributes:
        fingerprints: The requests.
        death_id: Names the death, so that it counts once.
    """

    service: ServiceName
    fingerprints: tuple[str, ...]
    death_id: str


class StartTrial(Message, frozen=True, tag="start-trial"):
    """Asks a suspect's warden to let it run once.

    Attributes:
        remaining_ms: Milliseconds until the request's deadline.
    """

    fingerprint: str
    host_id: HostId
    remaining_ms: float


class TrialAnswer(Message, frozen=True, tag="trial-answer"):
    """Says whether a suspect may run, and which deaths are held against it."""

    granted: bool
    death_ids: tuple[str, ...]


class EndTrial(Message, frozen=True, tag="end-trial"):
    """Tells a suspect's warden that its run is over."""

    fingerprint: str
    host_id: HostId


class ClearSuspect(Message, frozen=True, tag="clear-suspect"):
    """Lifts what is held against a request."""

    fingerprint: str
