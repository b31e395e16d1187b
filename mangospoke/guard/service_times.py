"""Service times of the upstream by route."""

from mangospoke.ids import RouteName

_MEAN_SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in the moving average of the service time."""

_NO_LOAD_SAMPLE_WEIGHT = 0.05
"""Weight of a new sample in the moving average of the no-load service time."""

_INITIAL_SAMPLES = 32
"""Samples whose arithmetic mean initializes the no-load time, at any load."""

_LOW_QUANTILE = 0.1
_LOW_QUANTILE_STEP = 0.1
"""Relative step of the quantile estimate per sample, weighted by the quantile.

It rises slowly and falls fast.
"""


class RouteServiceTimes:
    """Service times of one route, in seconds.

    Attributes:
        mean_s: Moving average; the expected cost of a call.
        low_quantile_s: Estimated 10th percentile: a call with less time left until
            its deadline is refused without running.
        no_load_s: Moving average under low load.
        sample_count: Samples in the initial mean of `no_load_s`.
    """

    __slots__ = ("sample_count", "low_quantile_s", "mean_s", "no_load_s")

    def __init__(self, first_sample_s: float) -> None:
        self.sample_count = 0
        self.mean_s = first_sample_s
        self.low_quantile_s = first_sample_s / 2
        self.no_load_s = first_sample_s

    def add_completed(self, elapsed_s: float, low_load: bool) -> float:
        """Records a completed call and returns its time relative to the no-load time.

        Args:
            elapsed_s: Time from the call's admission to its end.
            low_load: Whether most slots were free when it was admitted.
        """
        self.mean_s += _MEAN_SAMPLE_WEIGHT * (elapsed_s - self.mean_s)
        if elapsed_s < self.low_quantile_s:
            self.low_quantile_s *= 1 - _LOW_QUANTILE_STEP * (1 - _LOW_QUANTILE)
        else:
            self.low_quantile_s *= 1 + _LOW_QUANTILE_STEP * _LOW_QUANTILE
        if self.sample_count < _INITIAL_SAMPLES:
            self.sample_count += 1
            self.no_load_s += (elapsed_s - self.no_load_s) / self.sample_count
        elif low_load:
            self.no_load_s += _NO_LOAD_SAMPLE_WEIGHT * (elapsed_s - self.no_load_s)
        return elapsed_s / max(self.no_load_s, 1e-6)

    def add_aborted(self, elapsed_s: float) -> None:
        """Records the time of an aborted call, a lower bound of its service time."""
        if elapsed_s > self.mean_s:
            self.mean_s += _MEAN_SAMPLE_WEIGHT * (elapsed_s - self.mean_s)
        if elapsed_s > self.low_quantile_s:
            self.low_quantile_s *= 1 + _LOW_QUANTILE_STEP * _LOW_QUANTILE


class ServiceTimes:
    """Service times by route.

    Attributes:
        mean_s: Moving average over all routes.
    """

    def __init__(self) -> None:
        self._times_by_route: dict[RouteName, RouteServiceTimes] = {}
        self.mean_s = 0.0

    def add_completed(
        self, route: RouteName, elapsed_s: float, low_load: bool
    ) -> float:
        """Records a completed call and returns its time relative to the no-load time.

        Args:
            route: The call's route.
            elapsed_s: Time from the call's admission to its end.
            low_load: Whether most slots were free when it was admitted.
        """
        if self.mean_s == 0:
            self.mean_s = elapsed_s
        self.mean_s += _MEAN_SAMPLE_WEIGHT * (elapsed_s - self.mean_s)
        times = self._times_by_route.get(route)
        if times is None:
            times = self._times_by_route[route] = RouteServiceTimes(elapsed_s)
        return times.add_completed(elapsed_s, low_load)

    def add_aborted(self, route: RouteName, elapsed_s: float) -> None:
        """Records the time of an aborted call."""
        times = self._times_by_route.get(route)
        if times is not None:
            times.add_aborted(elapsed_s)

    def expected_s(self, route: RouteName) -> float:
        """Returns the mean time in seconds for which a call of a route holds a slot."""
        times = self._times_by_route.get(route)
        return self.mean_s if times is None else times.mean_s

    def likely_min_s(self, route: RouteName) -> float:
        """Returns the 10th percentile of a route's service times; 0 if unknown."""
        times = self._times_by_route.get(route)
        return 0.0 if times is None else times.low_quantile_s

    def scale_no_load(self, factor: float) -> None:
        """Scales all no-load times when a latency change isn't due to load."""
        for times in self._times_by_route.values():
            times.no_load_s *= factor
