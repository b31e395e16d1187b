"""Sending of calls to whom their idempotency key concerns."""

from collections.abc import Awaitable, Callable

from mangospoke.calls import Call, KeyUse
from mangospoke.guard.claims import HostIncarnation
from mangospoke.guard.home_groups import ClaimGroups
from mangospoke.guard.idempotency_keys import split_located_key
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import FailureReason, Outcome, Unanswered

UpstreamSender = Callable[[Call, UpstreamAnnounced], Awaitable[Outcome]]
"""Has the daemon beside an upstream execute a call."""


class KeyHomes:
    """Finds the daemon that decides about a call's key, and sends the call there."""

    def __init__(self, fleet: Fleet, groups: ClaimGroups, send: UpstreamSender) -> None:
        self._fleet = fleet
        self._groups = groups
        self._send = send

    async def execute(self, call: Call) -> Outcome:
        """Has a call with a caller's own key, or a located one, executed."""
        if call.key_use is KeyUse.LOOK_UP:
            return await self._look_up(call)
        assert call.idempotency_key is not None
        domain = self._groups.domain_of(call.idempotency_key)
        home = (
            self._groups.coordinator(domain, call.idempotency_key) if domain else None
        )
        if home is None:
            detail = "no daemon of the key's failure domain is known"
            return Unanswered(FailureReason.EARLIER_ATTEMPT_UNKNOWN, detail)
        return await self._send(call, home)

    async def _look_up(self, call: Call) -> Outcome:
        assert call.idempotency_key is not None
        parts = split_located_key(call.idempotency_key)
        assert parts is not None
        located = call.idempotency_key
        call.idempotency_key = parts[0]
        try:
            return await self.ask_holder((parts[1], parts[2]), call)
        finally:
            call.idempotency_key = located

    async def ask_holder(self, life: HostIncarnation, call: Call) -> Outcome:
        """Asks the daemon that holds a key what became of it."""
        holder = self._find(life)
        if holder is None:
            detail = "the host that ran it, or was to run it, is gone"
            return Unanswered(FailureReason.EARLIER_ATTEMPT_UNKNOWN, detail)
        return await self._send(call, holder)

    def _find(self, life: HostIncarnation) -> UpstreamAnnounced | None:
        upstream = self._fleet.membership_state.upstreams_by_host.get(life[0])
        if upstream is None or upstream.incarnation != life[1]:
            return None
        return upstream
