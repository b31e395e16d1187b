"""The bound on a cold upstream, in virtual time; its health is asked of a fake."""

import math

import pytest
import trio
import trio.testing

from mangospoke.announcements import Announcement
from mangospoke.conf.effective import EffectiveConfiguration, EffectiveService
from mangospoke.guard import cold_starts
from mangospoke.guard.admission import AdmissionController
from mangospoke.guard.cold_starts import ColdStartController
from mangospoke.guard.dialect import ResponseMetadata
from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpResponse
from mangospoke.platform.headers import UPSTREAM_DIALECT
from mangospoke.state.fleet import Fleet
from tests.harness.calls import make_call

COLD_PER_S = 8.0
COLD_START_S = 3.0
ANNOUNCEMENT = Announcement(
    service="batches",
    address="127.0.0.1:1",
    slots=40,
    connections=100,
    instance="i-1",
    cold_left_ms=0,
)


def make_configuration(cold_per_s=COLD_PER_S):
    configuration = EffectiveConfiguration(version=1)
    configuration.services_by_name["batches"] = EffectiveService(
        name="batches",
        calls=(),
        slots=40,
        connections=100,
        cold_start_s=COLD_START_S,
        echoes_request_id=True,
        cold_per_s=cold_per_s,
        health_path="/healthz",
    )
    return configuration


class FakeHealth:
    """What the upstream's health path tells.

    Attributes:
        cold_ms: The cold time that it tells; None if it can't be reached.
        asked_at: When it was asked.
    """

    def __init__(self):
        self.cold_ms = b"0"
        self.instance = b"i-1"
        self.asked_at = []

    async def request_once(self, address, path):
        self.asked_at.append(trio.current_time())
        await trio.sleep(0.01)
        if self.cold_ms is None:
            return None
        headers = [(b"instance-id", self.instance), (b"cold-ms", self.cold_ms)]
        return HttpResponse(200, headers, buffered_body(b""))


@pytest.fixture
def health(monkeypatch):
    health = FakeHealth()
    monkeypatch.setattr(cold_starts, "request_once", health.request_once)
    return health


@pytest.fixture
async def admission(autojump_clock):
    admission = AdmissionController(adapts_limit=False)
    admission.concurrency.start_cold(40, trio.current_time(), 0.0)
    return admission


@pytest.fixture
async def controller(admission, health):
    fleet = Fleet("s")
    controller = ColdStartController(
        fleet, admission.rate_limit, UPSTREAM_DIALECT, admission.apply_rate_limit
    )
    controller.max_excess_ratio = 0.5
    controller.max_excess_requests = 8.0
    fleet.configuration = make_configuration()
    controller.apply_configuration()
    controller.start_run(ANNOUNCEMENT)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(controller.run)
        nursery.start_soon(admission.run)
        yield controller
        nursery.cancel_scope.cancel()


async def test_a_cold_time_ends_by_itself(controller, admission):
    controller.process_heartbeat(2_000)
    assert admission.rate_limit.rate_per_s == COLD_PER_S
    await trio.sleep(1.9)
    assert admission.rate_limit.rate_per_s == COLD_PER_S
    await trio.sleep(0.5)
    assert admission.rate_limit.rate_per_s is None
    assert controller.turn_count == 1


async def test_a_service_that_declares_no_bound_is_served_as_before(
    controller, admission
):
    controller._fleet.configuration = make_configuration(cold_per_s=0.0)
    controller.apply_configuration()
    controller.process_heartbeat(2_000)
    controller.handle_unreachable()
    assert admission.rate_limit.rate_per_s is None


async def test_an_upstream_that_is_reachable_again_before_its_first_heartbeat_is_asked(
    controller, admission, health
):
    health.cold_ms = None
    controller.handle_unreachable()
    for _ in range(8):
        admission.rate_limit.take(trio.current_time())
        await trio.sleep(0.5)
    assert admission.rate_limit.rate_per_s == COLD_PER_S
    health.cold_ms = b"2500"
    await trio.sleep(1)
    assert admission.rate_limit.rate_per_s == COLD_PER_S
    assert controller.warmth.left_s(trio.current_time()) < 2.6


async def test_an_upstream_that_was_only_hard_to_reach_is_soon_taken_for_warm(
    controller, admission, health
):
    admission.rate_limit.take(trio.current_time())
    controller.handle_unreachable()
    await trio.sleep(0.6)
    assert admission.rate_limit.rate_per_s is None


async def test_the_health_of_another_run_says_nothing(controller, admission, health):
    health.instance = b"i-2"
    admission.rate_limit.take(trio.current_time())
    controller.handle_unreachable()
    await trio.sleep(1)
    assert admission.rate_limit.rate_per_s == COLD_PER_S


async def test_checks_are_few_enough_for_the_room_that_is_left_to_them(
    controller, admission, health
):
    health.cold_ms = None
    controller.handle_unreachable()
    for _ in range(100):
        admission.rate_limit.take(trio.current_time())
        await trio.sleep(0.1)
    asked_at = health.asked_at
    assert max(sum(s <= t < s + 1 for t in asked_at) for s in asked_at) <= 3


async def test_an_upstream_that_nothing_is_sent_to_is_not_asked(controller, health):
    controller.handle_unreachable()
    await trio.sleep(60)
    assert not health.asked_at


async def test_queued_calls_that_a_cold_upstream_cannot_take_in_time_are_handed_on(
    controller, admission
):
    slots = [await admission.acquire(make_call()) for _ in range(40)]
    refused = []

    async def acquire():
        refused.append(await admission.acquire(make_call()))

    async with trio.open_nursery() as nursery:
        for _ in range(30):
            nursery.start_soon(acquire)
        await trio.testing.wait_all_tasks_blocked()
        controller.process_heartbeat(2_000)
        await trio.testing.wait_all_tasks_blocked()
        assert len(refused) >= 26
        assert admission.rate_limit.refused_count >= 26
        nursery.cancel_scope.cancel()
    assert len(slots) == 40


@pytest.mark.parametrize("value", [b"", b"soon", b"-5", b"nan", b"1e999"])
async def test_a_cold_time_that_cannot_be_read_says_nothing(value):
    response = HttpResponse(200, [(b"cold-ms", value)], buffered_body(b""))
    assert UPSTREAM_DIALECT.read_metadata(response).cold_left_s is None


async def test_a_response_that_says_that_it_is_cold_bounds_the_upstream(
    controller, admission
):
    metadata = ResponseMetadata(cold_left_s=1.5)
    controller.process_response(metadata, trio.current_time())
    assert admission.rate_limit.rate_per_s == COLD_PER_S
    assert math.isfinite(controller.warmth.cold_until)
