"""A request that crashes servers comes again after all daemons were killed.

Four machines in two zones, one service. One request crashes each server that begins to
run it; the server is back after 2 s, with a new id. It comes again every five seconds,
at one machine after the other. With the disruption, all daemons are killed at the same
moment, three times, and start again after 1 s.
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from machines import Fleet, Machine  # noqa: E402
from wire import Connection  # noqa: E402

ZONES = {"zone-a": "area", "zone-b": "area"}
SERVICE = "lots"
KEY = "6wsjnbanfqasnmgkcuyj"
POISON = "/lots/poison"
STABLE_S = 3.0
DOWN_S = 1.0
COMES_AT_S = (3, 8, 17, 22, 31, 36, 45, 50)
KILLED_AT_S = (11, 25, 39)
LAST_S = 54
CALM_PAUSE_S = 0.1
ALLOWED = 3


@dataclass(slots=True)
class Crash:
    """A crash of a server by the request.

    Attributes:
        sent_at: When the request was sent by its client.
        in_touch: Whether the daemon there had run for longer than `stable`.
    """

    at: float
    sent_at: float
    machine: str
    in_touch: bool


def build_configuration() -> bytes:
    """Returns the desired state: one route, and one tenant without a limit."""
    rule = {
        "name": "r-lots",
        "kind": "unsafe",
        "targetLatency": "2000ms",
        "priority": 1,
        "public": False,
        "match": {"pathPrefix": "/lots/"},
        "action": {"service": SERVICE, "timeout": "1500ms", "attempts": 2},
    }
    state = {
        "version": "r3",
        "tenants": [{"name": "grower", "apiKeys": [KEY], "priority": 1}],
        "listeners": [{"hostname": "lots.example", "rules": [rule]}],
        "clusters": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 400}],
    }
    return json.dumps(state).encode()


class Case:
    """The fleet, and what happens to it."""

    def __init__(self, fleet: Fleet) -> None:
        """Initializes a case that hasn't begun."""
        self.fleet = fleet
        self.notes: list[str] = []
        self.crashes: list[Crash] = []
        self._began_at = 0.0
        self._daemons_since = 0.0
        self._poison_sent_at = 0.0

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        at = time.monotonic() - self.fleet.started_at
        self.notes.append(f"# {at:.3f} {text}")

    async def play(self, is_disrupted: bool) -> None:
        """Plays the case."""
        fleet = self.fleet
        fleet.store.put("keyed.op", "config", build_configuration())
        for zone in ZONES:
            for number in (1, 2):
                name = f"sidecar-{zone}-{number}"
                machine = await fleet.add_machine(name, zone, SERVICE, ZONES)
                machine.server.crashes_on = POISON
                machine.server.on_crash = self._note_crash
        await fleet.wait_ready()
        self.note("all machines are ready")
        self._began_at = self._daemons_since = time.monotonic()
        tasks = [fleet.spawn(self._run_client(each)) for each in fleet.machines]
        tasks.append(fleet.spawn(self._send_poison()))
        if is_disrupted:
            tasks.append(fleet.spawn(self._kill_daemons()))
        await self._sleep_until(LAST_S)
        for task in tasks:
            task.cancel()

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0, self._began_at + at_s - time.monotonic()))

    async def _run_client(self, machine: Machine) -> None:
        """Sends ordinary requests, which show that the service is served."""
        connection = Connection(machine.address("outbound"))
        headers = {"Host": "lots.example", "Key": KEY}
        while True:
            await asyncio.sleep(CALM_PAUSE_S)
            await self.fleet.send(machine, connection, "POST", "/lots/2f", headers)

    async def _send_poison(self) -> None:
        headers = {"Host": "lots.example", "Key": KEY}
        for count, at_s in enumerate(COMES_AT_S):
            await self._sleep_until(at_s)
            machine = self.fleet.machines[count % len(self.fleet.machines)]
            connection = Connection(machine.address("outbound"))
            self._poison_sent_at = time.monotonic()
            sent = await self.fleet.send(machine, connection, "POST", POISON, headers)
            connection.close()
            self.note(f"the request comes at {machine.name}: {sent.status}")

    def _note_crash(self, machine: Machine) -> None:
        now = time.monotonic()
        in_touch = self._poison_sent_at > self._daemons_since + STABLE_S
        crash = Crash(now, self._poison_sent_at, machine.name, in_touch)
        self.crashes.append(crash)
        self.note(f"it crashes the server beside {machine.name}")

    async def _kill_daemons(self) -> None:
        for at_s in KILLED_AT_S:
            await self._sleep_until(at_s)
            for machine in self.fleet.machines:
                machine.signal(signal.SIGKILL)
            self.note("all daemons are killed")
            await asyncio.sleep(DOWN_S)
            for machine in self.fleet.machines:
                machine.process.wait()
                machine.start_daemon(SERVICE, ZONES)
            self._daemons_since = time.monotonic()
            self.note("all daemons start again")

    def count_late(self) -> int:
        """Returns the arrivals by machines in touch `stable` after the third crash."""
        if len(self.crashes) < ALLOWED:
            return 0
        from_s = self.crashes[2].at + STABLE_S
        return sum(each.sent_at > from_s and each.in_touch for each in self.crashes)


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
    late = case.count_late()
    verdict = (
        f"the request crashed {len(case.crashes)} servers and reached {late} later "
        f"than {STABLE_S:.0f} s after the third; {ALLOWED} are allowed"
    )
    print(verdict)
    path = Path(__file__).with_name("record.txt")
    fleet.write_record(path, [f"# {verdict}", *case.notes])
    return 1 if late > ALLOWED else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
