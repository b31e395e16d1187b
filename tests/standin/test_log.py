"""The stand-in log service keeps its documented interface and its faults."""

import msgspec
import pytest
import trio
import trio.testing

from mangospoke.client.connections import ConnectionPool, ExchangeError
from mangospoke.logservice.protocol import AppendResponse, ReadResponse
from mangospoke.standin.log import LogFaults, serve_log

RECORDS = "/streams/configuration/records"


@pytest.fixture
async def log(nursery):
    address = await nursery.start(serve_log, "127.0.0.1:0")
    async with ConnectionPool() as pool:
        yield Log(pool, address)


class Log:
    def __init__(self, pool, address):
        self.pool = pool
        self.address = address

    async def append(self, content):
        body = msgspec.json.encode(content)
        return await self.pool.exchange(self.address, "POST", RECORDS, body=body)

    async def read(self, query):
        target = f"{RECORDS}?{query}"
        answer = await self.pool.exchange(self.address, "GET", target)
        return answer.status, msgspec.json.decode(answer.body, type=ReadResponse)

    async def control(self, name, content):
        body = msgspec.json.encode(content)
        target = f"/control/{name}"
        return await self.pool.exchange(self.address, "POST", target, body=body)


async def test_records_are_read_in_order_from_an_offset(log):
    for number in range(5):
        answer = await log.append({"number": number})
        appended = msgspec.json.decode(answer.body, type=AppendResponse)
        assert appended.offset == number
    status, answer = await log.read("from=2&limit=2")
    assert status == 200
    assert [record.offset for record in answer.records] == [2, 3]
    assert bytes(answer.records[0].content) == b'{"number":2}'
    assert answer.next_offset == 5


async def test_a_long_poll_waits_for_a_record(log):
    found = []

    async def poll():
        found.append(await log.read("from=0&wait_ms=20000"))

    with trio.fail_after(20):
        async with trio.open_nursery() as polls:
            for _ in range(150):
                polls.start_soon(poll)
            await trio.testing.wait_all_tasks_blocked(0.02)
            assert not found
            await log.append({})
    assert len(found) == 150
    assert all(len(answer.records) == 1 for _, answer in found)


async def test_an_empty_long_poll_ends(log):
    status, answer = await log.read("from=0&wait_ms=20")
    assert (status, answer.records) == (200, ())


async def test_retention_answers_410_with_the_first_offset(log):
    for number in range(4):
        await log.append({"number": number})
    await log.control("retention", {"records": 1})
    status, answer = await log.read("from=1")
    assert (status, answer.first_offset, answer.records) == (410, 3, ())
    status, answer = await log.read("from=3")
    assert status == 200
    assert len(answer.records) == 1
    await log.control("retention", {"age_ms": 0, "stream": "other"})
    assert (await log.read("from=3"))[1].first_offset == 3


async def test_too_many_appends_are_refused(log):
    await log.control("faults", LogFaults(appends_per_second=10))
    statuses = [(await log.append({})).status for _ in range(50)]
    assert statuses[0] == 200
    assert 429 in statuses


async def test_a_lost_answer_leaves_the_record(log):
    await log.control("faults", LogFaults(lost_answers=1))
    with pytest.raises(ExchangeError):
        await log.append({"number": 1})
    await log.append({"number": 2})
    _, answer = await log.read("from=0")
    assert len(answer.records) == 2


async def test_while_down_nothing_is_answered_or_kept(log):
    outcomes = []

    async def poll():
        try:
            outcomes.append(await log.read("from=0&wait_ms=20000"))
        except ExchangeError as error:
            outcomes.append(error)

    with trio.fail_after(20):
        async with trio.open_nursery() as polls:
            polls.start_soon(poll)
            await trio.testing.wait_all_tasks_blocked(0.02)
            await log.control("faults", LogFaults(down=True))
            with pytest.raises(ExchangeError):
                await log.append({})
    assert isinstance(outcomes[0], ExchangeError)
    await log.control("faults", LogFaults())
    _, answer = await log.read("from=0")
    assert answer.records == ()


async def test_what_is_not_json_is_not_kept(log):
    answer = await log.pool.exchange(log.address, "POST", RECORDS, body=b"{")
    assert answer.status == 400
