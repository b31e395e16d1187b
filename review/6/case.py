"""A server that starts again under its old id and leaves a second later.

Three machines of one service in two zones. The server beside one of them crashes, is
back after 2 s under the id that it had, and says a second later that it leaves, with
DELETE. With the disruption, the only ping that it sent before is 4 s late.
"""

import asyncio
import json
import os
import random
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from machines import Fleet, Machine, Server  # noqa: E402
from wire import Connection  # noqa: E402

ZONES = {"zone-a": "area", "zone-b": "area"}
NAMES = ("sidecar-zone-a-1", "sidecar-zone-a-2", "sidecar-zone-b-1")
SERVICE = "bookings"
KEY = "6wsjnbanfqasnmgkcuyj"
WORK_S = 0.1
MAX_PAUSE_S = 0.1
CRASHED_S = 2.0
LEAVES_AFTER_S = 1.0
LATE_S = 4.0
SERVES_ON_S = 10.0
DRAIN_S = 2.0
ALLOWED = 0


def build_configuration() -> bytes:
    """Returns the desired state: one unsafe route, and one tenant without a limit."""
    rule = {
        "name": "r-bookings",
        "kind": "unsafe",
        "targetLatency": "2000ms",
        "priority": 1,
        "public": False,
        "match": {"pathPrefix": "/bookings/"},
        "action": {"service": SERVICE, "timeout": "1500ms", "attempts": 2},
    }
    state = {
        "version": "r3",
        "tenants": [{"name": "yard", "apiKeys": [KEY], "priority": 1}],
        "listeners": [{"hostname": "yard.example", "rules": [rule]}],
        "clusters": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 400}],
    }
    return json.dumps(state).encode()


class Case:
    """The fleet, and what happens to it."""

    def __init__(self, fleet: Fleet) -> None:
        """Initializes a case that hasn't begun."""
        self.fleet = fleet
        self.notes: list[str] = []
        self.acknowledged_at = 0.0
        self.ended_at = 0.0

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        at = time.monotonic() - self.fleet.started_at
        self.notes.append(f"# {at:.3f} {text}")

    async def play(self, is_disrupted: bool) -> None:
        """Plays the case.

        Raises:
            TimeoutError: If the machines aren't ready in time, or the server gets no
                acknowledgment.
        """
        fleet = self.fleet
        fleet.store.put("keyed.op", "config", build_configuration())
        for name in NAMES:
            zone = name.removeprefix("sidecar-")[:-2]
            await fleet.add_machine(name, zone, SERVICE, ZONES, WORK_S)
        await fleet.wait_ready()
        self.note("all machines are ready")
        clients = [
            fleet.spawn(self._run_client(machine))
            for machine in fleet.machines
            for _ in range(3)
        ]
        await asyncio.sleep(4)
        await self._crash_and_leave(fleet.machines[0], is_disrupted)
        await asyncio.sleep(2)
        for client in clients:
            client.cancel()

    async def _crash_and_leave(self, machine: Machine, is_disrupted: bool) -> None:
        server = machine.server
        server.end()
        self.note(f"the server beside {machine.name} crashes")
        await asyncio.sleep(CRASHED_S)
        await server.begin_anew(server.instance)
        self.note(f"it is back as {server.instance}")
        ping = server.make_heartbeat()
        self.fleet.spawn(self._send_ping(server, ping, LATE_S if is_disrupted else 0))
        await asyncio.sleep(LEAVES_AFTER_S)
        if not await server.say("DELETE"):
            raise TimeoutError("no acknowledgment")
        self.acknowledged_at = time.monotonic()
        self.note("its DELETE is acknowledged")
        await asyncio.sleep(SERVES_ON_S)
        server.end()
        self.ended_at = time.monotonic()
        self.note("it exits")

    async def _send_ping(self, server: Server, ping: bytes, late_s: float) -> None:
        await asyncio.sleep(late_s)
        is_acknowledged = await server.say("PUT", ping)
        self.note(f"its ping arrives, {late_s:.0f} s late: {is_acknowledged}")

    async def _run_client(self, machine: Machine) -> None:
        connection = Connection(machine.address("outbound"))
        headers = {"Host": "yard.example", "Key": KEY}
        while True:
            await asyncio.sleep(random.uniform(0, MAX_PAUSE_S))
            await self.fleet.send(machine, connection, "POST", "/bookings/2f", headers)

    def late_runs(self) -> list[str]:
        """Returns the requests that reached the server too late."""
        from_s = self.acknowledged_at + DRAIN_S
        runs = self.fleet.machines[0].server.runs
        return [run.request_id for run in runs if run.started_at > from_s]

    def count_unanswered(self, request_ids: list[str]) -> int:
        """Returns how many of some requests didn't get the server's answer."""
        late = set(request_ids)
        return sum(
            each.request_id in late and each.status != 200 for each in self.fleet.sent
        )


async def main() -> int:
    """Plays the case, writes the record, and returns the exit status."""
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        case = Case(fleet)
        try:
            await case.play(is_disrupted)
        except (TimeoutError, OSError) as error:
            print(f"the case couldn't run: {error!r}")
            return 2
        finally:
            fleet.end()
    late = case.late_runs()
    verdict = (
        f"{len(late)} requests reached the server later than {DRAIN_S:.0f} s after its "
        f"leaving was acknowledged, and {case.count_unanswered(late)} of them were lost"
    )
    print(verdict)
    path = Path(__file__).with_name("record.txt")
    fleet.write_record(path, [f"# {verdict}", *case.notes])
    return 1 if len(late) > ALLOWED else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
