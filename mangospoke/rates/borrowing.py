"""Rate limiting by equal shares with token lending: waiting requests and messages.

The accounting of tokens is in `lending`.
"""

from collections import deque
from collections.abc import Callable

import trio
from loguru import logger

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.control.interface import ControlChannel, ControlError
from mangospoke.control.messages import Message
from mangospoke.ids import ClientAccountId, HostId
from mangospoke.observability.status import TokenStatus
from mangospoke.rates.lending import LendingShares
from mangospoke.rates.messages import BorrowTokens, TokensLent
from mangospoke.rates.timing import read_clock
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import RefusalReason, Refused

_MAX_TICK_INTERVAL_S = 0.1
_IDLE_TICK_INTERVAL_S = 0.25
"""Longest time between ticks while requests wait for tokens, and while none does."""

_BATCH_DELAY_S = 0.005
"""Requests arrive in groups. The delay lets one message ask for the whole group."""

_HOSTS_ASKED = 3
_ASK_TIMEOUT_S = 0.25
_MAX_WAIT_S = 0.15
"""How long a request waits for a token, own or borrowed, before it is refused."""

_MAX_WAITING_REQUESTS = 16


class _Waiter:
    """A request that waits for a token.

    Attributes:
        admitted: Set once a token has been taken for the request.
    """

    __slots__ = ("account", "admitted")

    def __init__(self, account: EffectiveAccount) -> None:
        self.account = account
        self.admitted = trio.Event()


class BorrowedRates:
    """Admits requests for tokens of this host, and borrows missing ones from others."""

    def __init__(
        self,
        host_id: HostId,
        fleet: Fleet,
        control: ControlChannel,
        shares: LendingShares,
        clock: Callable[[], int] = read_clock,
    ) -> None:
        self._host_id = host_id
        self._fleet = fleet
        self._control = control
        self._shares = shares
        self._clock = clock
        self._tokens_short = trio.Event()
        self._waiters_by_account: dict[ClientAccountId, deque[_Waiter]] = {}
        control.handlers_by_type[BorrowTokens] = self._lend

    async def admit(self, account: EffectiveAccount) -> Refused | None:
        """Takes one token of the account's rate, or refuses the request.

        Awaits nothing if there is a token.
        """
        now = self._clock()
        self._shares.arrived(account, now)
        waiters = self._waiters_by_account.get(account.account_id)
        if not waiters and self._shares.take_token(account, now):
            return None
        if self._shares.may_ask(account.account_id, now):
            self._tokens_short.set()
        if not self._may_wait(account.account_id, waiters):
            return self._refuse(account, now)
        if await self._wait(account):
            return None
        return self._refuse(account, self._clock())

    def give_back(self, account: EffectiveAccount) -> None:
        """Returns the token of an admitted request that did not run."""
        self._shares.give_back(account, self._clock())

    def _may_wait(
        self, account_id: ClientAccountId, waiters: deque[_Waiter] | None
    ) -> bool:
        # If other hosts have nothing to lend, waiting would only delay the refusal.
        if not self._shares.may_borrow_soon(account_id):
            return False
        return not waiters or len(waiters) < _MAX_WAITING_REQUESTS

    async def _wait(self, account: EffectiveAccount) -> bool:
        """Queues the request and returns whether it got a token in time."""
        waiter = _Waiter(account)
        waiters = self._waiters_by_account.setdefault(account.account_id, deque())
        waiters.append(waiter)
        self._shares.change_waiting(account.account_id, 1)
        try:
            with trio.move_on_after(_MAX_WAIT_S):
                await waiter.admitted.wait()
        finally:
            if not waiter.admitted.is_set():
                waiters.remove(waiter)
                self._shares.change_waiting(account.account_id, -1)
        return waiter.admitted.is_set()

    def _admit_waiters(self) -> None:
        """Admits waiting requests, oldest first, while there are tokens."""
        now = self._clock()
        for account_id, waiters in self._waiters_by_account.items():
            while waiters and self._shares.take_token(waiters[0].account, now):
                waiters.popleft().admitted.set()
                self._shares.change_waiting(account_id, -1)

    def _refuse(self, account: EffectiveAccount, now: int) -> Refused:
        self._shares.count_refusal(account.account_id)
        retry_after_s = self._shares.next_token_s(account, now)
        status = self._shares.status(account.account_id, now)
        detail = (
            f"the account is over its rate of {account.rate}/s: {status.demand:.1f}/s "
            f"arrive at this host, {status.tokens:.2f} tokens are left here"
        )
        return Refused(RefusalReason.OVER_RATE, detail, retry_after_s)

    async def _lend(self, request: BorrowTokens) -> Message:
        accounts_by_id = self._fleet.configuration.accounts_by_id
        lent = self._shares.lend(request.wants, accounts_by_id, self._clock())
        return TokensLent(lent)

    def statuses(self) -> tuple[TokenStatus, ...]:
        """Returns tokens and demand of each account that this host has seen."""
        return self._shares.statuses(self._clock())

    async def run(self) -> None:
        """Borrows missing tokens and admits waiting requests, until it is cancelled."""
        while True:
            with trio.move_on_after(self._tick_interval_s()):
                self._tokens_short = trio.Event()
                await self._tokens_short.wait()
                await trio.sleep(_BATCH_DELAY_S)
            now = self._clock()
            self._shares.update_demand(now)
            if self._shares.tokens_to_borrow(now):
                await self._borrow_once()
            self._admit_waiters()

    def _tick_interval_s(self) -> float:
        """Returns the time to the next tick: soon enough for the next token earned."""
        interval_s = _IDLE_TICK_INTERVAL_S
        now = self._clock()
        for waiters in self._waiters_by_account.values():
            if waiters:
                next_token_s = self._shares.next_token_s(waiters[0].account, now)
                interval_s = min(
                    interval_s, _MAX_TICK_INTERVAL_S, max(next_token_s, _BATCH_DELAY_S)
                )
        return interval_s

    async def _borrow_once(self) -> None:
        hosts = self._fleet.sample_other_hosts(self._host_id, _HOSTS_ASKED)
        asked_at = self._clock()
        wanted = self._shares.tokens_to_borrow(asked_at, max(1, len(hosts)))
        request = BorrowTokens(wanted)
        lent: set[ClientAccountId] = set()
        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(
                    self._borrow_from, host.control_address, request, asked_at, lent
                )
        self._shares.record_round(wanted, lent, self._clock())

    async def _borrow_from(
        self,
        address: str,
        request: BorrowTokens,
        asked_at: int,
        lent: set[ClientAccountId],
    ) -> None:
        try:
            answer = await self._control.send_request(
                address, request, TokensLent, _ASK_TIMEOUT_S
            )
        except ControlError as error:
            logger.bind(event="tokens_unanswered").debug("{}", error)
            return
        lent.update(amount.account_id for amount in answer.lent)
        self._shares.borrow(answer.lent, asked_at)
        self._admit_waiters()
