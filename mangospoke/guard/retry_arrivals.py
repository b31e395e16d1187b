"""How many repeated requests an upstream's daemon lets through.

Load pattern: an upstream loses its answers or fails for seconds, and the requests that
it failed are sent again elsewhere. The limit for these holds for a service and the
whole fleet. Hosts that share it equally can't use it, since few of them need it. So it
is shared by the service's upstreams, and the daemon beside each, which sees all that
arrives there, enforces its part.

A repeated run makes its calls again, which count at the services called. They can't be
refused, since the run needs them. So a daemon lets no retry through either while a
service that its upstream calls has spent its part, and an upstream that calls others
gets a smaller part.

Every `now` is a time in seconds of the same clock.
"""

import math
from dataclasses import dataclass

_LEAF_RATIO = 0.6
"""Part of the limit that is used where no other service is called. The rest covers the
calls of repeated runs that arrive after it is spent."""

_CALLER_RATIO = 0.2
"""The same where other services are called, whose limits the calls use as well."""


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """Repeated requests that the upstreams of a service may get, all together.

    Attributes:
        window_s: Length of the window in which they are counted, in seconds.
        min_retries: Repeated requests that are allowed in any window.
        max_ratio: Further ones, as a ratio of the requests that callers sent.
    """

    window_s: float
    min_retries: float
    max_ratio: float


class RetryArrivals:
    """The part of one upstream in its service's limit."""

    def __init__(self, limit: RetryLimit) -> None:
        """Initializes the part, full.

        Args:
            limit: The limit of the service.
        """
        self._limit = limit
        self._spent = 0.0
        self._updated_at = -math.inf

    def record_request(self, calls_others: bool) -> None:
        """Records a request of a caller that arrived for the first time."""
        earned = self._limit.max_ratio * _part(calls_others)
        self._spent = max(0.0, self._spent - earned)

    def record_inherited(self) -> None:
        """Records a call that a repeated run made."""
        self._spent += 1

    def may_take(self, upstream_count: int, calls_others: bool, now: float) -> bool:
        """Returns whether a retry may be let through.

        Args:
            upstream_count: Upstreams of the service.
            calls_others: Whether this upstream calls other services.
            now: The current time.
        """
        # Within one window a full part and its refill can both be spent, so that each
        # gets half.
        limit = self._limit.min_retries * _part(calls_others)
        capacity = limit / max(1, upstream_count) / 2
        if self._updated_at > -math.inf:
            refill = (now - self._updated_at) * capacity / self._limit.window_s
            self._spent = max(0.0, self._spent - refill)
        self._updated_at = now
        return self._spent + 1 <= max(1.0, capacity)

    def take(self, upstream_count: int, calls_others: bool, now: float) -> bool:
        """Takes one retry out of the part; returns False if there is none left."""
        if not self.may_take(upstream_count, calls_others, now):
            return False
        self._spent += 1
        return True


def _part(calls_others: bool) -> float:
    return _CALLER_RATIO if calls_others else _LEAF_RATIO
