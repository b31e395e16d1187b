"""Retry budgets, which bound the extra load by retries while a service is failing."""

from collections.abc import Callable
from typing import Protocol

import trio

from mangospoke.ids import ServiceName

_TOKENS_PER_SUCCESS = 0.1

_MAX_TOKENS = 10.0
"""Capacity of a service's token bucket; a retry costs one token."""


class RetryBudget(Protocol):
    """Decides whether a request to a service may be retried."""

    def record_success(self, service: ServiceName) -> None:
        """Records a successful request."""

    def try_spend(self, service: ServiceName) -> bool:
        """Takes one retry out of the budget and returns whether there was one left."""


class SuccessRatioRetryBudget:
    """Allows retries in proportion to a service's successful requests.

    Each service has a token bucket, which is refilled by its successes.
    """

    def __init__(self) -> None:
        self._tokens_by_service: dict[ServiceName, float] = {}

    def record_success(self, service: ServiceName) -> None:
        """Refills the bucket by a successful request."""
        tokens = self._tokens_by_service.get(service, _MAX_TOKENS)
        self._tokens_by_service[service] = min(
            _MAX_TOKENS, tokens + _TOKENS_PER_SUCCESS
        )

    def try_spend(self, service: ServiceName) -> bool:
        """Takes one retry out of the budget and returns whether there was one left."""
        tokens = self._tokens_by_service.get(service, _MAX_TOKENS)
        if tokens < 1:
            return False
        self._tokens_by_service[service] = tokens - 1
        return True


class FleetRetryBudget:
    """This host's equal share of a retry limit for the whole fleet, by service.

    The limit holds for any time window, so that the budget is refilled at a constant
    rate, by one capacity in each window. Successes don't refill it, since this host
    doesn't know how many calls further down the chain a retry causes.
    """

    def __init__(
        self, max_retries: float, window_s: float, count_hosts: Callable[[], int]
    ) -> None:
        """Initializes the budget.

        Args:
            max_retries: Retries that the fleet may make of a service's requests within
                any window.
            window_s: Length of the window in seconds.
            count_hosts: Returns the number of hosts that share the limit.
        """
        self._max_retries = max_retries
        self._window_s = window_s
        self._count_hosts = count_hosts
        self._spent_by_service: dict[ServiceName, _SpentRetries] = {}

    def record_success(self, service: ServiceName) -> None:
        """Does nothing: successes don't refill this budget."""

    def try_spend(self, service: ServiceName) -> bool:
        """Takes one retry out of the budget and returns whether there was one left."""
        now = trio.current_time()
        # Within one window a full bucket and its refill can both be spent, so that
        # each gets half of the limit.
        capacity = self._max_retries / max(1, self._count_hosts()) / 2
        spent = self._spent_by_service.get(service)
        if spent is None:
            spent = self._spent_by_service[service] = _SpentRetries(now, 0.0)
        refill = (now - spent.updated_at) * capacity / self._window_s
        spent.amount = max(0.0, spent.amount - refill)
        spent.updated_at = now
        if spent.amount + 1 > max(1.0, capacity):
            return False
        spent.amount += 1
        return True


class _SpentRetries:
    """Retries that were taken out of a bucket and not refilled yet."""

    __slots__ = ("amount", "updated_at")

    def __init__(self, updated_at: float, amount: float) -> None:
        self.updated_at = updated_at
        self.amount = amount
