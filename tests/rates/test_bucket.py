"""A token bucket earns exactly its rate, and never holds more than its burst."""

import hypothesis
from hypothesis import strategies

from mangospoke.bench.rate_histories import find_rate_excess
from mangospoke.rates.bucket import TokenBucket
from mangospoke.rates.timing import NS_PER_S


def test_a_bucket_starts_empty_and_earns_its_rate():
    bucket = TokenBucket(0, rate=500, burst=1_000)
    assert not bucket.take_token(0)
    assert not bucket.take_token(2 * NS_PER_S - 1)
    assert bucket.take_token(2 * NS_PER_S)
    assert bucket.wait_ns(2 * NS_PER_S) == 2 * NS_PER_S


def test_a_clock_that_steps_back_earns_nothing():
    bucket = TokenBucket(10 * NS_PER_S, rate=1_000, burst=5_000)
    assert bucket.level(0) == 0
    assert bucket.level(11 * NS_PER_S) == 1_000


def test_a_smaller_burst_removes_tokens():
    bucket = TokenBucket(0, rate=1_000, burst=5_000)
    assert bucket.resize(5 * NS_PER_S, 1_000, 2_000) == 3_000
    assert bucket.level(5 * NS_PER_S) == 2_000


def test_a_burst_below_one_token_never_admits():
    bucket = TokenBucket(0, rate=1_000, burst=999)
    assert bucket.wait_ns(0) is None
    assert not bucket.take_token(10 * NS_PER_S)


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(
    rate=strategies.integers(1, 50),
    burst=strategies.integers(1, 9),
    gaps=strategies.lists(strategies.integers(0, NS_PER_S // 3), max_size=80),
)
def test_no_interval_exceeds_burst_and_rate(rate, burst, gaps):
    bucket = TokenBucket(0, rate * 1_000, burst * 1_000)
    bucket.add(0, burst * 1_000)
    now = 0
    admitted = []
    for gap in gaps:
        now += gap
        if bucket.take_token(now):
            admitted.append(now)
    worst = find_rate_excess(admitted, rate, burst)
    assert worst is None or worst.excess <= 0
