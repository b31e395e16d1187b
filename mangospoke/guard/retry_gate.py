"""Applies an upstream's part in its service's limit of retries to its calls."""

import math
from collections.abc import Callable

import trio

from mangospoke.calls import Call, Repetition
from mangospoke.guard.retry_arrivals import RetryArrivals
from mangospoke.verdicts import RefusalReason, Refused

_REFRESH_INTERVAL_S = 0.05
"""Time for which the answer that is told with each response is kept."""


class RetryGate:
    """Lets retries through while the upstream and the services that it calls may."""

    def __init__(
        self,
        arrivals: RetryArrivals,
        count_upstreams: Callable[[], int],
        calls_others: Callable[[], bool],
        callees_refuse: Callable[[], bool],
    ) -> None:
        """Initializes the gate.

        Args:
            arrivals: The upstream's part.
            count_upstreams: Returns the number of upstreams of its service.
            calls_others: Returns whether the upstream calls other services.
            callees_refuse: Returns whether one of these refuses retries.
        """
        self._arrivals = arrivals
        self._count_upstreams = count_upstreams
        self._calls_others = calls_others
        self._callees_refuse = callees_refuse
        self._refused_count = 0
        self._is_open = True
        self._refreshed_at = -math.inf

    @property
    def refused_count(self) -> int:
        """Retries refused since the daemon's start."""
        return self._refused_count

    def is_open(self) -> bool:
        """Returns whether a retry would be let through now, or a moment ago."""
        now = trio.current_time()
        if now >= self._refreshed_at + _REFRESH_INTERVAL_S:
            self._refreshed_at = now
            may_take = self._arrivals.may_take(
                self._count_upstreams(), self._calls_others(), now
            )
            self._is_open = may_take and not self._callees_refuse()
        return self._is_open

    def check(self, call: Call) -> Refused | None:
        """Counts a call; returns why it is refused, or None."""
        if call.repetition is Repetition.RETRY:
            refused = self._check_retry()
            self._refused_count += refused is not None
            return refused
        if call.repetition is Repetition.INHERITED:
            self._arrivals.record_inherited()
        elif not call.is_sub_call:
            self._arrivals.record_request(self._calls_others())
        return None

    def _check_retry(self) -> Refused | None:
        if self._callees_refuse():
            detail = "a service that the upstream calls takes no repeated calls now"
            return Refused(RefusalReason.RETRIES_SPENT, detail)
        is_taken = self._arrivals.take(
            self._count_upstreams(), self._calls_others(), trio.current_time()
        )
        if is_taken:
            return None
        detail = "the upstream has got its part of the service's repeated requests"
        return Refused(RefusalReason.RETRIES_SPENT, detail)
