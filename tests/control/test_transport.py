"""The control protocol against strangers, replays, slow peers and rotation."""

import msgspec
import pynng
import pytest
import trio

from mangospoke.bench.waiting import wait_until
from mangospoke.control.interface import ControlError
from mangospoke.control.messages import Probe, ProbeAnswer

ADDRESS = "127.5.1.1:7411"


async def is_true(value):
    return bool(value)


async def probe(plane, timeout_s=5.0):
    return await plane.ask(ADDRESS, Probe(), ProbeAnswer, timeout_s)


@pytest.mark.parametrize(
    ("asker", "answerer"),
    [
        (("old",), ("new", "old")),
        (("new", "old"), ("old",)),
        (("new",), ("new", "old")),
        (("new", "old"), ("new",)),
    ],
)
async def test_daemons_understand_each_other_while_the_secret_is_rotated(
    start_plane, asker, answerer
):
    await start_plane(ADDRESS, *answerer)
    plane, _ = await start_plane(None, *asker)
    assert (await probe(plane)).host_id == "h1"


async def test_a_stranger_is_not_answered(start_plane):
    plane, answerer = await start_plane(ADDRESS, "ours")
    stranger, _ = await start_plane(None, "theirs")
    with pytest.raises(ControlError):
        await probe(stranger, timeout_s=0.5)
    assert answerer.answered == 0
    assert plane.dropped["no fleet secret"] == 1


async def test_a_recorded_question_is_not_handled_again(start_plane, monkeypatch):
    _, answerer = await start_plane(ADDRESS, "ours")
    plane, _ = await start_plane(None, "ours")
    recorded = []
    exchange = plane._sockets.exchange

    async def record(address, content):
        recorded.append(content)
        return await exchange(address, content)

    monkeypatch.setattr(plane._sockets, "exchange", record)
    await probe(plane)
    await probe(plane)
    handled = answerer.answered
    assert handled == 2
    with pynng.Req0(resend_time=-1) as attacker:
        attacker.dial(f"tcp://{ADDRESS}")
        for content in recorded:
            await attacker.asend(content)
            answer = msgspec.msgpack.decode(await attacker.arecv())
            assert b"epoch-over" in answer[2]
    assert answerer.answered == handled


async def test_many_slow_questions_hold_up_no_other(start_plane):
    _, answerer = await start_plane(ADDRESS, "ours")
    plane, _ = await start_plane(None, "ours")
    await probe(plane)
    answerer.hold = trio.Event()
    async with trio.open_nursery() as nursery:
        for _ in range(60):
            nursery.start_soon(probe, plane, 30.0)
        await wait_until(lambda: is_true(answerer.answered >= 61), "all held")
        held, answerer.hold = answerer.hold, None
        await probe(plane, timeout_s=10.0)
        held.set()


async def test_garbage_on_the_port_harms_no_one(start_plane):
    plane, _ = await start_plane(ADDRESS, "ours")
    ip, port = ADDRESS.split(":")
    for content in (b"\0" * 64, b"GET / HTTP/1.1\r\n\r\n", bytes(range(256))):
        stream = await trio.open_tcp_stream(ip, int(port))
        await stream.send_all(content)
        await stream.aclose()
    with pynng.Req0(resend_time=-1) as socket:
        socket.dial(f"tcp://{ADDRESS}")
        await socket.asend(b"\xc1 not an envelope")
        await socket.asend(msgspec.msgpack.encode([b"", b"", b"", []]))
        await wait_until(lambda: is_true(plane.dropped["no fleet secret"]), "a drop")
    asker, _ = await start_plane(None, "ours")
    await probe(asker)


async def test_a_handler_that_fails_is_told_and_the_next_question_answered(
    start_plane,
):
    plane, answerer = await start_plane(ADDRESS, "ours")

    async def fail(_):
        raise ValueError("broken")

    plane.handlers_by_type[Probe] = fail
    asker, _ = await start_plane(None, "ours")
    with pytest.raises(ControlError, match="broken"):
        await probe(asker)
    plane.handlers_by_type[Probe] = answerer.answer
    await probe(asker)


async def test_unused_sockets_are_closed(start_plane, monkeypatch):
    await start_plane(ADDRESS, "ours")
    plane, _ = await start_plane(None, "ours")
    monkeypatch.setattr("mangospoke.control.sockets.IDLE_LIFETIME_S", 0.0)
    with pytest.raises(ControlError):
        await plane.ask("127.5.1.9:7411", Probe(), ProbeAnswer, 0.05)
    await probe(plane)
    assert len(plane._sockets) == 1
