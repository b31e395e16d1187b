"""Admission by lent shares: the tasks and messages around `lending`."""

from collections import deque
from collections.abc import Callable

import trio
from loguru import logger

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.control.interface import Control, ControlError
from mangospoke.control.messages import Message
from mangospoke.ids import ClientAccountId, HostId
from mangospoke.observability.status import TokenStatus
from mangospoke.rates.lending import LendingShares
from mangospoke.rates.messages import BorrowTokens, TokensLent
from mangospoke.rates.timing import read_clock
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import RefusalReason, Refused

_TICK_S = 0.1
_IDLE_TICK_S = 0.25
"""Time between two looks while requests wait for tokens, and while none does."""

_GATHERING_S = 0.005
"""Requests come in groups: the first must not ask alone for all."""

_HOSTS_ASKED = 3
_TIMEOUT_S = 0.25
_LONGEST_WAIT_S = 0.15
"""Time for which a request waits for a token that may be lent."""

_WAITING_REQUESTS = 16


class _Waiter:
    """A request that waits for a token.

    Attributes:
        admitted: Set once it has one.
    """

    __slots__ = ("account", "admitted")

    def __init__(self, account: EffectiveAccount) -> None:
        self.account = account
        self.admitted = trio.Event()


class BorrowedRates:
    """Takes requests out of this host's tokens, and borrows what is missing."""

    def __init__(
        self,
        host_id: HostId,
        fleet: Fleet,
        control: Control,
        shares: LendingShares,
        clock: Callable[[], int] = read_clock,
    ) -> None:
        self._host_id = host_id
        self._fleet = fleet
        self._control = control
        self._shares = shares
        self._clock = clock
        self._short = trio.Event()
        self._waiters_by_account: dict[ClientAccountId, deque[_Waiter]] = {}
        control.handlers_by_type[BorrowTokens] = self._lend

    async def admit(self, account: EffectiveAccount) -> Refused | None:
        """Takes one request out of the account's rate, or refuses it.

        Awaits nothing if there is a token.
        """
        now = self._clock()
        self._shares.arrived(account, now)
        waiters = self._waiters_by_account.get(account.account_id)
        if not waiters and self._shares.take(account, now):
            return None
        if self._shares.may_ask(account.account_id, now):
            self._short.set()
        if not self._may_wait(account.account_id, waiters):
            return self._refuse(account, now)
        if await self._wait(account):
            return None
        return self._refuse(account, self._clock())

    def give_back(self, account: EffectiveAccount) -> None:
        """Puts back the token of a request that was admitted and did not run."""
        self._shares.give_back(account, self._clock())

    def _may_wait(
        self, account_id: ClientAccountId, waiters: deque[_Waiter] | None
    ) -> bool:
        # Once questions bring nothing, waiting would only hold up the refusal.
        if not self._shares.may_be_lent(account_id):
            return False
        return not waiters or len(waiters) < _WAITING_REQUESTS

    async def _wait(self, account: EffectiveAccount) -> bool:
        """Waits in turn for a token and returns whether one came."""
        waiter = _Waiter(account)
        waiters = self._waiters_by_account.setdefault(account.account_id, deque())
        waiters.append(waiter)
        self._shares.waits(account.account_id, 1)
        try:
            with trio.move_on_after(_LONGEST_WAIT_S):
                await waiter.admitted.wait()
        finally:
            if not waiter.admitted.is_set():
                waiters.remove(waiter)
                self._shares.waits(account.account_id, -1)
        return waiter.admitted.is_set()

    def _admit_waiting(self) -> None:
        """Gives tokens to the requests that have waited longest."""
        now = self._clock()
        for account_id, waiters in self._waiters_by_account.items():
            while waiters and self._shares.take(waiters[0].account, now):
                waiters.popleft().admitted.set()
                self._shares.waits(account_id, -1)

    def _refuse(self, account: EffectiveAccount, now: int) -> Refused:
        self._shares.refuse(account.account_id)
        wait_s = self._shares.wait_s(account, now)
        status = self._shares.status(account.account_id, now)
        detail = (
            f"the account is over its rate of {account.rate}/s: {status.demand:.1f}/s "
            f"arrive at this host, {status.tokens:.2f} tokens are left here"
        )
        return Refused(RefusalReason.OVER_RATE, detail, wait_s)

    async def _lend(self, question: BorrowTokens) -> Message:
        accounts_by_id = self._fleet.configuration.accounts_by_id
        lent = self._shares.lend(question.wants, accounts_by_id, self._clock())
        return TokensLent(lent)

    def statuses(self) -> tuple[TokenStatus, ...]:
        """What this host has of each account that it has seen."""
        return self._shares.statuses(self._clock())

    async def run(self) -> None:
        """Asks other hosts for what is missing, until it is cancelled."""
        while True:
            with trio.move_on_after(self._tick_s()):
                self._short = trio.Event()
                await self._short.wait()
                await trio.sleep(_GATHERING_S)
            now = self._clock()
            self._shares.smooth(now)
            if self._shares.wants(now):
                await self._ask_around()
            self._admit_waiting()

    def _tick_s(self) -> float:
        """Time to the next look: soon enough for the next token that is earned."""
        longest_s = _IDLE_TICK_S
        now = self._clock()
        for waiters in self._waiters_by_account.values():
            if waiters:
                earned_s = self._shares.wait_s(waiters[0].account, now)
                longest_s = min(longest_s, _TICK_S, max(earned_s, _GATHERING_S))
        return longest_s

    async def _ask_around(self) -> None:
        hosts = self._fleet.other_hosts(self._host_id, _HOSTS_ASKED)
        asked_at = self._clock()
        wanted = self._shares.wants(asked_at, max(1, len(hosts)))
        question = BorrowTokens(wanted)
        lent: set[ClientAccountId] = set()
        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(
                    self._ask, host.control_address, question, asked_at, lent
                )
        self._shares.asked(wanted, lent, self._clock())

    async def _ask(
        self,
        address: str,
        question: BorrowTokens,
        asked_at: int,
        lent: set[ClientAccountId],
    ) -> None:
        try:
            answer = await self._control.ask(address, question, TokensLent, _TIMEOUT_S)
        except ControlError as error:
            logger.bind(event="tokens_unanswered").debug("{}", error)
            return
        lent.update(amount.account_id for amount in answer.lent)
        self._shares.borrow(answer.lent, asked_at)
        self._admit_waiting()
