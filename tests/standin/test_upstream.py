"""The stand-in upstream works, records what it ran and fails on demand."""

import msgspec
import pytest
import trio

from mangospoke.addresses import split_address
from mangospoke.announcements import LoadReport
from mangospoke.bench.waiting import wait_until
from mangospoke.client.connections import ExchangeError
from mangospoke.http.fields import DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID, SHED
from mangospoke.standin.answers import is_whole_answer
from mangospoke.standin.executions import Result, read_record
from mangospoke.standin.upstream_settings import (
    Chance,
    EndlessPart,
    HealthReport,
    LoadLie,
    UpstreamFaults,
)

FAST = {"service_time": {"mean_ms": 0}}
ONCE = Chance(count=1)


async def test_it_answers_its_own_request_and_records_it(start_upstream):
    upstream = await start_upstream(**FAST)
    headers = [(REQUEST_ID, b"r1"), (IDEMPOTENCY_KEY, b"k1")]
    answer = await upstream.call("POST", "/batches?n=1", headers, b"body")
    assert answer.header(REQUEST_ID) == b"r1"
    assert is_whole_answer(answer.body, "/batches?n=1", b"body")
    assert not is_whole_answer(answer.body, "/batches?n=2", b"body")
    assert not is_whole_answer(answer.body[:-8], "/batches?n=1", b"body")
    (execution,) = await upstream.executions()
    assert execution.request_id == "r1"
    assert execution.idempotency_key == "k1"
    assert execution.result is Result.ANSWERED
    assert ("idempotency-key", "k1") in execution.headers


async def test_it_works_on_as_many_requests_as_it_has_slots(start_upstream):
    upstream = await start_upstream(slots=2, queue=1, service_time={"mean_ms": 200})
    statuses = []

    async def call():
        statuses.append((await upstream.call("GET", "/batches")).status)

    async with trio.open_nursery() as nursery:
        for _ in range(5):
            nursery.start_soon(call)
    assert sorted(statuses) == [200, 200, 200, 503, 503]
    results = [execution.result for execution in await upstream.executions()]
    assert results.count(Result.SHED) == 2


async def test_a_shed_answer_says_so(start_upstream):
    upstream = await start_upstream(**FAST)
    await upstream.set_faults(UpstreamFaults(shed=ONCE))
    answer = await upstream.call("GET", "/batches")
    assert (answer.status, answer.header(SHED)) == (503, b"1")
    assert (await upstream.call("GET", "/batches")).status == 200
    assert [execution.ran for execution in await upstream.executions()] == [False, True]


async def test_work_ends_when_its_connection_closes(start_upstream):
    upstream = await start_upstream(service_time={"mean_ms": 60_000})
    with trio.move_on_after(0.05):
        await upstream.call("GET", "/batches")
    await upstream.wait_until(
        lambda executions: [each.result for each in executions] == [Result.CANCELLED]
    )


async def test_work_may_go_on_after_its_connection_closed(start_upstream):
    upstream = await start_upstream(service_time={"mean_ms": 300})
    await upstream.set_faults(UpstreamFaults(ignores_cancellation=True))
    with trio.move_on_after(0.05):
        await upstream.call("GET", "/batches")
    await upstream.wait_until(
        lambda executions: [each.result for each in executions] == [Result.ANSWERED]
    )


async def test_it_stops_at_the_deadline(start_upstream):
    upstream = await start_upstream(slots=1, service_time={"mean_ms": 60_000})
    statuses = []

    async def call(remaining_ms):
        headers = [(DEADLINE, remaining_ms)]
        statuses.append((await upstream.call("GET", "/batches", headers)).status)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call, b"400")
        await upstream.wait_until(lambda executions: len(executions) == 1)
        nursery.start_soon(call, b"10")
    assert statuses == [503, 504]


async def test_connections_beyond_its_limit_are_closed(start_upstream):
    upstream = await start_upstream(connections=1, service_time={"mean_ms": 60_000})

    async def is_busy():
        return upstream.running.upstream.in_flight > 0

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_call, upstream)
        await wait_until(is_busy, "a request in work")
        with pytest.raises(ExchangeError):
            await upstream.call("GET", "/batches")
        nursery.cancel_scope.cancel()


async def _call(upstream):
    await upstream.call("GET", "/batches")


async def test_answers_are_broken_on_demand(start_upstream):
    upstream = await start_upstream(**FAST)
    await upstream.call("GET", "/1", [(REQUEST_ID, b"r1")])
    await upstream.set_faults(UpstreamFaults(crossed=ONCE))
    crossed = await upstream.call("GET", "/2", [(REQUEST_ID, b"r2")])
    assert crossed.header(REQUEST_ID) == b"r1"
    assert not is_whole_answer(crossed.body, "/2")
    for faults in (UpstreamFaults(truncated=ONCE), UpstreamFaults(dropped=ONCE)):
        await upstream.set_faults(faults)
        with pytest.raises(ExchangeError):
            await upstream.call("GET", "/3")
        assert (await upstream.call("GET", "/4")).status == 200
    assert all(execution.ran for execution in await upstream.executions())


async def test_late_and_slow_answers_come_after_others(start_upstream):
    upstream = await start_upstream(service_time={"mean_ms": 1})
    order = []

    async def call(target):
        await upstream.call("GET", target)
        order.append(target)

    async with trio.open_nursery() as nursery:
        await upstream.set_faults(UpstreamFaults(late=ONCE, late_ms=300))
        nursery.start_soon(call, "/late")
        await upstream.wait_until(lambda executions: len(executions) == 1)
        await call("/next")
    assert order == ["/next", "/late"]
    await upstream.set_faults(UpstreamFaults(slow_factor=60_000))
    with trio.move_on_after(0.1) as scope:
        await call("/slow")
    assert scope.cancelled_caught


async def test_a_marked_request_crashes_it(start_upstream, tmp_path):
    record = tmp_path / "executions"
    upstream = await start_upstream(record_path=str(record), **FAST)
    with pytest.raises(ExchangeError):
        await upstream.call("GET", "/batches?crash-upstream")
    assert [each.result for each in read_record(record)] == [Result.CRASHED]


async def test_its_reports_lie_and_lag(start_upstream):
    upstream = await start_upstream(slots=4, **FAST)

    async def report():
        answer = await upstream.call("GET", "/load")
        return msgspec.json.decode(answer.body, type=LoadReport).in_flight

    assert await report() == 0
    await upstream.set_faults(
        UpstreamFaults(load=LoadLie.BUSY, health=HealthReport.UNHEALTHY)
    )
    assert await report() == 4
    assert (await upstream.call("GET", "/health")).status == 503
    await upstream.set_faults(UpstreamFaults(report_lag_ms=60_000, stalled=ONCE))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_call, upstream)
        await upstream.wait_until(lambda executions: len(executions) == 1)
        assert await report() == 0
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("part", list(EndlessPart))
async def test_an_endless_answer_goes_on_until_the_connection_is_closed(
    start_upstream, part
):
    upstream = await start_upstream(**FAST)
    await upstream.set_faults(UpstreamFaults(endless=ONCE, endless_part=part))
    ip, port = split_address(upstream.running.address)
    async with await trio.open_tcp_stream(ip, port) as stream:
        await stream.send_all(b"GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
        with trio.fail_after(20):
            received = 0
            while received < 1_000_000:
                received += len(await stream.receive_some())
    assert (await upstream.call("GET", "/2")).status == 200
