"""The learned concurrency limit of an upstream."""

import enum
import math

_WINDOW_S = 0.2
_LONGEST_WINDOW_S = 1.0
_WINDOW_SAMPLES = 96
_LEAST_SAMPLES = 32
"""Samples below which a window tells nothing about latency."""

_INFLATION = 1.5
"""Latency over the no-load latency from which queueing in the upstream is suspected."""

_PROBE_FACTOR = 0.85
"""Factor on the limit while it is tried whether less concurrency does as well."""

_KEPT_SHARE = 0.5
"""Part of the concurrency taken away below which lost throughput counts as none."""

_HOLD_WINDOWS = 5
"""Windows without another trial after one that cost throughput."""

_SHED_SHARE = 0.02
_SHED_FACTOR = 0.9
_HEAVY_SHED_SHARE = 0.2
_HEAVY_SHED_FACTOR = 0.7
_RISE_S = 3.2
"""Seconds in which the limit rises from nothing to the ceiling."""

_FLOOR_SHARE = 8
"""The limit never falls below the ceiling divided by this."""

_COLD_START_SHARE = 0.2
"""Share of the ceiling at which a fresh upstream starts."""


class _Phase(enum.Enum):
    """Whether a lower limit is being tried."""

    STEADY = "steady"
    TRYING_LESS = "trying-less"


class ConcurrencyLimit:
    """Learns how many calls an upstream runs well at once.

    High latency alone doesn't lower the limit for good: an upstream that waits for
    a slow deeper service would only lose throughput. A lower limit is tried, and
    kept only if throughput stays.

    Attributes:
        ceiling: What the upstream announces within what is declared; never exceeded.
        limit: What has been learned, between a floor and the ceiling.

    Args:
        learns: Whether latency and sheds move the limit. An upstream that tells its
            slots is full when they are, and its calls' latency, which comes from
            deeper services, says nothing of how many it runs well.
    """

    def __init__(self, learns: bool = True) -> None:
        self._learns = learns
        self.ceiling = 0
        self.limit = 0.0
        self._cold_from = -math.inf
        self._cold_until = -math.inf
        self._phase = _Phase.STEADY
        self._hold = 0
        self._limit_before = 0.0
        self._throughput_before = 0.0
        self._open_window(-math.inf)

    def _open_window(self, now: float) -> None:
        self._window_started = now
        self._samples = 0
        self._inflation_sum = 0.0
        self._shed = 0
        self._was_full = False

    def set_ceiling(self, ceiling: int) -> None:
        """Changes the ceiling of the same upstream."""
        if self.limit >= self.ceiling:
            self.limit = float(ceiling)
        self.ceiling = ceiling
        self.limit = min(self.limit, float(ceiling))

    def start_cold(self, ceiling: int, now: float, cold_start_s: float) -> None:
        """Starts anew for a fresh upstream, whose limit is ramped up."""
        self.ceiling = ceiling
        self.limit = float(ceiling)
        self._cold_from = now
        self._cold_until = now + cold_start_s
        self._phase = _Phase.STEADY
        self._hold = 0
        self._open_window(now)

    def current(self, now: float) -> int:
        """The limit in force."""
        if now >= self._cold_until:
            return int(self.limit)
        age_share = (now - self._cold_from) / (self._cold_until - self._cold_from)
        share = _COLD_START_SHARE + (1 - _COLD_START_SHARE) * age_share
        return int(min(self.limit, max(1.0, self.ceiling * share)))

    def add_sample(self, inflation: float, is_full: bool) -> None:
        """Takes a whole call.

        Args:
            inflation: Its latency as a multiple of the no-load latency.
            is_full: Whether the limit was reached when it ended.
        """
        self._samples += 1
        self._inflation_sum += inflation
        self._was_full = self._was_full or is_full

    def add_shed(self) -> None:
        """Takes a call that the upstream shed."""
        self._shed += 1

    def close_window(self, now: float) -> float:
        """Adapts the limit once a window is over.

        Returns:
            Factor by which no-load latencies have turned out to have moved; 1 as a
            rule.
        """
        if not self._learns:
            return 1.0
        length_s = now - self._window_started
        seen = self._samples + self._shed
        if length_s < _WINDOW_S:
            return 1.0
        if seen < _WINDOW_SAMPLES and length_s < _LONGEST_WINDOW_S:
            return 1.0
        factor = self._adapt(length_s, seen)
        self._open_window(now)
        return factor

    def _adapt(self, length_s: float, seen: int) -> float:
        if seen and self._shed / seen > _SHED_SHARE:
            heavy = self._shed / seen > _HEAVY_SHED_SHARE
            self._lower(_HEAVY_SHED_FACTOR if heavy else _SHED_FACTOR)
            self._phase = _Phase.STEADY
            return 1.0
        if self._samples < _LEAST_SAMPLES or not self._was_full:
            self._phase = _Phase.STEADY
            self._raise(length_s)
            return 1.0
        inflation = self._inflation_sum / self._samples
        throughput = self._samples / length_s
        if self._phase is _Phase.TRYING_LESS:
            return self._judge_trial(inflation, throughput)
        if inflation <= _INFLATION or self._hold > 0:
            self._hold = max(0, self._hold - 1)
            self._raise(length_s)
            return min(1.0, 1 + 0.2 * (inflation - 1))
        self._try_less(throughput)
        return 1.0

    def _try_less(self, throughput: float) -> None:
        self._limit_before = self.limit
        self._throughput_before = throughput
        # Whole places, rounded up, so that a small upstream doesn't lose a quarter.
        self._lower(math.ceil(self.limit * _PROBE_FACTOR) / self.limit)
        if self.limit < self._limit_before:
            self._phase = _Phase.TRYING_LESS

    def _judge_trial(self, inflation: float, throughput: float) -> float:
        self._phase = _Phase.STEADY
        taken = 1 - self.limit / self._limit_before
        if throughput >= (1 - _KEPT_SHARE * taken) * self._throughput_before:
            if inflation > _INFLATION:
                self._try_less(throughput)
            return 1.0
        self.limit = min(self._limit_before, float(self.ceiling))
        self._hold = _HOLD_WINDOWS
        return max(1.0, inflation)

    def _lower(self, factor: float) -> None:
        floor = max(1.0, self.ceiling / _FLOOR_SHARE)
        self.limit = min(self.limit, max(floor, self.limit * factor))

    def _raise(self, length_s: float) -> None:
        step = max(1.0, self.ceiling * length_s / _RISE_S)
        self.limit = min(float(self.ceiling), self.limit + step)
