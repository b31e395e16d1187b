"""Retry budgets: retries that die out when a service is down."""

from collections.abc import Callable
from typing import Protocol

import trio

from mangospoke.ids import ServiceName

_EARNED_BY_SUCCESS = 0.1
"""Retries that one success pays for."""

_CAPACITY = 10.0
"""Retries that may be saved up for one service."""


class Budgets(Protocol):
    """Decides whether a service may be sent a request once more."""

    def earn(self, service: ServiceName) -> None:
        """Counts a success."""

    def spend(self, service: ServiceName) -> bool:
        """Takes the price of one retry, or says that there is none."""


class RetryBudgets:
    """A token bucket for each service, filled by its successes."""

    def __init__(self) -> None:
        self._tokens_by_service: dict[ServiceName, float] = {}

    def earn(self, service: ServiceName) -> None:
        """Counts a success."""
        tokens = self._tokens_by_service.get(service, _CAPACITY)
        self._tokens_by_service[service] = min(_CAPACITY, tokens + _EARNED_BY_SUCCESS)

    def spend(self, service: ServiceName) -> bool:
        """Takes the price of one retry, or says that there is none."""
        tokens = self._tokens_by_service.get(service, _CAPACITY)
        if tokens < 1:
            return False
        self._tokens_by_service[service] = tokens - 1
        return True


class SharedRetryBudgets:
    """This host's part of a number of resends that a whole fleet has for a service.

    The number holds for any window, so that it is spread evenly over time: the
    host's bucket refills in one window. Its successes earn nothing, since what a
    resend costs in calls further down the chain isn't known here.
    """

    def __init__(
        self, resends: float, window_s: float, count_hosts: Callable[[], int]
    ) -> None:
        self._resends = resends
        self._window_s = window_s
        self._count_hosts = count_hosts
        self._used_by_service: dict[ServiceName, _Used] = {}

    def earn(self, service: ServiceName) -> None:
        """Counts a success, which earns nothing here."""

    def spend(self, service: ServiceName) -> bool:
        """Takes the price of one resend, or says that there is none."""
        now = trio.current_time()
        # A window may see what was saved up and what is earned: half is for each.
        capacity = self._resends / max(1, self._count_hosts()) / 2
        used = self._used_by_service.get(service)
        if used is None:
            used = self._used_by_service[service] = _Used(now, 0.0)
        earned = (now - used.at) * capacity / self._window_s
        used.amount = max(0.0, used.amount - earned)
        used.at = now
        if used.amount + 1 > max(1.0, capacity):
            return False
        used.amount += 1
        return True


class _Used:
    """Resends taken out of a bucket and not refilled yet."""

    __slots__ = ("amount", "at")

    def __init__(self, at: float, amount: float) -> None:
        self.at = at
        self.amount = amount
