"""Builds the status that daemons report at their operations address."""

import math
from typing import Protocol

import msgspec
import trio

from mangospoke.conf.settings import Settings
from mangospoke.guard.guard import Guard
from mangospoke.guard.poison import QuarantineController
from mangospoke.http.server import ConnectionContext
from mangospoke.ids import FailureDomainId, ServiceName
from mangospoke.logservice.calls import LogTransport
from mangospoke.logservice.client import LogClient
from mangospoke.logservice.era import LogEra
from mangospoke.observability.decisions import DecisionLog
from mangospoke.observability.overload import OverloadDetector
from mangospoke.observability.status import (
    DaemonStatus,
    EvacuationStatus,
    LogCallCount,
    LogHealth,
    OutcomeCount,
    UpstreamStatus,
)
from mangospoke.peers.handshake import Identity
from mangospoke.rates.borrowing import BorrowedRates
from mangospoke.rates.service import Rates
from mangospoke.rates.status import read_shares
from mangospoke.state.evacuated_services import EvacuatedServices
from mangospoke.state.evacuations import Evacuations
from mangospoke.state.fleet import Fleet
from mangospoke.state.freshness import Freshness
from mangospoke.state.registrar import HostRegistrar
from mangospoke.state.subsystem import StateSubsystem


class _AnyDaemon(Protocol):
    """Components that both kinds of daemon have."""

    settings: Settings
    identity: Identity
    fleet: Fleet
    decisions: DecisionLog
    guard: Guard
    quarantine: QuarantineController
    overload: OverloadDetector
    connections: ConnectionContext


class _StandaloneDaemon(_AnyDaemon, Protocol):
    """Components of a daemon that replicates the log itself."""

    log_client: LogClient
    rates: Rates
    state: StateSubsystem


class _PlatformDaemon(_AnyDaemon, Protocol):
    """Components of a daemon that runs on a platform."""

    log_calls: LogTransport
    log_era: LogEra
    registrar: HostRegistrar
    rates: BorrowedRates
    freshness: Freshness
    evacuated_services: EvacuatedServices


def read_status(daemon: _StandaloneDaemon) -> DaemonStatus:
    """Builds the status of a daemon that replicates the log itself."""
    return msgspec.structs.replace(
        _build_common_status(daemon, daemon.log_client.health()),
        offsets=_read_offsets(daemon.fleet),
        shares=read_shares(daemon.rates, daemon.fleet.configuration),
        grantor_state=daemon.rates.grantor.state.value,
        state=daemon.state.status(),
    )


def read_hosted_status(daemon: _PlatformDaemon) -> DaemonStatus:
    """Builds the status of a hosted daemon."""
    return msgspec.structs.replace(
        _build_common_status(daemon, _read_log_health(daemon)),
        tokens=daemon.rates.statuses(),
        log_calls=_count_log_calls(daemon.log_calls),
        proof_age_s=daemon.freshness.age_s(),
        host_rewrites=daemon.registrar.rewrite_count,
        evacuations=_read_evacuations(daemon.fleet.evacuations),
        evacuated_services=tuple(daemon.evacuated_services.services),
    )


def _read_evacuations(evacuations: Evacuations) -> tuple[EvacuationStatus, ...]:
    def read(domain: FailureDomainId) -> EvacuationStatus:
        age_s = evacuations.age_s(domain)
        return EvacuationStatus(
            domain, evacuations.share(domain), age_s if math.isfinite(age_s) else None
        )

    return tuple(map(read, [*evacuations.domains(), *evacuations.returning()]))


def _build_common_status(daemon: _AnyDaemon, log: LogHealth) -> DaemonStatus:
    return DaemonStatus(
        host_id=daemon.identity.host_id,
        failure_domain=daemon.identity.failure_domain,
        site=daemon.settings.host.site,
        incarnation=daemon.identity.incarnation,
        configuration_version=daemon.fleet.configuration.version,
        offsets={},
        upstreams_known=_count_upstreams(daemon.fleet),
        upstream=_read_upstream_status(daemon.guard),
        outcomes=_count_outcomes(daemon.decisions),
        draining=daemon.connections.shutdown.is_draining,
        log=log,
        quarantines=daemon.quarantine.statuses(),
        overloads=daemon.overload.statuses(),
    )


def _read_log_health(daemon: _PlatformDaemon) -> LogHealth:
    return msgspec.structs.replace(
        daemon.log_calls.health(),
        era=daemon.log_era.current,
        era_changes=daemon.log_era.change_count,
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


def _read_upstream_status(guard: Guard) -> UpstreamStatus | None:
    announcement = guard.announcement
    if announcement is None:
        return None
    load = guard.admission.load()
    rate_limit = guard.admission.rate_limit
    performance = guard.performance
    now = trio.current_time()
    return UpstreamStatus(
        service=announcement.service,
        address=announcement.address,
        draining=guard.draining,
        limit=load.limit,
        in_flight=load.in_flight,
        queued=load.queued,
        queue_delay_ms=load.queue_delay_ms,
        rate_limit=rate_limit.stated_per_s,
        limit_admitted=rate_limit.admitted_count,
        limit_refused=rate_limit.refused_count,
        cold_left_s=_read_cold_left_s(guard),
        cold_turns=guard.cold_starts.turn_count,
        work_ms_by_route=performance.work_ms_by_route(),
        failure_ratio=round(performance.failure_ratio(now), 3),
        slowness_ratio=performance.slowness_ratio(now),
        retries_refused=guard.retry_gate.refused_count if guard.retry_gate else 0,
    )


def _read_cold_left_s(guard: Guard) -> float | None:
    """Returns the seconds of a bounded cold time; None if its end isn't known."""
    if not guard.cold_starts.is_bounded:
        return 0.0
    left_s = guard.cold_starts.warmth.left_s(trio.current_time())
    return round(left_s, 3) if math.isfinite(left_s) else None


def _read_offsets(fleet: Fleet) -> dict[str, int]:
    return {
        stream.value: offset for stream, offset in fleet.next_offset_by_stream.items()
    }
