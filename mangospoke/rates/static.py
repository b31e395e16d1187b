"""Equal static shares of each account's rate: the baseline for the dynamic ones."""

from collections.abc import Callable

import trio

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.ids import ClientAccountId
from mangospoke.verdicts import RefusalReason, Refused


class _Bucket:
    """A token bucket that starts empty.

    Attributes:
        tokens: Tokens at `updated_at`.
        updated_at: Trio time of the last update, in seconds.
    """

    __slots__ = ("tokens", "updated_at")

    def __init__(self, now: float) -> None:
        self.tokens = 0.0
        self.updated_at = now


class StaticShares:
    """Limits each account to an equal share of its rate at every host.

    Args:
        count_hosts: Returns the number of hosts that share the rate.
    """

    def __init__(self, count_hosts: Callable[[], int]) -> None:
        self._count_hosts = count_hosts
        self._buckets_by_account: dict[ClientAccountId, _Bucket] = {}

    async def admit(self, account: EffectiveAccount) -> Refused | None:
        """Takes one token of the account's share at this host, or refuses."""
        now = trio.current_time()
        hosts = max(1, self._count_hosts())
        bucket = self._buckets_by_account.get(account.account_id)
        if bucket is None:
            bucket = self._buckets_by_account[account.account_id] = _Bucket(now)
        earned = (now - bucket.updated_at) * account.rate / hosts
        bucket.tokens = min(account.burst / hosts, bucket.tokens + earned)
        bucket.updated_at = now
        if bucket.tokens < 1:
            return Refused(RefusalReason.OVER_RATE, "the account is over its rate")
        bucket.tokens -= 1
        return None
