"""The way of a call to an upstream and back, with retries."""

from collections.abc import Awaitable, Callable

import trio

from mangospoke.calls import Call, KeyUse, Progress
from mangospoke.guard.idempotency_keys import add_record_location
from mangospoke.ids import HostId
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.observability.decisions import DecisionLog, reason_of
from mangospoke.observability.events import Attempt
from mangospoke.peers.client import PeerPool
from mangospoke.routing.balancer import Balancer, Choice
from mangospoke.routing.ejection import Ejector
from mangospoke.routing.retries import Budgets, RetryBudgets
from mangospoke.verdicts import (
    RULES_BY_REFUSAL,
    Answered,
    Outcome,
    RefusalReason,
    Refused,
    Unanswered,
    Verdict,
)

LocalExecutor = Callable[[Call], Awaitable[Outcome]]

_LEAST_TIME_FOR_RETRY_S = 0.005

_SEEN_BY_UPSTREAM = frozenset(
    {RefusalReason.SHED_BY_UPSTREAM, RefusalReason.OTHER_INSTANCE}
)
"""Refusals that came from the upstream itself."""


class Dispatcher:
    """Sends calls to upstreams, this host's own or another's.

    Attributes:
        execute_at_home: Sends a call to whom its idempotency key concerns.
    """

    def __init__(
        self,
        host_id: HostId,
        execute_locally: LocalExecutor,
        peers: PeerPool,
        balancer: Balancer,
        ejector: Ejector,
        decisions: DecisionLog,
        budgets: Budgets | None = None,
        replacements: int = 0,
    ) -> None:
        """Makes a dispatcher.

        Args:
            host_id: This host.
            execute_locally: Has this host's own guard execute a call.
            peers: The daemons of other hosts.
            balancer: Chooses upstreams.
            ejector: Keeps failing upstreams out.
            decisions: Where decisions are recorded.
            budgets: Bounds retries by service; those of the product by default.
            replacements: Times that a call may be placed anew, beside its retries,
                after a guard refused it without sending it to its upstream.
        """
        self._host_id = host_id
        self._execute_locally = execute_locally
        self._peers = peers
        self._balancer = balancer
        self._ejector = ejector
        self._budgets: Budgets = budgets or RetryBudgets()
        self._replacements = replacements
        self.execute_at_home: LocalExecutor = self.run_anywhere
        self._decisions = decisions

    async def dispatch_recorded(self, call: Call) -> Outcome:
        """Dispatches a call where it entered, and records how it ended."""
        try:
            outcome = await self.dispatch(call)
        except trio.Cancelled:
            self._decisions.cancelled(call)
            raise
        self._decisions.ended(call, outcome)
        return outcome

    async def dispatch(self, call: Call) -> Outcome:
        """Runs a call, at the home of its idempotency key if it has one."""
        if call.key_use is KeyUse.CLAIM or call.key_use is KeyUse.LOOK_UP:
            return await self.execute_at_home(call)
        outcome = await self.run_anywhere(call)
        if call.key_use is KeyUse.FIRST_SEND:
            _locate_record(call, outcome)
        return outcome

    async def run_anywhere(self, call: Call) -> Outcome:
        """Runs a call on an upstream, on another after a failure that allows it.

        If an attempt may have run, no refusal of a later one says "not run".
        """
        outcome = await self._run_anywhere(call)
        if isinstance(outcome, Refused) and call.earlier is not None:
            return call.earlier
        return outcome

    async def _run_anywhere(self, call: Call) -> Outcome:
        tried: set[HostId] = set()
        outcome: Outcome | None = None
        replacements = self._replacements
        while True:
            choice = self._balancer.choose(call.service, tried)
            if choice is None:
                return outcome or Refused(
                    RefusalReason.NO_UPSTREAM, "no upstream serves it"
                )
            if outcome is not None:
                if replacements and _may_place_anew(call, outcome):
                    replacements -= 1
                elif not self._may_retry(call, outcome):
                    return outcome
            tried.add(choice.upstream.host_id)
            if isinstance(outcome, Unanswered):
                call.earlier = outcome
            call.progress = Progress.UNSENT
            outcome = await self._attempt(call, choice)
            if isinstance(outcome, Answered):
                self._budgets.earn(call.service)
                return outcome

    async def _attempt(self, call: Call, choice: Choice) -> Outcome:
        upstream = choice.upstream
        self._decisions.routed_to(call, upstream.host_id)
        call.sent_to = (upstream.host_id, upstream.incarnation)
        self._ejector.sending(upstream)
        sent_at = trio.current_time()
        try:
            outcome = await self.send(call, upstream)
        except trio.Cancelled:
            self._ejector.cancelled(upstream)
            _note_attempt(call, choice, sent_at, "cancelled")
            raise
        _note_attempt(call, choice, sent_at, reason_of(outcome))
        known = self._balancer.count(call.service)
        if self._ejector.observe(upstream, outcome, known):
            self._decisions.ejected(call.service, upstream.host_id, outcome)
        return outcome

    async def send(self, call: Call, upstream: UpstreamAnnounced) -> Outcome:
        """Has the daemon beside an upstream execute a call, once."""
        if upstream.host_id == self._host_id:
            return await self._execute_locally(call)
        # Half of what is left stays here, for the execution's other calls.
        retries = call.retries.take((call.retries.remaining + 1) // 2)
        return await self._peers.execute(upstream.peer_address, call, retries)

    def _may_retry(self, call: Call, outcome: Outcome) -> bool:
        if isinstance(outcome, Unanswered) and not call.idempotent:
            return False
        if not _can_run_again(call, outcome):
            return False
        if call.retries.remaining < 1 or not self._budgets.spend(call.service):
            return False
        call.retries.take(1)
        return True


def _note_attempt(call: Call, choice: Choice, sent_at: float, outcome: str) -> None:
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


def _may_place_anew(call: Call, outcome: Outcome) -> bool:
    """Whether a guard kept a call from its upstream, so that it costs no retry."""
    if not isinstance(outcome, Refused) or outcome.reason in _SEEN_BY_UPSTREAM:
        return False
    return _can_run_again(call, outcome)


def _can_run_again(call: Call, outcome: Outcome) -> bool:
    if isinstance(outcome, Refused) and not RULES_BY_REFUSAL[outcome.reason].retryable:
        return False
    if call.body.content is None:
        # A streamed body has been read and can't be sent again.
        return False
    return call.deadline - trio.current_time() >= _LEAST_TIME_FOR_RETRY_S


def _locate_record(call: Call, outcome: Outcome) -> None:
    """Tells the caller, in the key, where to learn what became of its request."""
    if outcome.verdict is Verdict.NOT_RUN or call.sent_to is None:
        return
    assert call.idempotency_key is not None
    call.idempotency_key = add_record_location(call.idempotency_key, *call.sent_to)
