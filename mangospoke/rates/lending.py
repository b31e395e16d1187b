"""Equal shares of each account's rate, whose tokens hosts lend to each other.

An account's requests often enter at few hosts. With equal shares alone those hosts run
out of tokens while the others' tokens stay unused. A host that runs short therefore
asks others for tokens, and what they lend is taken out of their buckets. The sum over
all hosts never grows, no matter how much each host knows of the fleet or which messages
are lost. A host that is cut off keeps its own share and nothing else.

Borrowed tokens may exceed the borrower's own burst, while the lender's bucket refills.
They expire soon, except for what then fits into the borrower's own bucket. The sum of
all tokens therefore exceeds the burst by at most what the rate earns in the lifetime of
borrowed tokens, and the burst that is split among the hosts is reduced by as much.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Set
from dataclasses import dataclass

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.ids import ClientAccountId
from mangospoke.observability.status import TokenStatus
from mangospoke.rates.bucket import TokenBucket
from mangospoke.rates.messages import TokenAmount
from mangospoke.rates.timing import NS_PER_MS, NS_PER_S
from mangospoke.rates.units import MILLI

BORROWED_LIFETIME_NS = 300 * NS_PER_MS
"""How long a borrowed token may be used, counted from the sending of the request."""

_DEMAND_HORIZON_NS = 250 * NS_PER_MS
"""A host keeps, or borrows, the tokens that its demand will take within this time."""

_DEMAND_TIME_CONSTANT_NS = 500 * NS_PER_MS
"""Time constant of the exponential moving average of an account's demand."""

_IDLE_TIMEOUT_NS = 5 * NS_PER_S
"""Nothing is borrowed for an account without requests for this long."""

_MIN_ASK_INTERVAL_NS = 90 * NS_PER_MS
_MAX_ASK_INTERVAL_NS = 800 * NS_PER_MS
"""Interval between requests for one account's tokens. It doubles with each one that
brings nothing, since then the whole fleet is short of them."""

_MAX_EMPTY_ROUNDS = 2
"""After this many requests in a row that brought nothing, callers' requests no longer
wait for a borrowed token."""

_MIN_ASKED_MILLI = 250
"""Smallest amount that is asked for, in millitokens."""


@dataclass(frozen=True, slots=True)
class Excess:
    """How far the sum over all hosts may exceed an account's rate and burst.

    Attributes:
        ratio: Excess as a fraction of rate and burst.
        requests: Requests by which the burst may be exceeded in addition.
    """

    ratio: float = 0.0
    requests: float = 0.0


class _AccountState:
    """What this host holds of one account, and the demand it measures.

    Attributes:
        bucket: The tokens of this host's own share.
        borrowed: Expiry time and millitokens of each loan, oldest first.
        arrivals: Requests that arrived since `demand` was last updated.
        demand: Moving average of arrivals, in requests per second.
        refused: Requests refused since other hosts were last asked for tokens.
        waiting: Requests that wait for a token now.
        empty_rounds: Times in a row that other hosts were asked and lent nothing.
        next_ask_at: When other hosts may be asked again.
    """

    __slots__ = (
        "arrivals",
        "borrowed",
        "bucket",
        "demand",
        "empty_rounds",
        "last_arrival",
        "next_ask_at",
        "refused",
        "waiting",
    )

    def __init__(self, bucket: TokenBucket, now: int) -> None:
        self.bucket = bucket
        self.borrowed: deque[tuple[int, int]] = deque()
        self.arrivals = 0
        self.demand = 0.0
        self.last_arrival = now
        self.refused = 0
        self.waiting = 0
        self.empty_rounds = 0
        self.next_ask_at = now

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

    def expected_use_milli(self) -> int:
        """Returns the millitokens that the demand will take within the horizon."""
        return int(self.demand * _DEMAND_HORIZON_NS / NS_PER_S * MILLI)


class LendingShares:
    """This host's share and borrowed tokens of all accounts.

    Every `now` is in nanoseconds of a clock that doesn't stop while the host is
    suspended.

    Args:
        count_hosts: Returns the number of hosts that share the rates.
        excess: How far the sum over all hosts may exceed the rates.
        starts_full: Whether buckets start full, because the whole fleet starts and has
            not used any tokens yet.
        now: The current time.
    """

    def __init__(
        self,
        count_hosts: Callable[[], int],
        excess: Excess,
        starts_full: bool,
        now: int,
    ) -> None:
        self._count_hosts = count_hosts
        self._excess = excess
        self._starts_full = starts_full
        self._demand_updated_at = now
        self._accounts_by_id: dict[ClientAccountId, _AccountState] = {}

    def arrived(self, account: EffectiveAccount, now: int) -> None:
        """Counts an arriving request of an account."""
        state = self._current_state(account, now)
        state.arrivals += 1
        state.last_arrival = now

    def take_token(self, account: EffectiveAccount, now: int) -> bool:
        """Takes one token and returns whether there was one."""
        return self._current_state(account, now).take_token(now)

    def count_refusal(self, account_id: ClientAccountId) -> None:
        """Counts a request that was refused for lack of a token."""
        self._accounts_by_id[account_id].refused += 1

    def give_back(self, account: EffectiveAccount, now: int) -> None:
        """Returns the token of an admitted request that did not run."""
        self._current_state(account, now).bucket.add(now, MILLI)

    def may_ask(self, account_id: ClientAccountId, now: int) -> bool:
        """Whether other hosts may be asked for the account's tokens now."""
        return now >= self._accounts_by_id[account_id].next_ask_at

    def may_borrow_soon(self, account_id: ClientAccountId) -> bool:
        """Whether other hosts are likely to lend a token of the account soon."""
        state = self._accounts_by_id[account_id]
        return state.empty_rounds < _MAX_EMPTY_ROUNDS

    def record_round(
        self, wanted: Iterable[TokenAmount], lent: Set[ClientAccountId], now: int
    ) -> None:
        """Records that other hosts were asked once, and schedules the next time.

        Args:
            wanted: What they were asked for.
            lent: Accounts of which they lent something.
            now: The current time.
        """
        for amount in wanted:
            state = self._accounts_by_id[amount.account_id]
            state.refused = 0
            state.empty_rounds = (
                0 if amount.account_id in lent else state.empty_rounds + 1
            )
            interval_ns = _MIN_ASK_INTERVAL_NS << min(max(0, state.empty_rounds - 1), 8)
            state.next_ask_at = now + min(interval_ns, _MAX_ASK_INTERVAL_NS)

    def next_token_s(self, account: EffectiveAccount, now: int) -> float:
        """Returns the seconds until the own share earns a token; infinite if never."""
        wait_ns = self._current_state(account, now).bucket.wait_ns(now)
        return math.inf if wait_ns is None else wait_ns / NS_PER_S

    def change_waiting(self, account_id: ClientAccountId, change: int) -> None:
        """Adds to the number of the account's requests that wait for a token."""
        self._accounts_by_id[account_id].waiting += change

    def _current_state(self, account: EffectiveAccount, now: int) -> _AccountState:
        """Returns the account's state with the bucket resized to the current share."""
        rate, burst = self._own_share(account)
        state = self._accounts_by_id.get(account.account_id)
        if state is None:
            bucket = TokenBucket(now, rate, burst)
            if self._starts_full:
                bucket.add(now, burst)
            state = self._accounts_by_id[account.account_id] = _AccountState(
                bucket, now
            )
        elif (rate, burst) != (state.bucket.rate, state.bucket.burst):
            state.bucket.resize(now, rate, burst)
        return state

    def _own_share(self, account: EffectiveAccount) -> tuple[int, int]:
        """Returns this host's rate and burst, in millitokens (per second)."""
        hosts = max(1, self._count_hosts())
        rate = account.rate * (1 + self._excess.ratio)
        burst = account.burst * (1 + self._excess.ratio) + self._excess.requests
        max_borrowed = rate * BORROWED_LIFETIME_NS / NS_PER_S
        burst = max(burst - max_borrowed, burst / 2)
        return int(rate * MILLI / hosts), int(burst * MILLI / hosts)

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

    def tokens_to_borrow(self, now: int, parts: int = 1) -> tuple[TokenAmount, ...]:
        """Returns the tokens to ask other hosts for, of accounts that are due.

        Args:
            now: The current time.
            parts: Number of hosts asked at once, each for an equal part.
        """
        wants = []
        for account_id, state in self._accounts_by_id.items():
            if now < state.next_ask_at:
                continue
            shortage = self._shortage_milli(state, now)
            if shortage >= _MIN_ASKED_MILLI:
                part = max(shortage // parts, _MIN_ASKED_MILLI)
                wants.append(TokenAmount(account_id, part))
        return tuple(wants)

    def _shortage_milli(self, state: _AccountState, now: int) -> int:
        if now - state.last_arrival > _IDLE_TIMEOUT_NS and not state.waiting:
            return 0
        # Borrowed tokens expire soon, so only what will likely be used is asked for.
        needed = state.expected_use_milli() + (state.waiting + state.refused) * MILLI
        return needed - state.level(now)

    def lend(
        self,
        wants: Iterable[TokenAmount],
        accounts_by_id: Mapping[ClientAccountId, EffectiveAccount],
        now: int,
    ) -> tuple[TokenAmount, ...]:
        """Takes out tokens that another host lacks and this one doesn't need soon.

        Args:
            wants: What the other host asks for.
            accounts_by_id: The declared accounts; of others nothing is lent.
            now: The current time.

        Returns:
            The amounts taken out, of accounts of which there was something to spare.
        """
        lent = []
        for want in wants:
            account = accounts_by_id.get(want.account_id)
            if account is None:
                continue
            state = self._current_state(account, now)
            spare = state.bucket.level(now) - state.expected_use_milli()
            milli = state.bucket.drain(now, min(want.milli, spare))
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
