"""A site's lower rate limits what enters at that site, over all its hosts together."""

import dataclasses

import trio

from mangospoke.conf.declarations import FailureDomain
from mangospoke.conf.effective import EffectiveAccount, EffectiveConfiguration
from mangospoke.rates.site_limits import SiteLimits
from mangospoke.state.fleet import Fleet
from tests.rates.fake_fleet import announcement

ACCOUNT = EffectiveAccount("acme", 100, 100, 1, {}, None, None)
ACCOUNT_AT_YARD = dataclasses.replace(ACCOUNT, site_rate=10, site_burst=4)


def make_hosts():
    """Makes two hosts at the yard, in different domains, and one at the office.

    Returns:
        The hosts, and the list of accounts checked against the fleet-wide rate.
    """
    domains = {
        "a": FailureDomain(site="yard"),
        "b": FailureDomain(site="yard"),
        "c": FailureDomain(site="office"),
    }
    checked = []

    async def check_fleet_rate(account):
        checked.append(account)

    hosts = []
    for site in ("yard", "yard", "office"):
        fleet = Fleet(site)
        fleet.configuration = EffectiveConfiguration(1, domains_by_id=domains)
        for host_id in ("a0", "b0", "c0"):
            fleet.apply_membership(announcement(host_id))
        hosts.append(SiteLimits(fleet, site, check_fleet_rate))
    return hosts, checked


async def count_admitted(seconds, hosts, account):
    count = 0
    for _ in range(seconds * 100):
        for host in hosts:
            count += await host.admit(account) is None
        await trio.sleep(0.01)
    return count


async def test_the_hosts_of_a_site_share_its_rate(autojump_clock):
    hosts, checked = make_hosts()
    admitted = await count_admitted(10, hosts[:2], ACCOUNT_AT_YARD)
    assert 90 <= admitted <= 10 * 10 + 4
    assert len(checked) == admitted
    assert all(account.rate == 100 for account in checked)


async def test_without_a_site_limit_only_the_fleet_limit_applies(autojump_clock):
    hosts, checked = make_hosts()
    assert await count_admitted(1, hosts[2:], ACCOUNT) == 100
    assert len(checked) == 100
