"""Equal shares of each account's rate whose tokens hosts lend each other.

Load pattern: an account's requests enter at few hosts, so that equal shares leave
those hosts short while the others' tokens lie idle. A short host asks others for
tokens, and what they give leaves their buckets, so that the sum over all hosts
never grows, whatever each knows of the fleet and whatever message is lost. A host
that is cut off keeps its own share and no more.

Borrowed tokens may exceed the borrower's own burst, while the lender's bucket fills
again; soon they end, but for what the own bucket has room for, so that the sum exceeds
the burst by what the rate earns in that time at most. The burst that is split is
smaller by as much.
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

BORROWED_LIFE_NS = 300 * NS_PER_MS
"""How long a borrowed token may be used, counted from the sending of the question."""

_AHEAD_NS = 250 * NS_PER_MS
"""Time for whose demand a host holds tokens: its own first, then borrowed ones."""

_DEMAND_NS = 500 * NS_PER_MS
"""Time constant of the smoothed demand."""

_FORGET_NS = 5 * NS_PER_S

_ASK_INTERVAL_NS = 90 * NS_PER_MS
_LONGEST_ASK_INTERVAL_NS = 800 * NS_PER_MS
"""Time between two questions for one account; the longest after several that brought
nothing, since then the whole fleet is short of its tokens."""

_FRUITLESS_QUESTIONS = 2
"""After so many a request isn't let wait for a token that may be lent."""

_LEAST_ASKED_MILLI = 250
"""Thousandths of a token below which nothing is asked for."""


@dataclass(frozen=True, slots=True)
class Excess:
    """How far the sum over all hosts may exceed an account's rate and burst.

    Attributes:
        share: Share of rate and burst.
        requests: Requests beyond that, at once.
    """

    share: float = 0.0
    requests: float = 0.0


class _Account:
    """What this host holds of an account, and sees of its demand.

    Attributes:
        borrowed: Ends and thousandths of tokens that were lent, oldest first.
        arrivals: Requests since the demand was smoothed last.
        demand: Smoothed requests a second.
        refused: Requests refused since others were asked last.
        waiting: Requests that wait for a token.
        fruitless: Questions in a row that brought nothing.
        ask_at: When others may be asked again.
    """

    __slots__ = (
        "arrivals",
        "ask_at",
        "borrowed",
        "bucket",
        "demand",
        "fruitless",
        "last_arrival",
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
        self.fruitless = 0
        self.ask_at = now

    def borrowed_milli(self, now: int) -> int:
        """Thousandths of borrowed tokens that have not ended."""
        while self.borrowed and self.borrowed[0][0] <= now:
            # What the own bucket has room for stays, as if it had been earned here.
            self.bucket.add(now, self.borrowed.popleft()[1])
        return sum(milli for _, milli in self.borrowed)

    def level(self, now: int) -> int:
        """Thousandths of a token that may be used now."""
        borrowed = self.borrowed_milli(now)
        return borrowed + self.bucket.level(now)

    def take(self, now: int) -> bool:
        """Takes one token, what ends first before the own."""
        if self.level(now) < MILLI:
            return False
        missing = MILLI
        while missing and self.borrowed:
            end, milli = self.borrowed.popleft()
            if milli > missing:
                self.borrowed.appendleft((end, milli - missing))
                return True
            missing -= milli
        self.bucket.drain(now, missing)
        return True

    def ahead_milli(self) -> int:
        """Thousandths of tokens that the demand takes in the time ahead."""
        return int(self.demand * _AHEAD_NS / NS_PER_S * MILLI)


class LendingShares:
    """This host's tokens of all accounts.

    All times are nanoseconds of a clock that goes on while the host is suspended.

    Args:
        count_hosts: How many hosts share the rates.
        excess: How far the sum may exceed them.
        starts_full: Whether buckets start full, since nothing was used yet.
        now: The time.
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
        self._smoothed_at = now
        self._accounts_by_id: dict[ClientAccountId, _Account] = {}

    def arrived(self, account: EffectiveAccount, now: int) -> None:
        """Counts a request of an account."""
        held = self._held(account, now)
        held.arrivals += 1
        held.last_arrival = now

    def take(self, account: EffectiveAccount, now: int) -> bool:
        """Takes a token for a request that arrived, if there is one."""
        return self._held(account, now).take(now)

    def refuse(self, account_id: ClientAccountId) -> None:
        """Counts a request that got no token."""
        self._accounts_by_id[account_id].refused += 1

    def give_back(self, account: EffectiveAccount, now: int) -> None:
        """Puts back the token of a request that did not run."""
        self._held(account, now).bucket.add(now, MILLI)

    def may_ask(self, account_id: ClientAccountId, now: int) -> bool:
        """Whether it is time to ask others for an account's tokens."""
        return now >= self._accounts_by_id[account_id].ask_at

    def may_be_lent(self, account_id: ClientAccountId) -> bool:
        """Whether a request may hope for a token that is lent soon."""
        held = self._accounts_by_id[account_id]
        return held.fruitless < _FRUITLESS_QUESTIONS

    def asked(
        self, wanted: Iterable[TokenAmount], lent: Set[ClientAccountId], now: int
    ) -> None:
        """Notes that others have been asked for what was short.

        Args:
            wanted: What they were asked for.
            lent: Accounts of which they lent something.
            now: The time.
        """
        for amount in wanted:
            held = self._accounts_by_id[amount.account_id]
            held.refused = 0
            held.fruitless = 0 if amount.account_id in lent else held.fruitless + 1
            interval_ns = _ASK_INTERVAL_NS << min(max(0, held.fruitless - 1), 8)
            held.ask_at = now + min(interval_ns, _LONGEST_ASK_INTERVAL_NS)

    def wait_s(self, account: EffectiveAccount, now: int) -> float:
        """Seconds in which this host earns a token by itself."""
        wait_ns = self._held(account, now).bucket.wait_ns(now)
        return math.inf if wait_ns is None else wait_ns / NS_PER_S

    def waits(self, account_id: ClientAccountId, change: int) -> None:
        """Changes how many requests of an account wait for a token."""
        self._accounts_by_id[account_id].waiting += change

    def _held(self, account: EffectiveAccount, now: int) -> _Account:
        rate, burst = self._share(account)
        held = self._accounts_by_id.get(account.account_id)
        if held is None:
            bucket = TokenBucket(now, rate, burst)
            if self._starts_full:
                bucket.add(now, burst)
            held = self._accounts_by_id[account.account_id] = _Account(bucket, now)
        elif (rate, burst) != (held.bucket.rate, held.bucket.burst):
            held.bucket.resize(now, rate, burst)
        return held

    def _share(self, account: EffectiveAccount) -> tuple[int, int]:
        """This host's rate and burst, in thousandths."""
        hosts = max(1, self._count_hosts())
        rate = account.rate * (1 + self._excess.share)
        burst = account.burst * (1 + self._excess.share) + self._excess.requests
        outstanding = rate * BORROWED_LIFE_NS / NS_PER_S
        burst = max(burst - outstanding, burst / 2)
        return int(rate * MILLI / hosts), int(burst * MILLI / hosts)

    def statuses(self, now: int) -> tuple[TokenStatus, ...]:
        """What this host has of each account that it has seen."""
        return tuple(self.status(each, now) for each in self._accounts_by_id)

    def status(self, account_id: ClientAccountId, now: int) -> TokenStatus:
        """What this host has of an account that it has seen."""
        held = self._accounts_by_id[account_id]
        return TokenStatus(account_id, held.level(now) / MILLI, held.demand)

    def smooth(self, now: int) -> None:
        """Folds the arrivals since the last time into the demand."""
        elapsed_ns = now - self._smoothed_at
        if elapsed_ns <= 0:
            return
        self._smoothed_at = now
        part = 1 - math.exp(-elapsed_ns / _DEMAND_NS)
        for held in self._accounts_by_id.values():
            measured = held.arrivals * NS_PER_S / elapsed_ns
            held.demand += part * (measured - held.demand)
            held.arrivals = 0

    def wants(self, now: int, parts: int = 1) -> tuple[TokenAmount, ...]:
        """What this host is short of.

        Args:
            now: The time.
            parts: Hosts that are asked at once, each for its part.
        """
        wants = []
        for account_id, held in self._accounts_by_id.items():
            if now < held.ask_at:
                continue
            short = self._short_milli(held, now)
            if short >= _LEAST_ASKED_MILLI:
                part = max(short // parts, _LEAST_ASKED_MILLI)
                wants.append(TokenAmount(account_id, part))
        return tuple(wants)

    def _short_milli(self, held: _Account, now: int) -> int:
        if now - held.last_arrival > _FORGET_NS and not held.waiting:
            return 0
        # Borrowed tokens end soon: what isn't expected to be used is left alone.
        needed = held.ahead_milli() + (held.waiting + held.refused) * MILLI
        return needed - held.level(now)

    def lend(
        self,
        wants: Iterable[TokenAmount],
        accounts_by_id: Mapping[ClientAccountId, EffectiveAccount],
        now: int,
    ) -> tuple[TokenAmount, ...]:
        """Takes out what another host is short of and this one doesn't need soon.

        Args:
            wants: What the other host is short of.
            accounts_by_id: The accounts that are declared here.
            now: The time.
        """
        lent = []
        for want in wants:
            account = accounts_by_id.get(want.account_id)
            if account is None:
                continue
            held = self._held(account, now)
            spare = held.bucket.level(now) - held.ahead_milli()
            milli = held.bucket.drain(now, min(want.milli, spare))
            if milli > 0:
                lent.append(TokenAmount(want.account_id, milli))
        return tuple(lent)

    def borrow(self, lent: Iterable[TokenAmount], asked_at: int) -> None:
        """Takes in what another host lent.

        Args:
            lent: Tokens by account.
            asked_at: When the question was sent.
        """
        for amount in lent:
            held = self._accounts_by_id.get(amount.account_id)
            if held is not None:
                held.borrowed.append((asked_at + BORROWED_LIFE_NS, amount.milli))
