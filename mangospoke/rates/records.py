"""Records of the shares stream.

A record is accepted by every reader or by none: see `rates.share_table`. Epochs
count the appointments of a domain's grantor.
"""

from msgspec import Struct

from mangospoke.ids import ClientAccountId, FailureDomainId, HostId, Incarnation
from mangospoke.logservice.records import LogStream, Record, register_record_types
from mangospoke.rates.units import Share


class SharesDeclared(Record, frozen=True, kw_only=True, tag="shares-declared"):
    """A configuration version declares an account's rate and burst.

    Attributes:
        builds_on: Configuration version of the account's previous declaration; 0 if
            there is none. The record is ignored if another one came in between.
        configuration_version: Configuration version that declares the total.
        total: The account's rate and burst.
        added: Increase of each domain's share.
        targets: Share that each domain has to shrink to after a decrease.
    """

    account_id: ClientAccountId
    builds_on: int
    configuration_version: int
    total: Share
    added: dict[FailureDomainId, Share] = {}
    targets: dict[FailureDomainId, Share] = {}


class ShareMove(Struct, frozen=True, array_like=True):
    """A part of an account's rate and burst that a domain gives up.

    Attributes:
        to_domain: Domain that receives it; empty if it becomes unassigned.
        tokens: Thousandths of a token that were removed from the domain's pool along
            with it.
    """

    account_id: ClientAccountId
    share: Share
    to_domain: FailureDomainId
    tokens: int = 0


class SharesMoved(Record, frozen=True, kw_only=True, tag="shares-moved"):
    """A domain gives up shares that it has stopped using, or claims unassigned ones.

    Attributes:
        domain: The domain that gives up and claims.
        epoch: Epoch of the grantor that wrote the record.
        sequence: Number of the record within the epoch, counted from 1.
        taken: Unassigned shares that the domain claims.
    """

    domain: FailureDomainId
    epoch: int
    sequence: int
    moves: tuple[ShareMove, ...] = ()
    taken: dict[ClientAccountId, Share] = {}


class GrantorAppointed(Record, frozen=True, kw_only=True, tag="grantor-appointed"):
    """A daemon becomes its domain's grantor.

    Attributes:
        builds_on: Epoch of the previous grantor; 0 if there was none.
        configuration_version: Version in force, which doesn't declare the domain lost.
    """

    domain: FailureDomainId
    builds_on: int
    configuration_version: int
    host_id: HostId
    incarnation: Incarnation
    control_address: str


class GrantorActivated(Record, frozen=True, kw_only=True, tag="grantor-activated"):
    """A grantor has started; none of its predecessors grants any more."""

    domain: FailureDomainId
    epoch: int


class DomainFreed(Record, frozen=True, kw_only=True, tag="domain-freed"):
    """An operator declared a domain lost, so its shares become unassigned.

    Attributes:
        epoch: The domain's epoch when the record was written.
        configuration_version: Version that declares the domain lost.
    """

    domain: FailureDomainId
    epoch: int
    configuration_version: int


class AccountShares(Struct, frozen=True):
    """An account's shares, in the share table and in snapshots.

    Attributes:
        configuration_version: Configuration version that declared the total.
        total: The account's declared rate and burst.
        shares: Current share of each domain.
        targets: Share that each domain has to shrink to after a decrease.
    """

    configuration_version: int
    total: Share
    shares: dict[FailureDomainId, Share]
    targets: dict[FailureDomainId, Share] = {}


class DaemonIdentity(Struct, frozen=True):
    """An incarnation of a daemon, as an actual or possible grantor."""

    host_id: HostId
    incarnation: Incarnation
    control_address: str


class DomainGrantor(Struct, frozen=True):
    """A domain's grantor, in the share table and in snapshots.

    Attributes:
        epoch: Incremented by each appointment and when the domain is freed; 0 before
            the first appointment.
        sequence: Number of the last `SharesMoved` record accepted in this epoch.
        configuration_version: Version in force when the epoch began.
        appointee: The grantor, or None if there never was one or the domain was freed.
        predecessors: Earlier grantors that may not know yet that they were replaced.
    """

    epoch: int = 0
    sequence: int = 0
    configuration_version: int = 0
    appointee: DaemonIdentity | None = None
    predecessors: tuple[DaemonIdentity, ...] = ()


class SharesSnapshot(Record, frozen=True, kw_only=True, tag="shares-snapshot"):
    """The whole share table, appended before the log drops the records behind it.

    Attributes:
        next_offset: Offset of the first record that isn't included. Records between
            this offset and the snapshot's own are read again by whoever loads it.
    """

    next_offset: int
    accounts: dict[ClientAccountId, AccountShares]
    grantors: dict[FailureDomainId, DomainGrantor]


SharesRecord = (
    SharesDeclared
    | SharesMoved
    | GrantorAppointed
    | GrantorActivated
    | DomainFreed
    | SharesSnapshot
)

register_record_types(LogStream.SHARES, SharesRecord)
