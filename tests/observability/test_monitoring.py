"""Checks that alerts and dashboard use only metrics that daemons serve."""

import json
import re
from pathlib import Path

import pytest

from mangospoke.cancellation import CancelCause
from mangospoke.ids import HostId, ServiceName
from mangospoke.observability.metrics import render_metrics
from mangospoke.observability.status import (
    EvacuationStatus,
    LogCallCount,
    OutcomeCount,
    TokenStatus,
    UpstreamStatus,
)
from mangospoke.verdicts import Verdict
from tests.observability.test_metrics import MetricsServer, make_status

MONITORING_DIRECTORY = Path(__file__).parents[2] / "deploy" / "monitoring"


def served_metrics():
    status = make_status(
        upstream=UpstreamStatus("s", "a:1", False, 4, 1, 0, 0.0, rate_limit=8.0),
        outcomes=(OutcomeCount("acme", "s", Verdict.RAN, "answered", 1),),
        proof_age_s=0.1,
        tokens=(TokenStatus("acme", 1.0, 1.0),),
        log_calls=(LogCallCount("/log-read", "200", 1),),
        evacuations=(EvacuationStatus("a", 0.0, 1.0),),
        evacuated_services=(ServiceName("s"),),
    )
    metrics = MetricsServer(status)
    metrics.dropped_lines["ended/answered"] = 1
    metrics.decisions.ejections[(ServiceName("s"), HostId("h"))] = 1
    metrics.decisions.unanswered[(ServiceName("s"), CancelCause.STOPPED)] = 1
    for histograms in (
        metrics.decisions.latencies.request,
        metrics.decisions.latencies.queue,
        metrics.decisions.latencies.upstream,
    ):
        histograms["s"].observe(0.1)
    metrics.lag.histogram.observe(0.1)
    text = render_metrics(status, metrics.decisions, metrics.lag, metrics.dropped_lines)
    return set(re.findall(r"^(mangospoke_\w+)", text.decode(), re.MULTILINE))


def read_expressions():
    alerts = (MONITORING_DIRECTORY / "alerts.yaml").read_text()
    dashboard = json.loads((MONITORING_DIRECTORY / "dashboard.json").read_text())
    yield alerts
    for panel in dashboard["panels"]:
        yield from (target["expr"] for target in panel["targets"])


@pytest.mark.parametrize("text", list(read_expressions()))
def test_each_metric_is_served(text):
    used_metrics = set(re.findall(r"mangospoke_\w+", text))
    assert used_metrics
    assert used_metrics <= served_metrics()
