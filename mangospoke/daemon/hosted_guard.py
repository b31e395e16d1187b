"""The guard of a hosted daemon, and what the platform's guarantees add to it."""

import trio

from mangospoke.daemon.hosting import Guarantees, HostedSettings
from mangospoke.guard.dialect import UpstreamDialect
from mangospoke.guard.evacuation import EvacuationGate
from mangospoke.guard.guard import Guard
from mangospoke.guard.retry_arrivals import RetryArrivals
from mangospoke.guard.retry_gate import RetryGate
from mangospoke.ids import ServiceName
from mangospoke.ingress.callees import Callees
from mangospoke.observability.decisions import DecisionLog
from mangospoke.routing.balancer import Balancer
from mangospoke.state.fleet import Fleet

_DRAIN_NOTICE_RATIO = 0.35
"""Part of `drain_s` in which new requests are still accepted."""

_EVACUATION_NOTICE_RATIO = 0.15
"""Part of `evacuation_s` in which the upstream of an evacuated domain still gets
requests once its daemon knows. It may have learned late itself."""


def make_guard(
    hosted_settings: HostedSettings,
    fleet: Fleet,
    decisions: DecisionLog,
    dialect: UpstreamDialect,
) -> Guard:
    """Returns the guard in front of this host's upstream."""
    guarantees = hosted_settings.guarantees
    guard = Guard(
        fleet,
        hosted_settings.settings.limits,
        decisions,
        dialect,
        guarantees.drain_s * _DRAIN_NOTICE_RATIO,
        adapts_limit=False,
    )
    apply_cold_limits(guard, guarantees)
    return guard


def apply_cold_limits(guard: Guard, guarantees: Guarantees) -> None:
    """Bounds what a cold upstream gets, also after a reload."""
    guard.cold_starts.max_excess_ratio = guarantees.cold.max_excess_ratio
    guard.cold_starts.max_excess_requests = guarantees.cold.max_excess_requests


def add_evacuation_gate(
    hosted_settings: HostedSettings, fleet: Fleet, guard: Guard
) -> EvacuationGate:
    """Closes the guard while this host's failure domain is evacuated."""
    domain = hosted_settings.settings.host.failure_domain
    gate = EvacuationGate(
        fleet.evacuations,
        domain,
        hosted_settings.guarantees.evacuation_s * _EVACUATION_NOTICE_RATIO,
        guard.refuse_queued,
    )
    guard.is_evacuated = gate.is_closed

    def handle_evacuation() -> None:
        """Has the upstream asked whether it turned cold, as it may have just before."""
        if fleet.evacuations.is_evacuated(domain):
            guard.cold_starts.request_check()

    fleet.evacuations.listeners.append(handle_evacuation)
    return gate


def follow_callees(
    hosted_settings: HostedSettings, guard: Guard, balancer: Balancer, callees: Callees
) -> None:
    """Lets the guard take into account how the services are that its upstream calls.

    Args:
        hosted_settings: The daemon's settings.
        guard: The guard.
        balancer: What is known of other upstreams.
        callees: The services that this host's upstream calls.
    """
    service = hosted_settings.upstream_service

    def called_services() -> list[ServiceName]:
        return list(callees.services(trio.current_time()))

    guard.is_behind_cut = balancer.is_behind_cut
    guard.read_downstream_delay_s = lambda: callees.delay_s(
        balancer.delay_s, trio.current_time()
    )
    guard.retry_gate = RetryGate(
        RetryArrivals(hosted_settings.guarantees.retries),
        lambda: balancer.count_upstreams(service),
        lambda: bool(called_services()),
        lambda: any(map(balancer.refuses_retries, called_services())),
    )
