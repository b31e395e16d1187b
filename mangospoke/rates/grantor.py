"""The grantor of a failure domain: grants its hosts parts of the domain's shares.

All times are nanoseconds of `rates.timing.read_clock`.
"""

import enum
from dataclasses import dataclass, field

from mangospoke.control.messages import Rejected
from mangospoke.ids import ClientAccountId, FailureDomainId, HostId, Incarnation
from mangospoke.rates.messages import (
    AccountGrant,
    AccountNeed,
    Grants,
    NotGrantor,
    RequestGrants,
    Supersede,
    Superseded,
)
from mangospoke.rates.pools import AccountPool, Holder
from mangospoke.rates.records import (
    DomainGrantor,
    SharesDeclared,
    SharesMoved,
    SharesRecord,
)
from mangospoke.rates.share_table import ShareTable
from mangospoke.rates.timing import (
    CLOCK_MARGIN_NS,
    GRANT_LIFE_NS,
    NS_PER_MS,
    NS_PER_US,
    PAUSE_LIMIT_NS,
)
from mangospoke.rates.units import MILLI, NOTHING, Share

_NUDGE_INTERVAL_NS = 50 * NS_PER_MS
"""Minimum interval between two scans of an account's holders for excess grants."""


class GrantorState(enum.Enum):
    """State of a daemon's grantor.

    Attributes:
        NOT_APPOINTED: Another daemon, or none, is the domain's grantor.
        TAKING_OVER: Appointed, but grants of an earlier grantor may still be in use.
        ACTIVE: Appointed and granting.
        UNCONFIRMED: Paused for so long that a successor may have been appointed;
            grants nothing until it has read the log again.
    """

    NOT_APPOINTED = "not-appointed"
    TAKING_OVER = "taking-over"
    ACTIVE = "active"
    UNCONFIRMED = "unsure"


@dataclass(slots=True)
class _Lease:
    """Lease of one holder, renewed by each of its requests.

    Attributes:
        sequence: Sequence number of the last request answered.
        expires_at: When its grants can no longer be in use.
        account_ids: Accounts of its last request.
    """

    sequence: int
    expires_at: int
    control_address: str
    account_ids: set[ClientAccountId] = field(default_factory=set)


class Grantor:
    """Grantor of a daemon's failure domain; idle as long as the daemon isn't appointed.

    Attributes:
        state: Grants are given only in state `ACTIVE`.
        epoch: Epoch of its appointment; 0 if not appointed.
        pools_by_account: The domain's share of each account; empty if not appointed.
        holders_to_nudge: Holders to be told to send a request at once, because they
            hold more than their target or there are tokens for requests that wait
            there.
        table: The share table; updated by the caller.
    """

    def __init__(
        self,
        domain: FailureDomainId,
        host_id: HostId,
        incarnation: Incarnation,
        table: ShareTable,
        now: int,
    ) -> None:
        self.domain = domain
        self.state = GrantorState.NOT_APPOINTED
        self.epoch = 0
        self.pools_by_account: dict[ClientAccountId, AccountPool] = {}
        self.holders_to_nudge: set[Holder] = set()
        self.table = table
        self._identity = (host_id, incarnation)
        self._min_epoch = 0
        self._created_account_ids: set[ClientAccountId] = set()
        self._last_tick_at = now
        self._leases_by_holder: dict[Holder, _Lease] = {}

    def tick(self, now: int) -> None:
        """Expires leases, updates the pools and checks for a pause of the process."""
        self._check_pause(now)
        self._last_tick_at = now
        expired = [
            holder
            for holder, lease in self._leases_by_holder.items()
            if now >= lease.expires_at
        ]
        for holder in expired:
            self._release(now, holder)
        for pool in self.pools_by_account.values():
            pool.smooth_demand(now)
            pool.resize(now)
            self.holders_to_nudge.update(pool.served_next(now))

    def _check_pause(self, now: int) -> None:
        paused = now - self._last_tick_at > PAUSE_LIMIT_NS
        if paused and self.state is GrantorState.ACTIVE:
            self.state = GrantorState.UNCONFIRMED

    def is_active(self, now: int) -> bool:
        """Returns whether it may grant or give up shares now."""
        self._check_pause(now)
        return self.state is GrantorState.ACTIVE

    def on_record_applied(self, record: SharesRecord, now: int) -> None:
        """Updates the appointment and the pools after the table accepted a record."""
        self._update_appointment(now)
        if self.state is GrantorState.NOT_APPOINTED:
            return
        for account_id in self.table.accounts_by_id:
            share = self.table.share_of(account_id, self.domain)
            pool = self.pools_by_account.get(account_id)
            if pool is None:
                pool = self.pools_by_account[account_id] = AccountPool(now, share)
                self._fill_new_account(record, account_id, pool, now)
            elif pool.share != share:
                pool.share = share
                pool.resize(now)
        if isinstance(record, SharesMoved):
            self._add_moved_tokens(record, now)

    def _add_moved_tokens(self, record: SharesMoved, now: int) -> None:
        """Adds the tokens that another domain's grantor removed from its pool.

        Called for a record only by the grantor appointed when the record is applied,
        so that tokens are added at most once.
        """
        for move in record.moves:
            pool = self.pools_by_account.get(move.account_id)
            if pool is not None and move.to_domain == self.domain:
                pool.bucket.add(now, max(0, move.tokens))

    def _fill_new_account(
        self,
        record: SharesRecord,
        account_id: ClientAccountId,
        pool: AccountPool,
        now: int,
    ) -> None:
        """Fills the pool's bucket if the record created the account.

        Happens at most once per account: a grantor appointed later finds the account
        in the table already, and starts with an empty bucket.
        """
        if not isinstance(record, SharesDeclared) or record.builds_on != 0:
            return
        if record.account_id == account_id:
            pool.fill(now)
            self._created_account_ids.add(account_id)

    def _update_appointment(self, now: int) -> None:
        appointed = self.table.grantor_of(self.domain)
        if appointed.epoch == self.epoch:
            return
        self.step_down()
        if not self._is_own_appointment(appointed) or appointed.epoch < self._min_epoch:
            return
        self.epoch = appointed.epoch
        self.state = GrantorState.TAKING_OVER

    def _is_own_appointment(self, appointed: DomainGrantor) -> bool:
        appointee = appointed.appointee
        if appointee is None:
            return False
        return (appointee.host_id, appointee.incarnation) == self._identity

    def step_down(self) -> None:
        """Ends the appointment; nothing is granted in its epoch afterwards."""
        self.state = GrantorState.NOT_APPOINTED
        self.epoch = 0
        self.pools_by_account.clear()
        self._leases_by_holder.clear()
        self._created_account_ids.clear()
        self.holders_to_nudge.clear()

    def activate(self, epoch: int, now: int) -> None:
        """Starts granting; call it once no grant of an earlier epoch can be in use.

        Hosts may have used the shares under earlier grants until now, so all buckets
        start empty, except those of accounts created during the takeover: no earlier
        grantor has granted any of these.
        """
        if self.state is not GrantorState.TAKING_OVER or epoch != self.epoch:
            return
        for account_id, pool in self.pools_by_account.items():
            if account_id not in self._created_account_ids:
                self.pools_by_account[account_id] = AccountPool(now, pool.share)
        self.state = GrantorState.ACTIVE
        self._last_tick_at = now

    def resume_after_pause(self, epoch: int, now: int) -> None:
        """Resumes after a pause; call it once the log has been read up to its end."""
        if self.state is GrantorState.UNCONFIRMED and epoch == self.epoch:
            self.state = GrantorState.ACTIVE
            self._last_tick_at = now

    def supersede(self, request: Supersede) -> Superseded:
        """Ends any appointment before the given epoch and never accepts one again."""
        if request.domain == self.domain:
            self._min_epoch = max(self._min_epoch, request.epoch)
            if 0 < self.epoch < request.epoch:
                self.step_down()
        return Superseded(self._identity[1])

    def grant(self, request: RequestGrants, now: int) -> Grants | NotGrantor | Rejected:
        """Answers a host's request for grants.

        Returns:
            The grants; `NotGrantor` if it can't grant now; `Rejected` if the request
            isn't newer than the last one answered.
        """
        if request.epoch > self.epoch > 0:
            self.step_down()
        if not self.is_active(now):
            return self._redirect()
        holder = Holder((request.host_id, request.incarnation))
        lease = self._leases_by_holder.get(holder)
        if lease is not None and request.sequence <= lease.sequence:
            return Rejected("the request is older than one already answered")
        if lease is not None and now >= lease.expires_at:
            self._release(now, holder)
            lease = None
        if lease is None:
            lease = _Lease(0, 0, request.control_address)
            self._leases_by_holder[holder] = lease
        lease.sequence = request.sequence
        lease.expires_at = now + GRANT_LIFE_NS + CLOCK_MARGIN_NS
        self._update_held(holder, lease, request, now)
        grants = tuple(self._grant_account(holder, need, now) for need in request.needs)
        return Grants(
            self.epoch,
            GRANT_LIFE_NS // NS_PER_MS,
            tuple(grant for grant in grants if grant),
        )

    def _redirect(self) -> NotGrantor:
        appointed = self.table.grantor_of(self.domain)
        appointee = appointed.appointee
        address = "" if appointee is None else appointee.control_address
        taking_over = self.state is GrantorState.TAKING_OVER
        return NotGrantor(appointed.epoch, address, taking_over)

    def _update_held(
        self, holder: Holder, lease: _Lease, request: RequestGrants, now: int
    ) -> None:
        """Returns to the pools what the host reports that it no longer uses.

        A host must not hold more than it was granted in this epoch; if it claims
        more, it is treated as holding nothing.
        """
        needs_by_account = {need.account_id: need for need in request.needs}
        for account_id in lease.account_ids - needs_by_account.keys():
            self.pools_by_account[account_id].forget(now, holder)
        lease.account_ids = set()
        for account_id, need in needs_by_account.items():
            pool = self.pools_by_account.get(account_id)
            if pool is None:
                continue
            lease.account_ids.add(account_id)
            granted = pool.held_by_holder.get(holder, NOTHING)
            held = need.held if request.epoch == self.epoch else NOTHING
            if not (held.is_valid() and granted.covers(held)):
                held = NOTHING
            pool.set_held(now, holder, held)
            if request.epoch == self.epoch:
                pool.bucket.add(now, max(0, need.returned))
            pool.report(now, holder, need.demand, need.short)

    def _grant_account(
        self, holder: Holder, need: AccountNeed, now: int
    ) -> AccountGrant | None:
        """Returns the grant for one account, or None if the account is unknown."""
        pool = self.pools_by_account.get(need.account_id)
        if pool is None:
            return None
        held = pool.held_by_holder.get(holder, NOTHING)
        target = pool.target(now, holder)
        free = pool.free()
        granted = Share(
            min(target.rate, held.rate + max(0, free.rate)),
            min(target.burst, held.burst + max(0, free.burst)),
        )
        level = need.level if held == need.held else 0
        tokens = pool.bucket.drain(now, min(granted.burst, target.burst) - level)
        # The host may use its earlier, larger grant until it has applied this one.
        pool.set_held(
            now,
            holder,
            Share(max(held.rate, granted.rate), max(held.burst, granted.burst)),
        )
        if granted != target:
            self._nudge_excess_holders(pool, holder, now)
        voucher_count = voucher_life_ns = 0
        if level + tokens < MILLI:
            voucher_count, voucher_life_ns = pool.give_vouchers(now, holder)
        voucher_us = voucher_life_ns // NS_PER_US
        return AccountGrant(need.account_id, granted, tokens, voucher_count, voucher_us)

    def _nudge_excess_holders(
        self, pool: AccountPool, holder: Holder, now: int
    ) -> None:
        """Marks the other holders that hold more than their target for a nudge."""
        if now - pool.nudged_at < _NUDGE_INTERVAL_NS:
            return
        pool.nudged_at = now
        for other, held in pool.held_by_holder.items():
            if other != holder and not pool.target(now, other).covers(held):
                self.holders_to_nudge.add(other)

    def control_address_of(self, holder: Holder) -> str | None:
        """Returns a holder's control address, or None if its lease has ended."""
        lease = self._leases_by_holder.get(holder)
        return None if lease is None else lease.control_address

    def _release(self, now: int, holder: Holder) -> None:
        lease = self._leases_by_holder.pop(holder)
        for account_id in lease.account_ids:
            self.pools_by_account[account_id].forget(now, holder)
