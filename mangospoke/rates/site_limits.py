"""Lower rate limits of an account at one site, applied before the fleet-wide limit.

An operator sets such a limit for a single site, so equal static shares suffice: each
host of the site enforces its share of rate and burst without asking other hosts. While
the hosts of a site disagree on how many they are, the sum of their shares deviates from
the limit accordingly.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.ids import SiteId
from mangospoke.rates.static import StaticShares
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import Refused

Quota = Callable[[EffectiveAccount], Awaitable[Refused | None]]
"""Takes one token of an account's rate, or refuses the request.

It may wait for a fraction of a second for a token. If there is one already, it must
return without awaiting anything.
"""


class SiteLimits:
    """Applies the site's limits of an account, then the fleet's.

    Args:
        fleet: The fleet, whose upstreams tell the hosts of the site.
        site: The site of this host.
        check_fleet_rate: Applies the fleet-wide limit.
    """

    def __init__(self, fleet: Fleet, site: SiteId, check_fleet_rate: Quota) -> None:
        self._fleet = fleet
        self._site = site
        self._check_fleet_rate = check_fleet_rate
        self._shares = StaticShares(self._count_hosts)

    def _count_hosts(self) -> int:
        domains = self._fleet.configuration.domains_by_id
        return sum(
            upstream.failure_domain in domains
            and domains[upstream.failure_domain].site == self._site
            for upstream in self._fleet.upstreams_by_host.values()
        )

    async def admit(self, account: EffectiveAccount) -> Refused | None:
        """Takes one token under the site's limit, if there is one, and the fleet's."""
        if account.site_rate is not None or account.site_burst is not None:
            refused = await self._shares.admit(
                _with_site_limits(account, self._count_hosts())
            )
            if refused is not None:
                return refused
        return await self._check_fleet_rate(account)


def _with_site_limits(account: EffectiveAccount, hosts: int) -> EffectiveAccount:
    """Returns the account with its site's limits as rate and burst.

    The burst is at least one token per host, since a bucket that can't hold a whole
    token never admits a request.
    """
    rate = account.rate if account.site_rate is None else account.site_rate
    burst = account.burst if account.site_burst is None else account.site_burst
    return replace(
        account,
        rate=min(rate, account.rate),
        burst=max(hosts, min(burst, account.burst)),
    )
