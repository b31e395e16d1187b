"""Types of the document that a daemon serves at `/status`."""

from msgspec import Struct

from mangospoke.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    Incarnation,
    RouteName,
    ServiceName,
    SiteId,
)
from mangospoke.verdicts import Verdict


class OutcomeCount(Struct, frozen=True):
    """Number of requests of an account that ended with a reason at this daemon."""

    account_id: ClientAccountId
    service: ServiceName
    verdict: Verdict
    reason: str
    count: int


class UpstreamStatus(Struct, frozen=True):
    """State of the upstream on this host.

    Attributes:
        rate_limit: Requests a second that it says it takes; None if it names no limit.
        limit_admitted: Requests admitted under such a limit, or that of a cold
            upstream, since the daemon's start.
        limit_refused: Requests refused because of it.
        cold_left_s: Seconds for which it counts as cold; None while that is open.
        cold_turns: Times that it turned cold since the daemon's start.
        work_ms_by_route: Usual milliseconds of work of a call, without its sub-calls.
        failure_ratio: Part of its recent calls that it failed.
        slowness_ratio: How many times longer than usual work takes on its machine now.
        retries_refused: Repeated requests refused since the daemon's start, because it
            has got its part of the service's.
    """

    service: ServiceName
    address: str
    draining: bool
    limit: int
    in_flight: int
    queued: int
    queue_delay_ms: float
    rate_limit: float | None = None
    limit_admitted: int = 0
    limit_refused: int = 0
    cold_left_s: float | None = 0.0
    cold_turns: int = 0
    work_ms_by_route: dict[RouteName, float] = {}
    failure_ratio: float = 0.0
    slowness_ratio: float = 1.0
    retries_refused: int = 0


class LogHealth(Struct, frozen=True):
    """Health of the log service, as observed by this daemon.

    Attributes:
        answered_ago_s: Seconds since its last response; None before the first.
        failures_in_row: Calls without a response since then.
        era: The era that it named last; None if it names none.
        era_changes: Times that it came back from an older copy, since the daemon's
            start.
    """

    answered_ago_s: float | None
    failures_in_row: int
    era: int | None = None
    era_changes: int = 0


class ShareStatus(Struct, frozen=True):
    """Shares of an account's rate.

    Attributes:
        domain_rate: Share of the daemon's failure domain, in requests per second.
        domain_burst: Share of the daemon's failure domain in the burst, in requests.
        granted_rate: Part of the domain's rate that is granted to this host now.
        grantor: Host that grants parts of the domain's share; empty if unknown.
    """

    account_id: ClientAccountId
    domain_rate: float
    domain_burst: float
    granted_rate: float
    grantor: str = ""


class QuarantineStatus(Struct, frozen=True):
    """A quarantined request: it is refused because upstreams crashed while running it.

    Attributes:
        fingerprint: Digest of the request's content.
        deaths: Number of upstreams that crashed while running it.
        remaining_s: Seconds until the quarantine ends.
    """

    service: ServiceName
    fingerprint: str
    deaths: int
    remaining_s: float


class StateStatus(Struct, frozen=True, kw_only=True):
    """How a daemon replicates the fleet's state, and how old its replica may be.

    Attributes:
        age_s: Seconds since the state was last confirmed as the log service's; None
            if it never was.
        source: Source of the last update: `log`, or a control address.
        position: Position in the distribution tree of the failure domain; daemons at
            the first positions read the log service.
        reads_log: Whether this daemon polls the log service.
        log_failures: Failed reads of the log service since the last success.
        rejected_version: Configuration version that is unusable here; 0 if none.
        provisional: Membership records that the log service hasn't accepted yet.
        control_bytes_sent: Bytes of control messages sent since the daemon started.
        control_bytes_received: Bytes of control messages received since then.
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
    """Tokens of an account on a host, where hosts lend tokens to each other.

    Attributes:
        tokens: Number of requests that the host may admit now.
        demand: Arrival rate at the host, in requests per second.
    """

    account_id: ClientAccountId
    tokens: float
    demand: float


class LogCallCount(Struct, frozen=True):
    """Number of calls to the log service.

    Attributes:
        kind: Path of the called operation.
        outcome: HTTP status of the response, or `no-answer`.
    """

    kind: str
    outcome: str
    count: int


class OverloadStatus(Struct, frozen=True):
    """An overload in progress, as detected by this host's guard.

    Attributes:
        since_s: Seconds since the first shed request.
        shed: Number of requests shed since then.
    """

    service: ServiceName
    since_s: float
    shed: int


class EvacuationStatus(Struct, frozen=True):
    """A failure domain that is evacuated, or returns from an evacuation.

    Attributes:
        share: Part of its usual requests that it may get, from 0 (evacuated) to 1.
        age_s: Seconds since this host learned of the evacuation; None if it found it
            at its start, or if it was taken back.
    """

    failure_domain: FailureDomainId
    share: float
    age_s: float | None


class DaemonStatus(Struct, frozen=True, kw_only=True):
    """Status of a daemon.

    Attributes:
        configuration_version: Active version at this host; 0 before the first.
        offsets: Next offset to read, by stream.
        upstreams_known: Number of known upstreams by service.
        upstream: State of this host's upstream; None if it has none.
        outcomes: Outcomes of requests since the daemon started.
        log: Health of the log service; None if the daemon doesn't read it.
        shares: Shares of each account's rate.
        grantor_state: Role of this daemon in granting its failure domain's shares.
        quarantines: Requests that are suspected of crashing upstreams or quarantined.
        state: Replication of the fleet's state.
        overloads: Overloads in progress.
        tokens: Tokens of each account, where hosts lend tokens to each other.
        host_rewrites: Times that the log service had forgotten this host's record, so
            that it was written again.
        log_calls: Calls to the log service since the daemon started.
        proof_age_s: Seconds since the active configuration was last confirmed as the
            newest; None where that isn't tracked.
        evacuations: Failure domains that don't get their whole share of requests.
        evacuated_services: Services whose upstreams are all in evacuated domains.
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
    host_rewrites: int = 0
    shares: tuple[ShareStatus, ...] = ()
    grantor_state: str = "not-appointed"
    quarantines: tuple[QuarantineStatus, ...] = ()
    state: StateStatus | None = None
    overloads: tuple[OverloadStatus, ...] = ()
    tokens: tuple[TokenStatus, ...] = ()
    log_calls: tuple[LogCallCount, ...] = ()
    proof_age_s: float | None = None
    evacuations: tuple[EvacuationStatus, ...] = ()
    evacuated_services: tuple[ServiceName, ...] = ()
