"""A domain's share of one account: what hosts hold, and the pool of the rest."""

import math
from itertools import islice
from typing import NewType

from mangospoke.ids import HostId, Incarnation
from mangospoke.rates.bucket import TokenBucket
from mangospoke.rates.timing import (
    NS_PER_MS,
    NS_PER_S,
    VOUCHER_EXPIRY_MARGIN_NS,
    VOUCHER_LIFETIME_NS,
)
from mangospoke.rates.units import MILLI, NOTHING, Share

Holder = NewType("Holder", tuple[HostId, Incarnation])
"""One incarnation of a host's daemon. After a restart it holds nothing any more."""

_MIN_HEADROOM_MILLI_PER_S = 200
"""Rate added to each host's demand as headroom. A domain whose whole demand is lower
counts as one without demand."""

_SHORTAGE_REPORT_LIFETIME_NS = 500 * NS_PER_MS
"""How long a host's report of waiting requests is taken to hold."""

_MIN_SMOOTHING_NS = 300 * NS_PER_MS
_MAX_SMOOTHING_NS = 5 * NS_PER_S
_SMOOTHED_MILLI = 20 * MILLI
"""A domain's demand is averaged over about this many thousandths of a request."""


class AccountPool:
    """The domain's share of one account.

    The share is divided into what hosts may be using, what is promised to another
    domain, and the pool. These parts always add up to the share.

    Every `now` is in nanoseconds, and demand is in thousandths of a request per second.

    Attributes:
        share: The domain's share, according to the share table.
        outgoing: The part that the domain no longer uses and is about to give up.
        held_by_holder: The parts that hosts may be using.
        nudged_at: When hosts that hold more than their target were last nudged.
        short_at: When a host last reported requests that wait for tokens.
        limit: Upper bound on what the domain uses while another domain needs the rest.
        limit_until: When the limit ends.
        bucket: The tokens in the pool.
    """

    def __init__(self, now: int, share: Share) -> None:
        self.share = share
        self.outgoing = NOTHING
        self.held_by_holder: dict[Holder, Share] = {}
        self.nudged_at = 0
        self._demand_by_holder: dict[Holder, int] = {}
        self._waiting_by_holder: dict[Holder, int] = {}
        # Running sums, since a domain may have more than a hundred hosts.
        self._held_total = NOTHING
        self._demand_total = 0
        self._needed_rate_total = 0
        self.short_at = 0
        self.limit: Share | None = None
        self.limit_until = 0
        self.bucket = TokenBucket(now, share.rate, share.burst)
        self._vouchers: list[tuple[int, int]] = []
        self._borrowed_vouchers = 0
        self._borrowed_vouchers_expire_at = now
        self._smoothed_demand = 0.0
        self._demand_smoothed_at = now

    def free(self) -> Share:
        """Returns the part of the share that is in the pool."""
        rate = self.share.rate - self.outgoing.rate
        burst = self.share.burst - self.outgoing.burst
        burst -= sum(milli for _, milli in self._vouchers)
        return Share(rate, burst) - self._held_total

    def resize(self, now: int) -> None:
        """Sets rate and burst of the pool's bucket to what is free."""
        if self._vouchers:
            self._vouchers = [voucher for voucher in self._vouchers if voucher[0] > now]
        free = self.free()
        self.bucket.resize(now, max(0, free.rate), max(0, free.burst))

    def fill(self, now: int) -> None:
        """Fills the pool's bucket.

        Only valid when the account has just been created, so that no token of it can
        have been used.
        """
        self.bucket.add(now, self.bucket.burst)

    def set_held(self, now: int, holder: Holder, held: Share) -> None:
        """Sets the part that a host may be using from now on."""
        previous = self.held_by_holder.pop(holder, NOTHING)
        self._held_total = self._held_total - previous + held
        if held != NOTHING:
            self.held_by_holder[holder] = held
        self.resize(now)

    def report(self, now: int, holder: Holder, demand: int, short: int) -> None:
        """Updates the demand of a host from its report.

        Args:
            now: The current time.
            holder: The host.
            demand: Requests that arrive there, in thousandths per second.
            short: Requests there that wait for tokens or were refused.
        """
        previous = self._demand_by_holder.pop(holder, 0)
        self._demand_total += demand - previous
        self._needed_rate_total += _needed_rate(demand) - _needed_rate(previous)
        if demand > 0:
            self._demand_by_holder[holder] = demand
        self._waiting_by_holder.pop(holder, None)
        if short:
            self._waiting_by_holder[holder] = short
            self.short_at = now

    def forget(self, now: int, holder: Holder) -> None:
        """Takes back all that a host held, except for its tokens, which are lost."""
        self.report(now, holder, 0, 0)
        self.set_held(now, holder, NOTHING)

    def short_holders(self) -> list[Holder]:
        """Returns the hosts with requests that wait for tokens."""
        return list(self._waiting_by_holder)

    def asking_holders(self) -> list[Holder]:
        """Returns the hosts that have demand."""
        return list(self._demand_by_holder)

    def smooth_demand(self, now: int) -> None:
        """Updates the moving average of the domain's demand.

        The lower an account's rate, the longer the time constant, so that random
        fluctuation of a few requests doesn't move shares between domains.
        """
        rate = max(1, self.share.rate, self._demand_total)
        time_constant_ns = min(_MAX_SMOOTHING_NS, _SMOOTHED_MILLI * NS_PER_S // rate)
        elapsed_ns = now - self._demand_smoothed_at
        weight = 1 - math.exp(-elapsed_ns / max(_MIN_SMOOTHING_NS, time_constant_ns))
        self._smoothed_demand += weight * (self._demand_total - self._smoothed_demand)
        self._demand_smoothed_at = now

    def demand(self) -> int:
        """Returns the smoothed demand of the domain.

        It is at most twice the reported demand, so that it falls quickly once the
        requests stop.
        """
        return min(round(self._smoothed_demand), 2 * self.reported_demand())

    def wanted_rate(self) -> int:
        """Returns the rate that the domain needs, in millitokens per second."""
        return _needed_rate(self.demand())

    def usable_share(self, now: int) -> Share:
        """Returns what hosts and pool may use together, within the limit."""
        usable = self.share - self.outgoing
        if self.limit is None or now >= self.limit_until:
            return usable
        return Share(
            min(usable.rate, self.limit.rate), min(usable.burst, self.limit.burst)
        )

    def target(self, now: int, holder: Holder) -> Share:
        """Returns the share that a host should hold, in proportion to its demand.

        If the burst isn't enough for one token at each host with demand, the hosts hold
        nothing. Tokens then accumulate in the pool and are issued as vouchers to hosts
        with waiting requests.
        """
        needed = _needed_rate(self._demand_by_holder.get(holder, 0))
        if needed == 0:
            return NOTHING
        usable = self.usable_share(now)
        if usable.burst * 3 // 4 < MILLI * len(self._demand_by_holder):
            return NOTHING
        needed_total = self._needed_rate_total
        rate = (
            needed
            if needed_total <= usable.rate
            else usable.rate * needed // needed_total
        )
        burst = usable.burst * 3 // 4 * needed // needed_total
        return Share(rate, max(MILLI, burst))

    def give_vouchers(self, now: int, holder: Holder) -> tuple[int, int]:
        """Issues vouchers for the requests that wait at a host.

        Returns:
            Number of vouchers, and their lifetime in nanoseconds, counted from the
            moment at which the host sent its request.
        """
        waiting = self._waiting_by_holder.get(holder, 0)
        if self._borrowed_vouchers and now < self._borrowed_vouchers_expire_at:
            count = min(waiting, self._borrowed_vouchers)
            self._borrowed_vouchers -= count
            return count, self._borrowed_vouchers_expire_at - now
        return self.take_vouchers(
            now, waiting, VOUCHER_LIFETIME_NS
        ), VOUCHER_LIFETIME_NS

    def take_vouchers(self, now: int, wanted: int, life_ns: int) -> int:
        """Takes up to `wanted` whole tokens out of the pool, to be used as vouchers.

        The pool's burst stays reduced by them until they have expired. Vouchers that
        expire unused are lost.

        Returns:
            Number of tokens taken.
        """
        count = min(wanted, self.bucket.level(now) // MILLI)
        if count > 0:
            self.bucket.drain(now, count * MILLI)
            expires_at = now + life_ns + VOUCHER_EXPIRY_MARGIN_NS
            self._vouchers.append((expires_at, count * MILLI))
            self.resize(now)
        return max(0, count)

    def receive_vouchers(self, count: int, ends_at: int) -> None:
        """Replaces the vouchers received from other domains."""
        self._borrowed_vouchers = count
        self._borrowed_vouchers_expire_at = ends_at

    def waiting(self, now: int) -> int:
        """Returns how many requests wait in the domain; 0 if the pool has a token."""
        if (
            now - self.short_at > _SHORTAGE_REPORT_LIFETIME_NS
            or self.bucket.level(now) >= MILLI
        ):
            return 0
        return sum(self._waiting_by_holder.values())

    def served_next(self, now: int) -> list[Holder]:
        """Returns hosts with waiting requests, at most one per token in the pool."""
        tokens = self.bucket.level(now) // MILLI
        if tokens == 0 or now - self.short_at > _SHORTAGE_REPORT_LIFETIME_NS:
            return []
        return list(islice(self._waiting_by_holder, tokens))

    def lendable(self, now: int) -> int:
        """Returns how many tokens another domain's waiting requests may have."""
        tokens = self.bucket.level(now) // MILLI
        spare_rate = self.share.rate - self.reported_demand()
        return tokens * max(0, spare_rate) // max(1, self.share.rate)

    def reported_demand(self) -> int:
        """Returns the demand that hosts last reported; 0 if it is negligible."""
        return (
            self._demand_total if self._demand_total >= _MIN_HEADROOM_MILLI_PER_S else 0
        )


def _needed_rate(demand: int) -> int:
    """Returns the rate needed for a demand: the demand plus headroom."""
    return demand * 5 // 4 + _MIN_HEADROOM_MILLI_PER_S if demand > 0 else 0
