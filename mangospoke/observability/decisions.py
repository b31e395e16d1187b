"""Logs and counts the outcomes of requests.

Log lines are sampled when many are written; the counters stay exact.
"""

from collections import Counter
from collections.abc import Callable

import trio

from mangospoke.calls import Call
from mangospoke.cancellation import (
    CAUSED_BY_CALLER,
    CAUSED_BY_DAEMON,
    NOT_SHUTTING_DOWN,
    CancelCause,
    Cancellation,
    ShutdownStatus,
)
from mangospoke.http.delivery import UndeliveredResponse
from mangospoke.ids import ClientAccountId, HostId, RequestId, ServiceName
from mangospoke.observability.events import (
    LogPriority,
    RequestEnded,
    RequestGuarded,
    ResponseUndelivered,
    UpstreamEjected,
)
from mangospoke.observability.incidents import IncidentRecorder
from mangospoke.observability.latencies import LatencyHistograms
from mangospoke.observability.logs import EventLog
from mangospoke.observability.overload import OverloadDetector
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

_MIN_SERVER_ERROR_STATUS = 500
_MAX_DETAIL_CHARACTERS = 200

_SLOW_QUEUE_DELAY_S = 0.1
_SLOW_UPSTREAM_TIME_S = 0.5
"""Beyond one of these, the upstream's host may have made the response late."""

_CLIENT_CAUSED_REASONS = frozenset(
    {
        RefusalReason.OVER_RATE,
        RefusalReason.CANCELLED,
        RefusalReason.UNAUTHENTICATED,
        RefusalReason.UNKNOWN_ROUTE,
    }
)
"""Refusals that the caller caused itself."""

_REFUSALS_BY_CAUSE = {
    CancelCause.CONNECTION_CLOSED: RefusalReason.CONNECTION_CLOSED,
    CancelCause.STOPPED: RefusalReason.STOPPED,
}
_FAILURES_BY_CAUSE = {
    CancelCause.CONNECTION_CLOSED: FailureReason.CONNECTION_CLOSED,
    CancelCause.STOPPED: FailureReason.STOPPED,
}
"""Reasons of requests that this daemon cancelled; the others are `CANCELLED`."""

OutcomeKey = tuple[ClientAccountId, ServiceName, Verdict, str]


class DecisionLog:
    """Counts and logs the outcomes of requests at one daemon.

    Attributes:
        outcomes: Requests that arrived at this host, by account, service, verdict and
            reason.
        guarded_outcomes: Requests handled by this host's guard, by service and reason.
        routed: Requests sent to upstreams, by service and host.
        ejections: Ejections of upstreams, by service and host.
        unanswered: Requests that this daemon itself left without their response, by
            service and cause.
        latencies: Histograms of the time that requests spend in each phase.
        read_proof_age_s: Returns the seconds since the active configuration was last
            confirmed as the newest; None where that isn't tracked.
        read_shutdown_status: Returns the state of the daemon's planned stop.
    """

    def __init__(
        self,
        log: EventLog | None = None,
        overload: OverloadDetector | None = None,
        incidents: IncidentRecorder | None = None,
    ) -> None:
        self._log = log
        self._overload = overload
        self._incidents = incidents
        self.outcomes: Counter[OutcomeKey] = Counter()
        self.guarded_outcomes: Counter[tuple[ServiceName, str]] = Counter()
        self.routed: Counter[tuple[ServiceName, HostId]] = Counter()
        self.ejections: Counter[tuple[ServiceName, HostId]] = Counter()
        self.unanswered: Counter[tuple[ServiceName, CancelCause]] = Counter()
        self.latencies = LatencyHistograms()
        self.read_proof_age_s: Callable[[], float | None] = _read_no_proof_age
        self.read_shutdown_status: Callable[[], ShutdownStatus] = _read_no_shutdown

    def _may_write(self, priority: LogPriority, event: str, outcome: Outcome) -> bool:
        if self._log is None:
            return False
        return self._log.may_write(priority, f"{event}/{reason_label(outcome)}")

    def _count(
        self, account_id: ClientAccountId, service: ServiceName, outcome: Outcome
    ) -> None:
        key = (account_id, service, outcome.verdict, reason_label(outcome))
        self.outcomes[key] += 1

    def record_routing(self, call: Call, host_id: HostId) -> None:
        """Counts a call that is sent to a host."""
        self.routed[(call.service, host_id)] += 1

    def record_ejection(
        self, service: ServiceName, host_id: HostId, outcome: Outcome
    ) -> None:
        """Records that an upstream was ejected from routing."""
        self.ejections[(service, host_id)] += 1
        if self._log is not None and self._may_write(
            LogPriority.STATE_CHANGE, "ejected", outcome
        ):
            event = UpstreamEjected(
                service=service, host=host_id, reason=reason_label(outcome)
            )
            self._log.write(event, LogPriority.STATE_CHANGE)

    def record_end(
        self, call: Call, outcome: Outcome, cancelled_by: CancelCause | None = None
    ) -> None:
        """Records how a call ended on its ingress host.

        Args:
            call: The call.
            outcome: How it ended.
            cancelled_by: Why it was cancelled; None if it wasn't.
        """
        self._count(call.account_id, call.service, outcome)
        if self._incidents is not None:
            self._incidents.record_end(call, outcome)
        elapsed_s = trio.current_time() - call.entered_at
        if isinstance(outcome, Answered):
            self.latencies.request[call.service].observe(elapsed_s)
        is_late = (
            call.target_latency_s is not None and elapsed_s > call.target_latency_s
        )
        priority = _priority_of(outcome, is_late)
        if self._log is not None and self._may_write(priority, "ended", outcome):
            event = self._make_ended_event(call, outcome, elapsed_s, cancelled_by)
            self._log.write(event, priority)

    def _make_ended_event(
        self,
        call: Call,
        outcome: Outcome,
        elapsed_s: float,
        cancelled_by: CancelCause | None,
    ) -> RequestEnded:
        stop = self.read_shutdown_status()
        return RequestEnded(
            request_id=call.request_id,
            service=call.service,
            route=call.route,
            account=call.account_id,
            sub_call=call.is_sub_call,
            caller=call.caller,
            parent=call.parent_id,
            importance=int(call.importance),
            outcome=_outcome_name(outcome),
            verdict=outcome.verdict.value,
            reason=_reason_or_empty(outcome),
            status=_status_of(outcome),
            detail=_detail_of(outcome),
            retry_after_s=_retry_after_of(outcome),
            elapsed_ms=_to_ms(elapsed_s),
            allowed_ms=_to_ms(call.deadline - call.entered_at),
            target_ms=0.0
            if call.target_latency_s is None
            else _to_ms(call.target_latency_s),
            configuration=call.version,
            proof_age_ms=self._proof_age_ms(),
            attempts=tuple(call.attempts),
            cancelled_by="" if cancelled_by is None else cancelled_by.value,
            stop=stop.phase,
            stop_elapsed_ms=_stop_elapsed_ms(stop),
        )

    def _proof_age_ms(self) -> float | None:
        age_s = self.read_proof_age_s()
        return None if age_s is None else _to_ms(age_s)

    def record_cancellation(self, call: Call) -> None:
        """Records that a call was cancelled, by its caller or by this daemon."""
        cancellation = call.cancellation
        self._count_unanswered(call.service, cancellation.cause)
        outcome: Outcome = _refused_as_cancelled(cancellation)
        if call.may_have_run:
            outcome = _unanswered_as_cancelled(cancellation)
        self.record_end(call, outcome, cancellation.cause)

    def record_early_cancellation(
        self,
        account_id: ClientAccountId,
        service: ServiceName,
        cancellation: Cancellation,
        request_id: RequestId | None = None,
        version: int = 0,
    ) -> None:
        """Records a request that was cancelled before a call was created for it.

        Args:
            account_id: Account of the request; empty if unknown.
            service: Service that it was for; empty if unknown.
            cancellation: Why it was cancelled.
            request_id: Id of the request, if it has one.
            version: Version of the configuration under which it arrived.
        """
        self._count_unanswered(service, cancellation.cause)
        refused = _refused_as_cancelled(cancellation)
        self.record_early_refusal(
            account_id, service, refused, request_id, version, cancellation.cause
        )

    def record_undelivered(self, undelivered: UndeliveredResponse) -> None:
        """Records a response that was ready and that its caller didn't get."""
        request = undelivered.request
        cause = request.cancellation.cause
        self._count_unanswered(request.service, cause)
        priority = LogPriority.LOSS
        if cause in CAUSED_BY_CALLER:
            priority = LogPriority.REFUSAL
        kind = f"response_undelivered/{cause.value}"
        if self._log is None or not self._log.may_write(priority, kind):
            return
        stop = self.read_shutdown_status()
        event = ResponseUndelivered(
            request_id=request.request_id or "",
            service=request.service,
            status=undelivered.status,
            cause=cause.value,
            detail=request.cancellation.detail,
            sent="part" if undelivered.is_started else "nothing",
            stop=stop.phase,
            stop_elapsed_ms=_stop_elapsed_ms(stop),
        )
        self._log.write(event, priority)

    def _count_unanswered(self, service: ServiceName, cause: CancelCause) -> None:
        if cause in CAUSED_BY_DAEMON:
            self.unanswered[(service, cause)] += 1

    def record_early_refusal(
        self,
        account_id: ClientAccountId,
        service: ServiceName,
        refused: Refused,
        request_id: RequestId | None = None,
        version: int = 0,
        cancelled_by: CancelCause | None = None,
    ) -> None:
        """Records a request that was refused before a call was created for it.

        Args:
            account_id: Account of the request; empty if unknown.
            service: Service that it was for; empty if unknown.
            refused: The refusal.
            request_id: Id of the request, if it has one.
            version: Version of the configuration under which it was refused.
            cancelled_by: Why it was cancelled; None if it wasn't.
        """
        self._count(account_id, service, refused)
        if self._incidents is not None:
            self._incidents.record_refusal(account_id, service, refused)
        priority = _priority_of(refused, is_late=False)
        if self._log is not None and self._may_write(priority, "ended", refused):
            stop = self.read_shutdown_status()
            event = RequestEnded(
                request_id=request_id or "",
                service=service,
                account=account_id,
                outcome=_outcome_name(refused),
                verdict=refused.verdict.value,
                reason=refused.reason.value,
                detail=_detail_of(refused),
                retry_after_s=_retry_after_of(refused),
                configuration=version,
                proof_age_ms=self._proof_age_ms(),
                cancelled_by="" if cancelled_by is None else cancelled_by.value,
                stop=stop.phase,
                stop_elapsed_ms=_stop_elapsed_ms(stop),
            )
            self._log.write(event, priority)

    def record_guarded(
        self,
        call: Call,
        outcome: Outcome,
        arrived_at: float,
        instance: str,
        read_load: Callable[[], Load],
    ) -> None:
        """Records how a call ended at the guard of its upstream.

        Args:
            call: The call.
            outcome: How it ended.
            arrived_at: Time of its arrival at the guard, on trio's clock.
            instance: Id of the running instance of the upstream.
            read_load: Returns the current load of the upstream.
        """
        self.guarded_outcomes[(call.service, reason_label(outcome))] += 1
        if self._overload is not None:
            self._overload.record_outcome(call.service, outcome)
        now = trio.current_time()
        began_at = call.admitted_at if call.admitted_at >= arrived_at else now
        self.latencies.queue[call.service].observe(began_at - arrived_at)
        if began_at < now:
            self.latencies.upstream[call.service].observe(now - began_at)
        is_slow = (
            began_at - arrived_at > _SLOW_QUEUE_DELAY_S
            or now - began_at > _SLOW_UPSTREAM_TIME_S
        )
        priority = _priority_of(outcome, is_slow)
        if self._log is None or not self._may_write(priority, "guarded", outcome):
            return
        load = read_load()
        event = RequestGuarded(
            request_id=call.request_id,
            service=call.service,
            account=call.account_id,
            sub_call=call.is_sub_call,
            importance=int(call.importance),
            outcome=_outcome_name(outcome),
            verdict=outcome.verdict.value,
            reason=_reason_or_empty(outcome),
            status=_status_of(outcome),
            detail=_detail_of(outcome),
            instance=instance,
            waited_ms=_to_ms(began_at - arrived_at),
            ran_ms=_to_ms(now - began_at),
            running=load.in_flight,
            limit=load.limit,
            queued=load.queued,
            configuration=call.version,
        )
        self._log.write(event, priority)


def reason_label(outcome: Outcome) -> str:
    """Returns the reason of an outcome, as used in counters and log lines."""
    if isinstance(outcome, Answered):
        return "answered"
    return outcome.reason.value


def _priority_of(outcome: Outcome, is_late: bool) -> LogPriority:
    if isinstance(outcome, Answered):
        has_failed = outcome.status >= _MIN_SERVER_ERROR_STATUS
        return LogPriority.NOTABLE if has_failed or is_late else LogPriority.ROUTINE
    if isinstance(outcome, Refused) and outcome.reason in _CLIENT_CAUSED_REASONS:
        return LogPriority.REFUSAL
    return LogPriority.LOSS


def _outcome_name(outcome: Outcome) -> str:
    if isinstance(outcome, Answered):
        return "answered"
    return "refused" if isinstance(outcome, Refused) else "unanswered"


def _reason_or_empty(outcome: Outcome) -> str:
    return "" if isinstance(outcome, Answered) else outcome.reason.value


def _status_of(outcome: Outcome) -> int:
    return outcome.status if isinstance(outcome, Answered) else 0


def _detail_of(outcome: Outcome) -> str:
    return (
        "" if isinstance(outcome, Answered) else outcome.detail[:_MAX_DETAIL_CHARACTERS]
    )


def _retry_after_of(outcome: Outcome) -> float | None:
    return outcome.retry_after_s if isinstance(outcome, Refused) else None


def _to_ms(seconds: float) -> float:
    """Converts seconds to milliseconds; returns -1 for infinity."""
    return round(seconds * 1000, 1) if seconds < float("inf") else -1.0


def _refused_as_cancelled(cancellation: Cancellation) -> Refused:
    reason = _REFUSALS_BY_CAUSE.get(cancellation.cause, RefusalReason.CANCELLED)
    return Refused(reason, cancellation.detail)


def _unanswered_as_cancelled(cancellation: Cancellation) -> Unanswered:
    reason = _FAILURES_BY_CAUSE.get(cancellation.cause, FailureReason.CANCELLED)
    return Unanswered(reason, cancellation.detail)


def _stop_elapsed_ms(stop: ShutdownStatus) -> float | None:
    return None if stop.elapsed_s is None else _to_ms(stop.elapsed_s)


def _read_no_proof_age() -> float | None:
    return None


def _read_no_shutdown() -> ShutdownStatus:
    return NOT_SHUTTING_DOWN
