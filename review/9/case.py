"""A key that was taken away, while the readers of the store get no response from it.

Nine machines in three zones. With the disruption, the store gives no response to three
of them: in each zone the one that reads the store for the others. A tenth of a second
later the operator takes a key away. Clients go on using it.
"""

import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from machines import Fleet, Machine  # noqa: E402
from wire import Connection  # noqa: E402

ZONES = {"zone-a": "area", "zone-b": "area", "zone-c": "area"}
MACHINES_PER_ZONE = 3
SERVICE = "lots"
KEY = "6wsjnbanfqasnmgkcuyj"
TAKEN_KEY = "8pjbvk9m68k7b2ex5wa5"
CONFIG_APPLY_S = 2.0
MUTED_FOR_S = 6.0
TAKEN_AFTER_S = 0.1
ROUNDS = 4
CALM_S = 14.0
"""Between two rounds, until the readers in each zone are those of before."""

PAUSE_S = 0.05


def build_configuration(version: int, keys: list[str]) -> bytes:
    """Returns the desired state: one route, and one tenant with some keys."""
    rule = {
        "name": "r-lots",
        "kind": "safe",
        "targetLatency": "2000ms",
        "priority": 1,
        "public": False,
        "match": {"pathPrefix": "/lots/"},
        "action": {"service": SERVICE, "timeout": "1500ms", "attempts": 2},
    }
    state = {
        "version": f"r{version}",
        "tenants": [{"name": "grower", "apiKeys": keys, "priority": 1}],
        "listeners": [{"hostname": "lots.example", "rules": [rule]}],
        "clusters": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 400}],
    }
    return json.dumps(state).encode()


def key_of(number: int) -> str:
    """Returns the key that is taken away in a round."""
    return f"{TAKEN_KEY}{number}"


class Case:
    """The fleet, and what the operator and the store do.

    Attributes:
        late: Requests that ran too late with a key that was taken away.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Initializes a case that hasn't begun."""
        self.fleet = fleet
        self.notes: list[str] = []
        self.late: list[str] = []
        self._key = ""
        self._key_by_request: dict[str, str] = {}
        self._read_at_by_machine: dict[str, float] = {}

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        at = time.monotonic() - self.fleet.started_at
        self.notes.append(f"# {at:.3f} {text}")

    async def play(self, is_disrupted: bool) -> None:
        """Plays the case."""
        fleet = self.fleet
        keys = [KEY, *map(key_of, range(ROUNDS))]
        fleet.store.on_answer = self._note_answer
        fleet.store.put("keyed.op", "config", build_configuration(3, keys))
        for zone in ZONES:
            for number in range(1, MACHINES_PER_ZONE + 1):
                name = f"sidecar-{zone}-{number}"
                await fleet.add_machine(name, zone, SERVICE, ZONES)
        await fleet.wait_ready(30.0)
        self.note("all machines are ready")
        for machine in fleet.machines:
            fleet.spawn(self._run_client(machine))
        for number in range(ROUNDS):
            await asyncio.sleep(CALM_S if number else 5)
            keys.remove(key_of(number))
            await self._play_round(number, keys, is_disrupted)

    def _note_answer(self, machine: str, target: str, response: object) -> None:
        if "/log-read" in target and "topic=keyed.op" in target:
            self._read_at_by_machine[machine] = time.monotonic()

    def _readers(self) -> list[str]:
        now = time.monotonic()
        read_at = self._read_at_by_machine.items()
        return sorted(name for name, at in read_at if now - at < 1.5)

    async def _play_round(
        self, number: int, keys: list[str], is_disrupted: bool
    ) -> None:
        readers = self._readers()
        self._key = key_of(number)
        if is_disrupted:
            self.fleet.store.muted.update(readers)
            self.note(f"the store gives no response to {', '.join(readers)}")
        await asyncio.sleep(TAKEN_AFTER_S)
        self.fleet.store.put(
            "keyed.op", "config", build_configuration(5 + 2 * number, keys)
        )
        taken_at = time.monotonic()
        self.note(f"the store has the desired state without key {number}")
        await asyncio.sleep(MUTED_FOR_S - TAKEN_AFTER_S)
        self.fleet.store.muted.clear()
        if is_disrupted:
            self.note("the store answers all machines")
        self._judge(key_of(number), taken_at, set(readers) if is_disrupted else set())

    def _judge(self, key: str, taken_at: float, muted: set[str]) -> None:
        ran = {run.request_id for run in self.fleet.runs()}
        late = [
            each
            for each in self.fleet.sent
            if self._key_by_request.get(each.request_id) == key
            and each.sent_at > taken_at + CONFIG_APPLY_S
            and each.machine not in muted
            and each.request_id in ran
        ]
        self.late += [each.request_id for each in late]
        if late:
            last = max(each.sent_at for each in late) - taken_at
            at = ", ".join(sorted({each.machine for each in late}))
            self.note(f"{len(late)} ran too late, the last {last:.3f} s after, at {at}")

    async def _run_client(self, machine: Machine) -> None:
        connection = Connection(machine.address("outbound"))
        while True:
            await asyncio.sleep(PAUSE_S)
            key = self._key or KEY
            headers = {"Host": "lots.example", "Key": key}
            sent = await self.fleet.send(
                machine, connection, "GET", "/lots/2f", headers
            )
            self._key_by_request[sent.request_id] = key


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
    verdict = (
        f"{len(case.late)} requests with a key that was taken away were sent over "
        f"{CONFIG_APPLY_S:.0f} s after the ack and ran, at machines in touch"
    )
    print(verdict)
    path = Path(__file__).with_name("record.txt")
    fleet.write_record(path, [f"# {verdict}", *case.notes])
    return 1 if case.late else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
