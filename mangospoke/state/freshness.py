"""How fresh a host's configuration is, for keys that must stop working in time.

A withdrawn key has to stop also on a host that hears nothing. So a host may accept
keys only for a while after the last proof that it had the newest configuration.
"""

import math
import time
from collections.abc import Callable


def read_boot_clock() -> float:
    """Seconds of a clock that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """When the configuration in force was last known to be the newest.

    Attributes:
        longest_s: Age from which on no key is accepted.
    """

    def __init__(
        self, longest_s: float, read_clock: Callable[[], float] = read_boot_clock
    ) -> None:
        self.longest_s = longest_s
        self._read_clock = read_clock
        self._proved_at = -math.inf

    def prove(self, at: float) -> None:
        """Notes that the configuration in force was the newest at a moment.

        Args:
            at: Point on this host's boot clock.
        """
        self._proved_at = max(self._proved_at, at)

    def age_s(self) -> float:
        """Seconds since the last proof; infinite before the first."""
        return self._read_clock() - self._proved_at

    def is_fresh(self) -> bool:
        """Whether keys may be accepted now."""
        return self.age_s() < self.longest_s
