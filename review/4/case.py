"""A server that has left, as its daemon acknowledged, is used again.

A daemon has been restarted. Before it hears a ping, the server beside it leaves: it
sends only DELETE, which the daemon acknowledges. A ping that was sent before arrives
seconds late.
"""

import asyncio
from pathlib import Path

from standins.case import run_case
from standins.fleet import (
    KEY,
    Fleet,
    make_configuration,
    make_rule,
    send_steadily,
)
from standins.record import Record, has_trouble

SERVICE = "wuno96b"
MACHINES = [
    ("sidecar-birgunj-1", "birgunj", SERVICE),
    ("sidecar-kathmandu-1", "kathmandu", SERVICE),
    ("sidecar-hetauda-1", "hetauda", SERVICE),
]
LEAVER = "sidecar-birgunj-1"

DRAIN_S = 2.0
PING_DELAY_S = 4.0
"""How late the last ping arrives; the pages say: seconds late."""

SERVES_ON_S = 12.0
"""How long the server serves after its DELETE: `drain` and many seconds more."""

WORK_S = 0.3
REQUESTS_PER_S = 40


async def run(record: Record) -> bool | None:
    """Runs the case; returns whether the rule held."""
    tenant = {"name": "pulo780", "apiKeys": [KEY], "ratePerS": 0, "burst": 0}
    rules = [make_rule("r-rzm2d54", "/puka111/", SERVICE, "unsafe")]
    acknowledged_at: list[float] = []
    async with Fleet(record, MACHINES) as fleet:
        for machine in fleet.machines.values():
            machine.server.work_s = WORK_S
        await fleet.start(make_configuration(7, rules, [SERVICE], [tenant]))
        record.note("all daemons are ready; the clients begin")
        names = list(fleet.machines)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(_leave(fleet, acknowledged_at))
            tasks.create_task(
                send_steadily(
                    lambda number: fleet.send(
                        names[number % len(names)], f"/puka111/{number}", "POST"
                    ),
                    REQUESTS_PER_S,
                    26.0,
                )
            )
    return judge(record, acknowledged_at)


async def _leave(fleet: Fleet, acknowledged_at: list[float]) -> None:
    """Restarts the daemon; then the server leaves, and its last ping comes late."""
    record, machine = fleet.record, fleet.machines[LEAVER]
    server = machine.server
    await asyncio.sleep(2.0)
    # Its pings don't get through while its daemon is away, and the next one is due
    # only after it has left.
    server.sends_pings = False
    await machine.restart_daemon()
    late_ping = server.next_ping()
    record.note(f"the server of {LEAVER} sends a ping, which is under way for long")
    status = await server.deregister()
    record.note(f"the server of {LEAVER} sends DELETE, which is answered {status}")
    if status == 200:
        acknowledged_at.append(record.now())
    await asyncio.sleep(PING_DELAY_S)
    if has_trouble():
        status = await server.ping(late_ping)
        record.note(f"the ping arrives {PING_DELAY_S} s late, answered {status}")
    await asyncio.sleep(SERVES_ON_S - PING_DELAY_S)
    record.note(f"the server of {LEAVER} exits")
    await server.stop()


def judge(record: Record, acknowledged_at: list[float]) -> bool | None:
    """Returns whether DRAIN held."""
    if not acknowledged_at:
        record.note("the DELETE was not acknowledged")
        return None
    counted_from = acknowledged_at[0] + DRAIN_S
    late = [run for run in record.runs if run.server == LEAVER]
    late = [run for run in late if run.at > counted_from]
    succeeded = {each.attempt for each in record.answers if each.status == 200}
    lost = [run.attempt for run in late if run.attempt not in succeeded]
    record.note(f"{len(record.answers)} unsafe requests sent")
    record.note(
        f"DRAIN: {len(late)} requests reached the server that had left later than "
        f"{DRAIN_S} s after the acknowledgment at {acknowledged_at[0]:.3f}"
    )
    for attempt in lost:
        record.note(f"{attempt} was accepted and ran there, and its answer was lost")
    return not late


if __name__ == "__main__":
    run_case(Path(__file__).parent, run)
