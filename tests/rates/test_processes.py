"""Rates of a fleet of real processes hold through pauses, kills and partitions."""

import pytest
import trio
from harness.plans import ACCOUNT, BACK, small_fleet

from mangospoke.bench.rate_histories import find_certain_excess
from mangospoke.bench.rates_experiment import RateLoad
from mangospoke.bench.waiting import wait_until
from mangospoke.standin.links import LinkMode, LinkState
from mangospoke.standin.log import LogFaults

RATE = 60
BURST = 30
OVERLOAD = 3.0
"""Arrival rate as a multiple of the account's rate."""


@pytest.fixture
async def fleet_under_load(start_fleet):
    small_plan = small_fleet(
        domains=("a", "b"),
        hosts_per_domain=3,
        services=(BACK,),
        delay_ms=1,
        rate=RATE,
        burst=BURST,
    )
    fleet = await start_fleet(small_plan.plan)
    load = RateLoad(fleet, small_plan.keys_by_account[ACCOUNT], RATE)
    await wait_until(lambda: _all_domains_have_grantors(fleet), "grantors")
    return FleetUnderLoad(fleet, load)


async def _all_domains_have_grantors(fleet):
    return await grantor_of(fleet, "a") and await grantor_of(fleet, "b")


async def grantor_of(fleet, domain):
    for host in fleet.hosts_by_id.values():
        if host.plan.failure_domain == domain and host.daemon.is_running:
            with trio.move_on_after(1):
                status = await fleet.status(host.plan.host_id)
                if status.grantor_state == "active":
                    return host
    return None


class FleetUnderLoad:
    """A fleet and the load generator of its only account."""

    def __init__(self, fleet, load):
        self.fleet = fleet
        self.load = load

    async def drive(self, seconds, load=OVERLOAD, domains=("a", "b")):
        """Sends requests at a multiple of the rate; returns how many were admitted."""
        admitted_before = len(self.load.admitted)
        await self.load.drive(seconds, load, domains, target="/batches/1")
        return len(self.load.admitted) - admitted_before

    def assert_rate_holds(self):
        assert find_certain_excess(self.load.admitted, RATE, BURST) <= 0


async def test_the_whole_rate_is_admitted_and_no_more(fleet_under_load):
    assert await fleet_under_load.drive(5) > 0.5 * 5 * RATE
    fleet_under_load.assert_rate_holds()


async def test_a_paused_grantor_exceeds_no_rate(fleet_under_load):
    grantor = await grantor_of(fleet_under_load.fleet, "a")
    await fleet_under_load.drive(1)
    grantor.daemon.pause()
    await fleet_under_load.drive(5)
    grantor.daemon.resume()
    await fleet_under_load.drive(5)
    fleet_under_load.assert_rate_holds()

    async def find_grantor():
        return await grantor_of(fleet_under_load.fleet, "a")

    await wait_until(find_grantor, "a grantor after the pause")


async def test_a_paused_host_exceeds_no_rate(fleet_under_load):
    grantor = await grantor_of(fleet_under_load.fleet, "a")
    paused = next(
        host
        for host in fleet_under_load.fleet.hosts_by_id.values()
        if host.plan.failure_domain == "a" and host is not grantor
    )
    await fleet_under_load.drive(1)
    paused.daemon.pause()
    await fleet_under_load.drive(5.5)
    paused.daemon.resume()
    await fleet_under_load.drive(2)
    fleet_under_load.assert_rate_holds()


async def test_a_killed_grantor_is_replaced(fleet_under_load):
    grantor = await grantor_of(fleet_under_load.fleet, "a")
    await fleet_under_load.drive(1)
    grantor.daemon.kill()
    await grantor.daemon.wait()
    grantor.daemon.start()
    await fleet_under_load.drive(6)
    fleet_under_load.assert_rate_holds()

    async def find_grantor():
        return await grantor_of(fleet_under_load.fleet, "a")

    await wait_until(find_grantor, "a grantor after the kill")


async def test_partitioned_domains_keep_their_shares(fleet_under_load):
    await fleet_under_load.drive(2, load=1)
    partitioned = LinkState(mode=LinkMode.RESET)
    links = ("a->b", "b->a", "a->log", "b->log")
    await fleet_under_load.fleet.set_links(dict.fromkeys(links, partitioned))
    await fleet_under_load.fleet.set_log_faults(LogFaults(down=True))
    for domain in ("a", "b"):
        assert await fleet_under_load.drive(2, domains=(domain,)) > 0
    await fleet_under_load.drive(2)
    await fleet_under_load.fleet.set_links(dict.fromkeys(links, LinkState()))
    await fleet_under_load.fleet.set_log_faults(LogFaults())
    await fleet_under_load.drive(3)
    fleet_under_load.assert_rate_holds()
