"""Control messages between daemons: requests, each with one response."""

from msgspec import Struct

from mangospoke.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    IdempotencyKey,
    Incarnation,
    ServiceName,
)

MAX_ERA = 2**62
"""Later than any era of the log service."""


class Message(Struct, frozen=True, array_like=True):
    """Base of control messages; the tag identifies the type on the wire."""


class Probe(Message, frozen=True, tag="probe"):
    """Checks whether a daemon is alive."""


class ProbeResponse(Message, frozen=True, tag="probe-answer"):
    """Confirms that a daemon is alive.

    Attributes:
        incarnation: Incarnation of its upstream; 0 while it has none.
        version: Active configuration version.
    """

    host_id: HostId
    incarnation: Incarnation
    version: int

    @property
    def upstream_alive(self) -> bool:
        """Whether the daemon has an upstream that accepts requests."""
        return self.incarnation != 0


class IndirectProbe(Message, frozen=True, tag="confirm-unreachable"):
    """Asks a daemon to probe another daemon that the sender can't reach."""

    control_address: str


class IndirectProbeResponse(Message, frozen=True, tag="reachability"):
    """Whether a daemon responded to a probe."""

    reachable: bool


class ReadStreams(Message, frozen=True, tag="read-streams"):
    """Reads the records of streams from the given offsets on, by long polling.

    Attributes:
        offsets: Next offset to read, by stream name.
        wait_ms: Milliseconds to wait for new records if there are none yet.
        sender: Control address of the sender, so that a peer whose streams are behind
            the offsets can read from the sender in turn; empty to withhold it.
    """

    offsets: dict[str, int]
    wait_ms: int
    sender: str = ""


class RelayedRecord(Struct, frozen=True, array_like=True):
    """A record of a stream, relayed from the log service.

    Attributes:
        appended_at_ms: Time in milliseconds at which the log service appended it.
        content: The record's JSON; empty for a snapshot, which readers that have
            all records before it don't need.
    """

    offset: int
    appended_at_ms: int
    content: bytes


class StreamPart(Struct, frozen=True, array_like=True):
    """Records of a stream, or a snapshot if the records are no longer retained.

    Attributes:
        next_offset: Offset to read from next.
        records: All records from the requested offset up to `next_offset`.
        snapshot: JSON of a snapshot record that covers the stream up to
            `next_offset` and replaces the records.
    """

    next_offset: int
    records: tuple[RelayedRecord, ...] = ()
    snapshot: bytes | None = None


class ReadStreamsResponse(Message, frozen=True, tag="streams-read"):
    """The records that a peer has from the requested offsets on.

    Attributes:
        parts: By stream name; a stream without new records is omitted.
        age_ms: Milliseconds since the peer's state last matched the log service;
            negative if it never did.
        busy: Whether the peer responded without waiting, as it serves too many
            readers already.
    """

    parts: dict[str, StreamPart]
    age_ms: float
    busy: bool = False


class EvacuationState(Struct, frozen=True, array_like=True):
    """The evacuated failure domains, as of a state of the operator's topic.

    Attributes:
        era: Era of the log service that the offset belongs to.
        offset: Offset up to which all orders are included.
        domains: The evacuated domains.
    """

    era: int
    offset: int
    domains: tuple[FailureDomainId, ...]


class GetConfiguration(Message, frozen=True, tag="ask-configuration"):
    """Asks a host for the version and the age of its configuration.

    Attributes:
        version: The sender's version.
        digest: Digest of the sender's content of that version; 0 if not told.
        evacuations: Era and offset of the sender's `EvacuationState`; by default, one
            that no state is later than.
    """

    version: int
    digest: int = 0
    evacuations: tuple[int, int] = (MAX_ERA, 0)


class GetConfigurationResponse(Message, frozen=True, tag="configuration-told"):
    """A host's configuration version, its age, and its content if it is newer.

    Attributes:
        age_ms: Milliseconds since this version was last known to be the newest;
            negative if it never was.
        content: The configuration as stored in the log service, if it is newer than
            the requester's, or another under the same version; otherwise None.
        digest: Digest of the responder's content; 0 if not told.
        evacuations: The evacuated failure domains, if the responder knows a later
            state of them than the requester.
    """

    version: int
    age_ms: float
    content: bytes | None = None
    digest: int = 0
    evacuations: EvacuationState | None = None


class HostRecord(Struct, frozen=True, array_like=True):
    """A host's record in the log service's keyed topic.

    Attributes:
        host_id: The record's key.
        value: The record as written.
        offset: Its offset in the topic.
    """

    host_id: HostId
    value: bytes
    offset: int


class FollowState(Message, frozen=True, tag="follow-state"):
    """Asks a host for what changed in the configuration and the hosts' records.

    Attributes:
        configuration: What the sender knows of the configuration.
        era: Era of the log service that `next_offset` belongs to.
        next_offset: Offset up to which the sender has all hosts' records.
        wait_ms: Milliseconds for which the responder waits for a change.
        proof_age_ms: Milliseconds since the sender's configuration was last known to be
            current; None if it never was.
    """

    configuration: GetConfiguration
    era: int | None
    next_offset: int
    wait_ms: int
    proof_age_ms: float | None = None


class StateFollowed(Message, frozen=True, tag="state-followed"):
    """What changed since the sender's state, or a newer proof of the same state.

    Attributes:
        configuration: The responder's configuration and its age.
        held_ms: Milliseconds for which the question was held.
        era: Era of the log service that the records' offsets belong to.
        next_offset: Offset up to which the responder has all hosts' records.
        is_complete: Whether `records` has all hosts' records, as the sender's offset
            is of another era.
        records: Records of hosts from the sender's offset on.
        hosts_age_ms: Milliseconds since the responder's records of hosts, up to its
            offset, were last known to be all; negative if they never were.
    """

    configuration: GetConfigurationResponse
    held_ms: float
    era: int | None
    next_offset: int
    is_complete: bool
    records: tuple[HostRecord, ...]
    hosts_age_ms: float = -1.0


class ShareMembership(Message, frozen=True, tag="share-membership"):
    """Sends membership records that the log service hasn't accepted yet.

    Attributes:
        records: JSON of `UpstreamAnnounced` and `UpstreamLeft` records.
    """

    records: tuple[bytes, ...]


class ShareMembershipResponse(Message, frozen=True, tag="membership-shared"):
    """The receiver's own membership records of the same kind."""

    records: tuple[bytes, ...]


class EpochExpired(Message, frozen=True, tag="epoch-over"):
    """The request carried no valid epoch of the receiver and was not handled."""


class Rejected(Message, frozen=True, tag="rejected"):
    """The response to a request that is invalid or whose handler failed."""

    detail: str


class ClaimKey(Message, frozen=True, tag="claim-key"):
    """Claims an idempotency key; sent to each member of the key's claim group.

    Attributes:
        host_id: Host that claims the key in order to run its request.
    """

    account_id: ClientAccountId
    service: ServiceName
    key: IdempotencyKey
    host_id: HostId
    incarnation: Incarnation


class ClaimKeyResponse(Message, frozen=True, tag="key-claimed"):
    """A member's response to a claim.

    Attributes:
        host_id: The member.
        stand: Status of the claim: value of `ClaimStatus`.
        holder_host_id: Host that holds the key; empty if none does.
        vouches: Whether the member would know of any earlier run of the key.
    """

    host_id: HostId
    incarnation: Incarnation
    stand: str
    holder_host_id: HostId
    holder_incarnation: Incarnation
    vouches: bool


class ReadClaims(Message, frozen=True, tag="read-notes"):
    """Reads the claims that a group member stores; sent by members that join later."""

    host_id: HostId
    incarnation: Incarnation


class ReadClaimsResponse(Message, frozen=True, tag="notes-read"):
    """The claims of idempotency keys that a member stores.

    Attributes:
        host_id: The member.
        knows_reader: Whether the member has read the reader's announcement, so that
            it sends all its claims to the reader from now on; without it, `notes` is
            empty.
        is_complete: Whether it knows all unexpired claims in its failure domain.
        notes: Claims: account, service, key, and the holder's host and incarnation.
    """

    host_id: HostId
    incarnation: Incarnation
    knows_reader: bool
    is_complete: bool
    notes: tuple[
        tuple[ClientAccountId, ServiceName, IdempotencyKey, HostId, Incarnation], ...
    ] = ()


class Acknowledgment(Message, frozen=True, tag="done"):
    """The response to a notification, without content."""


class ReportCrash(Message, frozen=True, tag="report-death"):
    """Reports that an upstream crashed while it ran requests.

    Attributes:
        fingerprints: Fingerprints of the requests.
        death_id: Id of the crash, so that it is counted once.
        is_trial: Whether the requests were on trial.
    """

    service: ServiceName
    fingerprints: tuple[str, ...]
    death_id: str
    is_trial: bool = False


class StartTrial(Message, frozen=True, tag="start-trial"):
    """Asks the trial coordinator of a suspect request to let it run once.

    Attributes:
        remaining_ms: Milliseconds until the request's deadline.
    """

    fingerprint: str
    host_id: HostId
    remaining_ms: float


class StartTrialResponse(Message, frozen=True, tag="trial-answer"):
    """Whether a suspect request may run, and the crashes that it is suspected of.

    Attributes:
        trial_death_ids: Those crashes that happened while it was on trial.
    """

    granted: bool
    death_ids: tuple[str, ...]
    trial_death_ids: tuple[str, ...] = ()


class EndTrial(Message, frozen=True, tag="end-trial"):
    """Notifies the trial coordinator of a suspect request that its run ended."""

    fingerprint: str
    host_id: HostId


class ClearSuspect(Message, frozen=True, tag="clear-suspect"):
    """Clears a suspect or quarantined request.

    Attributes:
        death_ids: The crashes that the sender knew of.
    """

    fingerprint: str
    death_ids: tuple[str, ...] = ()


class SuspectRecord(Struct, frozen=True, array_like=True):
    """What a daemon knows of a suspect, quarantined or cleared request.

    Attributes:
        death_ids: Ids of the crashes of upstreams that were running it.
        trial_death_ids: Those of them that happened while it was on trial.
        cleared_death_ids: Those of which it has been cleared.
        remaining_ms: Milliseconds after which it is forgotten.
    """

    fingerprint: str
    death_ids: tuple[str, ...]
    trial_death_ids: tuple[str, ...]
    cleared_death_ids: tuple[str, ...]
    remaining_ms: float


class ReadSuspects(Message, frozen=True, tag="read-suspects"):
    """Reads what a daemon of a service knows of the service's suspects.

    Attributes:
        digest: Digest of what the sender knows; 0 to read all.
        after: Fingerprint after which to begin.
    """

    service: ServiceName
    digest: int = 0
    after: str = ""


class ReadSuspectsResponse(Message, frozen=True, tag="suspects-read"):
    """A part of what a daemon knows of a service's suspects.

    Attributes:
        has_learned: Whether it knows what the service's daemons knew before it started.
        records: In order of fingerprints; empty if the digests are equal.
        is_last: Whether there are no more records.
    """

    has_learned: bool
    records: tuple[SuspectRecord, ...] = ()
    is_last: bool = True


class ShareSuspects(Message, frozen=True, tag="share-suspects"):
    """Tells a daemon of suspects, as an earlier report didn't reach it."""

    service: ServiceName
    records: tuple[SuspectRecord, ...]


class ReportReachability(Message, frozen=True, tag="report-reachability"):
    """Tells a host of the own failure domain that another domain is silent or back.

    Attributes:
        domain: The other failure domain.
        silent_ms: Milliseconds since the check that nothing answered began.
    """

    domain: FailureDomainId
    is_silent: bool
    silent_ms: float
