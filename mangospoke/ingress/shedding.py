"""Refusing of requests before they start, for services deep below them.

Load pattern: a service that many others call, directly or not, has less room than
the requests at the top ask for. If it refuses their sub-calls, the work above it has
been done for nothing; so requests are refused where they enter, the least important
first, just as many as keep the deepest service full and its queue short.

How many is controlled, not computed, since the calls that a request makes are not
known: a level rises while the queue delay below is too long and falls while it isn't.
"""

import math

from mangospoke.conf.declarations import Importance
from mangospoke.ids import ServiceName

TARGET_DELAY_S = 0.03
"""Queue delay of the fullest service below at which as much is let in as leaves it.

A request waits so long for each of its calls that follow each other.
"""

_GAIN_PER_S = 1.0
"""Rise of the level a second, for each target delay beyond the target."""

_FALL_PER_S = 1.0
_LARGEST_EXCESS = 2.0
"""Target delays beyond the target from which on the level rises no faster."""

_LONGEST_STEP_S = 0.25
_SEEN_S = 5.0
"""Time for which an importance counts after its last request."""

_LEAST_ADMITTED = 0.1
"""Share of the most important requests that is let in at any level."""


class _Level:
    """How much is refused of one service's requests.

    Attributes:
        value: Importances that are refused wholly, the least first, and as its
            fraction the share that is refused of the next one.
        seen_at: When each importance was seen last.
    """

    __slots__ = ("at", "seen_at", "value")

    def __init__(self, now: float) -> None:
        self.at = now
        self.value = 0.0
        self.seen_at: dict[Importance, float] = {}


class RootShedding:
    """Decides which requests are let in, by service and importance.

    All times are seconds of one clock.
    """

    def __init__(self) -> None:
        self._levels_by_service: dict[ServiceName, _Level] = {}

    def refused_share(
        self,
        service: ServiceName,
        importance: Importance,
        delay_s: float,
        now: float,
    ) -> float:
        """Share of such requests that is to be refused now.

        Args:
            service: The service that the request is for.
            importance: Of the request.
            delay_s: Highest queue delay of the services below it. Its own queue
                decides by itself who runs first.
            now: The time.
        """
        level = self._levels_by_service.get(service)
        if level is None:
            level = self._levels_by_service[service] = _Level(now)
        level.seen_at[importance] = now
        self._move(level, delay_s, now)
        rank = sum(
            1
            for other, seen_at in level.seen_at.items()
            if other > importance and now - seen_at < _SEEN_S
        )
        return min(1.0, max(0.0, level.value - rank))

    def _move(self, level: _Level, delay_s: float, now: float) -> None:
        step_s = min(now - level.at, _LONGEST_STEP_S)
        level.at = now
        beyond = min(delay_s / TARGET_DELAY_S - 1, _LARGEST_EXCESS)
        gain = _GAIN_PER_S if beyond > 0 else _FALL_PER_S
        value = level.value + gain * beyond * step_s
        count = sum(now - seen_at < _SEEN_S for seen_at in level.seen_at.values())
        level.value = min(max(0.0, value), count - _LEAST_ADMITTED)


def come_back_s(importance: Importance, draw: float) -> float:
    """Seconds after which a refused caller may come back, spread over a while.

    Args:
        importance: Of its request: the less important waits longer.
        draw: A number drawn evenly from 0 to 1.
    """
    shortest_s = 0.3 * (1 + importance)
    return shortest_s * math.exp(draw)
