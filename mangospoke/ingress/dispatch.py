"""Dispatch of calls to upstreams, with retries."""

from collections.abc import Awaitable, Callable, Collection

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
    FailureReason,
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


_ABANDONED = Unanswered(FailureReason.PEER_SILENT, "nothing reaches its failure domain")
_ABANDONED_UNSENT = Refused(
    RefusalReason.PEER_UNREACHABLE, "nothing reaches its failure domain"
)


class _CallInFlight:
    """A call that another daemon was sent and hasn't answered.

    Attributes:
        granted_retries: Retries that the other daemon may spend.
        returned_retries: Those of them that were taken back as it was given up.
        scope: Cancelled to give it up.
    """

    __slots__ = ("call", "granted_retries", "host_id", "returned_retries", "scope")

    def __init__(self, call: Call, host_id: HostId, granted_retries: int) -> None:
        self.call = call
        self.host_id = host_id
        self.granted_retries = granted_retries
        self.returned_retries = 0
        self.scope = trio.CancelScope()


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
        *,
        peers_retry: bool = True,
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
            peers_retry: Whether other daemons may spend the retries granted to them.
        """
        self._peers_retry = peers_retry
        self._calls_in_flight: set[_CallInFlight] = set()
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
                if call.has_paid_retry:
                    call.has_paid_retry = False
                elif reroutes_left and _may_reroute(call, outcome):
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
        if outcome is _ABANDONED or outcome is _ABANDONED_UNSENT:
            # It says nothing about this upstream: the way to its domain is cut.
            self._ejector.record_cancellation(upstream)
            return outcome
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
        in_flight = _CallInFlight(call, upstream.host_id, retries)
        self._calls_in_flight.add(in_flight)
        try:
            with in_flight.scope:
                outcome = await self._peers.execute(
                    upstream.peer_address, call, retries
                )
                if in_flight.scope.cancel_called:
                    # Its response came at the same moment, with these retries.
                    call.retries.take(in_flight.returned_retries)
                return outcome
        finally:
            self._calls_in_flight.discard(in_flight)
        if call.send_status is SendStatus.UNSENT:
            return _ABANDONED_UNSENT
        return _ABANDONED

    def abandon_calls(self, host_ids: Collection[HostId]) -> int:
        """Gives up calls to hosts that fell silent, where they can run elsewhere.

        Those that may have run are given up only if they are idempotent and there is a
        retry left for them. All others go on waiting: the way may come back in time.

        Returns:
            How many were given up.
        """
        silent_ids = set(host_ids)
        abandoned = [
            each
            for each in self._calls_in_flight
            if each.host_id in silent_ids and self._may_abandon(each)
        ]
        for in_flight in abandoned:
            in_flight.scope.cancel()
        return len(abandoned)

    def _may_abandon(self, in_flight: _CallInFlight) -> bool:
        """Decides whether to give up a call, and takes the retry that it then needs."""
        call = in_flight.call
        tried_hosts = {in_flight.host_id} | {
            HostId(each.host) for each in call.attempts
        }
        if not self._balancer.has_choice(call.service, tried_hosts):
            return False
        is_unsent = call.send_status is SendStatus.UNSENT
        if is_unsent or not self._peers_retry:
            in_flight.returned_retries = in_flight.granted_retries
            call.retries.return_unused(in_flight.returned_retries)
        if is_unsent:
            may_abandon = _can_resend(call, _ABANDONED_UNSENT)
        else:
            may_abandon = self._may_retry(call, _ABANDONED)
            call.has_paid_retry = may_abandon
        if not may_abandon:
            call.retries.take(in_flight.returned_retries)
        return may_abandon

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
