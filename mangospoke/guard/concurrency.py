"""The adaptive concurrency limit of an upstream."""

import enum
import math

_MIN_WINDOW_S = 0.2
_MAX_WINDOW_S = 1.0
_TARGET_WINDOW_CALLS = 96
_MIN_LATENCY_SAMPLES = 32
"""Minimum number of samples in a window to judge latency."""

_QUEUEING_LATENCY_RATIO = 1.5
"""Ratio of latency to no-load latency above which calls may queue in the upstream."""

_PROBE_LIMIT_FACTOR = 0.85
"""Factor on the limit while probing whether lower concurrency keeps throughput."""

_TOLERATED_LOSS_RATIO = 0.5
"""Tolerated loss of throughput, relative to the cut of the limit.

A probe that cuts the limit by 10 % may lose 5 % of throughput.
"""

_PROBE_COOLDOWN_WINDOWS = 5
"""Windows without another probe after one that reduced throughput."""

_LIGHT_SHED_RATIO = 0.02
_LIGHT_SHED_LIMIT_FACTOR = 0.9
_HEAVY_SHED_RATIO = 0.2
_HEAVY_SHED_LIMIT_FACTOR = 0.7
_FULL_INCREASE_S = 3.2
"""Time in which the limit increases from 0 to the ceiling."""

_FLOOR_DIVISOR = 8
"""The limit never falls below 1/N of the ceiling."""

_COLD_START_RATIO = 0.2
"""Ratio of the ceiling at which the limit of a new upstream starts."""


class _Phase(enum.Enum):
    """Whether a lower limit is being probed."""

    STEADY = "steady"
    PROBING = "trying-less"


class AdaptiveConcurrencyLimit:
    """Adapts an upstream's concurrency limit to its latency, throughput and sheds.

    High latency alone doesn't lower the limit permanently: an upstream that waits for
    a slow downstream service would only lose throughput. A lower limit is probed, and
    kept only if throughput is maintained.

    Attributes:
        ceiling: Announced concurrency, capped by the declared one; never exceeded.
        limit: The adapted limit, between a floor and the ceiling.

    Args:
        adapts: Whether latency and sheds change the limit. False for an upstream that
            reports its slots: it is full when they are, and the latency of its calls
            comes from downstream services and doesn't depend on its concurrency.
    """

    def __init__(self, adapts: bool = True) -> None:
        self._adapts = adapts
        self.ceiling = 0
        self.limit = 0.0
        self._cold_start_began_at = -math.inf
        self._cold_start_ends_at = -math.inf
        self._phase = _Phase.STEADY
        self._probe_cooldown = 0
        self._limit_before_probe = 0.0
        self._throughput_before_probe = 0.0
        self._open_window(-math.inf)

    def _open_window(self, now: float) -> None:
        self._window_started_at = now
        self._sample_count = 0
        self._latency_ratio_sum = 0.0
        self._shed_count = 0
        self._was_at_limit = False

    def set_ceiling(self, ceiling: int) -> None:
        """Changes the ceiling of the same upstream."""
        if self.limit >= self.ceiling:
            self.limit = float(ceiling)
        self.ceiling = ceiling
        self.limit = min(self.limit, float(ceiling))

    def start_cold(self, ceiling: int, now: float, cold_start_s: float) -> None:
        """Resets the state for a new upstream, whose preferred limit is ramped up."""
        self.ceiling = ceiling
        self.limit = float(ceiling)
        self._cold_start_began_at = now
        self._cold_start_ends_at = now + cold_start_s
        self._phase = _Phase.STEADY
        self._probe_cooldown = 0
        self._open_window(now)

    def limit_at(self, now: float) -> int:
        """Returns the limit in effect.

        It is lower during a cold start, except for an upstream that reports its slots:
        that one is slow then, but takes as many calls as ever. If all upstreams of a
        service are cold, their callers need every slot.
        """
        return self.preferred_limit_at(now) if self._adapts else int(self.limit)

    def preferred_limit_at(self, now: float) -> int:
        """Returns the limit up to which this upstream is as good as a warm one."""
        if now >= self._cold_start_ends_at:
            return int(self.limit)
        elapsed_ratio = (now - self._cold_start_began_at) / (
            self._cold_start_ends_at - self._cold_start_began_at
        )
        ceiling_ratio = _COLD_START_RATIO + (1 - _COLD_START_RATIO) * elapsed_ratio
        return int(min(self.limit, max(1.0, self.ceiling * ceiling_ratio)))

    def add_sample(self, latency_ratio: float, at_limit: bool) -> None:
        """Records a completed call.

        Args:
            latency_ratio: Its latency as a multiple of the no-load latency.
            at_limit: Whether the limit was reached when it ended.
        """
        self._sample_count += 1
        self._latency_ratio_sum += latency_ratio
        self._was_at_limit = self._was_at_limit or at_limit

    def add_shed(self) -> None:
        """Records a call that the upstream shed."""
        self._shed_count += 1

    def close_window(self, now: float) -> float:
        """Adapts the limit if the current window has ended.

        Returns:
            Factor by which to scale the no-load latencies; usually 1.
        """
        if not self._adapts:
            return 1.0
        window_s = now - self._window_started_at
        ended_count = self._sample_count + self._shed_count
        if window_s < _MIN_WINDOW_S:
            return 1.0
        if ended_count < _TARGET_WINDOW_CALLS and window_s < _MAX_WINDOW_S:
            return 1.0
        factor = self._adapt(window_s, ended_count)
        self._open_window(now)
        return factor

    def _adapt(self, window_s: float, ended_count: int) -> float:
        if ended_count and self._shed_count / ended_count > _LIGHT_SHED_RATIO:
            is_heavy = self._shed_count / ended_count > _HEAVY_SHED_RATIO
            self._decrease_limit(
                _HEAVY_SHED_LIMIT_FACTOR if is_heavy else _LIGHT_SHED_LIMIT_FACTOR
            )
            self._phase = _Phase.STEADY
            return 1.0
        if self._sample_count < _MIN_LATENCY_SAMPLES or not self._was_at_limit:
            self._phase = _Phase.STEADY
            self._increase_limit(window_s)
            return 1.0
        latency_ratio = self._latency_ratio_sum / self._sample_count
        throughput = self._sample_count / window_s
        if self._phase is _Phase.PROBING:
            return self._evaluate_probe(latency_ratio, throughput)
        if latency_ratio <= _QUEUEING_LATENCY_RATIO or self._probe_cooldown > 0:
            self._probe_cooldown = max(0, self._probe_cooldown - 1)
            self._increase_limit(window_s)
            return min(1.0, 1 + 0.2 * (latency_ratio - 1))
        self._start_probe(throughput)
        return 1.0

    def _start_probe(self, throughput: float) -> None:
        self._limit_before_probe = self.limit
        self._throughput_before_probe = throughput
        # Round up: rounding down would cut a limit of 4 by a quarter.
        self._decrease_limit(math.ceil(self.limit * _PROBE_LIMIT_FACTOR) / self.limit)
        if self.limit < self._limit_before_probe:
            self._phase = _Phase.PROBING

    def _evaluate_probe(self, latency_ratio: float, throughput: float) -> float:
        self._phase = _Phase.STEADY
        limit_cut_ratio = 1 - self.limit / self._limit_before_probe
        if (
            throughput
            >= (1 - _TOLERATED_LOSS_RATIO * limit_cut_ratio)
            * self._throughput_before_probe
        ):
            if latency_ratio > _QUEUEING_LATENCY_RATIO:
                self._start_probe(throughput)
            return 1.0
        self.limit = min(self._limit_before_probe, float(self.ceiling))
        self._probe_cooldown = _PROBE_COOLDOWN_WINDOWS
        return max(1.0, latency_ratio)

    def _decrease_limit(self, factor: float) -> None:
        floor = max(1.0, self.ceiling / _FLOOR_DIVISOR)
        self.limit = min(self.limit, max(floor, self.limit * factor))

    def _increase_limit(self, window_s: float) -> None:
        step = max(1.0, self.ceiling * window_s / _FULL_INCREASE_S)
        self.limit = min(float(self.ceiling), self.limit + step)
