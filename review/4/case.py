"""Two daemons are stopped in turn, and long requests at the first are broken off.

Requests reach the system at one machine and run at the slow server of another. Both
daemons get SIGTERM, one shortly after the other, as in a rolling restart. The requests
would end within the grace of either.
"""

import asyncio
import signal
from pathlib import Path

from standins.case import run_case
from standins.fleet import (
    KEY,
    CannotRunError,
    Fleet,
    Machine,
    make_configuration,
    make_rule,
)
from standins.record import Record, has_trouble

SLOW, OTHER = "wuno96b", "huvo11a"
MACHINES = [
    ("sidecar-birgunj-1", "birgunj", SLOW),
    ("sidecar-kathmandu-1", "kathmandu", OTHER),
    ("sidecar-hetauda-1", "hetauda", OTHER),
]
BESIDE_SERVER, INGRESS = "sidecar-birgunj-1", "sidecar-kathmandu-1"

WORK_S = 5.6
"""How long the slow server works at a request."""

TIMEOUT_MS = 6000
GRACE_S = 6.0
GAP_S = 1.3
REQUESTS = 8
REQUEST_GAP_S = 0.01


async def run(record: Record) -> bool | None:
    """Runs the case; returns whether the rule held."""
    tenant = {"name": "pulo780", "apiKeys": [KEY], "ratePerS": 0, "burst": 0}
    rules = [
        make_rule("r-rzm2d54", "/puka111/", SLOW, "unsafe", timeout=f"{TIMEOUT_MS}ms")
    ]
    terminated_at: dict[str, float] = {}
    async with Fleet(record, MACHINES) as fleet:
        fleet.machines[BESIDE_SERVER].server.work_s = WORK_S
        await fleet.start(make_configuration(7, rules, [SLOW, OTHER], [tenant]))
        # All machines are in touch from here on.
        await asyncio.sleep(3.0)
        async with asyncio.TaskGroup() as tasks:
            for number in range(REQUESTS):
                tasks.create_task(
                    fleet.send(
                        INGRESS, f"/puka111/{number}", "POST", timeout_ms=TIMEOUT_MS
                    )
                )
                await asyncio.sleep(REQUEST_GAP_S)
            if has_trouble():
                for name in (BESIDE_SERVER, INGRESS):
                    terminated_at[name] = record.now()
                    tasks.create_task(_stop(record, fleet.machines[name]))
                    await asyncio.sleep(GAP_S)
    return judge(record, terminated_at)


async def _stop(record: Record, machine: Machine) -> None:
    """Stops a daemon as the platform does."""
    record.note(f"SIGTERM to the daemon of {machine.name}")
    machine.signal_daemon(signal.SIGTERM)
    if await machine.wait_ended(GRACE_S):
        record.note(f"the daemon of {machine.name} has ended")
    else:
        record.note(f"SIGKILL to the daemon of {machine.name} after the grace")
        machine.signal_daemon(signal.SIGKILL)


def judge(record: Record, terminated_at: dict[str, float]) -> bool | None:
    """Returns whether LOST held."""
    run_at = {run.attempt: run.at for run in record.runs}
    if len(run_at) < REQUESTS:
        raise CannotRunError(f"only {len(run_at)} of {REQUESTS} requests have run")
    lost = []
    for answer in record.answers:
        record.note(
            f"{answer.attempt} sent at {answer.sent_at:.3f}, answered "
            f"{answer.status or 'with a closed connection'} after "
            f"{answer.at - answer.sent_at:.3f} s"
        )
        if answer.status == 200:
            continue
        if answer.at - answer.sent_at >= TIMEOUT_MS / 1000:
            continue
        stopped_at = terminated_at.get(INGRESS)
        if stopped_at is None:
            return None
        if answer.at < stopped_at + GRACE_S * 5 / 6:
            lost.append(answer.attempt)
    for attempt in lost:
        record.note(f"LOST: {attempt} was broken off while its server was at work")
    record.note(f"{len(lost)} of {len(record.answers)} unsafe requests break LOST")
    return not lost


if __name__ == "__main__":
    run_case(Path(__file__).parent, run)
