"""Records incidents that may lead to refund claims in the log service.

Incidents are aggregated by account and service, so that the number of summaries is
bounded however many requests they cover; while the log service is unavailable,
aggregation goes on.
"""

import random
import secrets
import time
from collections import Counter
from dataclasses import dataclass, field

import trio
from loguru import logger

from mangospoke.calls import Call
from mangospoke.ids import ClientAccountId, FailureDomainId, HostId, ServiceName
from mangospoke.logservice.client import (
    LogClient,
    LogRefusedError,
    LogUnavailableError,
)
from mangospoke.logservice.records import IncidentSummary, LogStream
from mangospoke.verdicts import Outcome, RefusalReason, Refused, Verdict

FLUSH_INTERVAL_S = 5.0
_MAX_FLUSH_INTERVAL_S = 120.0
_MAX_SUMMARIES_PER_FLUSH = 4
"""These bound the append rate of thousands of hosts that are overloaded together."""

_MAX_AGGREGATES = 1_024
_MAX_REQUEST_IDS = 5

_CLIENT_CAUSED_REASONS = frozenset(
    {
        RefusalReason.BAD_REQUEST,
        RefusalReason.HEAD_TOO_LARGE,
        RefusalReason.BODY_TOO_LARGE,
        RefusalReason.UNAUTHENTICATED,
        RefusalReason.KEY_WITHDRAWN,
        RefusalReason.ROUTE_INTERNAL,
        RefusalReason.UNKNOWN_ROUTE,
        RefusalReason.METHOD_NOT_ALLOWED,
        RefusalReason.UNKNOWN_EXECUTION,
        RefusalReason.OVER_RATE,
        RefusalReason.IDEMPOTENCY_KEY_REUSED,
        RefusalReason.CANCELLED,
    }
)
"""Refusals that the caller caused itself, so that no refund is due."""


@dataclass(slots=True)
class _Aggregate:
    """Aggregated incidents of one account and service since the last summary."""

    started_at_ms: int
    may_have_run: int = 0
    refused_within_rate: int = 0
    reasons: Counter[str] = field(default_factory=Counter)
    request_ids: list[str] = field(default_factory=list)


class IncidentRecorder:
    """Aggregates incidents on the ingress host and appends summaries to a log stream.

    Attributes:
        dropped_incidents: Number of incidents that were dropped because too many
            accounts and services had some.
    """

    def __init__(
        self, host_id: HostId, domain: FailureDomainId, client: LogClient
    ) -> None:
        self.dropped_incidents = 0
        self._host_id = host_id
        self._domain = domain
        self._client = client
        self._aggregates_by_key: dict[
            tuple[ClientAccountId, ServiceName], _Aggregate
        ] = {}
        self._pending: IncidentSummary | None = None

    def record_end(self, call: Call, outcome: Outcome) -> None:
        """Records the end of a call on its ingress host, if it is an incident."""
        if outcome.verdict is Verdict.MAY_HAVE_RUN and not call.idempotent:
            aggregate = self._get_or_create_aggregate(call.account_id, call.service)
            if aggregate is not None:
                aggregate.may_have_run += 1
                _add_details(aggregate, outcome, call.request_id)
        elif isinstance(outcome, Refused):
            self.record_refusal(call.account_id, call.service, outcome, call.request_id)

    def record_refusal(
        self,
        account_id: ClientAccountId,
        service: ServiceName,
        refused: Refused,
        request_id: str = "",
    ) -> None:
        """Records a refusal, unless the caller caused it."""
        if refused.reason in _CLIENT_CAUSED_REASONS or not account_id:
            return
        aggregate = self._get_or_create_aggregate(account_id, service)
        if aggregate is not None:
            aggregate.refused_within_rate += 1
            _add_details(aggregate, refused, request_id)

    def _get_or_create_aggregate(
        self, account_id: ClientAccountId, service: ServiceName
    ) -> _Aggregate | None:
        key = (account_id, service)
        aggregate = self._aggregates_by_key.get(key)
        if aggregate is None:
            if len(self._aggregates_by_key) >= _MAX_AGGREGATES:
                self.dropped_incidents += 1
                return None
            aggregate = self._aggregates_by_key[key] = _Aggregate(
                int(time.time() * 1000)
            )
        return aggregate

    async def run(self) -> None:
        """Appends summaries periodically until cancelled."""
        interval_s = FLUSH_INTERVAL_S
        while True:
            await trio.sleep(interval_s * random.uniform(0.5, 1.0))
            if self._pending is None and not self._aggregates_by_key:
                interval_s = FLUSH_INTERVAL_S
                continue
            await self.flush(_MAX_SUMMARIES_PER_FLUSH)
            # Backs off, so that hosts in a long overload append less often.
            interval_s = min(_MAX_FLUSH_INTERVAL_S, 2 * interval_s)

    async def flush(self, max_summaries: int = _MAX_AGGREGATES) -> None:
        """Appends pending summaries until the log service fails.

        Args:
            max_summaries: Maximum number of summaries to append.
        """
        for _ in range(max_summaries):
            if self._pending is None and not self._aggregates_by_key:
                return
            if self._pending is None:
                key = next(iter(self._aggregates_by_key))
                self._pending = self._make_summary(
                    key, self._aggregates_by_key.pop(key)
                )
            try:
                # After a lost response the summary is appended again under the same id.
                await self._client.append(LogStream.INCIDENTS, self._pending)
            except (LogUnavailableError, LogRefusedError) as error:
                logger.bind(event="incidents_waiting").info(
                    "incident summary not appended; will retry: {}", error
                )
                return
            self._pending = None

    def _make_summary(
        self, key: tuple[ClientAccountId, ServiceName], aggregate: _Aggregate
    ) -> IncidentSummary:
        return IncidentSummary(
            record_id=secrets.token_hex(8),
            host_id=self._host_id,
            failure_domain=self._domain,
            account_id=key[0],
            service=key[1],
            started_at_ms=aggregate.started_at_ms,
            may_have_run=aggregate.may_have_run,
            refused_within_rate=aggregate.refused_within_rate,
            reasons=dict(aggregate.reasons),
            request_ids=tuple(aggregate.request_ids),
        )


def _add_details(aggregate: _Aggregate, outcome: Outcome, request_id: str) -> None:
    reason = getattr(outcome, "reason", None)
    aggregate.reasons["" if reason is None else reason.value] += 1
    if request_id and len(aggregate.request_ids) < _MAX_REQUEST_IDS:
        aggregate.request_ids.append(request_id)
