"""Latency histograms by service, cheap enough to observe every request."""

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
"""Upper bounds of the buckets in seconds; an unbounded bucket follows."""


class Histogram:
    """Distribution of durations over fixed buckets.

    Attributes:
        counts: Number of values in each bucket, not cumulative.
        total_s: Sum of the values in seconds.
    """

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.total_s = 0.0

    def observe(self, seconds: float) -> None:
        """Adds a duration in seconds."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds


class LatencyHistograms:
    """Histograms of the time that requests spend in each phase, by service.

    Attributes:
        request: Total time on the ingress host, of answered requests only.
        queue: Time in the queue of the upstream's guard.
        upstream: Time in the upstream.
    """

    def __init__(self) -> None:
        self.request: defaultdict[ServiceName, Histogram] = defaultdict(Histogram)
        self.queue: defaultdict[ServiceName, Histogram] = defaultdict(Histogram)
        self.upstream: defaultdict[ServiceName, Histogram] = defaultdict(Histogram)
