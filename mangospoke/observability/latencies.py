"""Latency histograms by service, cheap enough to be fed by every request."""

from bisect import bisect_left
from collections import defaultdict

from mangospoke.ids import ServiceName

BOUNDS_S = (
    0.0005,
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
"""Upper bounds of the buckets; one without a bound follows them."""


class Histogram:
    """Counts of values by bucket, and their sum.

    Attributes:
        counts: Values in each bucket, not those below it.
        total_s: Sum of the values, in seconds.
    """

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.total_s = 0.0

    def observe(self, seconds: float) -> None:
        """Counts a value."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds


class Latencies:
    """Where the time of requests goes.

    Attributes:
        request: From entry to end, of requests that were answered.
        queue: Waiting for a turn beside the upstream.
        upstream: In the upstream.
    """

    def __init__(self) -> None:
        self.request: defaultdict[ServiceName, Histogram] = defaultdict(Histogram)
        self.queue: defaultdict[ServiceName, Histogram] = defaultdict(Histogram)
        self.upstream: defaultdict[ServiceName, Histogram] = defaultdict(Histogram)
