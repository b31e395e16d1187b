"""Retry budgets, which bound the extra load by retries while a service is failing."""

from typing import Protocol

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


class UnlimitedRetryBudget:
    """Leaves it to the daemons beside the upstreams to refuse retries."""

    def record_success(self, service: ServiceName) -> None:
        """Does nothing."""

    def try_spend(self, service: ServiceName) -> bool:
        """Returns True."""
        return True
