"""A site's lower rate for an account, held before the rate over the whole fleet.

The restriction is an operator's own, at one site, so that equal static parts of it do:
each host of the site holds its part of rate and burst, without asking anybody. While
hosts of the site differ in how many they know of, the sum is off by that difference.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.ids import SiteId
from mangospoke.rates.static import StaticShares
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import Refused

Quota = Callable[[EffectiveAccount], Awaitable[Refused | None]]
"""Takes one request out of an account's rate, or refuses it.

It may let a request wait for a fraction of a second, but awaits nothing if it needn't.
"""


class SiteLimits:
    """Holds accounts to their site's limits, then to the fleet's."""

    def __init__(self, fleet: Fleet, site: SiteId, fleet_quota: Quota) -> None:
        self._fleet = fleet
        self._site = site
        self._fleet_quota = fleet_quota
        self._shares = StaticShares(self._count_hosts)

    def _count_hosts(self) -> int:
        domains = self._fleet.configuration.domains_by_id
        return sum(
            upstream.failure_domain in domains
            and domains[upstream.failure_domain].site == self._site
            for upstream in self._fleet.upstreams_by_host.values()
        )

    async def admit(self, account: EffectiveAccount) -> Refused | None:
        """Takes one request out of the site's limit, if it has one, and the fleet's."""
        if account.site_rate is not None or account.site_burst is not None:
            refused = await self._shares.admit(_limited(account, self._count_hosts()))
            if refused is not None:
                return refused
        return await self._fleet_quota(account)


def _limited(account: EffectiveAccount, hosts: int) -> EffectiveAccount:
    """The account with its site's limits; a burst of a token a host at least."""
    rate = account.rate if account.site_rate is None else account.site_rate
    burst = account.burst if account.site_burst is None else account.site_burst
    return replace(
        account,
        rate=min(rate, account.rate),
        burst=max(hosts, min(burst, account.burst)),
    )
