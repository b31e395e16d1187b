"""What a call is expected to cost its caller at an upstream, in seconds.

Load pattern: upstreams of one service differ in speed and in how often they fail, and
both change within a second. The daemon beside each upstream tells its senders with each
response how long a call of that route works there, how slow the machine is now and what
part of the calls fails. A sender compares upstreams by pace: how long one works at the
same routes as the mean of them.

Every `now` is a time in seconds of the same clock.
"""

import math
from dataclasses import dataclass

from mangospoke.guard.performance import SLOWNESS_LIFETIME_S, decayed_failure_ratio
from mangospoke.ids import RouteName
from mangospoke.peers.messages import Load

FAILURE_COST_S = 2.0
"""What a failed call costs its caller, who has to begin again or loses the work of the
request that made the call."""

_DEFAULT_WORK_S = 0.1
"""Work assumed for a route of which no response has arrived yet."""

_MEAN_SAMPLE_WEIGHT = 0.05
_PACE_SAMPLE_WEIGHT = 0.3

_MAX_CROWDED_RATIO = 0.95
"""Utilization from which on crowding counts no more; waiting is known by then."""


@dataclass(slots=True)
class _Observation:
    """What an upstream's daemon told last.

    Attributes:
        pace: Its work relative to the mean of the service's upstreams.
        failure_ratio: Part of its calls that failed.
        slowness_ratio: How many times longer than usual work took on its machine.
        observed_at: When it was told, in seconds.
    """

    pace: float = 1.0
    failure_ratio: float = 0.0
    slowness_ratio: float = 1.0
    observed_at: float = -math.inf


class ExpectedCosts:
    """Costs of calls at upstreams, by the peer address of their daemons."""

    def __init__(self) -> None:
        self._by_address: dict[str, _Observation] = {}
        self._mean_work_s_by_route: dict[RouteName, float] = {}

    def record(self, address: str, route: RouteName, load: Load, now: float) -> None:
        """Records what came with the response to a call of a route."""
        observation = self._by_address.get(address)
        if observation is None:
            observation = self._by_address[address] = _Observation()
        observation.failure_ratio = load.failure_percent / 100
        observation.slowness_ratio = load.slowness_percent / 100
        observation.observed_at = now
        if load.work_ms > 0:
            self._record_work(observation, route, load.work_ms / 1000)

    def _record_work(
        self, observation: _Observation, route: RouteName, work_s: float
    ) -> None:
        mean_s = self._mean_work_s_by_route.get(route, work_s)
        mean_s += _MEAN_SAMPLE_WEIGHT * (work_s - mean_s)
        self._mean_work_s_by_route[route] = mean_s
        pace = work_s / mean_s
        observation.pace += _PACE_SAMPLE_WEIGHT * (pace - observation.pace)

    def mean_work_s(self, route: RouteName) -> float:
        """Returns the mean work of a route's calls, in seconds."""
        return self._mean_work_s_by_route.get(route, _DEFAULT_WORK_S)

    def cost_s(self, address: str, route: RouteName, now: float) -> float:
        """Returns what a call is expected to cost at an upstream that isn't full.

        Args:
            address: Peer address of the upstream's daemon.
            route: The call's route.
            now: The current time.
        """
        work_s = self.mean_work_s(route)
        observation = self._by_address.get(address)
        if observation is None:
            return work_s
        age_s = now - observation.observed_at
        work_s *= observation.pace
        if age_s <= SLOWNESS_LIFETIME_S:
            work_s *= observation.slowness_ratio
        failure_ratio = decayed_failure_ratio(observation.failure_ratio, age_s)
        return work_s + failure_ratio * FAILURE_COST_S

    def retain(self, addresses: set[str]) -> None:
        """Forgets all addresses but those given."""
        for address in set(self._by_address) - addresses:
            del self._by_address[address]


def crowding(utilization: float) -> float:
    """Returns the factor by which a fuller upstream is expected to cost more.

    It keeps senders, whose figures are old by some calls, from all choosing the fastest
    upstream until it is full.
    """
    ratio = min(utilization, _MAX_CROWDED_RATIO)
    return 1 / (1 - ratio * ratio)
