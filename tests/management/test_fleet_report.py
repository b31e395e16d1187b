"""Answers of daemons are summed up, and shown whole."""

import io

from rich.console import Console

from mangospoke.management.fleet_report import LogReport, make_fleet_report
from mangospoke.management.fleet_tables import render_fleet
from mangospoke.observability.status import (
    DaemonStatus,
    LogHealth,
    OutcomeCount,
    OverloadStatus,
    QuarantineStatus,
    ShareStatus,
    UpstreamStatus,
)
from mangospoke.publication.hosts import FleetStatuses
from mangospoke.verdicts import Verdict


def _status(host, version, domain="north", **changes):
    upstream = UpstreamStatus(
        service="stock",
        address="10.0.0.1:1",
        draining=False,
        limit=8,
        in_flight=3,
        queued=2,
        queue_delay_ms=40.0 if host == "h2" else 5.0,
    )
    outcomes = (
        OutcomeCount("acme", "stock", Verdict.NOT_RUN, "over-rate", 5),
        OutcomeCount("acme", "stock", Verdict.MAY_HAVE_RUN, "truncated-answer", 1),
        OutcomeCount("acme", "stock", Verdict.RAN, "answered", 900),
    )
    values = {
        "host_id": host,
        "failure_domain": domain,
        "site": "yard",
        "incarnation": 1,
        "configuration_version": version,
        "offsets": {},
        "upstreams_known": {},
        "upstream": upstream,
        "outcomes": outcomes,
        "draining": False,
        "log": LogHealth(answered_ago_s=1.5, failures_in_row=0),
        "shares": (ShareStatus("acme", 50, 10, 20, "h1"),),
    }
    return DaemonStatus(**(values | changes))


def _report():
    lost = QuarantineStatus("stock", "9f3a", 2, 30.0)
    longer = QuarantineStatus("stock", "9f3a", 3, 55.0)
    overloads = (OverloadStatus("stock", 3.0, 31),)
    fleet = FleetStatuses(
        statuses_by_address={
            "10.0.0.1:1": _status("h1", 7, quarantines=(lost,), overloads=overloads),
            "10.0.0.2:1": _status("h2", 7, quarantines=(longer,)),
            "10.0.0.3:1": _status("h3", 5, "south", log=LogHealth(None, 4)),
        },
        errors_by_address={"10.0.0.4:1": "refused"},
    )
    names = {address: address for address in fleet.statuses_by_address}
    return make_fleet_report(
        fleet, names | {"10.0.0.4:1": "h4"}, LogReport(asked=True, version=7)
    )


def test_answers_are_summed_up():
    report = _report()
    assert [(host.host_id, host.lag) for host in report.hosts] == [
        ("h1", 0),
        ("h2", 0),
        ("h3", 2),
    ]
    (service,) = report.services
    assert (service.limit, service.queued, service.queue_delay_ms) == (24, 6, 40.0)
    assert [(each.reason, each.count) for each in report.refusals] == [
        ("over-rate", 15)
    ]
    assert [each.count for each in report.may_have_run] == [3]
    assert [each.granted_rate for each in report.shares] == [40, 20]
    assert [each.deaths for each in report.quarantines] == [3]
    assert report.unreachable == {"h4": "refused"}


def test_everything_is_shown(snapshot):
    console = Console(width=100, file=io.StringIO())
    console.print(render_fleet(_report(), all_hosts=False))
    assert console.file.getvalue() == snapshot


def test_in_a_large_fleet_only_hosts_in_trouble_are_shown():
    statuses = {f"a{n}": _status(f"h{n}", 6 if n == 17 else 7) for n in range(60)}
    names = {address: address for address in statuses}
    report = make_fleet_report(FleetStatuses(statuses), names, LogReport(asked=False))
    console = Console(width=100, file=io.StringIO())
    console.print(render_fleet(report, all_hosts=False))
    shown = console.file.getvalue()
    assert "Hosts behind or in trouble (1 of 60)" in shown
    assert "h17" in shown
    assert "h18" not in shown
