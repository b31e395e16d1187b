"""Routing of calls to the daemon that is responsible for their idempotency key."""

from collections.abc import Awaitable, Callable

from mangospoke.calls import Call, KeyUse
from mangospoke.guard.claims import HostIncarnation
from mangospoke.guard.home_groups import ClaimGroups
from mangospoke.guard.idempotency_keys import split_located_key
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import FailureReason, Outcome, Unanswered

UpstreamSender = Callable[[Call, UpstreamAnnounced], Awaitable[Outcome]]
"""Executes a call on an upstream, through the daemon on its host."""


class IdempotencyKeyRouter:
    """Sends a call to the daemon that is responsible for its idempotency key.

    For a key chosen by the caller, that is the coordinator of its claims, which decides
    whether the key has been used. For a key that names the location of its record, it
    is the daemon that holds the record.
    """

    def __init__(self, fleet: Fleet, groups: ClaimGroups, send: UpstreamSender) -> None:
        self._fleet = fleet
        self._groups = groups
        self._send = send

    async def execute(self, call: Call) -> Outcome:
        """Executes a call whose key was chosen by the caller or names its record."""
        if call.key_use is KeyUse.LOOK_UP:
            return await self._look_up(call)
        assert call.idempotency_key is not None
        domain = self._groups.domain_of(call.idempotency_key)
        coordinator = (
            self._groups.coordinator(domain, call.idempotency_key) if domain else None
        )
        if coordinator is None:
            detail = "no daemon of the key's failure domain is known"
            return Unanswered(FailureReason.EARLIER_ATTEMPT_UNKNOWN, detail)
        return await self._send(call, coordinator)

    async def _look_up(self, call: Call) -> Outcome:
        assert call.idempotency_key is not None
        key_and_location = split_located_key(call.idempotency_key)
        assert key_and_location is not None
        located_key = call.idempotency_key
        call.idempotency_key = key_and_location[0]
        try:
            return await self.ask_holder(
                (key_and_location[1], key_and_location[2]), call
            )
        finally:
            call.idempotency_key = located_key

    async def ask_holder(
        self, host_incarnation: HostIncarnation, call: Call
    ) -> Outcome:
        """Sends a call to the daemon that holds the record of its key.

        Args:
            host_incarnation: Host and incarnation of that daemon.
            call: The call.
        """
        holder = self._find_upstream(host_incarnation)
        if holder is None:
            detail = "the host that ran it, or was to run it, is gone"
            return Unanswered(FailureReason.EARLIER_ATTEMPT_UNKNOWN, detail)
        return await self._send(call, holder)

    def _find_upstream(
        self, host_incarnation: HostIncarnation
    ) -> UpstreamAnnounced | None:
        upstream = self._fleet.membership_state.upstreams_by_host.get(
            host_incarnation[0]
        )
        if upstream is None or upstream.incarnation != host_incarnation[1]:
            return None
        return upstream
