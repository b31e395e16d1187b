"""Requests that need a service which is only behind a cut."""

import pytest

from mangospoke.announcements import Announcement
from mangospoke.conf.settings import Limits
from mangospoke.guard.guard import Guard
from mangospoke.observability.decisions import DecisionLog
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import RefusalReason
from tests.harness.calls import make_call

UNUSED_ADDRESS = "127.0.0.1:9"
"""Nothing listens here: an admitted call is refused as unreachable."""


@pytest.fixture
async def guard():
    new_guard = Guard(Fleet("s"), Limits(), DecisionLog())
    new_guard.attach(
        Announcement(service="batches", address=UNUSED_ADDRESS, slots=4, connections=9)
    )
    for number in range(20):
        request_id = f"q{number}"
        new_guard.route_callees.begin_run(request_id)
        new_guard.route_callees.record_call(request_id, "lock")
        new_guard.route_callees.end_run(request_id, "read", is_complete=True)
    return new_guard


async def test_a_request_runs_whose_calls_can_not_be_reached(guard):
    guard.is_behind_cut = lambda service: service == "lock"
    outcome = await guard.execute(make_call(1, route="read"))
    assert outcome.reason is RefusalReason.NO_UPSTREAM
    assert outcome.retry_after_s is not None


async def test_a_request_is_refused_whose_calls_can_be_reached(guard):
    guard.is_behind_cut = lambda service: service == "other"
    for route in ("read", "write"):
        outcome = await guard.execute(make_call(1, route=route))
        assert outcome.reason is RefusalReason.UPSTREAM_UNREACHABLE
    guard.is_behind_cut = lambda service: service == "lock"
    outcome = await guard.execute(make_call(1, route="write"))
    assert outcome.reason is RefusalReason.UPSTREAM_UNREACHABLE


async def test_a_failed_run_is_left_open(guard):
    await guard.execute(make_call(1, route="read", request_id="open"))
    assert not guard.route_callees._called_by_request
