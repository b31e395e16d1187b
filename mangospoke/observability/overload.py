"""Detects overloads of this host's upstream; one starts with the first shed request."""

from dataclasses import dataclass

import trio
from loguru import logger

from mangospoke.ids import ServiceName
from mangospoke.observability.status import OverloadStatus
from mangospoke.verdicts import Outcome, RefusalReason, Refused

OVERLOAD_END_DELAY_S = 5.0
"""An overload ends after this time without a shed request."""

_CHECK_INTERVAL_S = 0.5

_SHED_REASONS = frozenset(
    {
        RefusalReason.QUEUE_FULL,
        RefusalReason.SHED_FOR_IMPORTANCE,
        RefusalReason.SHED_BY_UPSTREAM,
        RefusalReason.DEADLINE_EXCEEDED,
    }
)


@dataclass(slots=True)
class _Overload:
    """An overload in progress."""

    started_at: float
    last_shed_at: float
    shed: int


class OverloadDetector:
    """Detects overloads by service, from the outcomes of this host's guard."""

    def __init__(self) -> None:
        self._overloads_by_service: dict[ServiceName, _Overload] = {}

    def record_outcome(self, service: ServiceName, outcome: Outcome) -> None:
        """Handles the outcome of a call at the guard."""
        if not isinstance(outcome, Refused) or outcome.reason not in _SHED_REASONS:
            return
        now = trio.current_time()
        overload = self._overloads_by_service.get(service)
        if overload is None:
            self._overloads_by_service[service] = _Overload(now, now, 1)
            logger.bind(
                event="overload_started", service=service, reason=outcome.reason.value
            ).warning("{} is overloaded", service)
            return
        overload.last_shed_at = now
        overload.shed += 1

    async def run(self) -> None:
        """Checks for overloads that have ended, until cancelled."""
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            now = trio.current_time()
            for service, overload in list(self._overloads_by_service.items()):
                if now - overload.last_shed_at > OVERLOAD_END_DELAY_S:
                    del self._overloads_by_service[service]
                    self._log_end(service, overload)

    def _log_end(self, service: ServiceName, overload: _Overload) -> None:
        logger.bind(
            event="overload_ended",
            service=service,
            shed=overload.shed,
            lasted_s=round(overload.last_shed_at - overload.started_at, 3),
        ).warning("{} is no longer overloaded", service)

    def statuses(self) -> tuple[OverloadStatus, ...]:
        """Returns the overloads in progress."""
        now = trio.current_time()
        return tuple(
            OverloadStatus(service, now - overload.started_at, overload.shed)
            for service, overload in self._overloads_by_service.items()
        )
