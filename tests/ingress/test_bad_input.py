"""Bad input gets an error response and doesn't affect other requests."""

import socket

import pytest
import trio

from mangospoke.bench.waiting import wait_until
from mangospoke.conf.settings import Limits
from mangospoke.peers.framing import FrameStream, PeerUnavailableError
from mangospoke.peers.handshake import Identity, dial_handshake
from mangospoke.standin.upstream_settings import UpstreamFaults
from mangospoke.streams import open_stream
from tests.harness.plans import ACCOUNT, BACK, small_fleet

HEAD_BYTES = 4_096
BODY_BYTES = 100_000
HEAD_TIMEOUT_MS = 700
WARM_UP_PATH = "/batches/warm-up"


@pytest.fixture
async def fleet_and_key(start_fleet):
    limits = Limits(
        head_bytes=HEAD_BYTES,
        buffered_body_bytes=10_000,
        body_bytes=BODY_BYTES,
        head_timeout_ms=HEAD_TIMEOUT_MS,
    )
    fleet_setup = small_fleet(services=(BACK,), limits=limits)
    fleet = await start_fleet(fleet_setup.plan)
    await wait_until_admitted(fleet, fleet_setup.keys_by_account[ACCOUNT])
    return fleet, fleet_setup.keys_by_account[ACCOUNT]


async def wait_until_admitted(fleet, key):
    """Waits until this host has been granted a part of the account's rate."""

    async def is_admitted():
        response = await send(public_address(fleet), get_request(WARM_UP_PATH, key))
        return response.startswith(b"HTTP/1.1 200")

    await wait_until(is_admitted, "an admitted request", 20)


def get_executions(fleet):
    return [
        execution
        for execution in fleet.all_executions()
        if execution.target != WARM_UP_PATH
    ]


def public_address(fleet):
    (host,) = fleet.hosts_by_id.values()
    ip, _, port = host.addresses.public.rpartition(":")
    return ip, int(port)


async def send(address, content, *, half_close=False):
    """Sends bytes and returns everything received until the peer closes."""
    stream = await trio.open_tcp_stream(*address)
    received = b""
    with trio.fail_after(20):
        async with stream:
            try:
                await stream.send_all(content)
                if half_close:
                    await stream.send_eof()
                while chunk := await stream.receive_some(65_536):
                    received += chunk
            except trio.BrokenResourceError:
                pass
    return received


def get_request(path, key, *extra):
    lines = [f"GET {path} HTTP/1.1", "Host: x", "Connection: close"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    return "\r\n".join([*lines, *extra, "", ""]).encode()


async def assert_still_serves(fleet, key):
    response = await send(public_address(fleet), get_request("/batches/1", key))
    assert response.startswith(b"HTTP/1.1 200")


async def test_caller_errors_have_distinct_responses(fleet_and_key):
    fleet, key = fleet_and_key
    key_id, _, _ = key.partition(".")
    large = f"X-Large: {'x' * 2 * HEAD_BYTES}"
    expected_by_request = {
        b"garbage\r\n\r\n": (400, b"bad-request"),
        get_request("/batches/1", key, large): (431, b"head-too-large"),
        get_request("/nowhere", key): (404, b"unknown-route"),
        get_request("/history/1", key): (404, b"route-internal"),
        get_request("/batches", key): (405, b"method-not-allowed"),
        get_request("/batches/1", None): (401, b"unauthenticated"),
        get_request("/batches/1", f"{key_id}.wrong"): (401, b"unauthenticated"),
        get_request("/batches/1", "no-dot"): (401, b"unauthenticated"),
        get_request("/batches/1", key).replace(
            b"Connection", b"Content-Length: 999999999\r\nConnection"
        ): (413, b"body-too-large"),
        get_request("/batches/1", key).replace(b"Host: x\r\n", b""): (
            400,
            b"bad-request",
        ),
    }
    for content, (status, reason) in expected_by_request.items():
        response = await send(public_address(fleet), content)
        assert response.startswith(b"HTTP/1.1 %d" % status), (content, response)
        assert b"mangospoke-reason: " + reason in response.lower(), (content, response)
        assert b"mangospoke-verdict: not-run" in response.lower()
    await assert_still_serves(fleet, key)
    assert len(get_executions(fleet)) == 1


async def test_chunked_body_over_the_limit_is_aborted(fleet_and_key):
    fleet, key = fleet_and_key
    head = get_request("/batches", key, "Transfer-Encoding: chunked")
    head = head.replace(b"GET", b"POST")
    chunk = b"%x\r\n%s\r\n" % (10_000, b"x" * 10_000)
    response = await send(public_address(fleet), head + 20 * chunk + b"0\r\n\r\n")
    assert response.startswith(b"HTTP/1.1 400")
    assert b"mangospoke-verdict: may-have-run" in response.lower()
    await assert_still_serves(fleet, key)


async def test_stalled_senders_are_timed_out(fleet_and_key):
    fleet, key = fleet_and_key
    address = public_address(fleet)
    for content in (b"GET /batches/1 HT", get_request("/batches/1", key)[:-2]):
        stream = await trio.open_tcp_stream(*address)
        received = b""
        with trio.fail_after(20):
            async with stream:
                await stream.send_all(content)
                while chunk := await stream.receive_some(65_536):
                    received += chunk
        assert received.startswith(b"HTTP/1.1 408")
    await assert_still_serves(fleet, key)


async def test_head_timeout_applies_to_the_whole_head(fleet_and_key):
    fleet, key = fleet_and_key
    stream = await trio.open_tcp_stream(*public_address(fleet))
    with trio.fail_after(20):
        try:
            await stream.send_all(b"GET /batches/1 HTTP/1.1\r\nX: ")
            while True:
                await trio.sleep(HEAD_TIMEOUT_MS / 4000)
                await stream.send_all(b"x")
        except trio.BrokenResourceError:
            pass
    await assert_still_serves(fleet, key)


async def test_caller_that_disconnects_cancels_its_request(start_fleet):
    fleet_setup = small_fleet(services=(BACK,))
    fleet = await start_fleet(fleet_setup.plan)
    key = fleet_setup.keys_by_account[ACCOUNT]
    await wait_until_admitted(fleet, key)
    (host_id,) = fleet.hosts_by_id
    await fleet.set_upstream_faults(host_id, UpstreamFaults(slow_factor=1000.0))
    stream = await trio.open_tcp_stream(*public_address(fleet))
    await stream.send_all(get_request("/batches/1", key))
    await _wait_for(lambda: _in_flight(fleet, host_id), 1)
    await stream.aclose()
    await _wait_for(lambda: _in_flight(fleet, host_id), 0)


async def _in_flight(fleet, host_id):
    status = await fleet.status(host_id)
    return status.upstream.in_flight


async def _wait_for(read, expected):
    async def matches():
        return await read() == expected

    await wait_until(matches, f"{expected} in flight", 20)


async def test_http_1_0_request_without_host_field_is_served(fleet_and_key):
    fleet, key = fleet_and_key
    request = f"GET /batches/1 HTTP/1.0\r\nAuthorization: Bearer {key}\r\n\r\n"
    response = await send(public_address(fleet), request.encode())
    assert response.startswith(b"HTTP/1.1 200")


async def test_pipelined_requests_are_answered_in_order(fleet_and_key):
    fleet, key = fleet_and_key
    first = get_request("/batches/first", key).replace(b"Connection: close\r\n", b"")
    response = await send(
        public_address(fleet), first + get_request("/batches/second", key)
    )
    assert response.count(b"HTTP/1.1 200") == 2
    # They are executed concurrently: only the responses have a defined order.
    ids_by_target = {
        execution.target: execution.request_id for execution in get_executions(fleet)
    }
    assert set(ids_by_target) == {"/batches/first", "/batches/second"}
    first_at = response.index(ids_by_target["/batches/first"].encode())
    second_at = response.index(ids_by_target["/batches/second"].encode())
    assert first_at < second_at


async def test_forged_internal_fields_are_not_forwarded(fleet_and_key):
    fleet, key = fleet_and_key
    forged = [
        "Mangospoke-Account: other",
        "Mangospoke-Importance: 0",
        "Mangospoke-Execution: forged",
        "Mangospoke-Request-Id: forged",
    ]
    response = await send(
        public_address(fleet), get_request("/batches/1", key, *forged)
    )
    assert response.startswith(b"HTTP/1.1 200")
    (execution,) = get_executions(fleet)
    received_headers = str(execution.headers).lower()
    assert "forged" not in received_headers and "other" not in received_headers
    assert (
        "authorization" not in received_headers
        and key.partition(".")[2] not in received_headers
    )


async def test_local_listener_requires_an_execution_token(fleet_and_key):
    fleet, key = fleet_and_key
    (host,) = fleet.hosts_by_id.values()
    ip, _, port = host.addresses.local.rpartition(":")
    for token in ((), ("Mangospoke-Execution: forged",)):
        response = await send((ip, int(port)), get_request("/batches/1", key, *token))
        assert response.startswith(b"HTTP/1.1 403")
    assert get_executions(fleet) == []


async def test_unauthenticated_peers_are_rejected(fleet_and_key):
    fleet, key = fleet_and_key
    (host,) = fleet.hosts_by_id.values()
    ip, _, port = host.addresses.peer.rpartition(":")
    for content in (b"\xff" * 100, b"GET / HTTP/1.1\r\n\r\n", b"\x00\x00\x00\x01\x90"):
        await send((ip, int(port)), content)
    unknown_peer = Identity("stranger", "a", 1, "not the secret")
    frames = FrameStream(await open_stream(ip, int(port)))
    with pytest.raises(PeerUnavailableError):
        await dial_handshake(frames, unknown_peer, unknown_peer.secret)
    await assert_still_serves(fleet, key)


async def test_garbage_on_the_control_port_is_ignored(fleet_and_key):
    fleet, key = fleet_and_key
    (host,) = fleet.hosts_by_id.values()
    ip, _, port = host.addresses.control.rpartition(":")
    for content in (b"\xff" * 1000, b"\x00SP\x00\x00\x30\x00\x00" + b"\xff" * 64):
        with socket.create_connection((ip, int(port)), timeout=5) as connection:
            connection.sendall(content)
    await assert_still_serves(fleet, key)
    assert (await fleet.status(host.plan.host_id)).configuration_version == 1
