"""What daemons tell of themselves at their operations address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mangospoke.guard.guard import Guard
from mangospoke.logservice.calls import LogCalls
from mangospoke.observability.decisions import DecisionLog
from mangospoke.observability.status import (
    DaemonStatus,
    LogCallCount,
    OutcomeCount,
    UpstreamStatus,
)
from mangospoke.rates.status import read_shares

if TYPE_CHECKING:
    from mangospoke.daemon.assembly import Daemon
    from mangospoke.daemon.hosted import HostedDaemon
    from mangospoke.ids import ServiceName
    from mangospoke.state.fleet import Fleet


def read_status(daemon: Daemon) -> DaemonStatus:
    """Reads what a daemon tells of itself."""
    fleet = daemon.fleet
    return DaemonStatus(
        host_id=daemon.identity.host_id,
        failure_domain=daemon.identity.failure_domain,
        site=daemon.settings.host.site,
        incarnation=daemon.identity.incarnation,
        configuration_version=fleet.configuration.version,
        offsets=_offsets(fleet),
        upstreams_known=_count_upstreams(fleet),
        upstream=_upstream_status(daemon.guard),
        outcomes=_count_outcomes(daemon.decisions),
        draining=daemon.public.draining,
        log=daemon.log_client.health(),
        shares=read_shares(daemon.rates, fleet.configuration),
        grantor_state=daemon.rates.grantor.state.value,
        state=daemon.state.status(),
        quarantines=daemon.poison.statuses(),
        overloads=daemon.overload.statuses(),
    )


def read_hosted_status(daemon: HostedDaemon) -> DaemonStatus:
    """Reads what a hosted daemon tells of itself."""
    fleet = daemon.fleet
    return DaemonStatus(
        host_id=daemon.identity.host_id,
        failure_domain=daemon.identity.failure_domain,
        site=daemon.settings.host.site,
        incarnation=daemon.identity.incarnation,
        configuration_version=fleet.configuration.version,
        offsets={},
        upstreams_known=_count_upstreams(fleet),
        upstream=_upstream_status(daemon.guard),
        outcomes=_count_outcomes(daemon.decisions),
        draining=daemon.registrar.stopping,
        log=daemon.log_calls.health(),
        quarantines=daemon.poison.statuses(),
        overloads=daemon.overload.statuses(),
        tokens=daemon.rates.statuses(),
        log_calls=_count_log_calls(daemon.log_calls),
        proof_age_s=daemon.freshness.age_s(),
    )


def _count_upstreams(fleet: Fleet) -> dict[ServiceName, int]:
    return {
        service: len(upstreams)
        for service, upstreams in fleet.upstreams_by_service.items()
    }


def _count_outcomes(decisions: DecisionLog) -> tuple[OutcomeCount, ...]:
    return tuple(OutcomeCount(*key, count) for key, count in decisions.outcomes.items())


def _count_log_calls(calls: LogCalls) -> tuple[LogCallCount, ...]:
    return tuple(
        LogCallCount(kind, outcome, count)
        for (kind, outcome), count in calls.counts.items()
    )


def _upstream_status(guard: Guard) -> UpstreamStatus | None:
    announcement = guard.announcement
    if announcement is None:
        return None
    load = guard.load()
    return UpstreamStatus(
        service=announcement.service,
        address=announcement.address,
        draining=guard.draining,
        limit=load.limit,
        in_flight=load.in_flight,
        queued=load.queued,
        queue_delay_ms=load.queue_delay_ms,
    )


def _offsets(fleet: Fleet) -> dict[str, int]:
    return {
        stream.value: offset for stream, offset in fleet.next_offset_by_stream.items()
    }
