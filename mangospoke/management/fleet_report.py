"""The state of the fleet, summed up from what its daemons tell."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from msgspec import Struct

from mangospoke.observability.status import DaemonStatus, QuarantineStatus
from mangospoke.publication.hosts import FleetStatuses
from mangospoke.verdicts import Verdict


class HostReport(Struct, frozen=True):
    """One host.

    Attributes:
        lag: Versions that it is behind the highest one known.
        log_answered_ago_s: Seconds since the log service answered it; None if it
            doesn't read the log, or had no answer yet.
    """

    host_id: str
    failure_domain: str
    configuration_version: int
    lag: int
    draining: bool
    service: str
    log_answered_ago_s: float | None
    log_failures_in_row: int


class ServiceReport(Struct, frozen=True):
    """How loaded a service is, over all hosts that were asked.

    Attributes:
        limit: Sum of the concurrency limits in force.
        queue_delay_ms: Longest queue delay of a host, in milliseconds.
        overloaded: Hosts that are shedding requests.
        shed: Requests that they have shed since they began to.
    """

    service: str
    upstreams: int
    draining: int
    limit: int
    in_flight: int
    queued: int
    queue_delay_ms: float
    overloaded: int = 0
    shed: int = 0


class OutcomeReport(Struct, frozen=True):
    """Requests of an account that ended alike, since the daemons started."""

    account_id: str
    service: str
    reason: str
    count: int


class ShareReport(Struct, frozen=True):
    """What a failure domain may admit of an account's rate.

    Attributes:
        granted_rate: Sum over the hosts that were asked.
    """

    account_id: str
    failure_domain: str
    domain_rate: float
    domain_burst: float
    granted_rate: float
    grantor: str


class LogReport(Struct, frozen=True):
    """The log service, as this command finds it.

    Attributes:
        asked: Whether a log service was named.
        detail: Why it gave no answer; empty if it did.
        version: Configuration version in the log.
    """

    asked: bool
    detail: str = ""
    version: int | None = None


class FleetReport(Struct, frozen=True):
    """The state of the fleet.

    Attributes:
        version: Highest configuration version known.
        refusals: Requests that were not run.
        may_have_run: Requests of which nobody knows whether they ran.
        unreachable: Why hosts gave no answer.
    """

    version: int
    log: LogReport
    hosts: list[HostReport]
    unreachable: dict[str, str]
    services: list[ServiceReport]
    refusals: list[OutcomeReport]
    may_have_run: list[OutcomeReport]
    quarantines: list[QuarantineStatus]
    shares: list[ShareReport]


def make_fleet_report(
    fleet: FleetStatuses, names_by_address: Mapping[str, str], log: LogReport
) -> FleetReport:
    """Sums up the answers of daemons.

    Args:
        fleet: The answers.
        names_by_address: Host ids, or what is known instead, by address.
        log: What asking the log service brought.
    """
    statuses = sorted(fleet.statuses_by_address.values(), key=lambda each: each.host_id)
    versions = [status.configuration_version for status in statuses]
    version = max([*versions, log.version or 0])
    return FleetReport(
        version=version,
        log=log,
        hosts=[_report_host(status, version) for status in statuses],
        unreachable={
            names_by_address[address]: fault
            for address, fault in sorted(fleet.errors_by_address.items())
        },
        services=_report_services(statuses),
        refusals=_report_outcomes(statuses, Verdict.NOT_RUN),
        may_have_run=_report_outcomes(statuses, Verdict.MAY_HAVE_RUN),
        quarantines=_report_quarantines(statuses),
        shares=_report_shares(statuses),
    )


def _report_host(status: DaemonStatus, version: int) -> HostReport:
    log = status.log
    return HostReport(
        host_id=status.host_id,
        failure_domain=status.failure_domain,
        configuration_version=status.configuration_version,
        lag=version - status.configuration_version,
        draining=status.draining,
        service=status.upstream.service if status.upstream else "",
        log_answered_ago_s=log.answered_ago_s if log else None,
        log_failures_in_row=log.failures_in_row if log else 0,
    )


def _report_services(statuses: Iterable[DaemonStatus]) -> list[ServiceReport]:
    upstreams_by_service = defaultdict(list)
    shed_by_service = defaultdict(list)
    for status in statuses:
        for overload in status.overloads:
            shed_by_service[overload.service].append(overload.shed)
        if status.upstream is not None:
            upstreams_by_service[status.upstream.service].append(status.upstream)
    return [
        ServiceReport(
            service=service,
            upstreams=len(upstreams),
            draining=sum(each.draining for each in upstreams),
            limit=sum(each.limit for each in upstreams),
            in_flight=sum(each.in_flight for each in upstreams),
            queued=sum(each.queued for each in upstreams),
            queue_delay_ms=max(each.queue_delay_ms for each in upstreams),
            overloaded=len(shed_by_service[service]),
            shed=sum(shed_by_service[service]),
        )
        for service, upstreams in sorted(upstreams_by_service.items())
    ]


def _report_outcomes(
    statuses: Iterable[DaemonStatus], verdict: Verdict
) -> list[OutcomeReport]:
    counts: dict[tuple[str, str, str], int] = defaultdict(int)
    for status in statuses:
        for row in status.outcomes:
            if row.verdict is verdict:
                counts[(row.account_id, row.service, row.reason)] += row.count
    return [OutcomeReport(*key, count) for key, count in sorted(counts.items())]


def _report_quarantines(statuses: Iterable[DaemonStatus]) -> list[QuarantineStatus]:
    longest: dict[tuple[str, str], QuarantineStatus] = {}
    for status in statuses:
        for each in status.quarantines:
            key = (each.service, each.fingerprint)
            known = longest.get(key)
            if known is None or known.remaining_s < each.remaining_s:
                longest[key] = each
    return [longest[key] for key in sorted(longest)]


def _report_shares(statuses: Iterable[DaemonStatus]) -> list[ShareReport]:
    shares: dict[tuple[str, str], ShareReport] = {}
    for status in statuses:
        for share in status.shares:
            key = (share.account_id, status.failure_domain)
            known = shares.get(key)
            granted_rate = share.granted_rate + (known.granted_rate if known else 0)
            shares[key] = ShareReport(
                account_id=share.account_id,
                failure_domain=status.failure_domain,
                domain_rate=share.domain_rate,
                domain_burst=share.domain_burst,
                granted_rate=granted_rate,
                grantor=share.grantor or (known.grantor if known else ""),
            )
    return [shares[key] for key in sorted(shares)]
