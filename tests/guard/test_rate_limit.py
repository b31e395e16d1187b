"""The rate limit that an upstream names, and the token bucket that enforces it."""

from mangospoke.guard.rate_limit import (
    BURST_S,
    MIN_RATE_PER_S,
    ColdRate,
    LimitEvent,
    StatementSource,
    UpstreamRateLimit,
)


def limited(rate_per_s, now=0.0):
    limit = UpstreamRateLimit()
    limit.state(rate_per_s, now, now)
    return limit


def take_all(limit, until_s, step_s=0.01):
    """Takes each token as soon as it is there; returns the times in seconds."""
    times = []
    for step in range(int(until_s / step_s)):
        now = step * step_s
        while limit.take(now):
            times.append(now)
    return times


def most_in_window(times, window_s=4.0):
    return max(sum(start <= t < start + window_s for t in times) for start in times)


def test_a_limit_is_named_changed_and_lifted():
    limit = UpstreamRateLimit()
    changes = [
        limit.state(20.0, requested_at=0.9, now=1.0),
        limit.state(20.0, requested_at=1.9, now=2.0),
        limit.state(8.0, requested_at=2.9, now=3.0),
        limit.state(None, requested_at=3.9, now=4.0),
    ]
    assert changes[1] is None
    events = [change.event for change in changes if change is not None]
    assert events == [LimitEvent.NAMED, LimitEvent.CHANGED, LimitEvent.LIFTED]
    assert changes[2].previous_age_s == 2.0
    assert limit.rate_per_s is None


def test_a_late_response_made_before_the_limit_does_not_lift_it():
    limit = limited(8.0, now=1.0)
    assert limit.state(None, requested_at=0.5, now=1.1) is None
    assert limit.state(20.0, requested_at=0.9, now=1.2) is None
    assert limit.rate_per_s == 8.0
    assert limit.state(None, requested_at=1.0, now=1.3) is not None


def test_a_rising_limit_is_followed_though_each_response_names_another():
    limit = limited(1.0)
    # Responses take 150 ms and arrive each 10 ms.
    for step in range(1, 200):
        now = step * 0.01
        limit.state(1.0 + step * 0.1, now - 0.15, now)
    assert limit.rate_per_s > 18


def test_a_lower_limit_applies_at_once_however_old_its_request():
    limit = limited(8.0, now=1.0)
    assert limit.state(4.0, requested_at=0.1, now=1.1) is not None


def test_a_limit_of_a_peer_holds_until_the_upstream_says_something():
    limit = UpstreamRateLimit()
    change = limit.adopt(8.0, 1.0)
    assert (change.event, change.source) == (
        LimitEvent.HANDED_OVER,
        StatementSource.PEER,
    )
    assert limit.adopt(20.0, 1.1) is None
    assert limit.adopt(5.0, 1.2) is not None
    assert limit.state(None, requested_at=0.5, now=1.3) is not None
    assert limit.adopt(5.0, 1.4) is None
    assert limit.rate_per_s is None


def test_a_burst_after_a_quiet_time_stays_within_what_the_limit_allows():
    for rate_per_s in (0.0, 0.3, 1.0, 2.0, 4.7, 8.1, 20.1, 200.0):
        limit = limited(rate_per_s)
        times = [t for t in take_all(limit, 30.0) if t >= 10]
        most = most_in_window(times)
        assert most <= 1.5 * rate_per_s * 4 + 5, rate_per_s
        assert most >= int(rate_per_s * 4)


def test_a_limit_begins_with_an_empty_bucket():
    limit = limited(20.0, now=100.0)
    assert not limit.may_take(100.0)
    assert limit.free_count(200.0) == int(20 * BURST_S)


def test_all_that_a_limit_allows_is_admitted():
    times = take_all(limited(20.1), 20.0)
    assert len(times) >= 20.1 * 20 - 2


def test_a_limit_of_zero_lets_few_requests_through_that_may_hear_of_its_end():
    times = take_all(limited(0.0), 20.0)
    assert len(times) == int(20 * MIN_RATE_PER_S) - 1


def test_the_wait_grows_with_the_requests_ahead():
    limit = limited(10.0)
    assert abs(limit.wait_s(0, 0.0) - 0.1) < 1e-6
    assert abs(limit.wait_s(4, 0.0) - 0.5) < 1e-6
    assert limit.wait_s(0, 1.0) == 0.0


def test_turns_that_nobody_takes_up_are_offered_again_soon():
    limit = limited(8.0)
    # Far more peers ask than there are turns, and few of them come.
    for step in range(1_000):
        offered_s = limit.offer_turn_s(0, step * 0.01)
        assert offered_s <= 1.0


COLD = ColdRate(per_s=8.0, burst=4.0)


def test_a_cold_upstream_gets_its_rate_and_no_more_in_any_second():
    limit = UpstreamRateLimit()
    limit.bound_cold(COLD, 0.0)
    times = take_all(limit, 20.0)
    assert most_in_window(times, 1.0) <= 8 + 4
    assert len(times) >= 8 * 20 - 2


def test_what_was_sent_just_before_the_turn_to_cold_is_known_counts():
    limit = UpstreamRateLimit()
    for step in range(100):
        assert limit.take(step * 0.002)
    limit.bound_cold(COLD, 0.2)
    assert limit.wait_s(0, 0.2) >= 1.0
    assert not limit.may_take(1.2)
    assert limit.may_take(1.4)


def test_the_lower_of_the_stated_limit_and_that_of_a_cold_upstream_holds():
    limit = limited(20.0)
    limit.bound_cold(COLD, 1.0)
    assert limit.rate_per_s == 8.0
    limit.state(5.0, 1.0, 1.1)
    assert limit.rate_per_s == 5.0
    limit.state(None, 1.2, 1.3)
    assert limit.rate_per_s == 8.0
    limit.bound_cold(None, 2.0)
    assert limit.rate_per_s is None


def test_a_new_run_that_is_cold_is_bounded_from_its_first_request():
    limit = UpstreamRateLimit()
    limit.bound_cold(COLD, 0.0)
    limit.reset()
    assert limit.rate_per_s == 8.0
    assert most_in_window(take_all(limit, 5.0), 1.0) <= 12
