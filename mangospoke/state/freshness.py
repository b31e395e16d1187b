"""Tracks whether a host's configuration is recent enough to accept keys.

A withdrawn key must stop working within a bounded time, also on a host that receives
no updates. So a host accepts keys only for a limited time after its configuration was
last confirmed to be the newest.
"""

import math
import time
from collections.abc import Callable


def read_boot_clock() -> float:
    """Seconds of a clock that continues while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """When the active configuration was last confirmed to be the newest.

    Attributes:
        max_age_s: Age in seconds from which on no key is accepted.
        listeners: Called after each later confirmation.
        confirmed_at: Time of the last confirmation; minus infinity before the first.
    """

    def __init__(
        self, max_age_s: float, read_clock: Callable[[], float] = read_boot_clock
    ) -> None:
        self.max_age_s = max_age_s
        self.listeners: list[Callable[[], None]] = []
        self.confirmed_at = -math.inf
        self._read_clock = read_clock

    def confirm(self, at: float) -> None:
        """Records that the active configuration was the newest at a point in time.

        Args:
            at: The time in seconds of this host's boot clock.
        """
        if at <= self.confirmed_at:
            return
        self.confirmed_at = at
        for listener in self.listeners:
            listener()

    def age_s(self) -> float:
        """Seconds since the last confirmation; infinite before the first."""
        return self._read_clock() - self.confirmed_at

    def is_fresh(self) -> bool:
        """Whether keys may be accepted now."""
        return self.age_s() < self.max_age_s
