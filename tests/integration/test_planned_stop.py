"""A planned stop cuts no request."""

import trio

from mangospoke.bench.waiting import wait_until
from mangospoke.client.client import open_client
from mangospoke.standin.upstream_settings import ServiceTime
from mangospoke.verdicts import Verdict
from tests.harness.histories import History, start_admitted
from tests.harness.plans import BACK, small_fleet


async def test_a_request_in_flight_ends_whole(start_fleet):
    slow = {"service_time": ServiceTime(mean_ms=1_000)}
    small = small_fleet(services=(BACK,), upstream_changes=slow)
    fleet, key = await start_admitted(start_fleet, small)
    (host,) = fleet.hosts_by_id.values()
    outcomes = []

    async with open_client([host.addresses.public], key) as client:

        async def call():
            outcomes.append(await client.call("POST", "/batches"))

        async def is_running():
            return (await fleet.status(host.plan.host_id)).upstream.in_flight == 1

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await wait_until(is_running, "the request", 20)
            host.daemon.terminate()
    assert outcomes[0].status == 200
    with trio.fail_after(20):
        assert await host.daemon.wait() == 0


async def test_a_reload_request_cuts_no_request(start_fleet):
    fleet, key = await start_admitted(start_fleet, small_fleet(services=(BACK,)))
    (host,) = fleet.hosts_by_id.values()
    host.daemon.hang_up()
    await trio.sleep(0.5)
    assert host.daemon.is_running
    async with open_client([host.addresses.public], key) as client:
        assert (await client.call("POST", "/batches")).status == 200


async def test_a_rolling_restart_under_load_cuts_nothing(start_fleet):
    small = small_fleet(domains=("a", "b"), services=(BACK,), hosts_per_domain=2)
    fleet, key = await start_admitted(start_fleet, small)
    history = History(calls_per_caller=100_000)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(history.drive, fleet, key)
        for host in fleet.hosts_by_id.values():
            host.daemon.terminate()
            with trio.fail_after(30):
                assert await host.daemon.wait() == 0
            host.daemon.start()
            await fleet.wait_until_ready()
        history.stopped = True
    history.check(fleet)
    for told, outcome in history.outcomes_by_target.items():
        cut = outcome.verdict is Verdict.MAY_HAVE_RUN or outcome.status is None
        assert not cut or outcome.reason == "unreachable", (told, outcome)
    assert history.count(Verdict.RAN) > 0
