"""One log line for each decision on a request, and exact counts of all of them.

A burst of decisions is sampled in the log; the counters never are.
"""

from collections import Counter
from collections.abc import Callable

import trio

from mangospoke.calls import Call
from mangospoke.ids import ClientAccountId, HostId, RequestId, ServiceName
from mangospoke.observability.events import (
    RequestEnded,
    RequestGuarded,
    Retention,
    UpstreamEjected,
)
from mangospoke.observability.incidents import Incidents
from mangospoke.observability.latencies import Latencies
from mangospoke.observability.logs import EventLog
from mangospoke.observability.overload import OverloadWatch
from mangospoke.peers.messages import Load
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Unanswered,
    Verdict,
)

_FIRST_FAILURE_STATUS = 500
_LONGEST_DETAIL = 200

_SLOW_WAIT_S = 0.1
_SLOW_RUN_S = 0.5
"""Times beside an upstream beyond which an answer may have become late by it."""

_OWN_DOING = frozenset(
    {
        RefusalReason.OVER_RATE,
        RefusalReason.CANCELLED,
        RefusalReason.UNAUTHENTICATED,
        RefusalReason.UNKNOWN_ROUTE,
    }
)
"""Refusals that the caller's own doing explains."""

OutcomeKey = tuple[ClientAccountId, ServiceName, Verdict, str]


class DecisionLog:
    """Counts and logs decisions.

    Attributes:
        outcomes: Count by account, service, verdict and reason, where a request
            entered.
        guarded_outcomes: Count by service and reason, beside the upstream.
        routed: Count by service and host chosen.
        ejections: Count by service and host.
        latencies: Where the time of requests goes.
        read_proof_age_s: Reads how long ago the configuration in force was known to
            be the newest; None where nobody keeps account of that.
    """

    def __init__(
        self,
        log: EventLog | None = None,
        overload: OverloadWatch | None = None,
        incidents: Incidents | None = None,
    ) -> None:
        self._log = log
        self._overload = overload
        self._incidents = incidents
        self.outcomes: Counter[OutcomeKey] = Counter()
        self.guarded_outcomes: Counter[tuple[ServiceName, str]] = Counter()
        self.routed: Counter[tuple[ServiceName, HostId]] = Counter()
        self.ejections: Counter[tuple[ServiceName, HostId]] = Counter()
        self.latencies = Latencies()
        self.read_proof_age_s: Callable[[], float | None] = _no_age

    def _may_write(self, retention: Retention, event: str, outcome: Outcome) -> bool:
        if self._log is None:
            return False
        return self._log.may_write(retention, f"{event}/{reason_of(outcome)}")

    def _count(
        self, account_id: ClientAccountId, service: ServiceName, outcome: Outcome
    ) -> None:
        key = (account_id, service, outcome.verdict, reason_of(outcome))
        self.outcomes[key] += 1

    def routed_to(self, call: Call, host_id: HostId) -> None:
        """Counts a host that a call is sent to."""
        self.routed[(call.service, host_id)] += 1

    def ejected(self, service: ServiceName, host_id: HostId, outcome: Outcome) -> None:
        """Records that an upstream gets no requests for a while."""
        self.ejections[(service, host_id)] += 1
        if self._log is not None and self._may_write(
            Retention.BELIEF, "ejected", outcome
        ):
            event = UpstreamEjected(
                service=service, host=host_id, reason=reason_of(outcome)
            )
            self._log.write(event, Retention.BELIEF)

    def ended(self, call: Call, outcome: Outcome) -> None:
        """Records how a call ended where it entered."""
        self._count(call.account_id, call.service, outcome)
        if self._incidents is not None:
            self._incidents.ended(call, outcome)
        elapsed_s = trio.current_time() - call.entered_at
        if isinstance(outcome, Answered):
            self.latencies.request[call.service].observe(elapsed_s)
        is_late = call.target_s is not None and elapsed_s > call.target_s
        retention = _retention_of(outcome, is_late)
        if self._log is not None and self._may_write(retention, "ended", outcome):
            self._log.write(self._ended_event(call, outcome, elapsed_s), retention)

    def _ended_event(
        self, call: Call, outcome: Outcome, elapsed_s: float
    ) -> RequestEnded:
        return RequestEnded(
            request_id=call.request_id,
            service=call.service,
            route=call.route,
            account=call.account_id,
            sub_call=call.is_sub_call,
            caller=call.caller,
            parent=call.parent_id,
            importance=int(call.importance),
            outcome=_kind_of(outcome),
            verdict=outcome.verdict.value,
            reason=_reason_or_nothing(outcome),
            status=_status_of(outcome),
            detail=_detail_of(outcome),
            retry_after_s=_retry_after_of(outcome),
            elapsed_ms=_ms(elapsed_s),
            allowed_ms=_ms(call.deadline - call.entered_at),
            target_ms=0.0 if call.target_s is None else _ms(call.target_s),
            configuration=call.version,
            proof_age_ms=self._proof_age_ms(),
            attempts=tuple(call.attempts),
        )

    def _proof_age_ms(self) -> float | None:
        age_s = self.read_proof_age_s()
        return None if age_s is None else _ms(age_s)

    def cancelled(self, call: Call) -> None:
        """Records that a caller hung up before its call ended."""
        if call.may_have_run:
            self.ended(call, Unanswered(FailureReason.CANCELLED, "the caller hung up"))
        else:
            self.ended(call, Refused(RefusalReason.CANCELLED, "the caller hung up"))

    def refused_at_entry(
        self,
        account_id: ClientAccountId,
        service: ServiceName,
        refused: Refused,
        request_id: RequestId | None = None,
        version: int = 0,
    ) -> None:
        """Records a refusal that was taken before a call was made.

        Args:
            account_id: The request's account; empty if it isn't known.
            service: The service that it was for; empty if it isn't known.
            refused: The refusal.
            request_id: The request's own id, if it brought one.
            version: Configuration by which it was refused.
        """
        self._count(account_id, service, refused)
        if self._incidents is not None:
            self._incidents.refused(account_id, service, refused)
        retention = _retention_of(refused, is_late=False)
        if self._log is not None and self._may_write(retention, "ended", refused):
            event = RequestEnded(
                request_id=request_id or "",
                service=service,
                account=account_id,
                outcome=_kind_of(refused),
                verdict=refused.verdict.value,
                reason=refused.reason.value,
                detail=_detail_of(refused),
                retry_after_s=_retry_after_of(refused),
                configuration=version,
                proof_age_ms=self._proof_age_ms(),
            )
            self._log.write(event, retention)

    def guarded(
        self,
        call: Call,
        outcome: Outcome,
        arrived_at: float,
        instance: str,
        read_load: Callable[[], Load],
    ) -> None:
        """Records what became of a call beside its upstream.

        Args:
            call: The call.
            outcome: What became of it.
            arrived_at: Point on trio's clock at which it came to the guard.
            instance: The upstream's name for this start of it.
            read_load: Reads how loaded the upstream is.
        """
        self.guarded_outcomes[(call.service, reason_of(outcome))] += 1
        if self._overload is not None:
            self._overload.guarded(call.service, outcome)
        now = trio.current_time()
        began_at = call.admitted_at if call.admitted_at >= arrived_at else now
        self.latencies.queue[call.service].observe(began_at - arrived_at)
        if began_at < now:
            self.latencies.upstream[call.service].observe(now - began_at)
        is_slow = began_at - arrived_at > _SLOW_WAIT_S or now - began_at > _SLOW_RUN_S
        retention = _retention_of(outcome, is_slow)
        if self._log is None or not self._may_write(retention, "guarded", outcome):
            return
        load = read_load()
        event = RequestGuarded(
            request_id=call.request_id,
            service=call.service,
            account=call.account_id,
            sub_call=call.is_sub_call,
            importance=int(call.importance),
            outcome=_kind_of(outcome),
            verdict=outcome.verdict.value,
            reason=_reason_or_nothing(outcome),
            status=_status_of(outcome),
            detail=_detail_of(outcome),
            instance=instance,
            waited_ms=_ms(began_at - arrived_at),
            ran_ms=_ms(now - began_at),
            running=load.in_flight,
            limit=load.limit,
            queued=load.queued,
            configuration=call.version,
        )
        self._log.write(event, retention)


def reason_of(outcome: Outcome) -> str:
    """The outcome's reason as it stands in counters and log lines."""
    if isinstance(outcome, Answered):
        return "answered"
    return outcome.reason.value


def _retention_of(outcome: Outcome, is_late: bool) -> Retention:
    if isinstance(outcome, Answered):
        failed = outcome.status >= _FIRST_FAILURE_STATUS
        return Retention.NOTABLE if failed or is_late else Retention.ROUTINE
    if isinstance(outcome, Refused) and outcome.reason in _OWN_DOING:
        return Retention.REFUSAL
    return Retention.LOSS


def _kind_of(outcome: Outcome) -> str:
    if isinstance(outcome, Answered):
        return "answered"
    return "refused" if isinstance(outcome, Refused) else "unanswered"


def _reason_or_nothing(outcome: Outcome) -> str:
    return "" if isinstance(outcome, Answered) else outcome.reason.value


def _status_of(outcome: Outcome) -> int:
    return outcome.status if isinstance(outcome, Answered) else 0


def _detail_of(outcome: Outcome) -> str:
    return "" if isinstance(outcome, Answered) else outcome.detail[:_LONGEST_DETAIL]


def _retry_after_of(outcome: Outcome) -> float | None:
    return outcome.retry_after_s if isinstance(outcome, Refused) else None


def _ms(seconds: float) -> float:
    """Milliseconds; -1 for a time that never was."""
    return round(seconds * 1000, 1) if seconds < float("inf") else -1.0


def _no_age() -> float | None:
    return None
