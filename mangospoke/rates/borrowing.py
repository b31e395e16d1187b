"""Rate limiting by homes that lend tokens: waiting requests and messages.

The accounting of tokens is in `lending`, and who holds them in `homes`.
"""

from collections import deque
from collections.abc import Callable, Iterator, Sequence

import trio
from loguru import logger

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.control.interface import ControlChannel, ControlError
from mangospoke.control.messages import Message
from mangospoke.ids import ClientAccountId, HostId
from mangospoke.observability.status import TokenStatus
from mangospoke.rates.homes import HomeDirectory
from mangospoke.rates.lending import LendingShares
from mangospoke.rates.messages import BorrowTokens, TokenAmount, TokensLent
from mangospoke.rates.timing import read_clock
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import RefusalReason, Refused

_MAX_TICK_INTERVAL_S = 0.1
_IDLE_TICK_INTERVAL_S = 0.25
"""Longest time between ticks while requests wait for tokens, and while none does."""

_BATCH_DELAY_S = 0.003
"""Requests arrive in groups. The delay lets one message ask for the whole group."""

_MAX_HOMES_ASKED = 3
"""Homes that are asked in one round, one after the other, until one has enough."""

_MAX_RESERVES_ASKED = 3
_ASK_TIMEOUT_S = 0.1
_MAX_SILENT_HOMES = 2
"""Homes without an answer in one round after which only the reserve is asked."""

_SILENCE_S = 1.0
"""Time for which a host that didn't answer isn't asked again."""

_MAX_WAIT_S = 0.3
"""How long a request waits for a token, own or borrowed, before it is refused."""

_MAX_WAITING_REQUESTS = 16

_MIN_RETRY_AFTER_S = 0.1
"""A caller that returned at once would only ask for the same missing token again."""


class _Waiter:
    """A request that waits for a token.

    Attributes:
        decided: Set once a token has been taken for the request, or none will come.
        is_admitted: Whether a token has been taken for it.
    """

    __slots__ = ("account", "decided", "is_admitted")

    def __init__(self, account: EffectiveAccount) -> None:
        self.account = account
        self.decided = trio.Event()
        self.is_admitted = False


class BorrowedRates:
    """Admits requests for tokens of this host, and borrows missing ones from homes."""

    def __init__(
        self,
        host_id: HostId,
        fleet: Fleet,
        control: ControlChannel,
        homes: HomeDirectory,
        shares: LendingShares,
        clock: Callable[[], int] = read_clock,
    ) -> None:
        self._host_id = host_id
        self._fleet = fleet
        self._control = control
        self._homes = homes
        self._shares = shares
        self._clock = clock
        self._tokens_short = trio.Event()
        self._waiters_by_account: dict[ClientAccountId, deque[_Waiter]] = {}
        self._asking: set[ClientAccountId] = set()
        self._next_token_at_by_account: dict[ClientAccountId, float] = {}
        self._home_instead_by_account: dict[ClientAccountId, HostId] = {}
        self._silent_until_by_host: dict[HostId, float] = {}
        control.handlers_by_type[BorrowTokens] = self._lend
        # After the directory of homes, which computes the shares.
        fleet.membership_listeners.append(self._apply_shares)
        fleet.configuration_listeners.append(self._apply_shares)

    def _apply_shares(self) -> None:
        accounts_by_id = self._fleet.configuration.accounts_by_id
        self._shares.apply_shares(accounts_by_id, self._clock())

    async def admit(self, account: EffectiveAccount) -> Refused | None:
        """Takes one token of the account's rate, or refuses the request.

        Awaits nothing if there is a token.
        """
        now = self._clock()
        self._shares.arrived(account, now)
        waiters = self._waiters_by_account.get(account.account_id)
        if not waiters and self._shares.take_token(account, now):
            return None
        if not self._may_wait(account.account_id, waiters, now):
            return self._refuse(account, now)
        if await self._wait(account):
            return None
        return self._refuse(account, self._clock())

    def give_back(self, account: EffectiveAccount) -> None:
        """Returns the token of an admitted request that did not run."""
        self._shares.give_back(account, self._clock())

    def _may_wait(
        self, account_id: ClientAccountId, waiters: deque[_Waiter] | None, now: int
    ) -> bool:
        # If other hosts have nothing to lend, waiting would only delay the refusal.
        if not self._shares.may_borrow_soon(account_id, now):
            return False
        return not waiters or len(waiters) < _MAX_WAITING_REQUESTS

    async def _wait(self, account: EffectiveAccount) -> bool:
        """Queues the request and returns whether it got a token in time."""
        waiter = _Waiter(account)
        waiters = self._waiters_by_account.setdefault(account.account_id, deque())
        waiters.append(waiter)
        self._shares.change_waiting(account.account_id, 1)
        self._tokens_short.set()
        try:
            with trio.move_on_after(_MAX_WAIT_S):
                await waiter.decided.wait()
        finally:
            if not waiter.decided.is_set():
                waiters.remove(waiter)
                self._shares.change_waiting(account.account_id, -1)
        return waiter.is_admitted

    def _admit_waiters(self) -> None:
        """Admits waiting requests, oldest first, while there are tokens."""
        now = self._clock()
        for account_id, waiters in self._waiters_by_account.items():
            while waiters and self._shares.take_token(waiters[0].account, now):
                self._decide(account_id, waiters.popleft(), is_admitted=True)

    def _refuse_waiters(self, account_id: ClientAccountId) -> None:
        waiters = self._waiters_by_account.get(account_id)
        while waiters:
            self._decide(account_id, waiters.popleft(), is_admitted=False)

    def _decide(
        self, account_id: ClientAccountId, waiter: _Waiter, is_admitted: bool
    ) -> None:
        waiter.is_admitted = is_admitted
        waiter.decided.set()
        self._shares.change_waiting(account_id, -1)

    def _refuse(self, account: EffectiveAccount, now: int) -> Refused:
        status = self._shares.status(account.account_id, now)
        detail = (
            f"the account is over its rate of {account.rate}/s: {status.demand:.1f}/s "
            f"arrive at this host, {status.tokens:.2f} tokens are left here"
        )
        retry_after_s = self._next_token_s(account, now)
        if retry_after_s is None:
            retry_after_s = self._shares.next_round_s(account.account_id, now)
        retry_after_s = max(retry_after_s, _MIN_RETRY_AFTER_S)
        return Refused(RefusalReason.OVER_RATE, detail, retry_after_s)

    def _next_token_s(self, account: EffectiveAccount, now: int) -> float | None:
        """Returns when this host or a home that was asked earns a token, in seconds."""
        waits_s = []
        own_s = self._shares.next_token_s(account, now)
        if own_s is not None:
            waits_s.append(own_s)
        told_at = self._next_token_at_by_account.get(account.account_id)
        if told_at is not None and told_at > trio.current_time():
            waits_s.append(told_at - trio.current_time())
        return min(waits_s, default=None)

    async def _lend(self, request: BorrowTokens) -> Message:
        accounts_by_id = self._fleet.configuration.accounts_by_id
        now = self._clock()
        lent = self._shares.lend(request.wants, accounts_by_id, now, request.is_reserve)
        unlent = {want.account_id for want in request.wants}
        unlent -= {amount.account_id for amount in lent}
        waits_s = {
            account_id: self._shares.next_token_s(accounts_by_id[account_id], now)
            for account_id in unlent & accounts_by_id.keys()
        }
        homes = {
            account_id: self._homes.home_instead(accounts_by_id[account_id])
            for account_id, wait_s in waits_s.items()
            if wait_s is None and not request.is_reserve
        }
        return TokensLent(
            lent,
            {each: wait_s for each, wait_s in waits_s.items() if wait_s is not None},
            {each: home for each, home in homes.items() if home is not None},
        )

    def statuses(self) -> tuple[TokenStatus, ...]:
        """Returns tokens and demand of each account that this host has seen."""
        return self._shares.statuses(self._clock())

    async def run(self) -> None:
        """Borrows missing tokens and admits waiting requests, until it is cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(self._tick_interval_s()):
                    await self._tokens_short.wait()
                    await trio.sleep(_BATCH_DELAY_S)
                self._tokens_short = trio.Event()
                now = self._clock()
                self._shares.update_demand(now)
                self._admit_waiters()
                for account_id in self._shares.accounts_to_borrow(now):
                    if account_id not in self._asking:
                        self._asking.add(account_id)
                        nursery.start_soon(self._borrow, account_id)

    def _tick_interval_s(self) -> float:
        """Returns the time to the next tick: soon enough for the next token earned."""
        interval_s = _IDLE_TICK_INTERVAL_S
        now = self._clock()
        for waiters in self._waiters_by_account.values():
            if waiters:
                next_token_s = self._next_token_s(waiters[0].account, now)
                interval_s = min(
                    interval_s,
                    _MAX_TICK_INTERVAL_S,
                    max(next_token_s or 0.0, _BATCH_DELAY_S),
                )
        return interval_s

    async def _borrow(self, account_id: ClientAccountId) -> None:
        """Asks homes for an account's tokens, then the reserve, once each."""
        try:
            account = self._fleet.configuration.accounts_by_id.get(account_id)
            if account is not None:
                has_brought = await self._ask_homes(account)
                self._shares.record_round(account_id, has_brought, self._clock())
        finally:
            self._asking.discard(account_id)
        self._admit_waiters()
        if account is None or self._is_hopeless(account):
            self._refuse_waiters(account_id)
        elif self._waiters_by_account.get(account_id):
            self._tokens_short.set()

    def _is_hopeless(self, account: EffectiveAccount) -> bool:
        """Whether no token will come in the time that requests wait."""
        now = self._clock()
        if self._shares.may_borrow_soon(account.account_id, now):
            return False
        next_token_s = self._next_token_s(account, now)
        return next_token_s is None or next_token_s > _MAX_WAIT_S

    async def _ask_homes(self, account: EffectiveAccount) -> bool:
        """Asks homes until the shortage is met; returns whether one lent something."""
        has_brought = False
        silent_count = 0
        self._home_instead_by_account.pop(account.account_id, None)
        homes = list(self._homes.named.other_homes(account)[:_MAX_HOMES_ASKED])
        for host_id in self._with_homes_instead(account, homes):
            if silent_count == _MAX_SILENT_HOMES:
                break
            lent = await self._ask(host_id, account, is_reserve=False)
            if lent is None:
                silent_count += 1
                continue
            has_brought = has_brought or lent
            if self._shares.shortage_milli(account.account_id, self._clock()) <= 0:
                return True
        return has_brought or await self._ask_reserves(account, silent_count > 0)

    def _with_homes_instead(
        self, account: EffectiveAccount, homes: Sequence[HostId]
    ) -> Iterator[HostId]:
        """Yields homes, and after each one the home that it names in its place."""
        for host_id in homes:
            yield host_id
            instead = self._home_instead_by_account.pop(account.account_id, None)
            if instead is not None and instead not in (*homes, self._host_id):
                yield instead

    async def _ask_reserves(
        self, account: EffectiveAccount, has_silent_home: bool
    ) -> bool:
        """Asks the reserve of the own domain, and others if a home didn't answer."""
        reserves = self._homes.named.reserves(account)
        max_asked = _MAX_RESERVES_ASKED if has_silent_home else 1
        for host_id in reserves[:max_asked]:
            if host_id == self._host_id:
                has_brought = self._borrow_own_reserve(account)
            else:
                has_brought = bool(await self._ask(host_id, account, is_reserve=True))
            if has_brought:
                return True
        return False

    def _borrow_own_reserve(self, account: EffectiveAccount) -> bool:
        now = self._clock()
        accounts_by_id = {account.account_id: account}
        lent = self._shares.lend(
            self._wants(account), accounts_by_id, now, is_reserve=True
        )
        self._shares.borrow(lent, now)
        return bool(lent)

    def _wants(self, account: EffectiveAccount) -> tuple[TokenAmount, ...]:
        milli = self._shares.shortage_milli(account.account_id, self._clock())
        return (TokenAmount(account.account_id, milli),) if milli > 0 else ()

    async def _ask(
        self, host_id: HostId, account: EffectiveAccount, is_reserve: bool
    ) -> bool | None:
        """Asks one host; returns whether it lent something, None if it is silent."""
        if self._silent_until_by_host.get(host_id, 0.0) > trio.current_time():
            return None
        host = self._homes.named.host(host_id)
        wants = self._wants(account)
        if host is None or not wants:
            return False
        asked_at = self._clock()
        try:
            answer = await self._control.send_request(
                host.control_address,
                BorrowTokens(wants, is_reserve),
                TokensLent,
                _ASK_TIMEOUT_S,
            )
        except ControlError as error:
            logger.bind(event="tokens_unanswered", host=host_id).debug("{}", error)
            self._silent_until_by_host[host_id] = trio.current_time() + _SILENCE_S
            return None
        self._shares.borrow(answer.lent, asked_at)
        self._record_next_token(account, answer)
        self._home_instead_by_account.update(answer.home_by_account)
        self._admit_waiters()
        return bool(answer.lent)

    def _record_next_token(self, account: EffectiveAccount, answer: TokensLent) -> None:
        wait_s = answer.next_token_s.get(account.account_id)
        if wait_s is not None:
            now = trio.current_time()
            self._next_token_at_by_account[account.account_id] = now + wait_s
