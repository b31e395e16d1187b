"""Tests of the control protocol: untrusted peers, replays, slow handlers, rotation."""

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
    ("client_secrets", "server_secrets"),
    [
        (("old",), ("new", "old")),
        (("new", "old"), ("old",)),
        (("new",), ("new", "old")),
        (("new", "old"), ("new",)),
    ],
)
async def test_old_and_new_secrets_are_valid_during_a_rotation(
    start_plane, client_secrets, server_secrets
):
    await start_plane(ADDRESS, *server_secrets)
    plane, _ = await start_plane(None, *client_secrets)
    assert (await probe(plane)).host_id == "h1"


async def test_a_peer_without_the_secret_gets_no_response(start_plane):
    plane, probe_handler = await start_plane(ADDRESS, "ours")
    untrusted_client, _ = await start_plane(None, "theirs")
    with pytest.raises(ControlError):
        await probe(untrusted_client, timeout_s=0.5)
    assert probe_handler.probe_count == 0
    assert plane.dropped["no valid MAC"] == 1


async def test_a_replayed_request_is_not_handled_again(start_plane, monkeypatch):
    _, probe_handler = await start_plane(ADDRESS, "ours")
    plane, _ = await start_plane(None, "ours")
    recorded_requests = []
    exchange = plane._sockets.exchange

    async def record(address, content):
        recorded_requests.append(content)
        return await exchange(address, content)

    monkeypatch.setattr(plane._sockets, "exchange", record)
    await probe(plane)
    await probe(plane)
    handled_count = probe_handler.probe_count
    assert handled_count == 2
    with pynng.Req0(resend_time=-1) as attacker:
        attacker.dial(f"tcp://{ADDRESS}")
        for content in recorded_requests:
            await attacker.asend(content)
            response = msgspec.msgpack.decode(await attacker.arecv())
            assert b"epoch-over" in response[2]
    assert probe_handler.probe_count == handled_count


async def test_many_slow_requests_do_not_delay_others(start_plane):
    _, probe_handler = await start_plane(ADDRESS, "ours")
    plane, _ = await start_plane(None, "ours")
    await probe(plane)
    probe_handler.release = trio.Event()
    async with trio.open_nursery() as nursery:
        for _ in range(60):
            nursery.start_soon(probe, plane, 30.0)
        await wait_until(lambda: is_true(probe_handler.probe_count >= 61), "all held")
        release, probe_handler.release = probe_handler.release, None
        await probe(plane, timeout_s=10.0)
        release.set()


async def test_garbage_on_the_control_port_is_ignored(start_plane):
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
        await wait_until(lambda: is_true(plane.dropped["no valid MAC"]), "a drop")
    client, _ = await start_plane(None, "ours")
    await probe(client)


async def test_an_error_of_a_handler_is_reported_and_affects_no_other_request(
    start_plane,
):
    plane, probe_handler = await start_plane(ADDRESS, "ours")

    async def fail(_):
        raise ValueError("broken")

    plane.handlers_by_type[Probe] = fail
    client, _ = await start_plane(None, "ours")
    with pytest.raises(ControlError, match="broken"):
        await probe(client)
    plane.handlers_by_type[Probe] = probe_handler.handle_probe
    await probe(client)


async def test_idle_sockets_are_closed(start_plane, monkeypatch):
    await start_plane(ADDRESS, "ours")
    plane, _ = await start_plane(None, "ours")
    monkeypatch.setattr("mangospoke.control.sockets.IDLE_LIFETIME_S", 0.0)
    with pytest.raises(ControlError):
        await plane.ask("127.5.1.9:7411", Probe(), ProbeAnswer, 0.05)
    await probe(plane)
    assert len(plane._sockets) == 1
