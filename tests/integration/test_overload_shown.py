"""An overload shows at once, and what may be claimed outlives its host."""

import trio

from mangospoke.bench.waiting import wait_until
from mangospoke.client.client import open_client
from mangospoke.client.connections import ConnectionPool
from mangospoke.client.retrying import RetryPolicy
from mangospoke.conf.settings import LogService
from mangospoke.logservice.client import LogClient
from mangospoke.logservice.records import LogStream, decode_record
from mangospoke.standin.upstream_settings import Chance, UpstreamFaults
from tests.harness.histories import start_admitted
from tests.harness.plans import BACK, small_fleet

ONCE = RetryPolicy(attempts=1)


async def read_incidents(fleet):
    client = LogClient(LogService(address=fleet.addresses.log))
    answer = await client.read(LogStream.INCIDENTS, 0, 0)
    return [
        decode_record(LogStream.INCIDENTS, bytes(r.content)) for r in answer.records
    ]


async def test_the_first_shed_request_shows_and_its_summary_is_kept(start_fleet):
    fleet, key = await start_admitted(start_fleet, small_fleet(services=(BACK,)))
    (host,) = fleet.hosts_by_id.values()
    host_id = host.plan.host_id
    assert not (await fleet.status(host_id)).overloads
    shed = UpstreamFaults(shed=Chance(probability=1.0))
    await fleet.set_upstream_faults(host_id, shed)
    async with open_client([host.addresses.public], key, ONCE) as client:
        refused = await client.call("GET", "/batches/1")
        assert refused.reason == "shed-by-upstream"
        (overload,) = (await fleet.status(host_id)).overloads
        assert overload.service == BACK
        assert overload.shed >= 1
        lost = UpstreamFaults(dropped=Chance(probability=1.0))
        await fleet.set_upstream_faults(host_id, lost)
        await client.call("POST", "/batches")
    async with ConnectionPool() as pool:
        metrics = await pool.exchange(host.addresses.operations, "GET", "/metrics")
    assert b"mangospoke_overload_shed" in metrics.body
    assert "overload_started" in host.daemon.log_tail(200)

    async def is_over():
        return not (await fleet.status(host_id)).overloads

    await wait_until(is_over, "the end of the overload", 30)

    async def is_kept():
        incidents = await read_incidents(fleet)
        refused = sum(i.refused_within_rate for i in incidents)
        return refused >= 1 and sum(i.may_have_run for i in incidents) == 1

    with trio.fail_after(40):
        await wait_until(is_kept, "summaries of both incidents", 30)
