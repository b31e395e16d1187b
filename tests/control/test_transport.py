"""Tests of the control protocol: untrusted peers, replays, slow handlers, rotation."""

import msgspec
import pynng
import pytest
import trio

from mangospoke.bench.waiting import wait_until
from mangospoke.control.interface import ControlError
from mangospoke.control.messages import Probe, ProbeResponse


async def is_true(value):
    return bool(value)


async def probe(channel, address, timeout_s=5.0):
    return await channel.send_request(address, Probe(), ProbeResponse, timeout_s)


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
    start_channel, address, client_secrets, server_secrets
):
    await start_channel(address, *server_secrets)
    channel, _ = await start_channel(None, *client_secrets)
    assert (await probe(channel, address)).host_id == "h1"


async def test_a_peer_without_the_secret_gets_no_response(start_channel, address):
    channel, probe_handler = await start_channel(address, "ours")
    untrusted_client, _ = await start_channel(None, "theirs")
    with pytest.raises(ControlError):
        await probe(untrusted_client, address, timeout_s=0.5)
    assert probe_handler.probe_count == 0
    assert channel.dropped["no valid MAC"] == 1


async def test_a_replayed_request_is_not_handled_again(
    start_channel, address, monkeypatch
):
    _, probe_handler = await start_channel(address, "ours")
    channel, _ = await start_channel(None, "ours")
    recorded_requests = []
    exchange = channel._sockets.exchange

    async def record(address, content):
        recorded_requests.append(content)
        return await exchange(address, content)

    monkeypatch.setattr(channel._sockets, "exchange", record)
    await probe(channel, address)
    await probe(channel, address)
    handled_count = probe_handler.probe_count
    assert handled_count == 2
    with pynng.Req0(resend_time=-1) as attacker:
        attacker.dial(f"tcp://{address}")
        for content in recorded_requests:
            await attacker.asend(content)
            response = msgspec.msgpack.decode(await attacker.arecv())
            assert b"epoch-over" in response[2]
    assert probe_handler.probe_count == handled_count


async def test_many_slow_requests_do_not_delay_others(start_channel, address):
    _, probe_handler = await start_channel(address, "ours")
    channel, _ = await start_channel(None, "ours")
    await probe(channel, address)
    probe_handler.release = trio.Event()
    async with trio.open_nursery() as nursery:
        for _ in range(60):
            nursery.start_soon(probe, channel, address, 30.0)
        await wait_until(lambda: is_true(probe_handler.probe_count >= 61), "all held")
        release, probe_handler.release = probe_handler.release, None
        await probe(channel, address, timeout_s=10.0)
        release.set()


async def test_garbage_on_the_control_port_is_ignored(start_channel, address):
    channel, _ = await start_channel(address, "ours")
    ip, port = address.split(":")
    for content in (b"\0" * 64, b"GET / HTTP/1.1\r\n\r\n", bytes(range(256))):
        stream = await trio.open_tcp_stream(ip, int(port))
        await stream.send_all(content)
        await stream.aclose()
    with pynng.Req0(resend_time=-1) as socket:
        socket.dial(f"tcp://{address}")
        await socket.asend(b"\xc1 not an envelope")
        await socket.asend(msgspec.msgpack.encode([b"", b"", b"", []]))
        await wait_until(lambda: is_true(channel.dropped["no valid MAC"]), "a drop")
    client, _ = await start_channel(None, "ours")
    await probe(client, address)


async def test_an_error_of_a_handler_is_reported_and_affects_no_other_request(
    start_channel, address
):
    channel, probe_handler = await start_channel(address, "ours")

    async def fail(_):
        raise ValueError("broken")

    channel.handlers_by_type[Probe] = fail
    client, _ = await start_channel(None, "ours")
    with pytest.raises(ControlError, match="broken"):
        await probe(client, address)
    channel.handlers_by_type[Probe] = probe_handler.handle_probe
    await probe(client, address)


async def test_idle_sockets_are_closed(start_channel, address, monkeypatch):
    await start_channel(address, "ours")
    channel, _ = await start_channel(None, "ours")
    monkeypatch.setattr("mangospoke.control.sockets.IDLE_LIFETIME_S", 0.0)
    with pytest.raises(ControlError):
        await channel.send_request("127.5.1.9:7411", Probe(), ProbeResponse, 0.05)
    await probe(channel, address)
    assert len(channel._sockets) == 1
