"""Nothing reaches the upstream of an evacuated domain, queued requests neither."""

import pytest
import trio

from mangospoke.announcements import Announcement
from mangospoke.conf.settings import Limits
from mangospoke.guard.evacuation import EvacuationGate
from mangospoke.guard.guard import Guard
from mangospoke.http.bodies import buffered_body
from mangospoke.http.fields import REQUEST_ID
from mangospoke.http.messages import HttpResponse
from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.observability.decisions import DecisionLog
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import Answered, RefusalReason, Verdict
from tests.harness.calls import make_call
from tests.harness.serving import serve_http

NOTICE_S = 0.3
SLOTS = 2


class Upstream:
    """Works on each request for `work_s` and notes when it arrived."""

    def __init__(self):
        self.work_s = 0.1
        self.arrived_at = []

    async def handle(self, request):
        self.arrived_at.append(trio.current_time())
        await trio.sleep(self.work_s)
        return HttpResponse(200, [(REQUEST_ID, b"r")], buffered_body(b"x"))


@pytest.fixture
async def evacuated():
    """A guard with its upstream, and a function that gives and takes back orders."""
    upstream = Upstream()
    fleet = Fleet("s")
    fleet.evacuations.handle_newest([], 1, 0)
    guard = Guard(fleet, Limits(), DecisionLog())
    gate = EvacuationGate(fleet.evacuations, "a", NOTICE_S, guard.refuse_queued)
    guard.is_evacuated = gate.is_closed
    async with trio.open_nursery() as nursery:
        nursery.start_soon(gate.run)
        address = await nursery.start(serve_http, upstream.handle)
        guard.attach(
            Announcement(service="batches", address=address, slots=SLOTS, connections=9)
        )

        def order(domain, value, offset):
            record = KeyedRecord(domain, value, offset)
            fleet.evacuations.handle_orders([record], 1, offset + 1)

        yield guard, upstream, order
        nursery.cancel_scope.cancel()


async def run_calls(guard, count):
    outcomes = []

    async def run_call():
        outcomes.append(await guard.execute(make_call(5.0, headers=[(b"host", b"x")])))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(run_call)
    return outcomes


def refusals(outcomes):
    return [each for each in outcomes if not isinstance(each, Answered)]


async def test_late_and_queued_requests_are_refused_as_not_run(evacuated):
    guard, upstream, order = evacuated
    upstream.work_s = 0.8
    ordered_at = trio.current_time()
    order("a", b"{}", 0)
    outcomes = await run_calls(guard, 6)
    outcomes += await run_calls(guard, 3)
    answered = [each for each in outcomes if isinstance(each, Answered)]
    refused = refusals(outcomes)
    # What runs is finished; what waits and what comes later goes elsewhere.
    assert len(answered) == len(upstream.arrived_at) <= SLOTS
    assert {each.reason for each in refused} == {RefusalReason.EVACUATED}
    assert {each.verdict for each in refused} == {Verdict.NOT_RUN}
    assert {each.status for each in refused} == {503}
    assert max(upstream.arrived_at) < ordered_at + NOTICE_S


async def test_another_domain_that_is_evacuated_changes_nothing(evacuated):
    guard, upstream, order = evacuated
    order("b", b"{}", 0)
    await trio.sleep(2 * NOTICE_S)
    assert refusals(await run_calls(guard, 1)) == []


async def test_an_upstream_takes_requests_again_once_it_is_taken_back(evacuated):
    guard, upstream, order = evacuated
    order("a", b"{}", 0)
    await trio.sleep(2 * NOTICE_S)
    assert not upstream.arrived_at
    order("a", b"", 1)
    assert refusals(await run_calls(guard, 1)) == []
