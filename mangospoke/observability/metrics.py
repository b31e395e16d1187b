"""Prometheus metrics, rendered from counters on each request for them."""

from collections.abc import Iterable, Mapping

from aioprometheus import Counter, Gauge, Registry
from aioprometheus import Histogram as PrometheusHistogramCollector
from aioprometheus.collectors import Collector
from aioprometheus.histogram import Histogram as PrometheusHistogram
from aioprometheus.renderer import render

from mangospoke.ids import ServiceName
from mangospoke.observability.decisions import DecisionLog
from mangospoke.observability.lag import LoopLagMonitor
from mangospoke.observability.latencies import BOUNDS_S, Histogram
from mangospoke.observability.status import (
    DaemonStatus,
    OutcomeCount,
    StateStatus,
    UpstreamStatus,
)

LabelledValue = tuple[Mapping[str, str], float]
"""The labels of a value, and the value."""


def render_metrics(
    status: DaemonStatus,
    decisions: DecisionLog,
    lag: LoopLagMonitor,
    dropped_lines: Mapping[str, int],
) -> bytes:
    """Renders a daemon's metrics in the Prometheus text format.

    Args:
        status: Current status of the daemon.
        decisions: Counters and histograms of requests.
        lag: Measured lag of the event loop.
        dropped_lines: Number of dropped log lines, by event and reason.
    """
    registry = Registry()
    _add_status_gauges(registry, status)
    _add_outcomes(registry, status)
    _add_decisions(registry, decisions)
    _add_latencies(registry, decisions)
    _add_lag(registry, lag)
    _add_dropped_lines(registry, dropped_lines)
    _add_hosted_metrics(registry, status)
    content, _ = render(registry, [])
    return content


def _add_gauge(
    registry: Registry, name: str, text: str, values: Iterable[LabelledValue]
) -> None:
    """Adds a gauge with a value for each set of labels."""
    gauge = Gauge(name, text, registry=registry)
    for labels, value in values:
        gauge.set(dict(labels), value)


def _add_counter(
    registry: Registry, name: str, text: str, values: Iterable[LabelledValue]
) -> None:
    """Adds a counter with a value for each set of labels."""
    counter = Counter(name, text, registry=registry)
    for labels, value in values:
        counter.set(dict(labels), value)


def _add_status_gauges(registry: Registry, status: DaemonStatus) -> None:
    _add_gauge(
        registry,
        "mangospoke_configuration_version",
        "Configuration version in force.",
        [({}, status.configuration_version)],
    )
    _add_state(registry, status.state)
    _add_gauge(
        registry,
        "mangospoke_overload_shed",
        "Requests shed in the overload that is going on; absent without one.",
        [({"service": each.service}, each.shed) for each in status.overloads],
    )
    if status.upstream is None:
        return
    _add_rate_limit(registry, status.upstream)
    _add_cold_start(registry, status.upstream)
    _add_performance(registry, status.upstream)
    values_by_name = {
        "limit": status.upstream.limit,
        "in_flight": status.upstream.in_flight,
        "queued": status.upstream.queued,
    }
    for name, value in values_by_name.items():
        _add_gauge(
            registry,
            f"mangospoke_upstream_{name}",
            f"Concurrency of the upstream on this host: {name}.",
            [({"service": status.upstream.service}, value)],
        )


def _add_rate_limit(registry: Registry, upstream: UpstreamStatus) -> None:
    service = upstream.service
    has_limit = upstream.rate_limit is not None
    _add_gauge(
        registry,
        "mangospoke_upstream_rate_limit",
        "Requests a second that the upstream says it takes; absent without a limit.",
        [({"service": service}, upstream.rate_limit or 0.0)] if has_limit else (),
    )
    _add_counter(
        registry,
        "mangospoke_upstream_limited_total",
        "Requests that the upstream's rate limit decided, by outcome.",
        [
            ({"service": service, "outcome": "admitted"}, upstream.limit_admitted),
            ({"service": service, "outcome": "refused"}, upstream.limit_refused),
        ],
    )


def _add_performance(registry: Registry, upstream: UpstreamStatus) -> None:
    labels = {"service": upstream.service}
    _add_gauge(
        registry,
        "mangospoke_upstream_failure_ratio",
        "Part of its recent calls that the upstream on this host failed by itself.",
        [(labels, upstream.failure_ratio)],
    )
    _add_gauge(
        registry,
        "mangospoke_upstream_slowness_ratio",
        "How many times longer than usual work takes on the upstream's machine now.",
        [(labels, upstream.slowness_ratio)],
    )
    _add_counter(
        registry,
        "mangospoke_upstream_retries_refused_total",
        "Repeated requests refused because the service has got as many as it may.",
        [(labels, upstream.retries_refused)],
    )


def _add_cold_start(registry: Registry, upstream: UpstreamStatus) -> None:
    service = upstream.service
    _add_gauge(
        registry,
        "mangospoke_upstream_cold",
        "Whether the upstream on this host is cold and gets a bounded rate (1) or not.",
        [({"service": service}, 0 if upstream.cold_left_s == 0 else 1)],
    )
    _add_counter(
        registry,
        "mangospoke_upstream_cold_turns_total",
        "Times that the upstream on this host turned cold.",
        [({"service": service}, upstream.cold_turns)],
    )


def _add_state(registry: Registry, state: StateStatus | None) -> None:
    if state is None:
        return
    _add_gauge(
        registry,
        "mangospoke_state_age_seconds",
        "Seconds since the state was last known to be the log service's.",
        [({}, float("inf") if state.age_s is None else state.age_s)],
    )
    _add_gauge(
        registry,
        "mangospoke_log_failures",
        "Reads of the log service that failed since the last that succeeded.",
        [({}, state.log_failures)],
    )
    _add_counter(
        registry,
        "mangospoke_control_bytes_total",
        "Bytes of control messages between daemons.",
        [
            ({"direction": "sent"}, state.control_bytes_sent),
            ({"direction": "received"}, state.control_bytes_received),
        ],
    )


def _add_outcomes(registry: Registry, status: DaemonStatus) -> None:
    _add_counter(
        registry,
        "mangospoke_requests_total",
        "Requests that entered at this daemon, by outcome.",
        [(_outcome_labels(row), row.count) for row in status.outcomes],
    )


def _outcome_labels(row: OutcomeCount) -> dict[str, str]:
    return {
        "account": row.account_id,
        "service": row.service,
        "verdict": row.verdict.value,
        "reason": row.reason,
    }


def _add_decisions(registry: Registry, decisions: DecisionLog) -> None:
    _add_counter(
        registry,
        "mangospoke_guarded_total",
        "Requests decided beside this host's upstream, by outcome.",
        [
            ({"service": service, "reason": reason}, count)
            for (service, reason), count in decisions.guarded_outcomes.items()
        ],
    )
    _add_counter(
        registry,
        "mangospoke_routed_total",
        "Requests sent to each host.",
        [
            ({"service": service, "host": host}, count)
            for (service, host), count in decisions.routed.items()
        ],
    )
    _add_counter(
        registry,
        "mangospoke_requests_unanswered_total",
        "Requests that this daemon itself left without a response, by cause.",
        [
            ({"service": service, "cause": cause.value}, count)
            for (service, cause), count in decisions.unanswered.items()
        ],
    )
    _add_counter(
        registry,
        "mangospoke_ejections_total",
        "Times that an upstream was left out of routing here.",
        [
            ({"service": service, "host": host}, count)
            for (service, host), count in decisions.ejections.items()
        ],
    )


def _add_latencies(registry: Registry, decisions: DecisionLog) -> None:
    latencies = decisions.latencies
    _add_histograms(
        registry,
        "mangospoke_request_seconds",
        "From entry to end, of requests that entered here and were answered.",
        latencies.request,
    )
    _add_histograms(
        registry,
        "mangospoke_queue_seconds",
        "Waiting for a turn beside this host's upstream.",
        latencies.queue,
    )
    _add_histograms(
        registry,
        "mangospoke_upstream_seconds",
        "In this host's upstream.",
        latencies.upstream,
    )


def _add_histograms(
    registry: Registry,
    name: str,
    text: str,
    histograms_by_service: Mapping[ServiceName, Histogram],
) -> None:
    collector = PrometheusHistogramCollector(
        name, text, registry=registry, buckets=BOUNDS_S
    )
    for service, histogram in histograms_by_service.items():
        _set_histogram(collector, {"service": service}, histogram)


def _set_histogram(
    collector: Collector, labels: dict[str, str], histogram: Histogram
) -> None:
    values = PrometheusHistogram(*BOUNDS_S)
    count = 0
    for bound, added in zip(list(values.buckets), histogram.counts, strict=True):
        count += added
        values.buckets[bound] = count
    values.observations = count
    values.sum = histogram.total_s
    collector.set_value(labels, values)


def _add_lag(registry: Registry, lag: LoopLagMonitor) -> None:
    collector = PrometheusHistogramCollector(
        "mangospoke_loop_lag_seconds",
        "How late the event loop ran what was due, looked at twice a second.",
        registry=registry,
        buckets=BOUNDS_S,
    )
    _set_histogram(collector, {}, lag.histogram)


def _add_dropped_lines(registry: Registry, dropped_lines: Mapping[str, int]) -> None:
    _add_counter(
        registry,
        "mangospoke_log_lines_left_out_total",
        "Log lines beyond the budget, by what they tell of.",
        [({"kind": kind}, count) for kind, count in dropped_lines.items()],
    )


def _add_hosted_metrics(registry: Registry, status: DaemonStatus) -> None:
    """Adds metrics that only a hosted daemon has."""
    if status.proof_age_s is None:
        return
    _add_gauge(
        registry,
        "mangospoke_proof_age_seconds",
        "Seconds since the configuration was last known to be the newest.",
        [({}, status.proof_age_s)],
    )
    _add_eras(registry, status)
    _add_evacuations(registry, status)
    _add_counter(
        registry,
        "mangospoke_log_calls_total",
        "Calls to the log service, by kind and outcome.",
        [
            ({"kind": call.kind, "outcome": call.outcome}, call.count)
            for call in status.log_calls
        ],
    )
    _add_gauge(
        registry,
        "mangospoke_account_tokens",
        "Requests of an account that this host may admit now.",
        [({"account": each.account_id}, each.tokens) for each in status.tokens],
    )
    _add_gauge(
        registry,
        "mangospoke_account_demand",
        "Requests a second of an account that arrive at this host.",
        [({"account": each.account_id}, each.demand) for each in status.tokens],
    )


def _add_evacuations(registry: Registry, status: DaemonStatus) -> None:
    _add_gauge(
        registry,
        "mangospoke_failure_domain_share",
        "Part of its usual requests that an evacuated or returning domain may get.",
        [
            ({"failure_domain": each.failure_domain}, each.share)
            for each in status.evacuations
        ],
    )
    _add_gauge(
        registry,
        "mangospoke_service_evacuated",
        "1 for each service whose upstreams are all in evacuated failure domains.",
        [({"service": service}, 1) for service in status.evacuated_services],
    )


def _add_eras(registry: Registry, status: DaemonStatus) -> None:
    _add_counter(
        registry,
        "mangospoke_log_era_changes_total",
        "Times that the log service came back from an older copy.",
        [({}, 0 if status.log is None else status.log.era_changes)],
    )
    _add_counter(
        registry,
        "mangospoke_host_rewrites_total",
        "Times that the log service had forgotten this host's record.",
        [({}, status.host_rewrites)],
    )
