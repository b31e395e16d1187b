"""How well the upstream of this host works, learned from the calls that it ran.

Load pattern: upstreams of one service differ in speed, their machines turn slow for
moments, and some lose or fail part of their requests though their health checks pass.
The daemon beside an upstream sees all its calls, so it learns this first, and tells the
senders with each response.

Every `now` is a time in seconds of the same clock.
"""

import math

from mangospoke.ids import RouteName

_WORK_SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in the moving average of a route's work."""

_FAILURE_WEIGHT = 0.08
"""Weight of a new outcome in the moving average of failures."""

_FAILURE_TIME_CONSTANT_S = 3.0
"""Time constant with which failures are forgotten: an upstream that failed gets few
calls, so that nothing else would show that it has recovered."""

SLOWNESS_LIFETIME_S = 0.6
"""Time for which a reported slowness of the machine is believed."""


def decayed_failure_ratio(ratio: float, age_s: float) -> float:
    """Returns what is left of a failure ratio that was observed some time ago."""
    return ratio * math.exp(-age_s / _FAILURE_TIME_CONSTANT_S)


class UpstreamPerformance:
    """Learned work times by route, failures, and the slowness of the machine."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forgets everything: another upstream runs here."""
        self._work_s_by_route: dict[RouteName, float] = {}
        self._failure_ratio = 0.0
        self._updated_at = -math.inf
        self._slowness_ratio = 1.0
        self._slowness_at = -math.inf

    def record_success(self, route: RouteName, own_work_s: float, now: float) -> None:
        """Records a call that the upstream answered.

        Args:
            route: The call's route.
            own_work_s: Seconds for which it ran, less those in its sub-calls.
            now: The current time.
        """
        usual_s = own_work_s / self.slowness_ratio(now)
        known_s = self._work_s_by_route.get(route, usual_s)
        self._work_s_by_route[route] = known_s + _WORK_SAMPLE_WEIGHT * (
            usual_s - known_s
        )
        self._record_outcome(0.0, now)

    def record_failure(self, now: float) -> None:
        """Records a call that the upstream failed, and not because of a sub-call."""
        self._record_outcome(1.0, now)

    def _record_outcome(self, failure: float, now: float) -> None:
        ratio = self.failure_ratio(now)
        self._failure_ratio = ratio + _FAILURE_WEIGHT * (failure - ratio)
        self._updated_at = now

    def record_slowness(self, ratio: float, now: float) -> None:
        """Records how many times longer than usual work takes on the machine now."""
        self._slowness_ratio = ratio
        self._slowness_at = now

    def failure_ratio(self, now: float) -> float:
        """Returns the part of recent calls that the upstream failed."""
        return decayed_failure_ratio(self._failure_ratio, now - self._updated_at)

    def slowness_ratio(self, now: float) -> float:
        """Returns the slowness of the machine; 1 if nothing recent is known."""
        is_recent = now - self._slowness_at <= SLOWNESS_LIFETIME_S
        return self._slowness_ratio if is_recent else 1.0

    def work_ms_by_route(self) -> dict[RouteName, float]:
        """Returns the usual work of each route's calls, in milliseconds."""
        return {
            route: round(work_s * 1000, 1)
            for route, work_s in self._work_s_by_route.items()
        }

    def work_s(self, route: RouteName) -> float:
        """Returns the usual work of a call of a route in seconds; 0 if unknown."""
        return self._work_s_by_route.get(route, 0.0)
