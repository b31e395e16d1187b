"""Which services this host's upstream calls, and how long requests wait there.

Load pattern: a service three calls deep has a queue. Each daemon tells, along with its
own queue's delay, the longest delay of what its upstream calls, so that those who send
requests to the top know of it.
"""

import math
from collections.abc import Callable

from mangospoke.ids import ServiceName

_MEMORY_S = 2.0
"""Time constant in which calls are forgotten."""

_LEAST_CALLS = 6.0
"""Calls remembered from which on a service counts as called.

Fewer may come from others on the host, who send requests without a key as well.
"""

_READ_INTERVAL_S = 0.03

_PASSED_ON = 0.95
"""Part of a delay that is passed on, so that none goes round for ever in a circle."""


class _Calls:
    """Calls of one service, fading with time."""

    __slots__ = ("at", "count")

    def __init__(self, now: float) -> None:
        self.at = now
        self.count = 0.0

    def fade(self, now: float) -> None:
        """Forgets calls by their age."""
        self.count *= math.exp((self.at - now) / _MEMORY_S)
        self.at = now


class Callees:
    """The services that the upstream beside the daemon calls.

    All times are seconds of one clock.

    Args:
        own_service: The upstream's service; what it asks of itself doesn't lie below.
    """

    def __init__(self, own_service: ServiceName) -> None:
        self._own_service = own_service
        self._calls_by_service: dict[ServiceName, _Calls] = {}
        self._read_at = -math.inf
        self._delay_s = 0.0

    def called(self, service: ServiceName, now: float) -> None:
        """Counts a call."""
        if service == self._own_service:
            return
        calls = self._calls_by_service.get(service)
        if calls is None:
            calls = self._calls_by_service[service] = _Calls(now)
        calls.fade(now)
        calls.count += 1

    def delay_s(
        self, read_delay_s: Callable[[ServiceName], float], now: float
    ) -> float:
        """Longest delay of the services called, read anew now and then.

        Args:
            read_delay_s: Reads the delay of a service and of those below it.
            now: The time.
        """
        if now < self._read_at + _READ_INTERVAL_S:
            return self._delay_s
        # Whoever asks for this in turn, in a circle of calls, gets the last value.
        self._read_at = now
        longest_s = 0.0
        for service, calls in self._calls_by_service.items():
            calls.fade(now)
            if calls.count >= _LEAST_CALLS:
                longest_s = max(longest_s, read_delay_s(service))
        self._delay_s = longest_s * _PASSED_ON
        return self._delay_s
