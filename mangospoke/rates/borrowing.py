"""Admission by lent shares: the tasks and messages around `lending`."""

import random
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
_LONGEST_TICK_S = 0.4
"""Time between questions; the longest after several that brought nothing."""

_HOSTS_ASKED = 3
_TIMEOUT_S = 0.25
_LONGEST_WAIT_S = 0.15
"""Time for which a request waits for a token that may be lent."""

_WAITING_REQUESTS = 16


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
        self._lent = trio.Event()
        self._short = trio.Event()
        self._tick_s = _TICK_S
        control.handlers_by_type[BorrowTokens] = self._lend

    async def admit(self, account: EffectiveAccount) -> Refused | None:
        """Takes one request out of the account's rate, or refuses it.

        Awaits nothing if there is a token.
        """
        now = self._clock()
        self._shares.arrived(account, now)
        if self._shares.take(account, now):
            return None
        self._short.set()
        if not self._may_wait(account.account_id):
            return self._refuse(account, now)
        with trio.move_on_after(_LONGEST_WAIT_S):
            await self._wait(account)
            return None
        return self._refuse(account, self._clock())

    def _may_wait(self, account_id: ClientAccountId) -> bool:
        # Once questions bring nothing, waiting would only hold up the refusal.
        if self._tick_s > 2 * _TICK_S:
            return False
        return self._shares.waits(account_id, 0) < _WAITING_REQUESTS

    async def _wait(self, account: EffectiveAccount) -> None:
        self._shares.waits(account.account_id, 1)
        try:
            while not self._shares.take(account, self._clock()):
                with trio.move_on_after(_TICK_S):
                    await self._lent.wait()
        finally:
            self._shares.waits(account.account_id, -1)

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
            with trio.move_on_after(self._tick_s):
                self._short = trio.Event()
                await self._short.wait()
                # Requests come in groups: the first must not ask alone for all.
                await trio.sleep(_TICK_S / 20)
            now = self._clock()
            self._shares.smooth(now)
            if self._shares.wants(now):
                await self._ask_around()
            else:
                self._tick_s = _TICK_S

    async def _ask_around(self) -> None:
        hosts = [
            host
            for host in self._fleet.upstreams_by_host.values()
            if host.host_id != self._host_id
        ]
        answers: list[TokensLent] = []
        asked = random.sample(hosts, min(_HOSTS_ASKED, len(hosts)))
        async with trio.open_nursery() as nursery:
            for host in asked:
                nursery.start_soon(self._ask, host.control_address, len(asked), answers)
        self._shares.asked()
        if any(answer.lent for answer in answers):
            self._tick_s = _TICK_S
        else:
            self._tick_s = min(2 * self._tick_s, _LONGEST_TICK_S)

    async def _ask(self, address: str, parts: int, answers: list[TokensLent]) -> None:
        asked_at = self._clock()
        question = BorrowTokens(self._shares.wants(asked_at, parts))
        try:
            answer = await self._control.ask(address, question, TokensLent, _TIMEOUT_S)
        except ControlError as error:
            logger.bind(event="tokens_unanswered").debug("{}", error)
            return
        answers.append(answer)
        self._shares.borrow(answer.lent, asked_at)
        lent, self._lent = self._lent, trio.Event()
        lent.set()
