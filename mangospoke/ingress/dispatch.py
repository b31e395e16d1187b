"""Dispatch of calls to upstreams, with retries."""

from collections.abc import Awaitable, Callable

import trio

from mangospoke.calls import Call, KeyUse, Repetition, SendStatus
from mangospoke.guard.idempotency_keys import add_record_location
from mangospoke.ids import HostId
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.observability.decisions import DecisionLog, reason_label
from mangospoke.observability.events import Attempt
from mangospoke.peers.client import PeerConnectionPool
from mangospoke.routing.balancer import Balancer, UpstreamChoice
from mangospoke.routing.ejection import Ejector
from mangospoke.routing.retries import RetryBudget, SuccessRatioRetryBudget
from mangospoke.shutdown import Shutdown
from mangospoke.verdicts import (
    RULES_BY_REFUSAL,
    Answered,
    Outcome,
    RefusalReason,
    Refused,
    Unanswered,
    Verdict,
)

CallExecutor = Callable[[Call], Awaitable[Outcome]]
"""Executes a call and returns its outcome."""

_MIN_TIME_FOR_RETRY_S = 0.005
"""Time left before a call's deadline below which it isn't retried."""

_REFUSALS_BY_UPSTREAM = frozenset(
    {RefusalReason.SHED_BY_UPSTREAM, RefusalReason.OTHER_INSTANCE}
)
"""Refusals by the upstream itself, as opposed to the guard in front of it."""


class Dispatcher:
    """Sends calls to upstreams on this and other hosts, and retries failed ones.

    Attributes:
        execute_by_key: Executes a call at the daemon that is responsible for its
            idempotency key.
    """

    def __init__(
        self,
        host_id: HostId,
        execute_locally: CallExecutor,
        peers: PeerConnectionPool,
        balancer: Balancer,
        ejector: Ejector,
        decisions: DecisionLog,
        retry_budget: RetryBudget | None = None,
        max_reroutes: int = 0,
        shutdown: Shutdown | None = None,
    ) -> None:
        """Initializes the dispatcher.

        Args:
            host_id: This host.
            execute_locally: Executes a call through this host's own guard.
            peers: Connections to the daemons of other hosts.
            balancer: Chooses upstreams.
            ejector: Ejects failing upstreams.
            decisions: Records decisions.
            retry_budget: Bounds retries by service; by default in proportion to the
                service's successes.
            max_reroutes: Times that a call may be sent to another upstream, in addition
                to its retries, after a guard refused it without sending it to its
                upstream.
            shutdown: The shutdown that interrupts calls at its end; by default, none
                does.
        """
        self._host_id = host_id
        self._execute_locally = execute_locally
        self._peers = peers
        self._balancer = balancer
        self._ejector = ejector
        self._retry_budget: RetryBudget = retry_budget or SuccessRatioRetryBudget()
        self._max_reroutes = max_reroutes
        self._shutdown = shutdown or Shutdown()
        self.execute_by_key: CallExecutor = self.execute_with_retries
        self._decisions = decisions

    async def dispatch_and_record(self, call: Call) -> Outcome:
        """Dispatches a call that entered the fleet here, and records its outcome."""
        try:
            outcome = await self._shutdown.execute(call, self.dispatch)
        except trio.Cancelled:
            self._decisions.record_cancellation(call)
            raise
        self._decisions.record_end(call, outcome)
        return outcome

    async def dispatch(self, call: Call) -> Outcome:
        """Executes a call.

        A call whose idempotency key may have been used before is executed by the daemon
        that is responsible for the key.
        """
        if call.key_use is KeyUse.CLAIM or call.key_use is KeyUse.LOOK_UP:
            return await self.execute_by_key(call)
        outcome = await self.execute_with_retries(call)
        if call.key_use is KeyUse.FIRST_SEND:
            _add_location_to_key(call, outcome)
        return outcome

    async def execute_with_retries(self, call: Call) -> Outcome:
        """Executes a call on an upstream and retries failed attempts on others.

        Once an attempt may have run, the outcome never says "not run", even if a later
        attempt was refused.
        """
        outcome = await self._try_upstreams(call)
        if isinstance(outcome, Refused) and call.earlier is not None:
            return call.earlier
        return outcome

    async def _try_upstreams(self, call: Call) -> Outcome:
        tried_hosts: set[HostId] = set()
        outcome: Outcome | None = None
        reroutes_left = self._max_reroutes
        while True:
            choice = self._balancer.choose(call.service, tried_hosts, call.route)
            if choice is None:
                return outcome or Refused(
                    RefusalReason.NO_UPSTREAM, "no upstream serves it"
                )
            if outcome is not None:
                if reroutes_left and _may_reroute(call, outcome):
                    reroutes_left -= 1
                elif not self._may_retry(call, outcome):
                    return outcome
            tried_hosts.add(choice.upstream.host_id)
            if isinstance(outcome, Unanswered):
                call.earlier = outcome
            if outcome is not None and _has_arrived(outcome):
                call.repetition = Repetition.RETRY
            call.send_status = SendStatus.UNSENT
            call.may_wait = not (
                reroutes_left
                and call.body.content is not None
                and self._balancer.has_choice(call.service, tried_hosts)
            )
            outcome = await self._attempt(call, choice)
            if isinstance(outcome, Answered):
                self._retry_budget.record_success(call.service)
                return outcome

    async def _attempt(self, call: Call, choice: UpstreamChoice) -> Outcome:
        upstream = choice.upstream
        self._decisions.record_routing(call, upstream.host_id)
        call.last_sent_to = (upstream.host_id, upstream.incarnation)
        self._ejector.record_send(upstream)
        sent_at = trio.current_time()
        try:
            outcome = await self.send(call, upstream)
        except trio.Cancelled:
            self._ejector.record_cancellation(upstream)
            _record_attempt(call, choice, sent_at, "cancelled")
            raise
        _record_attempt(call, choice, sent_at, reason_label(outcome))
        upstream_count = self._balancer.count_upstreams(call.service)
        if self._ejector.record_outcome(upstream, outcome, upstream_count):
            self._decisions.record_ejection(call.service, upstream.host_id, outcome)
        return outcome

    async def send(self, call: Call, upstream: UpstreamAnnounced) -> Outcome:
        """Executes a call once on an upstream, through the daemon on its host."""
        if upstream.host_id == self._host_id:
            return await self._execute_locally(call)
        # Half of the retries left stay here, for further sub-calls of the execution.
        retries = call.retries.take((call.retries.remaining + 1) // 2)
        return await self._peers.execute(upstream.peer_address, call, retries)

    def _may_retry(self, call: Call, outcome: Outcome) -> bool:
        if isinstance(outcome, Unanswered) and not call.idempotent:
            return False
        if not _can_resend(call, outcome):
            return False
        if call.retries.remaining < 1 or not self._retry_budget.try_spend(call.service):
            return False
        call.retries.take(1)
        return True


def _record_attempt(
    call: Call, choice: UpstreamChoice, sent_at: float, outcome: str
) -> None:
    now = trio.current_time()
    call.attempts.append(
        Attempt(
            host=choice.upstream.host_id,
            placed=choice.reason,
            outcome=outcome,
            after_ms=round((sent_at - call.entered_at) * 1000, 1),
            took_ms=round((now - sent_at) * 1000, 1),
        )
    )


def _has_arrived(outcome: Outcome) -> bool:
    """Returns whether a failed call may have arrived at its upstream."""
    return not isinstance(outcome, Refused) or outcome.reason in _REFUSALS_BY_UPSTREAM


def _may_reroute(call: Call, outcome: Outcome) -> bool:
    """Returns whether a call may be sent to another upstream without using a retry.

    It may if a guard refused it without sending it to its upstream.
    """
    if not isinstance(outcome, Refused) or outcome.reason in _REFUSALS_BY_UPSTREAM:
        return False
    return _can_resend(call, outcome)


def _can_resend(call: Call, outcome: Outcome) -> bool:
    """Returns whether a failed call can be sent again, regardless of any budget."""
    if isinstance(outcome, Refused) and not RULES_BY_REFUSAL[outcome.reason].retryable:
        return False
    if call.body.content is None:
        # A streamed body has already been consumed.
        return False
    return call.deadline - trio.current_time() >= _MIN_TIME_FOR_RETRY_S


def _add_location_to_key(call: Call, outcome: Outcome) -> None:
    """Adds to a call's idempotency key which daemon recorded the outcome.

    A caller that sends the key again is directed to that daemon.
    """
    if outcome.verdict is Verdict.NOT_RUN or call.last_sent_to is None:
        return
    assert call.idempotency_key is not None
    call.idempotency_key = add_record_location(call.idempotency_key, *call.last_sent_to)
