"""The store's calls, and following of a keyed topic through its troubles."""

import random

import pytest
import trio

from mangospoke.conf.settings import LogService
from mangospoke.logservice.calls import (
    LogRefusedError,
    LogUnavailableError,
    OffsetExpiredError,
)
from mangospoke.logservice.keyed import KeyedFollower, WriteId
from mangospoke.platform.store import StoreLog
from tests.harness.serving import serve_http
from tests.platform.fake_store import FakeStore, Trouble

TOPIC = "keyed.things"


@pytest.fixture
async def store_and_log():
    store = FakeStore()
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve_http, store.handle)
        yield store, StoreLog(LogService(address=address, timeout_ms=200))
        nursery.cancel_scope.cancel()


async def put(log, key, value, sequence, epoch=1, name="w"):
    await log.put(TOPIC, key, value, WriteId(name, epoch, sequence))


async def test_what_is_put_is_read_and_is_the_newest(store_and_log):
    _, log = store_and_log
    for number, key in enumerate("abcde"):
        await put(log, key, f"v{key}".encode(), number)
    await put(log, "a", b"new", 5)
    newest = await log.read_newest(TOPIC)
    assert {r.key: r.value for r in newest.records} == {
        "a": b"new",
        "b": b"vb",
        "c": b"vc",
        "d": b"vd",
        "e": b"ve",
    }
    part = await log.read(TOPIC, 4, 0)
    assert [(r.key, r.value, r.offset) for r in part.records] == [
        ("e", b"ve", 4),
        ("a", b"new", 5),
    ]
    assert part.next_offset == newest.next_offset == 6


async def test_a_read_that_waits_tells_how_long_nothing_came(store_and_log):
    _, log = store_and_log
    part = await log.read(TOPIC, 0, 60)
    assert part.records == ()
    assert 0.05 < part.waited_s <= 0.06


async def test_history_that_is_gone_is_told(store_and_log):
    store, log = store_and_log
    await put(log, "a", b"1", 0)
    store.forget(TOPIC)
    with pytest.raises(OffsetExpiredError) as caught:
        await log.read(TOPIC, 0, 0)
    assert caught.value.first_offset == 1


async def test_a_write_whose_answer_was_lost_is_not_done_twice(store_and_log):
    store, log = store_and_log
    store.trouble = Trouble.LOSES_ANSWERS
    with pytest.raises(LogUnavailableError):
        await put(log, "a", b"1", 0)
    store.trouble = Trouble.NONE
    await put(log, "a", b"1", 0)
    assert len(store.topics[TOPIC].records) == 1


async def test_an_earlier_life_of_a_writer_is_fenced_off(store_and_log):
    _, log = store_and_log
    await put(log, "a", b"new", 0, epoch=2)
    with pytest.raises(LogRefusedError):
        await put(log, "a", b"old", 0, epoch=1)


async def test_a_busy_store_refuses_writes_and_reads(store_and_log):
    store, log = store_and_log
    store.trouble = Trouble.BUSY
    with pytest.raises(LogRefusedError):
        await put(log, "a", b"1", 0)
    with pytest.raises(LogUnavailableError):
        await log.read_newest(TOPIC)


class Taken:
    """What a follower passed on."""

    def __init__(self):
        self.values_by_key = {}
        self.proofs = []

    def take(self, records):
        for record in records:
            self.values_by_key[record.key] = record.value

    async def wait_for(self, key, value):
        with trio.fail_after(5):
            while self.values_by_key.get(key) != value:  # noqa: ASYNC110
                await trio.sleep(0.01)


@pytest.fixture
async def followed(store_and_log):
    store, log = store_and_log
    store.put(TOPIC, "a", b"1")
    taken = Taken()
    follower = KeyedFollower(log, TOPIC, taken.take, 50, confirm=taken.proofs.append)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await taken.wait_for("a", b"1")
        yield store, taken
        nursery.cancel_scope.cancel()


async def test_a_follower_hears_of_changes(followed):
    store, taken = followed
    store.put(TOPIC, "a", b"2")
    await taken.wait_for("a", b"2")


@pytest.mark.parametrize("trouble", [Trouble.SILENT, Trouble.BUSY])
async def test_a_follower_goes_on_after_an_outage_and_proves_nothing_in_it(
    followed, trouble
):
    store, taken = followed
    store.trouble = trouble
    store.put(TOPIC, "a", b"2")
    # Calls that were under way when the trouble began may still prove something.
    await trio.sleep(0.3)
    proofs = len(taken.proofs)
    await trio.sleep(0.5)
    assert len(taken.proofs) == proofs
    store.trouble = Trouble.NONE
    await taken.wait_for("a", b"2")


async def test_a_follower_reads_anew_after_the_history_was_forgotten(followed):
    store, taken = followed
    store.trouble = Trouble.BUSY
    await trio.sleep(0.2)
    store.put(TOPIC, "b", b"1")
    store.forget(TOPIC)
    store.trouble = Trouble.NONE
    await taken.wait_for("b", b"1")
    store.put(TOPIC, "b", b"2")
    await taken.wait_for("b", b"2")


async def test_a_proof_says_what_was_the_newest_at_its_moment(store_and_log):
    store, log = store_and_log
    source = random.Random(5)
    written = []
    taken = Taken()
    proofs = []

    async def write():
        for number in range(40):
            value = b"%d" % number
            store.put(TOPIC, "a", value)
            written.append((trio.current_time(), value))
            await trio.sleep(source.uniform(0, 0.06))

    def newest_at(moment):
        return [value for at, value in written if at <= moment][-1]

    def confirm(at):
        proofs.append((at, taken.values_by_key["a"]))

    handle = store.handle

    async def handle_late(request):
        answer = await handle(request)
        await trio.sleep(source.uniform(0, 0.04))
        return answer

    store.handle = handle_late
    store.put(TOPIC, "a", b"first")
    written.append((trio.current_time(), b"first"))
    follower = KeyedFollower(log, TOPIC, taken.take, 20, confirm=confirm)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follower.run)
        await write()
        await taken.wait_for("a", b"39")
        nursery.cancel_scope.cancel()
    # A later value than the proven one may have been read along with it.
    stale = [(at, value) for at, value in proofs if newest_at(at) != value]
    for at, value in stale:
        later = [v for moment, v in written if moment > at]
        assert value in later, (at, value, newest_at(at))
    assert len(proofs) > 20
