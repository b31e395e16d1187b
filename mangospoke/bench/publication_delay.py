"""Measures how long a published change takes to be in force at every host.

    python -m mangospoke.bench.publication_delay HOSTS_PER_DOMAIN

starts a fleet with four times as many hosts in each of three failure domains,
publishes one change after another, and prints the delays.
"""

import dataclasses
import statistics
import sys
import tempfile
import time
from functools import partial
from pathlib import Path

import msgspec
import trio

from mangospoke.bench.fleet import Fleet, run_fleet
from mangospoke.bench.plan import FleetPlan
from mangospoke.bench.trommelwerk import LARGE_ACCOUNT, make_trommelwerk
from mangospoke.conf.declarations import Base
from mangospoke.conf.sections import split_sections
from mangospoke.conf.settings import LogService
from mangospoke.ids import ClientAccountId, HostId
from mangospoke.logservice.client import LogClient
from mangospoke.publication.confirmation import wait_until_active
from mangospoke.publication.hosts import fetch_status, find_hosts
from mangospoke.publication.publishing import Published, publish_sections

CHANGES = 10

_TIMEOUT_S = 60.0
_STATUS_TIMEOUT_S = 5.0
_MAXIMUM_HOSTS_PER_DOMAIN = 4


async def measure(hosts_per_domain: int) -> None:
    """Measures with a fleet and prints the delays in seconds."""
    plan = _enlarge(make_trommelwerk().plan, hosts_per_domain)
    with tempfile.TemporaryDirectory(prefix="mangospoke-") as directory:
        async with run_fleet(plan, Path(directory)) as fleet:
            delays = [
                await _publish_change(fleet, _change(plan.base, number))
                for number in range(CHANGES)
            ]
            await fleet.stop()
    median = statistics.median(delays)
    print(
        f"{len(plan.hosts)} hosts, {CHANGES} changes: in force everywhere after "
        f"{median:.3f} s in the median, {max(delays):.3f} s at most"
    )


def _enlarge(plan: FleetPlan, factor: int) -> FleetPlan:
    hosts = tuple(
        dataclasses.replace(host, host_id=HostId(f"{host.host_id}-{copy}"))
        for host in plan.hosts
        for copy in range(factor)
    )
    return dataclasses.replace(plan, hosts=hosts)


def _change(base: Base, number: int) -> Base:
    account_id = ClientAccountId(LARGE_ACCOUNT)
    account = base.accounts[account_id]
    changed = msgspec.structs.replace(account, weight=number + 2)
    accounts = {**base.accounts, account_id: changed}
    return msgspec.structs.replace(base, accounts=accounts)


async def _publish_change(fleet: Fleet, base: Base) -> float:
    client = LogClient(LogService(address=fleet.addresses.log))
    sections = split_sections(base, fleet.plan.overlays)
    started_at = time.perf_counter()
    outcome = await publish_sections(client, sections, "measurement", _TIMEOUT_S)
    assert isinstance(outcome, Published)
    confirmation = await wait_until_active(
        outcome.version,
        partial(find_hosts, client),
        partial(fetch_status, timeout_s=_STATUS_TIMEOUT_S),
        _TIMEOUT_S,
    )
    assert confirmation.is_complete
    return time.perf_counter() - started_at


def main() -> None:
    """Runs the measurement that the command line names."""
    hosts_per_domain = int(sys.argv[1])
    if not 1 <= hosts_per_domain <= _MAXIMUM_HOSTS_PER_DOMAIN:
        sys.exit(f"at most {_MAXIMUM_HOSTS_PER_DOMAIN} hosts a service and domain")
    trio.run(measure, hosts_per_domain)


if __name__ == "__main__":
    main()
