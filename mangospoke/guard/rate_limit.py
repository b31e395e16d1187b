"""The rate limit of an upstream: that which it names, and that of a cold one.

Load pattern: an upstream in need takes fewer requests than its slots allow, so many a
second from the whole fleet together, for as long as its responses say so or it is cold.
The guard is its only client, so one token bucket here bounds what it gets. The bucket
starts empty, also in a daemon that has just started: what its predecessor sent still
counts.

Every `now` is a time in seconds of the same clock.
"""

import enum
import math
from collections import deque
from dataclasses import dataclass

from mangospoke.rates.bucket import TokenBucket
from mangospoke.rates.units import MILLI

BURST_S = 0.5
_MIN_BURST = 2.0
"""The bucket holds what the upstream takes in this time, but at least so many."""

MIN_RATE_PER_S = 0.5
"""Lowest rate that is enforced: only responses tell that an upstream takes more."""

_MAX_OFFER_S = 1.0
"""Longest time after which a peer is offered a turn: most offers aren't taken up."""

_MAX_RATE_PER_S = 1_000_000.0
"""Rates above this are no limit in practice, and keep the bucket's integers small."""

_SENT_WINDOW_S = 1.0
_MAX_SENT_REMEMBERED = 512
"""Requests of the last second that are remembered, for the turn to cold."""

_NS_PER_S = 1_000_000_000


class StatementSource(enum.Enum):
    """Who told what the upstream says about itself.

    `UPSTREAM`: a response of the upstream to this daemon. `PEER`: a daemon that got
    such a response through the previous daemon process of this host.
    """

    UPSTREAM = "upstream"
    PEER = "peer"


class LimitEvent(enum.Enum):
    """How a statement changed the limit in force."""

    NAMED = "named"
    CHANGED = "changed"
    LIFTED = "lifted"
    HANDED_OVER = "handed_over"


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A change of the limit in force.

    Attributes:
        event: What kind of change it is.
        rate_per_s: The limit from now on in requests a second; None without one.
        previous_per_s: The limit until now.
        source: Who said so.
        previous_age_s: Seconds for which the previous limit was in force.
    """

    event: LimitEvent
    rate_per_s: float | None
    previous_per_s: float | None
    source: StatementSource
    previous_age_s: float


@dataclass(frozen=True, slots=True)
class ColdRate:
    """What a cold upstream gets.

    Attributes:
        per_s: Requests a second.
        burst: Requests that it may get at once after a quiet time.
    """

    per_s: float
    burst: float


class UpstreamRateLimit:
    """The rate limit of one process run of an upstream.

    Attributes:
        rate_per_s: The limit in force in requests a second, or None: the lower of the
            one that the upstream states and that of a cold one.
        stated_per_s: The limit that the upstream states, or None.
        was_stated: Whether the upstream itself has told this daemon its limit, or that
            it has none.
        admitted_count: Requests admitted under a limit since the daemon's start.
        refused_count: Requests refused because of a limit since the daemon's start.
    """

    def __init__(self) -> None:
        self.admitted_count = 0
        self.refused_count = 0
        self._cold: ColdRate | None = None
        self._cold_from = -math.inf
        self._sent_at: deque[float] = deque(maxlen=_MAX_SENT_REMEMBERED)
        self.reset()

    def reset(self) -> None:
        """Forgets the limit: a new process run of the upstream has stated none.

        A bound on a cold upstream stays until it is changed: it isn't a statement.
        """
        self.stated_per_s: float | None = None
        self.rate_per_s = None if self._cold is None else self._cold.per_s
        self.was_stated = False
        self._in_force_since = -math.inf
        self._confirmed_at = -math.inf
        self._last_turn_at = -math.inf
        if self._cold is None:
            self._bucket = TokenBucket(0)

    def carry_over(self, now: float) -> None:
        """Keeps the limit for a new process run, until that says something itself.

        It may have begun, and named the limit, before this daemon learned of it.
        """
        self.was_stated = False
        self._confirmed_at = -math.inf
        if self.rate_per_s is not None:
            self._resize_bucket(None, now)

    def bound_cold(self, cold: ColdRate | None, now: float) -> None:
        """Starts, changes or ends the bound on what a cold upstream gets.

        The upstream may have been cold before this became known. So what it got in the
        last second is taken off, up to what it would have got in it.

        Args:
            cold: The bound; None for a warm upstream.
            now: The current time.
        """
        before, self._cold = self._cold, cold
        previous = self.rate_per_s
        self._update_rate()
        if cold is None:
            self._cold_from = -math.inf
            self._resize_bucket(previous, now)
            return
        if before is None:
            already = sum(now - sent_at < _SENT_WINDOW_S for sent_at in self._sent_at)
            self._cold_from = now + min(already / cold.per_s, _SENT_WINDOW_S)
            self._resize_bucket(None, self._cold_from)
        else:
            self._resize_bucket(previous, now)

    def _update_rate(self) -> None:
        cold_per_s = None if self._cold is None else self._cold.per_s
        self.rate_per_s = min(self.stated_per_s, cold_per_s, key=_order)

    def state(
        self, rate_per_s: float | None, requested_at: float, now: float
    ) -> LimitChange | None:
        """Processes what a response of the upstream says.

        Responses arrive out of order. One that names a lower limit applies at once.
        One that raises or lifts it applies only if its request was sent after the limit
        in force was last confirmed: the upstream may have made it before.

        Args:
            rate_per_s: The limit that it names, or None if it names none.
            requested_at: When its request was sent.
            now: When it arrived.
        """
        is_looser = _order(rate_per_s) > _order(self.stated_per_s)
        if is_looser and requested_at < self._confirmed_at:
            return None
        self.was_stated = True
        self._confirmed_at = now
        return self._set(rate_per_s, StatementSource.UPSTREAM, now)

    def adopt(self, rate_per_s: float, now: float) -> LimitChange | None:
        """Processes a limit that a peer heard before this daemon was started.

        What the upstream itself has said since is newer.
        """
        if self.was_stated or rate_per_s >= _order(self.stated_per_s):
            return None
        return self._set(rate_per_s, StatementSource.PEER, now)

    def _set(
        self, rate_per_s: float | None, source: StatementSource, now: float
    ) -> LimitChange | None:
        previous = self.stated_per_s
        if rate_per_s == previous:
            return None
        age_s = now - self._in_force_since
        self.stated_per_s = rate_per_s
        self._in_force_since = now
        enforced_before = self.rate_per_s
        self._update_rate()
        self._resize_bucket(enforced_before, now)
        if source is StatementSource.PEER:
            event = LimitEvent.HANDED_OVER
        elif previous is None:
            event = LimitEvent.NAMED
        else:
            event = LimitEvent.LIFTED if rate_per_s is None else LimitEvent.CHANGED
        return LimitChange(event, rate_per_s, previous, source, age_s)

    def _resize_bucket(self, previous: float | None, now: float) -> None:
        if self.rate_per_s is None:
            return
        rate_per_s = self._enforced_per_s()
        rate = int(rate_per_s * MILLI)
        burst = int(self._allowed_burst(rate_per_s) * MILLI)
        if previous is None:
            self._bucket = TokenBucket(_to_ns(now), rate, burst)
        else:
            self._bucket.resize(_to_ns(now), rate, burst)

    def _allowed_burst(self, rate_per_s: float) -> float:
        burst = max(_MIN_BURST, rate_per_s * BURST_S)
        return burst if self._cold is None else min(burst, self._cold.burst)

    def _enforced_per_s(self) -> float:
        assert self.rate_per_s is not None
        return min(max(self.rate_per_s, MIN_RATE_PER_S), _MAX_RATE_PER_S)

    @property
    def burst(self) -> int:
        """Requests that may be admitted at once after a quiet time; without limit 0."""
        return 0 if self.rate_per_s is None else self._bucket.burst // MILLI

    def free_count(self, now: float) -> int:
        """Returns how many requests may be admitted now under the limit in force."""
        return self._bucket.level(_to_ns(now)) // MILLI

    def wait_s(self, ahead_count: int, now: float) -> float:
        """Returns the seconds until a request may be admitted.

        Args:
            ahead_count: Requests that are to be admitted before it.
            now: The current time.
        """
        if self.rate_per_s is None:
            return 0.0
        missing = (ahead_count + 1) * MILLI - self._bucket.level(_to_ns(now))
        earned_from = max(now, self._cold_from)
        earning_s = max(0.0, missing / (self._enforced_per_s() * MILLI))
        return earned_from + earning_s - now

    def offer_turn_s(self, ahead_count: int, now: float) -> float:
        """Returns the seconds after which a peer may try to send a request.

        Each peer is offered a turn of its own, so that they don't all come at once.

        Args:
            ahead_count: Requests that are to be admitted before it.
            now: The current time.
        """
        if self.rate_per_s is None:
            return 0.0
        earliest_at = now + self.wait_s(ahead_count, now)
        next_at = self._last_turn_at + 1 / self._enforced_per_s()
        turn_s = min(max(earliest_at, next_at) - now, _MAX_OFFER_S)
        self._last_turn_at = now + turn_s
        return turn_s

    def has_sent_since(self, time_s: float) -> bool:
        """Returns whether a request was admitted at or after a point in time."""
        return bool(self._sent_at) and self._sent_at[-1] >= time_s

    def may_take(self, now: float) -> bool:
        """Returns whether a request may be admitted now."""
        return self.rate_per_s is None or self.free_count(now) > 0

    def take(self, now: float) -> bool:
        """Takes the token of one request; returns False if there is none."""
        if self.rate_per_s is None:
            self._sent_at.append(now)
            return True
        if not self._bucket.take_token(_to_ns(now)):
            return False
        self._sent_at.append(now)
        self.admitted_count += 1
        return True


def _order(rate_per_s: float | None) -> float:
    return math.inf if rate_per_s is None else rate_per_s


def _to_ns(seconds: float) -> int:
    return int(seconds * _NS_PER_S)
