"""Load shedding at the entry, for overload of downstream services.

Load pattern: a service that many others call, directly or indirectly, has less
capacity than the root requests need. If it refused their sub-calls, the work already
done for the root requests would be wasted. So root requests are refused at the entry
instead, the least important first, and just enough of them to keep the overloaded
service fully used and its queue short.

The number to refuse can't be computed, since the calls that a request will make aren't
known. A feedback controller sets it: a shedding level rises while the queue delay of
the downstream services is above a target and falls while it is below.

The delay is known several tenths of a second late, after it has passed up the chain. A
level that only accumulated the excess would then swing between refusing all and
admitting all, and leave the service idle in between. So a part of the level follows the
excess directly, at once and without memory, and the rest accumulates slowly.
"""

from mangospoke.conf.declarations import Importance
from mangospoke.ids import ServiceName

TARGET_DELAY_S = 0.03
"""Downstream queue delay at which the shedding level stays constant.

A request that makes several calls one after another can incur this delay for each.
"""

_LEVEL_PER_EXCESS = 0.1
"""Part of the level that follows the excess, for each target delay of it."""

_RISE_PER_S = 0.1
"""Rise of the accumulated level per second, for each target delay of excess."""

_FALL_PER_S = 0.5
_FALL_RATIO_PER_S = 4.0
"""Fall of the accumulated level per second without any queue delay: the former, or the
latter times the level if that is more, since a high level leaves a service idle that
was slow only for seconds."""

_MAX_EXCESS_RATIO = 15.0
"""Excess over the target, in target delays, beyond which it counts no more: queues
don't let requests wait for longer than that."""

_MAX_STEP_S = 0.25
"""Longest time since the last request that a single update accounts for."""

_IMPORTANCE_LIFETIME_S = 5.0
"""Time for which an importance counts as present after its last request."""

_MIN_ADMITTED_RATIO = 0.1
"""Part of the most important requests that is admitted at any level."""


class _SheddingLevel:
    """The extent to which one service's requests are refused.

    Attributes:
        updated_at: Time of the last update.
        accumulated: The part of the level that has memory.
        value: The level. Its integer part is the number of importances that are
            refused completely, the least important first; the fraction is the part of
            the next importance that is refused.
        seen_at_by_importance: Time of each importance's last request.
    """

    __slots__ = ("accumulated", "seen_at_by_importance", "updated_at", "value")

    def __init__(self, now: float) -> None:
        self.updated_at = now
        self.accumulated = 0.0
        self.value = 0.0
        self.seen_at_by_importance: dict[Importance, float] = {}


class RootRequestShedder:
    """Decides what part of the root requests to refuse, by service and importance.

    All times are seconds of the same clock.
    """

    def __init__(self) -> None:
        self._levels_by_service: dict[ServiceName, _SheddingLevel] = {}

    def refused_ratio(
        self,
        service: ServiceName,
        importance: Importance,
        downstream_delay_s: float,
        now: float,
    ) -> float:
        """Updates the shedding level and returns the part of requests to refuse.

        Args:
            service: The service that the request is for.
            importance: The request's importance.
            downstream_delay_s: Longest queue delay of the downstream services, in
                seconds. The service's own queue doesn't count, since it orders its
                requests by importance itself.
            now: The current time.
        """
        level = self._levels_by_service.get(service)
        if level is None:
            level = self._levels_by_service[service] = _SheddingLevel(now)
        level.seen_at_by_importance[importance] = now
        self._update(level, downstream_delay_s, now)
        less_important_count = sum(
            1
            for other, seen_at in level.seen_at_by_importance.items()
            if other > importance and now - seen_at < _IMPORTANCE_LIFETIME_S
        )
        return min(1.0, max(0.0, level.value - less_important_count))

    def _update(
        self, level: _SheddingLevel, downstream_delay_s: float, now: float
    ) -> None:
        step_s = min(now - level.updated_at, _MAX_STEP_S)
        level.updated_at = now
        importance_count = sum(
            now - seen_at < _IMPORTANCE_LIFETIME_S
            for seen_at in level.seen_at_by_importance.values()
        )
        max_level = importance_count - _MIN_ADMITTED_RATIO
        excess_ratio = min(downstream_delay_s / TARGET_DELAY_S - 1, _MAX_EXCESS_RATIO)
        fall_per_s = max(_FALL_PER_S, _FALL_RATIO_PER_S * level.accumulated)
        rate_per_s = _RISE_PER_S if excess_ratio > 0 else fall_per_s
        accumulated = level.accumulated + rate_per_s * excess_ratio * step_s
        level.accumulated = min(max(0.0, accumulated), max_level)
        direct = _LEVEL_PER_EXCESS * max(0.0, excess_ratio)
        level.value = min(level.accumulated + direct, max_level)
