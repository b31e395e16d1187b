"""The typed form of a daemon's `/status`."""

from msgspec import Struct

from mangospoke.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    Incarnation,
    ServiceName,
    SiteId,
)
from mangospoke.verdicts import Verdict


class OutcomeCount(Struct, frozen=True):
    """How many requests of an account ended for a reason at this daemon."""

    account_id: ClientAccountId
    service: ServiceName
    verdict: Verdict
    reason: str
    count: int


class UpstreamStatus(Struct, frozen=True):
    """The upstream on this host."""

    service: ServiceName
    address: str
    draining: bool
    limit: int
    in_flight: int
    queued: int
    queue_delay_ms: float


class LogHealth(Struct, frozen=True):
    """How this daemon finds the log service.

    Attributes:
        answered_ago_s: Seconds since its last answer; None if there was none yet.
        failures_in_row: Calls without an answer since then.
    """

    answered_ago_s: float | None
    failures_in_row: int


class ShareStatus(Struct, frozen=True):
    """What a daemon may admit of an account's rate.

    Attributes:
        domain_rate: Share of the daemon's failure domain, in requests a second.
        domain_burst: Share of the daemon's failure domain in the burst.
        granted_rate: Part of it that this host may use now.
        grantor: Host that hands out the domain's share; empty if none is known.
    """

    account_id: ClientAccountId
    domain_rate: float
    domain_burst: float
    granted_rate: float
    grantor: str = ""


class QuarantineStatus(Struct, frozen=True):
    """A request that is refused since upstreams died while they ran it.

    Attributes:
        fingerprint: Digest of what the request asked for.
        deaths: Upstreams that died while they ran it.
        remaining_s: Seconds until it may be tried again.
    """

    service: ServiceName
    fingerprint: str
    deaths: int
    remaining_s: float


class StateStatus(Struct, frozen=True, kw_only=True):
    """How a daemon follows the fleet's state, and how old it may be.

    Attributes:
        age_s: Seconds since the state was last known to be the log service's;
            None if it never was.
        source: Where the last news came from: `log`, or a control address.
        position: Place in the tree of the failure domain; the first ones read
            the log service.
        reads_log: Whether this daemon polls the log service.
        log_failures: Reads of it that have failed since the last that succeeded.
        rejected_version: Configuration version that can't be used here; 0 if none.
        provisional: Membership records that the log service hasn't taken yet.
        control_bytes_sent: Bytes of control messages since the daemon started.
        control_bytes_received: The same, received.
    """

    age_s: float | None
    source: str
    position: int
    reads_log: bool
    log_failures: int
    rejected_version: int
    provisional: int
    control_bytes_sent: int
    control_bytes_received: int


class TokenStatus(Struct, frozen=True):
    """What a host that shares rates by lending has of an account.

    Attributes:
        tokens: Requests that it may admit now.
        demand: Requests a second that arrive at it.
    """

    account_id: ClientAccountId
    tokens: float
    demand: float


class LogCallCount(Struct, frozen=True):
    """Calls to the log service.

    Attributes:
        kind: The call.
        outcome: HTTP status of the answer, or `no-answer`.
    """

    kind: str
    outcome: str
    count: int


class OverloadStatus(Struct, frozen=True):
    """An overload that this host's guard sees.

    Attributes:
        since_s: Seconds since the first shed request.
        shed: Requests shed since then.
    """

    service: ServiceName
    since_s: float
    shed: int


class DaemonStatus(Struct, frozen=True, kw_only=True):
    """What a daemon tells of itself.

    Attributes:
        configuration_version: Version in force at this host; 0 before the first.
        offsets: Next offset to read, by stream.
        upstreams_known: Count of known upstreams by service.
        upstream: This host's upstream, or None.
        outcomes: Counts since the daemon started.
        log: How it finds the log service; None if it doesn't read it.
        shares: Its part of each account's rate.
        grantor_state: Its part as grantor of its failure domain.
        quarantines: Requests suspected or refused since upstreams died of them.
        state: How fresh all of this is.
        overloads: Overloads that its guard sees now.
        tokens: What it has of each account's rate, where rates are lent.
        log_calls: Calls to the log service since the daemon started.
        proof_age_s: Seconds since the configuration in force was last known to be
            the newest; None where nobody keeps account of that.
    """

    host_id: HostId
    failure_domain: FailureDomainId
    site: SiteId
    incarnation: Incarnation
    configuration_version: int
    offsets: dict[str, int]
    upstreams_known: dict[ServiceName, int]
    upstream: UpstreamStatus | None
    outcomes: tuple[OutcomeCount, ...]
    draining: bool
    log: LogHealth | None = None
    shares: tuple[ShareStatus, ...] = ()
    grantor_state: str = "not-appointed"
    quarantines: tuple[QuarantineStatus, ...] = ()
    state: StateStatus | None = None
    overloads: tuple[OverloadStatus, ...] = ()
    tokens: tuple[TokenStatus, ...] = ()
    log_calls: tuple[LogCallCount, ...] = ()
    proof_age_s: float | None = None
