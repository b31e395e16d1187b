"""What a host holds of each account's tokens, and what hosts lend each other.

An account's tokens are held by its homes (`homes`), and its requests enter anywhere. A
host that runs short asks homes for tokens, and what they lend is taken out of their
buckets. The sum over all hosts never grows, no matter how much each host knows of the
fleet or which messages are lost. Borrowed tokens expire soon, except for what then
fits into the borrower's own bucket.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.ids import ClientAccountId
from mangospoke.observability.status import TokenStatus
from mangospoke.rates.bucket import TokenBucket
from mangospoke.rates.homes import BORROWED_LIFETIME_S, HeldShare
from mangospoke.rates.messages import TokenAmount
from mangospoke.rates.timing import NS_PER_MS, NS_PER_S
from mangospoke.rates.units import MILLI
from mangospoke.rates.window import WindowAllowance

BORROWED_LIFETIME_NS = int(BORROWED_LIFETIME_S * NS_PER_S)

_DEMAND_HORIZON_NS = 250 * NS_PER_MS
"""A host keeps, or borrows, the tokens that its demand will take within this time."""

_DEMAND_TIME_CONSTANT_NS = 500 * NS_PER_MS
"""Time constant of the exponential moving average of an account's demand."""

_IDLE_TIMEOUT_NS = 5 * NS_PER_S
"""Nothing is borrowed for an account without requests for this long."""

_MIN_ASK_INTERVAL_NS = 90 * NS_PER_MS
_MAX_ASK_INTERVAL_NS = 800 * NS_PER_MS
"""Interval after a round that brought nothing. It doubles with each one in a row, since
then the whole fleet is short of the account's tokens."""

_MAX_EMPTY_ROUNDS = 2
"""After this many rounds in a row that brought nothing, callers' requests wait for a
token only once the next round is due."""


class _AccountState:
    """What this host holds of one account, and the demand it measures.

    Attributes:
        share: What this host holds of the account.
        bucket: The tokens of that share.
        reserve: Tokens of the allowed excess that this host may hand out.
        left_milli: What was left of the tokens when this host ceased to be a home.
        borrowed: Expiry time and millitokens of each loan, oldest first.
        arrivals: Requests that arrived since `demand` was last updated.
        demand: Moving average of arrivals, in requests per second.
        waiting: Requests that wait for a token now.
        empty_rounds: Rounds of asking in a row that brought nothing.
        next_ask_at: When other hosts may be asked again.
    """

    __slots__ = (
        "arrivals",
        "borrowed",
        "bucket",
        "demand",
        "empty_rounds",
        "last_arrival",
        "left_milli",
        "next_ask_at",
        "reserve",
        "share",
        "waiting",
    )

    def __init__(self, share: HeldShare, now: int) -> None:
        self.share = share
        since = share.earning_since
        self.bucket = TokenBucket(since, share.rate, share.burst)
        self.reserve = _make_reserve(share)
        self.left_milli = 0
        self.borrowed: deque[tuple[int, int]] = deque()
        self.arrivals = 0
        self.demand = 0.0
        self.last_arrival = now
        self.waiting = 0
        self.empty_rounds = 0
        self.next_ask_at = now

    def change_share(self, share: HeldShare, now: int) -> None:
        """Holds another share from now on; a new home starts without tokens."""
        before, self.share = self.share, share
        if before.rate and not share.rate:
            self.left_milli = self.bucket.level(now)
        if before.rate and share.rate and before.earning_since == share.earning_since:
            self.bucket.resize(now, share.rate, share.burst)
        else:
            self.bucket = TokenBucket(share.earning_since, share.rate, share.burst)
        if before.reserve and before.reserve_since == share.reserve_since:
            self.reserve.count = share.reserve
        else:
            self.reserve = _make_reserve(share)

    def borrowed_milli(self, now: int) -> int:
        """Returns the borrowed millitokens that have not expired."""
        while self.borrowed and self.borrowed[0][0] <= now:
            # What fits into the own bucket is kept, as if it had been earned here.
            self.bucket.add(now, self.borrowed.popleft()[1])
        return sum(milli for _, milli in self.borrowed)

    def level(self, now: int) -> int:
        """Returns the millitokens that may be used now, own and borrowed."""
        borrowed = self.borrowed_milli(now)
        return borrowed + self.bucket.level(now)

    def take_token(self, now: int) -> bool:
        """Takes one token, oldest loans first, and returns whether there was one."""
        if self.level(now) < MILLI:
            return False
        missing = MILLI
        while missing and self.borrowed:
            expires_at, milli = self.borrowed.popleft()
            if milli > missing:
                self.borrowed.appendleft((expires_at, milli - missing))
                return True
            missing -= milli
        self.bucket.drain(now, missing)
        return True

    def lend_own(self, wanted_milli: int, now: int) -> int:
        """Takes out what another host lacks and this one doesn't need soon."""
        spare = self.bucket.level(now) - self.expected_use_milli()
        if spare < wanted_milli:
            # The borrower couldn't use a part of a token in time.
            spare -= spare % MILLI
        return self.bucket.drain(now, min(wanted_milli, spare))

    def expected_use_milli(self) -> int:
        """Returns the millitokens that the demand will take within the horizon."""
        return int(self.demand * _DEMAND_HORIZON_NS / NS_PER_S * MILLI)


def _make_reserve(share: HeldShare) -> WindowAllowance:
    return WindowAllowance(share.reserve_since, share.reserve, share.reserve_window_ns)


class LendingShares:
    """This host's share and borrowed tokens of all accounts.

    Every `now` is in nanoseconds of a clock that doesn't stop while the host is
    suspended.

    Args:
        read_share: Returns what this host holds of an account; the same object as long
            as nothing changes.
        now: The current time.
    """

    def __init__(
        self, read_share: Callable[[EffectiveAccount], HeldShare], now: int
    ) -> None:
        self._read_share = read_share
        self._demand_updated_at = now
        self._accounts_by_id: dict[ClientAccountId, _AccountState] = {}

    def apply_shares(
        self, accounts_by_id: Mapping[ClientAccountId, EffectiveAccount], now: int
    ) -> None:
        """Applies changed shares of the accounts of which this host holds something.

        A share that is lost must end at once, also if nobody asks for it: it may come
        back, and must not have earned in the meantime.
        """
        for account_id, state in self._accounts_by_id.items():
            account = accounts_by_id.get(account_id)
            if account is not None and (state.share.rate or state.share.reserve):
                self._current_state(account, now)

    def arrived(self, account: EffectiveAccount, now: int) -> None:
        """Counts an arriving request of an account."""
        state = self._current_state(account, now)
        state.arrivals += 1
        state.last_arrival = now

    def take_token(self, account: EffectiveAccount, now: int) -> bool:
        """Takes one token and returns whether there was one."""
        return self._current_state(account, now).take_token(now)

    def give_back(self, account: EffectiveAccount, now: int) -> None:
        """Returns the token of an admitted request that did not run."""
        self._current_state(account, now).bucket.add(now, MILLI)

    def take_left(self, account_id: ClientAccountId) -> int:
        """Takes out the millitokens that were left when this host ceased to be a home.

        The next home gets them, once.
        """
        state = self._accounts_by_id.get(account_id)
        if state is None:
            return 0
        left_milli, state.left_milli = state.left_milli, 0
        return left_milli

    def put(self, account: EffectiveAccount, milli: int, now: int) -> None:
        """Adds the millitokens that an earlier home had left."""
        self._current_state(account, now).bucket.add(now, milli)

    def may_ask(self, account_id: ClientAccountId, now: int) -> bool:
        """Whether other hosts may be asked for the account's tokens now."""
        return now >= self._accounts_by_id[account_id].next_ask_at

    def may_borrow_soon(self, account_id: ClientAccountId, now: int) -> bool:
        """Whether other hosts are likely to lend a token of the account soon."""
        state = self._accounts_by_id[account_id]
        return state.empty_rounds < _MAX_EMPTY_ROUNDS or now >= state.next_ask_at

    def next_round_s(self, account_id: ClientAccountId, now: int) -> float:
        """Returns the seconds until other hosts may be asked again; 0 if at once."""
        return max(0, self._accounts_by_id[account_id].next_ask_at - now) / NS_PER_S

    def record_round(
        self, account_id: ClientAccountId, has_brought: bool, now: int
    ) -> None:
        """Records that other hosts were asked, and schedules the next time.

        Args:
            account_id: The account whose tokens they were asked for.
            has_brought: Whether they lent something.
            now: The current time.
        """
        state = self._accounts_by_id[account_id]
        if has_brought:
            state.empty_rounds = 0
            state.next_ask_at = now
            return
        interval_ns = _MIN_ASK_INTERVAL_NS << min(state.empty_rounds, 8)
        state.empty_rounds += 1
        state.next_ask_at = now + min(interval_ns, _MAX_ASK_INTERVAL_NS)

    def next_token_s(self, account: EffectiveAccount, now: int) -> float | None:
        """Returns the seconds until the own share earns a token; None if never."""
        wait_ns = self._current_state(account, now).bucket.wait_ns(now)
        return None if wait_ns is None else wait_ns / NS_PER_S

    def change_waiting(self, account_id: ClientAccountId, change: int) -> None:
        """Adds to the number of the account's requests that wait for a token."""
        self._accounts_by_id[account_id].waiting += change

    def _current_state(self, account: EffectiveAccount, now: int) -> _AccountState:
        """Returns the account's state with the buckets of the current share."""
        share = self._read_share(account)
        state = self._accounts_by_id.get(account.account_id)
        if state is None:
            state = self._accounts_by_id[account.account_id] = _AccountState(share, now)
        elif state.share is not share:
            state.change_share(share, now)
        return state

    def statuses(self, now: int) -> tuple[TokenStatus, ...]:
        """Returns tokens and demand of each account that this host has seen."""
        return tuple(
            self.status(account_id, now) for account_id in self._accounts_by_id
        )

    def status(self, account_id: ClientAccountId, now: int) -> TokenStatus:
        """Returns tokens and demand of an account that this host has seen."""
        state = self._accounts_by_id[account_id]
        return TokenStatus(account_id, state.level(now) / MILLI, state.demand)

    def update_demand(self, now: int) -> None:
        """Adds the arrivals since the last update to the moving averages."""
        elapsed_ns = now - self._demand_updated_at
        if elapsed_ns <= 0:
            return
        self._demand_updated_at = now
        weight = 1 - math.exp(-elapsed_ns / _DEMAND_TIME_CONSTANT_NS)
        for state in self._accounts_by_id.values():
            measured = state.arrivals * NS_PER_S / elapsed_ns
            state.demand += weight * (measured - state.demand)
            state.arrivals = 0

    def accounts_to_borrow(self, now: int) -> list[ClientAccountId]:
        """Returns the accounts that are short of tokens and due to be asked for."""
        return [
            account_id
            for account_id, state in self._accounts_by_id.items()
            if now >= state.next_ask_at and self.shortage_milli(account_id, now) > 0
        ]

    def shortage_milli(self, account_id: ClientAccountId, now: int) -> int:
        """Returns the millitokens of an account to ask for; 0 or less if none."""
        state = self._accounts_by_id[account_id]
        if now - state.last_arrival > _IDLE_TIMEOUT_NS and not state.waiting:
            return 0
        # Borrowed tokens expire soon, so only what will likely be used is asked for:
        # whole tokens, as no request can use less.
        expected = state.expected_use_milli() // MILLI * MILLI
        return state.waiting * MILLI + expected - state.level(now)

    def lend(
        self,
        wants: Iterable[TokenAmount],
        accounts_by_id: Mapping[ClientAccountId, EffectiveAccount],
        now: int,
        is_reserve: bool = False,
    ) -> tuple[TokenAmount, ...]:
        """Takes out tokens that another host lacks and this one doesn't need soon.

        Args:
            wants: What the other host asks for.
            accounts_by_id: The declared accounts; of others nothing is lent.
            now: The current time.
            is_reserve: Whether the reserve is asked for, not the own share.

        Returns:
            The amounts taken out, of accounts of which there was something to spare.
        """
        lent = []
        for want in wants:
            account = accounts_by_id.get(want.account_id)
            if account is None:
                continue
            state = self._current_state(account, now)
            if is_reserve:
                milli = state.reserve.take(now, -(-want.milli // MILLI)) * MILLI
            else:
                milli = state.lend_own(want.milli, now)
            if milli > 0:
                lent.append(TokenAmount(want.account_id, milli))
        return tuple(lent)

    def borrow(self, lent: Iterable[TokenAmount], asked_at: int) -> None:
        """Adds tokens that another host lent.

        Args:
            lent: The amount of each account.
            asked_at: When the other host was asked; the loan's lifetime starts then.
        """
        for amount in lent:
            state = self._accounts_by_id.get(amount.account_id)
            if state is not None:
                state.borrowed.append((asked_at + BORROWED_LIFETIME_NS, amount.milli))
