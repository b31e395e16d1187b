"""Tests with real processes: log outages, partitions, pauses, retention."""

import msgspec
import pytest

from mangospoke.bench.waiting import wait_until
from mangospoke.client.connections import ExchangeError
from mangospoke.conf.declarations import ClientAccount
from mangospoke.standin.links import LinkMode, LinkState
from mangospoke.standin.log import LogFaults, Retention
from tests.harness.plans import small_fleet


class FleetObserver:
    """Publishes changes and waits until the status of hosts shows them."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def publish_change(self):
        base = self.fleet.plan.base
        accounts = dict(base.accounts)
        accounts[f"new-{self.fleet.version}"] = ClientAccount(rate=1, burst=1)
        return await self.fleet.publish(
            msgspec.structs.replace(base, accounts=accounts)
        )

    async def wait_for(self, host_id, condition, description):
        async def is_met():
            try:
                return condition(await self.fleet.status(host_id))
            except ExchangeError:
                return False

        await wait_until(is_met, f"{host_id}: {description}", 40)

    async def wait_for_version(self, version, hosts=None):
        for host_id in hosts or self.fleet.hosts_by_id:
            await self.wait_for(
                host_id,
                lambda status: status.configuration_version >= version,
                f"v{version}",
            )

    async def wait_for_upstreams(self, host_id, service, count):
        await self.wait_for(
            host_id,
            lambda status: status.upstreams_known.get(service, 0) == count,
            f"{count} of {service}",
        )


@pytest.fixture
async def start(start_fleet):
    async def start_observed(**plan):
        small = small_fleet(**plan)
        return FleetObserver(await start_fleet(small.plan))

    return start_observed


STALLED = LinkState(mode=LinkMode.STALL)


async def test_a_domain_cut_off_from_the_log_follows_another_domain(start):
    observer = await start(domains=("a", "b"))
    await observer.fleet.set_links({"a->log": STALLED, "log->a": STALLED})
    version = await observer.publish_change()
    await observer.wait_for_version(version)
    await observer.wait_for(
        "a-jobs-0", lambda status: status.state.source != "log", "by a neighbour"
    )


async def test_a_new_host_reads_from_peers_while_the_log_is_down(start):
    observer = await start(domains=("a", "b"))
    fleet = observer.fleet
    version = await observer.publish_change()
    await observer.wait_for_version(version)
    await fleet.set_log_faults(LogFaults(down=True))
    host = fleet.hosts_by_id["a-jobs-0"]
    host.daemon.kill_and_reap()
    host.daemon.start()
    await observer.wait_for_version(version)
    # Its upstream announces itself again; the domain shares the record provisionally.
    first = (await fleet.status("a-jobs-0")).incarnation
    await observer.wait_for(
        "a-jobs-0", lambda status: status.upstream is not None, "announced"
    )
    await observer.wait_for(
        "a-batches-0", lambda status: status.state.provisional >= 1, "shared"
    )
    await fleet.set_log_faults(LogFaults())
    await observer.wait_for(
        "a-batches-0", lambda status: status.state.provisional == 0, "in the log"
    )
    await observer.wait_for_upstreams("b-jobs-0", "jobs", 2)
    assert first


async def test_a_paused_host_is_declared_dead_and_comes_back(start):
    observer = await start(hosts_per_domain=2)
    daemon = observer.fleet.hosts_by_id["a-batches-1"].daemon
    daemon.pause()
    try:
        await observer.wait_for_upstreams("a-jobs-0", "batches", 1)
    finally:
        daemon.resume()
    await observer.wait_for_upstreams("a-jobs-0", "batches", 2)
    await observer.wait_for_upstreams("a-batches-1", "batches", 2)


async def test_a_killed_host_is_declared_dead_and_replaced(start):
    observer = await start(hosts_per_domain=2)
    host = observer.fleet.hosts_by_id["a-batches-1"]
    host.upstream.kill_and_reap()
    host.daemon.kill_and_reap()
    await observer.wait_for_upstreams("a-jobs-0", "batches", 1)
    host.daemon.start()
    host.upstream.start()
    await observer.wait_for_upstreams("a-jobs-0", "batches", 2)


async def test_no_domain_declares_another_one_dead(start):
    """A domain cut off from the log and all other domains stays in the membership."""
    observer = await start(domains=("a", "b"), hosts_per_domain=2)
    fleet = observer.fleet
    await fleet.set_links({"a->*": STALLED, "*->a": STALLED})
    version = await observer.publish_change()
    hosts_of_b = [host for host in fleet.hosts_by_id if host.startswith("b-")]
    await observer.wait_for_version(version, hosts_of_b)
    await observer.wait_for(
        "a-jobs-0", lambda status: status.state.age_s > 10, "staleness shown"
    )
    for host_id in ("a-jobs-0", "b-jobs-0"):
        status = await fleet.status(host_id)
        assert status.upstreams_known == {"jobs": 4, "batches": 4}
    await fleet.set_links({"a->*": LinkState(), "*->a": LinkState()})
    await observer.wait_for_version(version)
    await observer.wait_for(
        "a-jobs-0", lambda status: status.state.age_s < 10, "fresh again"
    )


async def test_state_survives_retention_dropping_all_records(start):
    """After all records are dropped, a new host starts from the readers' snapshots."""
    observer = await start(domains=("a", "b"))
    fleet = observer.fleet
    version = await observer.publish_change()
    await observer.wait_for_version(version)
    await fleet.set_retention(Retention(records=0))

    async def has_snapshot():
        answer = await fleet._ask(
            fleet.addresses.log, "GET", "/streams/configuration/records?from=99&limit=1"
        )
        read = msgspec.json.decode(answer.body)
        return read["next_offset"] > read["first_offset"]

    await wait_until(has_snapshot, "a snapshot", 60)
    host = fleet.hosts_by_id["b-jobs-0"]
    host.daemon.kill_and_reap()
    host.daemon.start()
    await observer.wait_for_version(version)
    newer = await observer.publish_change()
    assert newer == version + 1
    await observer.wait_for_version(newer)
