"""Rebalancing of shares between failure domains according to demand.

All times are nanoseconds of `rates.timing.read_clock`.
"""

import secrets

from mangospoke.ids import ClientAccountId, FailureDomainId
from mangospoke.rates.grantor import Grantor
from mangospoke.rates.messages import AccountWant, RequestShares, SharesPromised
from mangospoke.rates.pools import AccountPool
from mangospoke.rates.records import ShareMove, SharesMoved
from mangospoke.rates.share_table import UNASSIGNED_DOMAIN, excess_share
from mangospoke.rates.timing import FOREIGN_VOUCHER_LIFE_NS, NS_PER_S
from mangospoke.rates.units import MILLI, NOTHING, Share

_GRANT_LIMIT_DURATION_NS = 2 * NS_PER_S
"""How long a domain limits its grants after another domain requested a share."""

_MIN_MOVE_DIVISOR = 8
"""Inverse of the smallest part of a domain's rate that is worth a log record."""

_SHORTAGE_WINDOW_NS = NS_PER_S
"""How long after a refused or waiting request the share counts as too small."""


class ShareRebalancer:
    """Gives up, requests and claims shares on behalf of the domain's grantor.

    At most one record is being appended at a time. The caller appends it repeatedly
    until it has been read back, or until a newer appointment makes every reader
    ignore it.

    Attributes:
        pending_record: The record to be appended, or None.
    """

    def __init__(self, grantor: Grantor) -> None:
        self.pending_record: SharesMoved | None = None
        self._grantor = grantor
        self._epoch = 0
        self._queued_moves: list[ShareMove] = []
        self._queued_claims: dict[ClientAccountId, Share] = {}

    def on_record_applied(self, now: int) -> None:
        """Completes the pending record once the table has accepted it.

        Call it after each record that the table accepted, before
        `Grantor.on_record_applied`.
        """
        self._reset_on_new_epoch()
        pending_record = self.pending_record
        if pending_record is None:
            return
        grantor = self._grantor
        appointed = grantor.table.grantor_of(grantor.domain)
        if (
            appointed.epoch != pending_record.epoch
            or appointed.sequence < pending_record.sequence
        ):
            return
        self.pending_record = None
        for move in pending_record.moves:
            pool = grantor.pools_by_account[move.account_id]
            pool.outgoing = pool.outgoing - move.share
            pool.resize(now)

    def _reset_on_new_epoch(self) -> None:
        if self._epoch != self._grantor.epoch:
            self._epoch = self._grantor.epoch
            self.pending_record = None
            self._queued_moves.clear()
            self._queued_claims.clear()

    def next_record(self, now: int) -> SharesMoved | None:
        """Returns the record to append now, or None."""
        grantor = self._grantor
        self._reset_on_new_epoch()
        if not grantor.is_active(now):
            return None
        if self.pending_record is None and (self._queued_moves or self._queued_claims):
            appointed = grantor.table.grantor_of(grantor.domain)
            self.pending_record = SharesMoved(
                record_id=secrets.token_hex(8),
                domain=grantor.domain,
                epoch=grantor.epoch,
                sequence=appointed.sequence + 1,
                moves=tuple(self._queued_moves),
                taken=dict(self._queued_claims),
            )
            self._queued_moves.clear()
            self._queued_claims.clear()
        return self.pending_record

    def promise_shares(self, request: RequestShares, now: int) -> SharesPromised:
        """Gives up shares that the domain can spare to a domain that requests them."""
        grantor = self._grantor
        self._reset_on_new_epoch()
        if not grantor.is_active(now) or request.domain == grantor.domain:
            return SharesPromised({}, {})
        promised = {}
        vouchers = {}
        for want in request.wants:
            pool = grantor.pools_by_account.get(want.account_id)
            if pool is None:
                continue
            voucher_count = pool.take_vouchers(
                now, min(want.waiting, pool.lendable(now)), FOREIGN_VOUCHER_LIFE_NS
            )
            if voucher_count:
                vouchers[want.account_id] = voucher_count
            if want.want == NOTHING:
                continue
            share = self._free_up_share(pool, want, now)
            if share != NOTHING:
                self._queue_move(want.account_id, pool, share, request.domain, now)
                promised[want.account_id] = share
        return SharesPromised(promised, vouchers)

    def add_foreign_vouchers(
        self, vouchers: dict[ClientAccountId, int], sent_at: int
    ) -> None:
        """Adds vouchers from another domain and nudges holders that wait for tokens.

        Args:
            vouchers: Number of vouchers by account.
            sent_at: When the request for them was sent; their life counts from it.
        """
        for account_id, count in vouchers.items():
            pool = self._grantor.pools_by_account.get(account_id)
            if pool is None:
                continue
            pool.receive_vouchers(count, sent_at + FOREIGN_VOUCHER_LIFE_NS)
            self._grantor.holders_to_nudge.update(pool.short_holders())

    def _free_up_share(self, pool: AccountPool, want: AccountWant, now: int) -> Share:
        """Returns what the domain can give up at once, and limits grants to the rest.

        That may be less than it should give up: hosts return the difference with
        their next requests, and the other domain requests the rest again.
        """
        own = pool.share - pool.outgoing
        retained = _retained_share(pool, own, want)
        offered = Share(
            max(0, min(want.want.rate, own.rate - retained.rate)),
            max(0, min(want.want.burst, own.burst - retained.burst)),
        )
        if offered.rate * _MIN_MOVE_DIVISOR < own.rate and (
            offered.burst < MILLI or want.share.burst >= MILLI
        ):
            return NOTHING
        pool.limit = own - offered
        pool.limit_until = now + _GRANT_LIMIT_DURATION_NS
        free = pool.free()
        spare = Share(
            max(0, min(offered.rate, free.rate)), max(0, min(offered.burst, free.burst))
        )
        self._grantor.holders_to_nudge.update(pool.asking_holders())
        return spare

    def _nudge_excess_holders(self, pool: AccountPool, now: int) -> None:
        for holder, held in pool.held_by_holder.items():
            if not pool.target(now, holder).covers(held):
                self._grantor.holders_to_nudge.add(holder)

    def _queue_move(
        self,
        account_id: ClientAccountId,
        pool: AccountPool,
        share: Share,
        to_domain: FailureDomainId,
        now: int,
    ) -> None:
        tokens = pool.bucket.drain(now, share.burst)
        pool.outgoing = pool.outgoing + share
        pool.resize(now)
        self._queued_moves.append(ShareMove(account_id, share, to_domain, tokens))

    def return_excess(self, now: int) -> None:
        """Gives up what the domain holds in excess of an account's lowered total."""
        grantor = self._grantor
        if (
            not grantor.is_active(now)
            or self.pending_record is not None
            or self._queued_moves
        ):
            return
        for account_id, pool in grantor.pools_by_account.items():
            surplus = excess_share(
                grantor.table.accounts_by_id[account_id], grantor.domain
            )
            if surplus == NOTHING:
                continue
            pool.limit = pool.share - pool.outgoing - surplus
            pool.limit_until = now + _GRANT_LIMIT_DURATION_NS
            free = pool.free()
            share = Share(
                max(0, min(surplus.rate, free.rate)),
                max(0, min(surplus.burst, free.burst)),
            )
            if share != surplus:
                self._nudge_excess_holders(pool, now)
            if share != NOTHING:
                self._queue_move(account_id, pool, share, UNASSIGNED_DOMAIN, now)

    def collect_wants(self, now: int) -> tuple[AccountWant, ...]:
        """Returns what to request from other domains.

        Unassigned shares of the accounts concerned are claimed as a side effect.
        """
        grantor = self._grantor
        if not grantor.is_active(now):
            return ()
        wants = []
        for account_id, pool in grantor.pools_by_account.items():
            want = self._wanted_share(account_id, pool, now)
            waiting = pool.waiting(now)
            if want != NOTHING or waiting:
                wants.append(
                    AccountWant(account_id, pool.share, pool.demand(), want, waiting)
                )
        return tuple(wants)

    def _wanted_share(
        self, account_id: ClientAccountId, pool: AccountPool, now: int
    ) -> Share:
        total = self._grantor.table.accounts_by_id[account_id].total
        wanted_rate = pool.wanted_rate()
        is_short = now - pool.short_at < _SHORTAGE_WINDOW_NS
        lacks_token = is_short and pool.share.burst < MILLI
        if wanted_rate <= pool.share.rate and not lacks_token:
            return NOTHING
        rate = max(0, min(total.rate, wanted_rate * 9 // 8) - pool.share.rate)
        proportional_burst = (
            total.burst * (pool.share.rate + rate) // max(1, total.rate)
        )
        burst = max(0, max(MILLI, proportional_burst) - pool.share.burst)
        want = Share(rate, burst)
        if want != NOTHING and self.pending_record is None:
            self._claim_unassigned(account_id, want)
        return want

    def _claim_unassigned(self, account_id: ClientAccountId, want: Share) -> None:
        unassigned = self._grantor.table.unassigned_share(account_id)
        share = Share(
            max(0, min(want.rate, unassigned.rate)),
            max(0, min(want.burst, unassigned.burst)),
        )
        if share != NOTHING:
            self._queued_claims[account_id] = share


def _retained_share(pool: AccountPool, own: Share, want: AccountWant) -> Share:
    """Returns what the domain keeps when another domain requests a share.

    That is what it needs, or its part in proportion to demand if the two domains
    together have less than both need. Bursts are rounded up to whole tokens.
    """
    demand = pool.demand()
    if demand == 0:
        return NOTHING
    needed = pool.wanted_rate() * 9 // 8
    combined_rate = own.rate + want.share.rate
    fair_rate = combined_rate * demand // max(1, demand + want.demand)
    rate = min(own.rate, max(MILLI, min(needed, fair_rate)))
    proportional_burst = own.burst * rate // max(1, own.rate)
    burst = min(own.burst, -(-proportional_burst // MILLI) * MILLI)
    return Share(rate, burst)
