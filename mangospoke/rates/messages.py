"""Control messages about rates: between hosts and grantors, and among grantors."""

from msgspec import Struct

from mangospoke.control.messages import Message
from mangospoke.ids import ClientAccountId, FailureDomainId, HostId, Incarnation
from mangospoke.rates.units import Share


class AccountNeed(Struct, frozen=True, array_like=True):
    """What a host holds and needs of one account's rate.

    Attributes:
        held: Share that the host keeps using. It has stopped using the rest of its
            last grant before it sends this.
        level: Millitokens in the host's bucket.
        demand: Arriving requests, in thousandths of a request per second.
        returned: Millitokens that the host gives back.
        short: Requests that wait for a token or were refused for lack of one.
    """

    account_id: ClientAccountId
    held: Share
    level: int
    demand: int
    returned: int
    short: int


class RequestGrants(Message, frozen=True, tag="request-grants"):
    """Reports to the domain's grantor all that a host holds and needs.

    Attributes:
        epoch: Epoch of the grantor that issued what the host holds.
        sequence: Increases with each request of one incarnation of the host.
        needs: Every account that the host holds a share of or needs; it holds nothing
            of any account that is left out.
    """

    host_id: HostId
    incarnation: Incarnation
    control_address: str
    epoch: int
    sequence: int
    needs: tuple[AccountNeed, ...]


class AccountGrant(Struct, frozen=True, array_like=True):
    """What a host may use of one account from now on.

    Attributes:
        tokens: Millitokens to add to the host's bucket.
        vouchers: Requests that may be admitted in addition to the bucket's tokens.
        voucher_us: Lifetime of the vouchers in microseconds, counted from the moment
            at which the host sent its request.
    """

    account_id: ClientAccountId
    share: Share
    tokens: int
    vouchers: int = 0
    voucher_us: int = 0


class Grants(Message, frozen=True, tag="grants"):
    """What a host may use; an account that is left out keeps what was reported held.

    Attributes:
        epoch: The grantor's epoch.
        life_ms: Lifetime of all grants in milliseconds, counted from the moment at
            which the host sent its request.
    """

    epoch: int
    life_ms: int
    grants: tuple[AccountGrant, ...]


class NotGrantor(Message, frozen=True, tag="not-grantor"):
    """The daemon that received the request can't issue grants now.

    Attributes:
        epoch: Highest epoch of the domain that the daemon knows.
        control_address: Address of that epoch's grantor; empty if it knows none.
        taking_over: Whether the daemon has been appointed and will issue grants soon.
    """

    epoch: int
    control_address: str
    taking_over: bool = False


class Supersede(Message, frozen=True, tag="supersede"):
    """Tells a daemon that its domain has a newer grantor."""

    domain: FailureDomainId
    epoch: int


class Superseded(Message, frozen=True, tag="superseded"):
    """Confirms that the daemon will never grant again in an epoch before the one named.

    Attributes:
        incarnation: Incarnation of the daemon that confirms.
    """

    incarnation: Incarnation


class Nudge(Message, frozen=True, tag="nudge"):
    """Asks a host to send its next request for grants at once."""


class Nudged(Message, frozen=True, tag="nudged"):
    """Acknowledges a `Nudge`."""


class AccountWant(Struct, frozen=True, array_like=True):
    """What a domain requests of one account's rate.

    Attributes:
        share: Share that the domain has.
        demand: Requests that arrive in the domain, in thousandths of a request per
            second.
        want: Share requested on top of `share`.
        waiting: Requests that wait for a token in the domain.
    """

    account_id: ClientAccountId
    share: Share
    demand: int
    want: Share
    waiting: int = 0


class RequestShares(Message, frozen=True, tag="request-shares"):
    """One domain's grantor asks another's to give up shares that it doesn't need.

    Attributes:
        domain: Domain that asks.
        epoch: Epoch of the grantor that asks.
    """

    domain: FailureDomainId
    epoch: int
    wants: tuple[AccountWant, ...]


class SharesPromised(Message, frozen=True, tag="shares-promised"):
    """What another domain gives.

    Attributes:
        shares: Shares that will be transferred by a record in the log; the receiver
            may use them only once it has read that record.
        vouchers: Requests that may be admitted within
            `timing.FOREIGN_VOUCHER_LIFE_NS` of the sending of the request.
    """

    shares: dict[ClientAccountId, Share]
    vouchers: dict[ClientAccountId, int]


class TokenAmount(Struct, frozen=True, array_like=True):
    """An amount of tokens of one account.

    Attributes:
        milli: Millitokens.
    """

    account_id: ClientAccountId
    milli: int


class BorrowTokens(Message, frozen=True, tag="borrow-tokens"):
    """Asks a host to lend tokens that it doesn't need soon.

    Attributes:
        is_reserve: Whether to lend from the reserve, because no home has any.
    """

    wants: tuple[TokenAmount, ...]
    is_reserve: bool = False


class TokensLent(Message, frozen=True, tag="tokens-lent"):
    """Tokens taken out of the lending host's buckets.

    Attributes:
        next_token_s: Seconds until it earns a token of an account of which it has none
            to lend, by account.
        home_by_account: The home to ask instead, of accounts of which the lending host
            has just ceased to be one.
    """

    lent: tuple[TokenAmount, ...]
    next_token_s: dict[ClientAccountId, float] = {}
    home_by_account: dict[ClientAccountId, HostId] = {}


class AccountPart(Struct, frozen=True, array_like=True):
    """A part of an account's tokens that one host at a time holds.

    Each home of the account in a failure domain has a part of its own, all alike.

    Attributes:
        is_reserve: Whether it is the failure domain's reserve, not a home's part.
    """

    account_id: ClientAccountId
    is_reserve: bool


class ClaimParts(Message, frozen=True, tag="claim-parts"):
    """Tells a host of the same failure domain the sender's record, and claims parts.

    Attributes:
        record: JSON of the sender's `UpstreamAnnounced`, which the receiver may not
            have read yet.
        parts: The parts; none if the sender only tells that it leaves.
    """

    record: bytes
    parts: tuple[AccountPart, ...]


class PartsClaimed(Message, frozen=True, tag="parts-claimed"):
    """What a host says of claimed parts. Of others it knows a better claimant.

    Attributes:
        released: Parts that are the sender's from now on, and the millitokens that were
            left. No other host holds them.
        not_held: Parts that this host doesn't hold in the sender's place.
    """

    released: tuple[tuple[AccountPart, int], ...]
    not_held: tuple[AccountPart, ...]
