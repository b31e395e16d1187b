"""What daemons tell of themselves at their operations address."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

from mangospoke.guard.guard import Guard
from mangospoke.logservice.calls import LogTransport
from mangospoke.observability.decisions import DecisionLog
from mangospoke.observability.status import (
    DaemonStatus,
    LogCallCount,
    LogHealth,
    OutcomeCount,
    UpstreamStatus,
)
from mangospoke.rates.status import read_shares

if TYPE_CHECKING:
    from mangospoke.conf.settings import Settings
    from mangospoke.daemon.assembly import Daemon
    from mangospoke.daemon.hosted import HostedDaemon
    from mangospoke.guard.poison import QuarantineController
    from mangospoke.ids import ServiceName
    from mangospoke.observability.overload import OverloadDetector
    from mangospoke.peers.handshake import Identity
    from mangospoke.state.fleet import Fleet


class _Parts(Protocol):
    """What every daemon has, whatever it learns from."""

    settings: Settings
    identity: Identity
    fleet: Fleet
    decisions: DecisionLog
    guard: Guard
    quarantine: QuarantineController
    overload: OverloadDetector


def read_status(daemon: Daemon) -> DaemonStatus:
    """Reads what a daemon tells of itself."""
    return msgspec.structs.replace(
        _read_common(daemon, daemon.public.draining, daemon.log_client.health()),
        offsets=_offsets(daemon.fleet),
        shares=read_shares(daemon.rates, daemon.fleet.configuration),
        grantor_state=daemon.rates.grantor.state.value,
        state=daemon.state.status(),
    )


def read_hosted_status(daemon: HostedDaemon) -> DaemonStatus:
    """Reads what a hosted daemon tells of itself."""
    return msgspec.structs.replace(
        _read_common(daemon, daemon.registrar.stopping, daemon.log_calls.health()),
        tokens=daemon.rates.statuses(),
        log_calls=_count_log_calls(daemon.log_calls),
        proof_age_s=daemon.freshness.age_s(),
    )


def _read_common(parts: _Parts, draining: bool, log: LogHealth) -> DaemonStatus:
    return DaemonStatus(
        host_id=parts.identity.host_id,
        failure_domain=parts.identity.failure_domain,
        site=parts.settings.host.site,
        incarnation=parts.identity.incarnation,
        configuration_version=parts.fleet.configuration.version,
        offsets={},
        upstreams_known=_count_upstreams(parts.fleet),
        upstream=_upstream_status(parts.guard),
        outcomes=_count_outcomes(parts.decisions),
        draining=draining,
        log=log,
        quarantines=parts.quarantine.statuses(),
        overloads=parts.overload.statuses(),
    )


def _count_upstreams(fleet: Fleet) -> dict[ServiceName, int]:
    return {
        service: len(upstreams)
        for service, upstreams in fleet.upstreams_by_service.items()
    }


def _count_outcomes(decisions: DecisionLog) -> tuple[OutcomeCount, ...]:
    return tuple(OutcomeCount(*key, count) for key, count in decisions.outcomes.items())


def _count_log_calls(calls: LogTransport) -> tuple[LogCallCount, ...]:
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
