"""Admission of requests at this host, by the tokens it holds of each account."""

from collections import defaultdict
from collections.abc import Callable

import trio

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.ids import ClientAccountId
from mangospoke.rates.holder import AccountState, Holder
from mangospoke.rates.timing import NS_PER_S
from mangospoke.verdicts import RefusalReason, Refused

_MAX_WAIT_S = 0.5
"""How long a request waits for a token before it is refused."""

_MAX_WAITING_REQUESTS = 32
"""Requests of one account that may wait at this host; more are refused at once."""


class Admission:
    """Admits a request for a token of its account, or queues it for a short time.

    Args:
        holder: What this host holds.
        read_clock: Returns nanoseconds, as `timing.read_clock` does.
        request_grants_soon: Called when a request has to wait.
    """

    def __init__(
        self,
        holder: Holder,
        read_clock: Callable[[], int],
        request_grants_soon: Callable[[], None],
    ) -> None:
        self._holder = holder
        self._read_clock = read_clock
        self._request_grants_soon = request_grants_soon
        self._grants_changed = trio.Event()
        # Trio's locks are fair, so requests get tokens in the order of their arrival.
        self._queue_locks_by_account: defaultdict[ClientAccountId, trio.Lock] = (
            defaultdict(trio.Lock)
        )

    def notify_grants_changed(self) -> None:
        """Wakes waiting requests after an answer from the grantor was applied."""
        changed, self._grants_changed = self._grants_changed, trio.Event()
        changed.set()

    async def admit(self, account: EffectiveAccount) -> Refused | None:
        """Takes one token of the account's rate, or refuses the request.

        Awaits nothing if there is a token.
        """
        now = self._read_clock()
        state = self._holder.arrived(account.account_id, now)
        if state.waiting == 0 and self._holder.take_token(state, now):
            return None
        if state.waiting >= _MAX_WAITING_REQUESTS:
            return self._refuse(state)
        return await self._wait(account.account_id, state)

    def _refuse(self, state: AccountState) -> Refused:
        state.refused += 1
        return Refused(RefusalReason.OVER_RATE, "the account is over its rate")

    async def _wait(
        self, account_id: ClientAccountId, state: AccountState
    ) -> Refused | None:
        state.waiting += 1
        self._request_grants_soon()
        try:
            with trio.move_on_after(_MAX_WAIT_S):
                async with self._queue_locks_by_account[account_id]:
                    await self._wait_for_token(state)
                    return None
        finally:
            state.waiting -= 1
        return self._refuse(state)

    async def _wait_for_token(self, state: AccountState) -> None:
        while True:
            now = self._read_clock()
            if self._holder.take_token(state, now):
                return
            wait_ns = state.bucket.wait_ns(now)
            wait_s = _MAX_WAIT_S if wait_ns is None else wait_ns / NS_PER_S
            with trio.move_on_after(max(0.001, wait_s)):
                await self._grants_changed.wait()
