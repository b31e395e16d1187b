"""Real daemons beside odd entries of another writer go on, and go on following.

Failure: one entry nested deeply, with a number too large, or with a port out of range
made every daemon's readers fail and be restarted for ever, so that it was never ready.
"""

import os
import signal

import msgspec
import pytest
from odd_content import ODD_ADDRESSES, odd_variants

from mangospoke.bench.waiting import wait_until
from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest
from mangospoke.platform.heartbeats import HeartbeatRequestHandler
from tests.platform.hosted_fleet import run_hosted_fleet

HOSTS_TOPIC = "keyed.hosts"
SOUND_HEARTBEAT = {
    "address": "10.0.0.1:80",
    "born": 5,
    "info": {"service": "back", "slots": 4, "zone": "a"},
    "status": {"state": "ready", "seq": 1, "coldLeft": "0ms"},
}


class Receiver:
    """Fails for each heartbeat: none may come through."""

    def handle_heartbeat(self, heartbeat):
        raise AssertionError(f"{heartbeat} names an upstream")


HEARTBEATS_BY_NAME = odd_variants(msgspec.json.encode(SOUND_HEARTBEAT))
HEARTBEATS_BY_NAME |= {
    f"coldLeft is {text[:20]}": msgspec.json.encode(
        {**SOUND_HEARTBEAT, "status": {"state": "ready", "seq": 1, "coldLeft": text}}
    )
    for text in ("1e400s", "nanms", "ms", "9" * 5_000 + "x", "infs")
}


@pytest.mark.parametrize("name", HEARTBEATS_BY_NAME)
async def test_an_odd_heartbeat_names_no_upstream(name):
    body = buffered_body(HEARTBEATS_BY_NAME[name])
    request = HttpRequest(b"PUT", b"/instances/i-1", [], body)
    response = await HeartbeatRequestHandler(Receiver()).handle(request)
    assert response.status == 400


async def test_daemons_go_on_beside_odd_entries_and_after_a_restart(tmp_path):
    async with run_hosted_fleet(tmp_path) as fleet:
        content, _ = fleet.store.newest(HOSTS_TOPIC)["machine-1"]
        variants = odd_variants(content)
        for number, variant in enumerate(variants.values()):
            fleet.store.put(HOSTS_TOPIC, f"odd-{number}", variant)
        assert any(
            address.encode() in b"".join(variants.values()) for address in ODD_ADDRESSES
        )
        for daemon in fleet.daemons_by_service.values():
            os.kill(daemon.process.pid, signal.SIGKILL)
            await daemon.process.wait()
            daemon.start()
        for daemon in fleet.daemons_by_service.values():
            await wait_until(daemon.is_ready, "a ready daemon")
            await daemon.send_heartbeat(2)

        async def is_served():
            return (await fleet.front.send_request("/open/1")).status == 200

        await wait_until(is_served, "a response of the back", 5.0)
        # It is still followed: the back leaves, and comes again.
        await fleet.back.send_heartbeat(3, state="draining")
        await fleet.back.send_heartbeat(1, born=99_000)
        await wait_until(is_served, "a response of the back's next run", 5.0)
        for daemon in fleet.daemons_by_service.values():
            assert daemon.process.is_running
            assert "failed; restarting it" not in daemon.process.log_path.read_text()
