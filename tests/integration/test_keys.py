"""A withdrawn key stops working, and no upstream ever sees a key."""

import time
from collections import Counter

import msgspec
import trio

from mangospoke.bench.waiting import wait_until
from mangospoke.conf.declarations import ClientAccountOverlay, Overlay
from mangospoke.http.bodies import buffered_body
from mangospoke.http.client import open_connection
from mangospoke.standin.upstream_settings import ServiceTime
from tests.harness.histories import start_admitted
from tests.harness.plans import ACCOUNT, BACK, FRONT, small_fleet

CALLERS = 6
TRANSIT_S = 1.0
"""Far more than a request needs from the guard's last check to the upstream."""


def withdraw(base):
    """Withdraws all keys of the account."""
    account = base.accounts[ACCOUNT]
    keys = {
        key_id: msgspec.structs.replace(key, withdrawn=True)
        for key_id, key in account.keys.items()
    }
    accounts = base.accounts | {ACCOUNT: msgspec.structs.replace(account, keys=keys)}
    return msgspec.structs.replace(base, accounts=accounts)


def bearer(key):
    return [(b"host", b"test"), (b"authorization", b"Bearer " + key.encode())]


async def call_on(connection, key, target):
    answer = await connection.exchange(
        b"GET", target, bearer(key), buffered_body(b""), 65_536
    )
    assert connection.is_reusable()
    return answer


async def test_a_withdrawn_key_stops_on_a_connection_that_is_open(start_fleet):
    small = small_fleet(domains=("a", "b"), services=(BACK,))
    fleet, key = await start_admitted(start_fleet, small)
    connections = [
        await open_connection(address, 16_384, 5)
        for address in fleet.addresses.public_by_host.values()
    ]
    for connection in connections:
        assert (await call_on(connection, key, b"/batches/1")).status == 200
    await fleet.publish(withdraw(small.plan.base))
    await fleet.wait_until_ready()
    for connection in connections:
        answer = await call_on(connection, key, b"/batches/2")
        assert answer.status == 401
        assert (b"mangospoke-reason", b"key-withdrawn") in answer.headers
        await connection.aclose()
    assert not any(each.target == "/batches/2" for each in fleet.all_executions())


async def test_an_overlay_withdraws_a_key_at_its_site_only(start_fleet):
    small = small_fleet(domains=("a", "b"), services=(BACK,))
    fleet, key = await start_admitted(start_fleet, small)
    withdrawn = tuple(small.plan.base.accounts[ACCOUNT].keys)
    changes = {ACCOUNT: ClientAccountOverlay(withdrawn_keys=withdrawn)}
    await fleet.publish(small.plan.base, [Overlay(site="site-a", accounts=changes)])
    await fleet.wait_until_ready()
    statuses = []
    for host in ("a-batches-0", "b-batches-0"):
        address = fleet.addresses.public_by_host[host]
        answer = await fleet.pool.exchange(
            address, "GET", "/batches/1", bearer(key)[1:]
        )
        statuses.append(answer.status)
    assert statuses == [401, 200]


async def test_nothing_queued_runs_once_the_withdrawal_is_in_force(start_fleet):
    slow = {"service_time": ServiceTime(mean_ms=50), "slots": 1}
    small = small_fleet(services=(BACK,), upstream_changes=slow)
    fleet, key = await start_admitted(start_fleet, small)
    (host,) = fleet.hosts_by_id.values()
    statuses = Counter()

    async def call_in_turn():
        while statuses[401] < CALLERS:
            answer = await fleet.pool.exchange(
                host.addresses.public, "GET", "/batches/1", bearer(key)[1:]
            )
            statuses[answer.status] += 1

    async def is_queued():
        return (await fleet.status(host.plan.host_id)).upstream.queued > 0

    async with trio.open_nursery() as nursery:
        for _ in range(CALLERS):
            nursery.start_soon(call_in_turn)
        await wait_until(is_queued, "a queued request")
        await fleet.publish(withdraw(small.plan.base))
        await fleet.wait_until_ready()
        in_force_at = time.time()
    executions = fleet.all_executions()
    assert executions
    late = [each.started_at - in_force_at for each in executions]
    assert max(late) < TRANSIT_S


async def test_no_upstream_sees_a_key(start_fleet):
    small = small_fleet(services=(FRONT, BACK))
    fleet, key = await start_admitted(start_fleet, small)
    address = fleet.addresses.public_by_host["a-batches-0"]
    for target in ("/jobs/1", "/batches/1"):
        await fleet.pool.exchange(address, "GET", target, bearer(key)[1:])
    _, _, secret = key.partition(".")
    executions = fleet.all_executions()
    assert {each.service for each in executions} == {FRONT, BACK}
    for execution in executions:
        assert secret not in repr(execution)
        assert "authorization" not in {name for name, _ in execution.headers}
