"""Control messages about rates: between hosts and grantors, and among grantors."""

from msgspec import Struct

from mangospoke.control.messages import Message
from mangospoke.ids import ClientAccountId, FailureDomainId, HostId, Incarnation
from mangospoke.rates.units import Share


class AccountNeed(Struct, frozen=True, array_like=True):
    """What a host holds and needs of an account's rate.

    Attributes:
        held: What it goes on using; everything else it has stopped using.
        level: Thousandths of a token in its bucket.
        demand: Requests that arrive, per 1000 s.
        returned: Thousandths of a token that it gives back.
        short: Requests that wait or were refused for want of tokens.
    """

    account_id: ClientAccountId
    held: Share
    level: int
    demand: int
    returned: int
    short: int


class RequestGrants(Message, frozen=True, tag="request-grants"):
    """A host tells its domain's grantor all that it holds and needs.

    Attributes:
        epoch: Epoch of the grantor from whom it holds what it holds.
        sequence: Grows with each request of the host's incarnation.
        needs: All accounts that it holds something of or needs; of all others it
            holds nothing any more.
    """

    host_id: HostId
    incarnation: Incarnation
    control_address: str
    epoch: int
    sequence: int
    needs: tuple[AccountNeed, ...]


class AccountGrant(Struct, frozen=True, array_like=True):
    """What a host may use of an account from now on.

    Attributes:
        tokens: Thousandths of a token to put into its bucket.
        vouchers: Requests that may be admitted at once, apart from the bucket.
        voucher_us: Microseconds from the sending of the request for which they may.
    """

    account_id: ClientAccountId
    share: Share
    tokens: int
    vouchers: int = 0
    voucher_us: int = 0


class Grants(Message, frozen=True, tag="grants"):
    """What a host may use; accounts that are left out stay as requested.

    Attributes:
        epoch: The grantor's epoch.
        life_ms: Milliseconds from the sending of the request for which it holds.
    """

    epoch: int
    life_ms: int
    grants: tuple[AccountGrant, ...]


class NotGrantor(Message, frozen=True, tag="not-grantor"):
    """The asked daemon can't grant now.

    Attributes:
        epoch: Highest epoch of the domain that it knows.
        control_address: Where that epoch's grantor is; empty if it knows none.
        taking_over: Whether the asked daemon will grant soon.
    """

    epoch: int
    control_address: str
    taking_over: bool = False


class Supersede(Message, frozen=True, tag="supersede"):
    """Tells a daemon that its domain has a newer grantor than itself."""

    domain: FailureDomainId
    epoch: int


class Superseded(Message, frozen=True, tag="superseded"):
    """The daemon will never grant again in an epoch before the one named."""

    incarnation: Incarnation


class Nudge(Message, frozen=True, tag="nudge"):
    """Asks a host to send its next request for grants at once."""


class Nudged(Message, frozen=True, tag="nudged"):
    """The host will."""


class AccountWant(Struct, frozen=True, array_like=True):
    """What a domain wants of an account's rate.

    Attributes:
        share: What it has.
        demand: Requests that arrive there, per 1000 s.
        want: How much more it wants.
        waiting: Requests that wait there for a token.
    """

    account_id: ClientAccountId
    share: Share
    demand: int
    want: Share
    waiting: int = 0


class RequestShares(Message, frozen=True, tag="request-shares"):
    """A domain's grantor asks another's to give up what it doesn't need."""

    domain: FailureDomainId
    epoch: int
    wants: tuple[AccountWant, ...]


class SharesPromised(Message, frozen=True, tag="shares-promised"):
    """What another domain gives.

    Attributes:
        shares: What will be moved through the log; unusable until it is read there.
        vouchers: Requests that may be admitted for a moment from the sending of the
            question on.
    """

    shares: dict[ClientAccountId, Share]
    vouchers: dict[ClientAccountId, int]


class TokenAmount(Struct, frozen=True, array_like=True):
    """Tokens of an account.

    Attributes:
        milli: Thousandths of a token.
    """

    account_id: ClientAccountId
    milli: int


class BorrowTokens(Message, frozen=True, tag="borrow-tokens"):
    """Asks a host for tokens that it doesn't need soon."""

    wants: tuple[TokenAmount, ...]


class TokensLent(Message, frozen=True, tag="tokens-lent"):
    """Tokens taken out of the answering host's buckets."""

    lent: tuple[TokenAmount, ...]
