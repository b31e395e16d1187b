"""A host that stops hands the rates that it holds to its successor, or keeps them.

Failure: it gave them up before its record said that it leaves. If that record was over
12 s old it told nobody: until the others read the new one, requests within the rate
were refused. If it was younger it told its successor; a host that was killed before its
record was written took them over again, beside the successor (twice the rate).
"""

import os
import signal

import msgspec
import pytest
import trio

from mangospoke.bench.waiting import wait_until
from mangospoke.rates.timing import HOME_LEASE_NS, NS_PER_S
from mangospoke.rendezvous import rendezvous_rank
from tests.platform.fake_store import StoreFault
from tests.platform.hosted_fleet import run_hosted_fleet

ACCOUNT = "acme"
RATE = 5
"""Requests per second, and the burst, which is too small for more than one home."""

LEASE_S = HOME_LEASE_NS / NS_PER_S
"""A host whose record changed in this time told its successors already."""

REQUEST_INTERVAL_S = 0.3
STOPPING_S = 1.5
"""Shorter than a daemon without requests needs to stop."""


def order_services():
    """Returns services in the order of their hosts: the home, then its successor."""
    hosts = [f"machine-{number}" for number in range(3)]
    line = rendezvous_rank(hosts, ACCOUNT)
    service_by_host = dict(zip(line, ("home", "front", "back"), strict=True))
    return [service_by_host[host] for host in hosts]


def has_heard_of_departure(daemon):
    """Whether a daemon has logged that a host leaves."""
    lines = daemon.process.log_path.read_bytes().splitlines()
    events = [msgspec.json.decode(line) for line in lines]
    return any(
        event.get("event") == "membership" and event["after"].endswith("/draining")
        for event in events
    )


async def stop_home(fleet):
    """Stops the home as planned; returns the statuses of requests meanwhile."""
    os.kill(fleet.daemons_by_service["home"].process.pid, signal.SIGTERM)
    statuses = []
    with trio.move_on_after(STOPPING_S):
        while True:
            response = await fleet.front.send_request("/open/2")
            statuses.append(response.status)
            await trio.sleep(REQUEST_INTERVAL_S)
    assert len(statuses) > 2
    return statuses


async def wait_until_served(fleet):
    async def is_served():
        return (await fleet.front.send_request("/open/1")).status == 200

    await wait_until(is_served, "an account that has a home")


@pytest.mark.parametrize("age_s", [1.0, LEASE_S])
async def test_a_home_keeps_its_rates_until_its_departure_is_recorded(tmp_path, age_s):
    async with run_hosted_fleet(
        tmp_path, services=order_services(), rate=RATE
    ) as fleet:
        await wait_until_served(fleet)
        await trio.sleep(age_s)
        fleet.store.affects_path = lambda path: path == "/log-append"
        fleet.store.fault = StoreFault.BUSY
        statuses = await stop_home(fleet)
        is_told = has_heard_of_departure(fleet.front)
        fleet.store.fault = StoreFault.NONE
    assert set(statuses) == {200}
    assert not is_told


async def test_a_home_whose_record_nobody_reads_tells_its_successor(tmp_path):
    async with run_hosted_fleet(
        tmp_path, services=order_services(), rate=RATE
    ) as fleet:
        await wait_until_served(fleet)
        await trio.sleep(LEASE_S)
        # Nobody reads; the record is written, a little after the stop has begun.
        fleet.store.affects_path = lambda path: path == "/log-read"
        fleet.store.fault = StoreFault.SILENT
        fleet.store.append_delay_s = 0.3
        statuses = await stop_home(fleet)
        is_told = has_heard_of_departure(fleet.front)
        fleet.store.fault = StoreFault.NONE
    assert set(statuses) == {200}
    assert is_told
