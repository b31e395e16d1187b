"""What shows that an upstream is cold or warm, in the orders in which it may arrive."""

import math

import pytest

from mangospoke.guard.warmth import Warmth, WarmthSource

COLD_START_S = 3.0
MARGIN_S = 0.1


@pytest.fixture
def warmth():
    warmth = Warmth()
    warmth.cold_start_s = COLD_START_S
    warmth.start_run(0.0, 0.0)
    return warmth


def test_an_upstream_that_starts_warm_is_never_taken_for_cold(warmth):
    assert not warmth.is_cold(0.0)
    warmth.process_heartbeat(0.0, 1.5)
    warmth.process_answer(1.0, 1.6)
    assert not warmth.is_cold(1.6)


def test_an_upstream_that_turns_cold_later_is_bounded_until_its_time_ends(warmth):
    warmth.process_heartbeat(2.0, 10.0)
    assert warmth.is_cold(12.0)
    assert not warmth.is_cold(12.0 + MARGIN_S)


def test_a_late_heartbeat_of_a_warm_time_does_not_end_the_cold_one(warmth):
    warmth.process_response(3.0, requested_at=9.9, now=10.0)
    warmth.process_heartbeat(0.0, 10.2)
    warmth.process_heartbeat(0.4, 10.3)
    assert warmth.is_cold(13.0)


def test_cold_time_that_grows_from_heartbeat_to_heartbeat_is_followed(warmth):
    for step in range(5):
        warmth.process_heartbeat(1.0 + step, 10.0 + step)
        assert warmth.left_s(10.0 + step) == pytest.approx(1.0 + step + MARGIN_S)


@pytest.mark.parametrize("left_s", [1e9, math.inf])
def test_an_absurd_cold_time_is_not_believed_beyond_its_next_word(warmth, left_s):
    warmth.process_heartbeat(left_s, 10.0)
    assert warmth.is_cold(10.0 + COLD_START_S)
    assert not warmth.is_cold(10.0 + 5 * COLD_START_S)


@pytest.mark.parametrize("left_s", [-5.0, -math.inf, math.nan])
def test_a_negative_cold_time_says_that_it_is_warm(warmth, left_s):
    warmth.start_run(left_s, 10.0)
    assert not warmth.is_cold(10.0)


def test_an_upstream_that_ended_unseen_stays_cold_until_it_says_that_it_is_warm(warmth):
    warmth.presume_cold(WarmthSource.UNREACHABLE, 10.0)
    # A heartbeat from before its end, and a response to an earlier request.
    warmth.process_heartbeat(0.0, 10.5)
    warmth.process_response(0.0, requested_at=9.0, now=10.6)
    warmth.process_answer(requested_at=9.5, now=10.7)
    assert warmth.is_cold(1_000.0)
    warmth.process_response(0.0, requested_at=11.0, now=11.1)
    assert not warmth.is_cold(11.1)


def test_an_upstream_that_says_nothing_after_its_end_is_cold_from_its_first_answer(
    warmth,
):
    warmth.presume_cold(WarmthSource.UNREACHABLE, 10.0)
    warmth.process_answer(requested_at=14.0, now=14.1)
    assert warmth.is_cold(14.1 + COLD_START_S)
    warmth.process_answer(requested_at=16.0, now=16.1)
    assert not warmth.is_cold(14.1 + COLD_START_S + MARGIN_S)


def test_a_run_that_does_not_say_whether_it_is_cold_is_not_taken_for_warm(warmth):
    warmth.start_run(None, 10.0)
    assert warmth.is_cold(20.0)
    assert warmth.is_presumed


def test_the_first_heartbeat_of_a_new_run_replaces_what_was_presumed(warmth):
    warmth.presume_cold(WarmthSource.UNREACHABLE, 10.0)
    warmth.process_answer(requested_at=14.0, now=14.1)
    warmth.start_run(2.0, 14.5)
    assert warmth.left_s(14.5) == pytest.approx(2.0 + MARGIN_S)
    assert not warmth.is_presumed
