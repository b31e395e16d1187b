"""What this host was granted of each account, and the demand it reports for it."""

import math

from mangospoke.ids import ClientAccountId, HostId, Incarnation
from mangospoke.rates.bucket import TokenBucket
from mangospoke.rates.messages import AccountNeed, Grants, RequestGrants
from mangospoke.rates.timing import NS_PER_MS, NS_PER_S, NS_PER_US
from mangospoke.rates.units import MILLI, Share

_DEMAND_TIME_CONSTANT_NS = 300 * NS_PER_MS
"""Time constant of the exponential moving average of an account's demand."""

_IDLE_TIMEOUT_NS = 5 * NS_PER_S
"""An account without requests for this long is left out of requests for grants."""


class AccountState:
    """What a host holds of one account, and the demand it measures.

    Attributes:
        bucket: The granted tokens; usable only until the holder's `expires_at`.
        arrivals: Requests that arrived since the last report to the grantor.
        demand: Moving average of arrivals, in thousandths of a request per second.
        refused: Requests refused since the last report to the grantor.
        waiting: Requests that wait for a token now.
        returned: Millitokens to give back because the bucket became smaller.
        vouchers: Requests that may be admitted until `vouchers_end`.
    """

    __slots__ = (
        "arrivals",
        "bucket",
        "demand",
        "last_arrival",
        "refused",
        "returned",
        "vouchers",
        "vouchers_end",
        "waiting",
    )

    def __init__(self, now: int) -> None:
        self.bucket = TokenBucket(now)
        self.arrivals = 0
        self.demand = 0.0
        self.refused = 0
        self.waiting = 0
        self.returned = 0
        self.last_arrival = now
        self.vouchers = 0
        self.vouchers_end = now

    def share(self) -> Share:
        """Returns the share that the host may use."""
        return Share(self.bucket.rate, self.bucket.burst)

    def clear(self, now: int) -> None:
        """Drops the share and all tokens."""
        self.bucket = TokenBucket(now)
        self.returned = 0

    def update_demand(self, now: int, elapsed_ns: int) -> None:
        """Adds the arrivals of the elapsed time to the moving average."""
        if elapsed_ns <= 0:
            return
        measured = self.arrivals * MILLI * NS_PER_S / elapsed_ns
        weight = 1 - math.exp(-elapsed_ns / _DEMAND_TIME_CONSTANT_NS)
        self.demand += weight * (measured - self.demand)
        self.arrivals = 0


class Holder:
    """All grants of one host.

    Attributes:
        epoch: Highest epoch whose grants were applied; grants of a lower epoch are
            ignored.
        expires_at: When all grants expire.
    """

    def __init__(
        self,
        host_id: HostId,
        incarnation: Incarnation,
        control_address: str,
        now: int,
    ) -> None:
        self.epoch = 0
        self.expires_at = 0
        self.accounts_by_id: dict[ClientAccountId, AccountState] = {}
        self._host_id = host_id
        self._incarnation = incarnation
        self._control_address = control_address
        self._sequence = 0
        self._last_request_at = now

    def arrived(self, account_id: ClientAccountId, now: int) -> AccountState:
        """Counts an arriving request of an account and returns the account's state."""
        account = self.accounts_by_id.get(account_id)
        if account is None:
            account = self.accounts_by_id[account_id] = AccountState(now)
        account.arrivals += 1
        account.last_arrival = now
        return account

    def take_token(self, account: AccountState, now: int) -> bool:
        """Takes a token or a voucher that has not expired; returns False if none."""
        if now < self.expires_at and account.bucket.take_token(now):
            return True
        if account.vouchers == 0 or now >= account.vouchers_end:
            return False
        account.vouchers -= 1
        return True

    def request(self, now: int) -> RequestGrants:
        """Builds the next request to the grantor.

        Only the answer to the last request built can be applied.
        """
        if now >= self.expires_at:
            self._clear_all(now)
        elapsed_ns = now - self._last_request_at
        self._last_request_at = now
        self._sequence += 1
        needs = []
        for account_id, account in list(self.accounts_by_id.items()):
            account.update_demand(now, elapsed_ns)
            if now - account.last_arrival > _IDLE_TIMEOUT_NS and not account.waiting:
                del self.accounts_by_id[account_id]
                continue
            needs.append(self._report_need(account_id, account, now))
        return RequestGrants(
            self._host_id,
            self._incarnation,
            self._control_address,
            self.epoch,
            self._sequence,
            tuple(needs),
        )

    def _report_need(
        self, account_id: ClientAccountId, account: AccountState, now: int
    ) -> AccountNeed:
        need = AccountNeed(
            account_id=account_id,
            held=account.share(),
            level=account.bucket.level(now),
            demand=round(account.demand),
            returned=account.returned,
            short=account.waiting + account.refused,
        )
        account.returned = 0
        account.refused = 0
        return need

    def _clear_all(self, now: int) -> None:
        for account in self.accounts_by_id.values():
            account.clear(now)

    def apply(
        self, request: RequestGrants, sent_at: int, grants: Grants, now: int
    ) -> bool:
        """Applies the answer to the last request.

        Args:
            request: The request that was answered.
            sent_at: Time just before the request was sent, in nanoseconds; grants and
                vouchers expire relative to it.
            grants: The answer.
            now: The current time in nanoseconds.

        Returns:
            Whether some share became smaller, so that the grantor should soon hear
            that the difference is no longer used.
        """
        if request.sequence != self._sequence or grants.epoch < self.epoch:
            return False
        if grants.epoch != self.epoch:
            self._clear_all(now)
            self.epoch = grants.epoch
        self.expires_at = sent_at + grants.life_ms * NS_PER_MS
        has_shrunk = False
        for grant in grants.grants:
            account = self.accounts_by_id.get(grant.account_id)
            if account is None:
                continue
            previous = account.share()
            account.returned += account.bucket.resize(
                now, grant.share.rate, grant.share.burst
            )
            account.bucket.add(now, grant.tokens)
            account.vouchers = grant.vouchers
            account.vouchers_end = sent_at + grant.voucher_us * NS_PER_US
            has_shrunk = has_shrunk or not grant.share.covers(previous)
        return has_shrunk
