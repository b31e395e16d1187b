"""The share table: how much of each account's rate each failure domain may use.

Every reader applies the records of the shares stream in the same order and accepts
the same ones, so that all tables agree. The log service only has to keep the order.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from msgspec.structs import replace

from mangospoke.ids import ClientAccountId, FailureDomainId
from mangospoke.rates.records import (
    AccountShares,
    DaemonIdentity,
    DomainFreed,
    DomainGrantor,
    GrantorActivated,
    GrantorAppointed,
    ShareMove,
    SharesDeclared,
    SharesMoved,
    SharesRecord,
    SharesSnapshot,
)
from mangospoke.rates.units import NOTHING, Share, add_shares

UNASSIGNED_DOMAIN = FailureDomainId("")
"""Receiver of shares that become unassigned."""

_NO_GRANTOR = DomainGrantor()


@dataclass(slots=True)
class ShareTable:
    """State machine over the records of the shares stream.

    Attributes:
        accounts_by_id: Shares of each account ever declared. A deleted account keeps
            its entry: if it is created again, its token buckets must not be filled a
            second time.
        grantors_by_domain: The most recently appointed grantor of each domain.
    """

    accounts_by_id: dict[ClientAccountId, AccountShares] = field(default_factory=dict)
    grantors_by_domain: dict[FailureDomainId, DomainGrantor] = field(
        default_factory=dict
    )

    def share_of(self, account_id: ClientAccountId, domain: FailureDomainId) -> Share:
        """Returns what a domain may use of an account's rate and burst."""
        account = self.accounts_by_id.get(account_id)
        return NOTHING if account is None else account.shares.get(domain, NOTHING)

    def unassigned_share(self, account_id: ClientAccountId) -> Share:
        """Returns what no domain has; negative until a decrease is complete."""
        account = self.accounts_by_id[account_id]
        return account.total - add_shares(account.shares)

    def grantor_of(self, domain: FailureDomainId) -> DomainGrantor:
        """Returns the domain's grantor, with epoch 0 if there never was one."""
        return self.grantors_by_domain.get(domain, _NO_GRANTOR)

    def apply(self, record: SharesRecord) -> bool:
        """Applies a record and returns whether it was accepted."""
        if isinstance(record, SharesDeclared):
            return self._apply_declaration(record)
        if isinstance(record, SharesMoved):
            return self._apply_moves(record)
        if isinstance(record, GrantorAppointed):
            return self._apply_appointment(record)
        if isinstance(record, GrantorActivated):
            return self._apply_activation(record)
        if isinstance(record, DomainFreed):
            return self._apply_domain_freed(record)
        return False

    def snapshot(self, record_id: str, next_offset: int) -> SharesSnapshot:
        """Returns the whole table as a record.

        Args:
            record_id: Id of the new record.
            next_offset: Offset of the first record not yet applied.
        """
        return SharesSnapshot(
            record_id=record_id,
            next_offset=next_offset,
            accounts=dict(self.accounts_by_id),
            grantors=dict(self.grantors_by_domain),
        )

    def restore(self, snapshot: SharesSnapshot) -> None:
        """Replaces the table's content by a snapshot.

        Only records from the snapshot's `next_offset` on may be applied afterwards.
        """
        self.accounts_by_id = dict(snapshot.accounts)
        self.grantors_by_domain = dict(snapshot.grantors)

    def _apply_declaration(self, record: SharesDeclared) -> bool:
        current = self.accounts_by_id.get(record.account_id)
        version = 0 if current is None else current.configuration_version
        shares = {} if current is None else dict(current.shares)
        if record.builds_on != version or record.configuration_version <= version:
            return False
        if not all(share.is_valid() for share in record.added.values()):
            return False
        for domain, share in record.added.items():
            shares[domain] = shares.get(domain, NOTHING) + share
        if record.added and not record.total.covers(add_shares(shares)):
            return False
        self.accounts_by_id[record.account_id] = AccountShares(
            record.configuration_version, record.total, shares, record.targets
        )
        return True

    def _apply_moves(self, record: SharesMoved) -> bool:
        grantor = self.grantor_of(record.domain)
        if record.epoch != grantor.epoch or record.sequence != grantor.sequence + 1:
            return False
        if grantor.epoch == 0:
            return False
        self.grantors_by_domain[record.domain] = replace(
            grantor, sequence=record.sequence
        )
        for move in record.moves:
            self._apply_move(record.domain, move)
        for account_id, share in record.taken.items():
            self._apply_claim(record.domain, account_id, share)
        return True

    def _apply_move(self, domain: FailureDomainId, move: ShareMove) -> None:
        account = self.accounts_by_id.get(move.account_id)
        if account is None or not move.share.is_valid():
            return
        own = account.shares.get(domain, NOTHING)
        if not own.covers(move.share):
            return
        changed_shares = {domain: own - move.share}
        if move.to_domain != UNASSIGNED_DOMAIN:
            receiver_share = changed_shares.get(
                move.to_domain, account.shares.get(move.to_domain, NOTHING)
            )
            changed_shares[move.to_domain] = receiver_share + move.share
        self._set_shares(move.account_id, changed_shares)

    def _apply_claim(
        self, domain: FailureDomainId, account_id: ClientAccountId, share: Share
    ) -> None:
        account = self.accounts_by_id.get(account_id)
        if account is None or not share.is_valid():
            return
        if not self.unassigned_share(account_id).covers(share):
            return
        own = account.shares.get(domain, NOTHING)
        self._set_shares(account_id, {domain: own + share})

    def _set_shares(
        self,
        account_id: ClientAccountId,
        changed_shares: Mapping[FailureDomainId, Share],
    ) -> None:
        account = self.accounts_by_id[account_id]
        self.accounts_by_id[account_id] = AccountShares(
            account.configuration_version,
            account.total,
            {**account.shares, **changed_shares},
            account.targets,
        )

    def _apply_appointment(self, record: GrantorAppointed) -> bool:
        grantor = self.grantor_of(record.domain)
        if record.builds_on != grantor.epoch:
            return False
        self.grantors_by_domain[record.domain] = DomainGrantor(
            epoch=grantor.epoch + 1,
            configuration_version=record.configuration_version,
            appointee=DaemonIdentity(
                record.host_id, record.incarnation, record.control_address
            ),
            predecessors=_next_predecessors(grantor),
        )
        return True

    def _apply_activation(self, record: GrantorActivated) -> bool:
        grantor = self.grantor_of(record.domain)
        if record.epoch != grantor.epoch:
            return False
        self.grantors_by_domain[record.domain] = replace(grantor, predecessors=())
        return True

    def _apply_domain_freed(self, record: DomainFreed) -> bool:
        grantor = self.grantor_of(record.domain)
        if record.epoch != grantor.epoch:
            return False
        if record.configuration_version <= grantor.configuration_version:
            return False
        self.grantors_by_domain[record.domain] = DomainGrantor(
            epoch=grantor.epoch + 1,
            configuration_version=record.configuration_version,
            predecessors=_next_predecessors(grantor),
        )
        for account_id in self.accounts_by_id:
            if record.domain in self.accounts_by_id[account_id].shares:
                self._set_shares(account_id, {record.domain: NOTHING})
        return True


def _next_predecessors(grantor: DomainGrantor) -> tuple[DaemonIdentity, ...]:
    """Returns the predecessors of the grantor that follows this one."""
    if grantor.appointee is None:
        return grantor.predecessors
    return (*grantor.predecessors, grantor.appointee)


def excess_share(account: AccountShares, domain: FailureDomainId) -> Share:
    """Returns what a domain has to return after a decrease of the account's total."""
    share = account.shares.get(domain, NOTHING)
    target = account.targets.get(domain, NOTHING)
    total_excess = add_shares(account.shares) - account.total
    return Share(
        max(0, min(total_excess.rate, share.rate - target.rate)),
        max(0, min(total_excess.burst, share.burst - target.burst)),
    )
