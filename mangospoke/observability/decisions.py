"""One structured log line for each decision, and exact counts of all of them.

A burst of equal decisions is sampled in the log; the counters never are.
"""

import time
from collections import Counter, deque
from collections.abc import Callable
from functools import partial

import trio
from loguru import logger

from mangospoke.calls import Call
from mangospoke.ids import ClientAccountId, HostId, ServiceName
from mangospoke.observability.incidents import Incidents
from mangospoke.observability.overload import OverloadWatch
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Unanswered,
    Verdict,
)

_WRITE_DELAY_S = 0.005
"""Time by which lines are written later than what they tell of."""

_LINES_PER_SECOND = 10
"""Lines a second written for one kind of event; more are only counted."""


OutcomeKey = tuple[ClientAccountId, ServiceName, Verdict, str]


class DecisionLog:
    """Counts and logs decisions.

    Attributes:
        outcomes: Count by account, service, verdict and reason, where a request
            entered.
        guarded_outcomes: Count by service and reason, beside the upstream.
        routed: Count by service and host chosen.
        ejections: Count by service and host.
    """

    def __init__(
        self, overload: OverloadWatch | None = None, incidents: Incidents | None = None
    ) -> None:
        self._overload = overload
        self._incidents = incidents
        self.outcomes: Counter[OutcomeKey] = Counter()
        self.guarded_outcomes: Counter[tuple[ServiceName, str]] = Counter()
        self.routed: Counter[tuple[ServiceName, HostId]] = Counter()
        self.ejections: Counter[tuple[ServiceName, HostId]] = Counter()
        self.lines_left_out: Counter[str] = Counter()
        self._pending: deque[Callable[[], None]] = deque()
        self._wake = trio.Event()
        self._second = 0
        self._lines_by_event: Counter[str] = Counter()

    def _write(self, write: Callable[[], None]) -> None:
        """Has a line written soon, out of the way of the request that it tells of."""
        self._pending.append(write)
        if len(self._pending) == 1:
            self._wake.set()

    async def run(self) -> None:
        """Writes lines until it is cancelled, yielding after each."""
        while True:
            if not self._pending:
                self._wake = trio.Event()
                await self._wake.wait()
            await trio.sleep(_WRITE_DELAY_S)
            while self._pending:
                self._pending.popleft()()
                await trio.lowlevel.checkpoint()

    def flush(self) -> None:
        """Writes the lines that are left when the daemon stops."""
        while self._pending:
            self._pending.popleft()()

    def _may_write(self, event: str) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_by_event.clear()
        self._lines_by_event[event] += 1
        if self._lines_by_event[event] <= _LINES_PER_SECOND:
            return True
        self.lines_left_out[event] += 1
        return False

    def _count(
        self, account_id: ClientAccountId, service: ServiceName, outcome: Outcome
    ) -> None:
        key = (account_id, service, outcome.verdict, reason_of(outcome))
        self.outcomes[key] += 1

    def routed_to(self, call: Call, host_id: HostId, reason: str) -> None:
        """Records which host a call is sent to, and why."""
        self.routed[(call.service, host_id)] += 1
        if self._may_write("routed"):
            line = logger.bind(
                event="routed",
                request_id=call.request_id,
                service=call.service,
                host=host_id,
                reason=reason,
            )
            self._write(partial(line.info, "routed to {}", host_id))

    def ejected(self, service: ServiceName, host_id: HostId, outcome: Outcome) -> None:
        """Records that an upstream gets no requests for a while."""
        self.ejections[(service, host_id)] += 1
        line = logger.bind(
            event="ejected", service=service, host=host_id, reason=reason_of(outcome)
        )
        self._write(partial(line.warning, "{} ejected", host_id))

    def ended(self, call: Call, outcome: Outcome) -> None:
        """Records how a call ended where it entered."""
        reason = reason_of(outcome)
        self._count(call.account_id, call.service, outcome)
        if self._incidents is not None:
            self._incidents.ended(call, outcome)
        if isinstance(outcome, Answered) or not self._may_write(reason):
            return
        line = logger.bind(
            event="ended",
            request_id=call.request_id,
            account=call.account_id,
            service=call.service,
            reason=reason,
            verdict=outcome.verdict.value,
            detail=outcome.detail,
        )
        self._write(partial(line.info, "ended: {}", reason))

    def cancelled(self, call: Call) -> None:
        """Records that a caller hung up before its call ended."""
        if call.may_have_run:
            self.ended(call, Unanswered(FailureReason.CANCELLED, "the caller hung up"))
        else:
            self.ended(call, Refused(RefusalReason.CANCELLED, "the caller hung up"))

    def refused_at_entry(
        self, account_id: ClientAccountId, service: ServiceName, outcome: Outcome
    ) -> None:
        """Records a refusal that was taken before a call was made."""
        reason = reason_of(outcome)
        self._count(account_id, service, outcome)
        if self._incidents is not None and isinstance(outcome, Refused):
            self._incidents.refused(account_id, service, outcome)
        if self._may_write(reason):
            line = logger.bind(
                event="refused", account=account_id, service=service, reason=reason
            )
            self._write(partial(line.info, "refused: {}", reason))

    def guarded(self, call: Call, outcome: Outcome) -> None:
        """Records what became of a call beside its upstream."""
        reason = reason_of(outcome)
        self.guarded_outcomes[(call.service, reason)] += 1
        if self._overload is not None:
            self._overload.guarded(call.service, outcome)
        if isinstance(outcome, Answered) or not self._may_write(f"guard-{reason}"):
            return
        line = logger.bind(
            event="guarded",
            request_id=call.request_id,
            account=call.account_id,
            service=call.service,
            importance=int(call.importance),
            reason=reason,
            verdict=outcome.verdict.value,
        )
        self._write(partial(line.info, "guard: {}", reason))


def reason_of(outcome: Outcome) -> str:
    """The outcome's reason as it stands in counters and log lines."""
    if isinstance(outcome, Answered):
        return "answered"
    return outcome.reason.value
