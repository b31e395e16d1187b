"""The state of the fleet as tables for a terminal."""

from collections import Counter
from collections.abc import Iterable

from rich.console import Group, RenderableType
from rich.table import Table
from rich.text import Text

from mangospoke.management.fleet_report import (
    FleetReport,
    HostReport,
    LogReport,
    ServiceReport,
)

_HOSTS_SHOWN = 24


def render_fleet(report: FleetReport, all_hosts: bool) -> RenderableType:
    """Renders the state of the fleet.

    Args:
        report: The state.
        all_hosts: Show every host, not only those behind or in trouble.
    """
    parts: list[RenderableType] = [
        Text(_summary(report)),
        Text(_log_line(report.log, report.hosts)),
        _hosts(report, all_hosts),
    ]
    parts.extend(
        Text(f"NOT REACHED: {host}: {fault}")
        for host, fault in report.unreachable.items()
    )
    parts += _detail_tables(report)
    return Group(*parts)


def _summary(report: FleetReport) -> str:
    counts = Counter(host.configuration_version for host in report.hosts)
    versions = ", ".join(
        f"version {version} at {count} hosts"
        for version, count in sorted(counts.items(), reverse=True)
    )
    return f"Configuration: highest version {report.version}; {versions or 'no host'}"


def _log_line(log: LogReport, hosts: Iterable[HostReport]) -> str:
    cut_off = [host.host_id for host in hosts if host.log_failures_in_row]
    if not log.asked:
        seen = "not asked"
    elif log.detail:
        seen = f"NO ANSWER: {log.detail}"
    else:
        seen = f"answers, holds version {log.version}"
    without = f"; no answer at {', '.join(cut_off)}" if cut_off else ""
    return f"Log service: {seen}{without}"


def _hosts(report: FleetReport, all_hosts: bool) -> Table:
    hosts = report.hosts
    title = "Hosts"
    if not all_hosts and len(hosts) > _HOSTS_SHOWN:
        hosts = [host for host in hosts if host.lag or host.log_failures_in_row]
        title = f"Hosts behind or in trouble ({len(hosts)} of {len(report.hosts)})"
    rows = [
        (
            host.host_id,
            host.failure_domain,
            host.service,
            host.configuration_version,
            host.lag,
            "draining" if host.draining else "serving",
            _log_age(host),
        )
        for host in hosts
    ]
    names = ("host", "domain", "service", "version", "lag", "state", "log answered")
    return _table(title, names, rows)


def _log_age(host: HostReport) -> str:
    age = "-"
    if host.log_answered_ago_s is not None:
        age = f"{host.log_answered_ago_s:.1f} s ago"
    if host.log_failures_in_row:
        age += f", {host.log_failures_in_row} failures"
    return age


def _overload(service: ServiceReport) -> str:
    if not service.overloaded:
        return "-"
    return f"at {service.overloaded} hosts, {service.shed} shed"


def _detail_tables(report: FleetReport) -> list[Table]:
    tables = [
        _table(
            "Load by service",
            (
                *("service", "upstreams", "draining", "limit"),
                *("running", "queued", "delay", "overloaded"),
            ),
            [
                (
                    each.service,
                    each.upstreams,
                    each.draining,
                    each.limit,
                    each.in_flight,
                    each.queued,
                    f"{each.queue_delay_ms:.0f} ms",
                    _overload(each),
                )
                for each in report.services
            ],
        )
    ]
    for title, outcomes in (
        ("Refused, not run", report.refusals),
        ("May have run", report.may_have_run),
    ):
        outcome_rows = [
            (each.account_id, each.service, each.reason, each.count)
            for each in outcomes
        ]
        names = ("account", "service", "reason", "requests")
        tables.append(_table(title, names, outcome_rows))
    tables.append(
        _table(
            "Shares of rates",
            ("account", "domain", "rate", "burst", "granted", "grantor"),
            [
                (
                    each.account_id,
                    each.failure_domain,
                    f"{each.domain_rate:g}",
                    f"{each.domain_burst:g}",
                    f"{each.granted_rate:g}",
                    each.grantor,
                )
                for each in report.shares
            ],
        )
    )
    tables.append(
        _table(
            "Quarantined requests",
            ("service", "fingerprint", "deaths", "remaining"),
            [
                (
                    each.service,
                    each.fingerprint,
                    each.deaths,
                    f"{each.remaining_s:.0f} s",
                )
                for each in report.quarantines
            ],
        )
    )
    return [table for table in tables if table.row_count]


def _table(
    title: str, names: Iterable[str], rows: Iterable[tuple[object, ...]]
) -> Table:
    table = Table(title=title, title_justify="left", box=None, pad_edge=False)
    for name in names:
        table.add_column(name)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    return table
