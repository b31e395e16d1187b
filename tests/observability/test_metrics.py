"""Tests the metrics and the status that a daemon serves."""

import msgspec
import pytest

from mangospoke.cancellation import CancelCause
from mangospoke.daemon.operations import OperationsRequestHandler
from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest
from mangospoke.observability.decisions import DecisionLog
from mangospoke.observability.lag import LoopLagMonitor
from mangospoke.observability.status import DaemonStatus, LogCallCount, TokenStatus


def make_status(**changes):
    fields = {
        "host_id": "a1",
        "failure_domain": "a",
        "site": "s",
        "incarnation": 1,
        "configuration_version": 12,
        "offsets": {},
        "upstreams_known": {},
        "upstream": None,
        "outcomes": (),
        "draining": False,
    }
    return DaemonStatus(**{**fields, **changes})


class MetricsServer:
    """Serves metrics of a daemon whose counters the test sets."""

    def __init__(self, status):
        self.decisions = DecisionLog()
        self.lag = LoopLagMonitor()
        self.dropped_lines = {}
        self.entrance = OperationsRequestHandler(
            lambda: status, self.decisions, self.lag, None, self.dropped_lines
        )

    async def get(self, path="/metrics"):
        request = HttpRequest(b"GET", path.encode(), [], buffered_body(b""))
        response = await self.entrance.handle(request)
        return response.body.content.decode()

    async def values(self):
        text = await self.get()
        rows = [row.rsplit(" ", 1) for row in text.splitlines() if row[:1] != "#"]
        return {name: float(value) for name, value in rows}


async def test_latencies_are_histograms_with_cumulative_buckets():
    metrics = MetricsServer(make_status())
    for seconds in (0.0004, 0.02, 0.02, 0.3, 60.0):
        metrics.decisions.latencies.request["s"].observe(seconds)
    values = await metrics.values()

    def bucket(bound):
        return values[f'mangospoke_request_seconds_bucket{{le="{bound}",service="s"}}']

    assert bucket("0.0005") == 1
    assert bucket("0.025") == 3
    assert bucket("0.5") == 4
    assert bucket("+Inf") == 5
    assert values['mangospoke_request_seconds_count{service="s"}'] == 5
    total = values['mangospoke_request_seconds_sum{service="s"}']
    assert total == pytest.approx(60.3404)


async def test_a_hosted_daemon_serves_proof_age_tokens_and_log_calls():
    status = make_status(
        proof_age_s=0.25,
        tokens=(TokenStatus("acme", 3.5, 12.0),),
        log_calls=(LogCallCount("/log-read", "no-answer", 7),),
    )
    values = await MetricsServer(status).values()
    assert values["mangospoke_proof_age_seconds"] == 0.25
    assert values['mangospoke_account_tokens{account="acme"}'] == 3.5
    assert values['mangospoke_account_demand{account="acme"}'] == 12.0
    key = 'mangospoke_log_calls_total{kind="/log-read",outcome="no-answer"}'
    assert values[key] == 7


async def test_requests_that_the_daemon_left_unanswered_are_served_by_cause():
    metrics = MetricsServer(make_status())
    metrics.decisions.unanswered[("s", CancelCause.STOPPED)] = 3
    values = await metrics.values()
    key = 'mangospoke_requests_unanswered_total{cause="stopped",service="s"}'
    assert values[key] == 3


async def test_dropped_lines_and_loop_lag_are_served():
    metrics = MetricsServer(make_status())
    metrics.dropped_lines["ended/answered"] = 9
    metrics.lag.histogram.observe(0.003)
    values = await metrics.values()
    key = 'mangospoke_log_lines_left_out_total{kind="ended/answered"}'
    assert values[key] == 9
    assert values["mangospoke_loop_lag_seconds_count"] == 1


async def test_the_status_is_served_as_json():
    text = await MetricsServer(make_status()).get("/status")
    assert msgspec.json.decode(text, type=DaemonStatus) == make_status()
