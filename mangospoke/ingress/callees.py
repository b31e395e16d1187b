"""The services that this host's upstream calls, and their queue delay.

Load pattern: a queue builds up at a service several calls down the chain. Each daemon
reports, besides the delay of its own queue, the longest delay among the services that
its upstream calls. The reports propagate up the chain, so that the daemons that
receive root requests know of the queue.
"""

import math
from collections.abc import Callable

from mangospoke.ids import ServiceName

_DECAY_TIME_CONSTANT_S = 2.0
"""Time constant of the exponential decay of call counts."""

_MIN_CALLS = 6.0
"""Decayed call count from which on a service is regarded as a callee.

Fewer calls may come from other processes on the host, whose requests carry no key
either.
"""

_REFRESH_INTERVAL_S = 0.03

_PROPAGATION_RATIO = 0.95
"""Part of a delay that is reported, so that it decays where calls form a cycle."""


class _CallCount:
    """Exponentially decaying number of calls of one service."""

    __slots__ = ("count", "updated_at")

    def __init__(self, now: float) -> None:
        self.updated_at = now
        self.count = 0.0

    def decay(self, now: float) -> None:
        """Reduces the count for the time since its last update."""
        self.count *= math.exp((self.updated_at - now) / _DECAY_TIME_CONSTANT_S)
        self.updated_at = now


class Callees:
    """The services that this host's upstream calls.

    All times are seconds of the same clock.
    """

    def __init__(self, own_service: ServiceName) -> None:
        """Initializes the tracker.

        Args:
            own_service: The upstream's service. Its calls of itself are ignored.
        """
        self._own_service = own_service
        self._calls_by_service: dict[ServiceName, _CallCount] = {}
        self._refreshed_at = -math.inf
        self._delay_s = 0.0

    def record_call(self, service: ServiceName, now: float) -> None:
        """Counts a call by the upstream."""
        if service == self._own_service:
            return
        calls = self._calls_by_service.get(service)
        if calls is None:
            calls = self._calls_by_service[service] = _CallCount(now)
        calls.decay(now)
        calls.count += 1

    def services(self, now: float) -> list[ServiceName]:
        """Returns the services that the upstream calls."""
        callees = []
        for service, calls in self._calls_by_service.items():
            calls.decay(now)
            if calls.count >= _MIN_CALLS:
                callees.append(service)
        return callees

    def delay_s(
        self, read_delay_s: Callable[[ServiceName], float], now: float
    ) -> float:
        """Returns the longest queue delay of the callees, in seconds.

        The value is cached for a short interval.

        Args:
            read_delay_s: Reads the queue delay at a service or downstream of it, in
                seconds.
            now: The current time.
        """
        if now < self._refreshed_at + _REFRESH_INTERVAL_S:
            return self._delay_s
        # Set before any delay is read: where calls form a cycle, reading one can
        # call this method again, which then returns the cached value.
        self._refreshed_at = now
        max_delay_s = 0.0
        for service in self.services(now):
            max_delay_s = max(max_delay_s, read_delay_s(service))
        self._delay_s = max_delay_s * _PROPAGATION_RATIO
        return self._delay_s
