"""The operator empties a failure domain in time, and takes it back slowly."""

import msgspec
import trio

from mangospoke.bench.waiting import wait_until
from tests.platform.hosted_fleet import send
from tests.platform.limited_fleet import CallerLoad, restart, run_limited_fleet

LABELS = ("front", "front-2", "back", "back-2")
ZONES = {"front-2": "b", "back-2": "b"}
KNOWN_WITHIN_S = 2.0
"""Far below the bound of 5 s: processes and the store are sound."""


def order(fleet, zone, value=b'{"by":"operator"}'):
    fleet.store.put("keyed.op", f"evacuate/{zone}", value)


async def read_status(daemon):
    response = await send(daemon.operations, "GET", "/status")
    return msgspec.json.decode(response.body.content)


async def test_an_evacuated_domain_gets_nothing_until_it_is_taken_back(tmp_path):
    async with run_limited_fleet(tmp_path, LABELS, zones=ZONES) as fleet:
        evacuated = fleet.daemons_by_service["back-2"]
        load = CallerLoad(fleet, ("front", "front-2"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, 40, ("/open/", "/book/", "/inner/"))
            await trio.sleep(2)
            assert evacuated.upstream.arrivals
            order(fleet, "b")
            await trio.sleep(KNOWN_WITHIN_S)
            since = trio.current_time()
            await trio.sleep(2)
            order(fleet, "b")
            fleet.store.delete_history("keyed.op")
            # A daemon that starts during the evacuation finds it.
            await restart(evacuated, 9)
            await trio.sleep(2)
            status = await read_status(evacuated)
            assert [each["failure_domain"] for each in status["evacuations"]] == ["b"]
            until = trio.current_time()
            assert evacuated.upstream.count_arrivals(since, until) == 0
            order(fleet, "b", b"")
            await trio.sleep(5)
            load.end()
        returned = evacuated.upstream.count_arrivals(until, trio.current_time())
        assert returned > 0
        back = fleet.back.upstream.count_arrivals(until, trio.current_time())
        assert returned < back
    assert set(load.statuses()) == {200}


async def test_without_any_domain_left_requests_are_refused_as_not_run(tmp_path):
    async with run_limited_fleet(tmp_path, LABELS, zones=ZONES) as fleet:
        order(fleet, "a")
        order(fleet, "b")

        async def is_known():
            status = await read_status(fleet.front)
            return "back" in status["evacuated_services"]

        await wait_until(is_known, "the evacuation of all domains", KNOWN_WITHIN_S)
        await trio.sleep(KNOWN_WITHIN_S)
        for target in ("/open/1", "/book/1"):
            response = await fleet.front.send_request(target, method="POST")
            assert response.status == 503
            assert b"retry-after" in dict(response.headers)
        metrics = await send(fleet.front.operations, "GET", "/metrics")
        assert b'mangospoke_service_evacuated{service="back"} 1' in (
            metrics.body.content
        )
        order(fleet, "a", b"")
        await wait_until(lambda: is_served(fleet), "a response", KNOWN_WITHIN_S)


async def is_served(fleet):
    response = await fleet.front.send_request("/open/2", request_id="x")
    return response.status == 200
