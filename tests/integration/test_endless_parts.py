"""Answers without end through two daemons: a bounded wait, and slots given back."""

import pytest
import trio

from mangospoke.bench.waiting import wait_until
from mangospoke.client.client import open_client
from mangospoke.conf.settings import Limits
from mangospoke.standin.upstream_settings import (
    Chance,
    EndlessPart,
    ServiceTime,
    UpstreamFaults,
)
from tests.harness.plans import ACCOUNT, BACK, FRONT, small_fleet

DEADLINE_MS = 1_000
LATE_S = 0.5
"""The rules want an answer within half a second of the deadline."""

BUFFERED_BYTES = 5_000
"""Low enough that a body that trickles is streamed."""

SEED = 7
BACK_HOST = f"a-{BACK}-0"
MALFORMED_AT_ONCE = {
    EndlessPart.HEAD,
    EndlessPart.INFORMATIONAL,
    EndlessPart.OTHER_ANSWERS,
    EndlessPart.GARBAGE,
}


@pytest.fixture
async def fleet_address_and_key(start_fleet):
    """Calls enter at the host of another service, so that they cross two daemons."""
    changes = {"service_time": ServiceTime(mean_ms=1)}
    limits = Limits(buffered_body_bytes=BUFFERED_BYTES)
    small = small_fleet(upstream_changes=changes, limits=limits)
    fleet = await start_fleet(small.plan)
    address = fleet.hosts_by_id[f"a-{FRONT}-0"].addresses.public
    key = small.keys_by_account[ACCOUNT]
    async with open_client([address], key, seed=SEED) as client:

        async def is_admitted():
            return (await client.call("GET", "/batches/warm-up")).status == 200

        await wait_until(is_admitted, "admitted requests", 20)
    return fleet, address, key


async def call(address, key):
    """Returns all that a caller receives until its connection is closed."""
    ip, _, port = address.rpartition(":")
    request = (
        f"GET /batches/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
        f"Mangospoke-Deadline-Ms: {DEADLINE_MS}\r\nConnection: close\r\n\r\n"
    )
    received = bytearray()
    async with await trio.open_tcp_stream(ip, int(port)) as stream:
        await stream.send_all(request.encode())
        with trio.fail_after(DEADLINE_MS / 1000 + LATE_S):
            try:
                while chunk := await stream.receive_some():
                    received += chunk
            except trio.BrokenResourceError:
                pass
    return bytes(received)


@pytest.mark.parametrize("pause_ms", [0, 20])
@pytest.mark.parametrize("part", list(EndlessPart))
async def test_an_endless_part_ends_for_the_caller_and_frees_the_slot(
    fleet_address_and_key, part, pause_ms
):
    fleet, address, key = fleet_address_and_key
    faults = UpstreamFaults(
        endless=Chance(probability=1), endless_part=part, endless_pause_ms=pause_ms
    )
    await fleet.set_upstream_faults(BACK_HOST, faults)
    received = await call(address, key)
    head, _, _ = received.partition(b"\r\n\r\n")
    if head.startswith(b"HTTP/1.1 200"):
        assert part not in MALFORMED_AT_ONCE
        assert not received.endswith(b"0\r\n\r\n")
    else:
        assert b"mangospoke-verdict: not-run" not in head.lower()
        assert head.startswith((b"HTTP/1.1 502", b"HTTP/1.1 504"))

    async def is_free():
        return (await fleet.status(BACK_HOST)).upstream.in_flight == 0

    await wait_until(is_free, "the slot", LATE_S)
    await fleet.set_upstream_faults(BACK_HOST, UpstreamFaults())
    assert (await call(address, key)).startswith(b"HTTP/1.1 200")
