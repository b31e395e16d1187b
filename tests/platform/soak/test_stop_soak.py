"""Random series of stops, restarts, reloads and configurations lose no request.

`STOP_SOAK_SEEDS` is the number of seeds to play, for long runs by hand.
"""

import enum
import os
import random
import signal

import pytest
import trio

from mangospoke.bench.waiting import wait_until
from tests.platform.hosted_fleet import build_configuration, run_hosted_fleet
from tests.platform.stop_load import (
    Journal,
    Load,
    ScriptedUpstream,
    Stop,
    find_violations,
    send_signal,
    summarize,
    wait_for_exit,
)

SEED_COUNT = int(os.environ.get("STOP_SOAK_SEEDS", "2"))
SERVICES = ("front", "side", "back")
INGRESSES = ("front", "side")
GRACE_S = 6.0
SOAK_S = 12.0
MAX_PAUSE_S = 1.5
MAX_RESTART_DELAY_S = 1.0
SLOTS = 60


class DaemonState(enum.Enum):
    """What a daemon does, as the operator knows it."""

    RUNNING = "running"
    STOPPING = "stopping"
    STARTING = "starting"


class Operator:
    """Stops, restarts, reloads and configures daemons at random."""

    def __init__(self, fleet, seed):
        self.stops_by_service = {service: [] for service in SERVICES}
        self._fleet = fleet
        self._dice = random.Random(seed)
        self._state_by_service = dict.fromkeys(SERVICES, DaemonState.RUNNING)
        self._version = 1
        self._sequence = 1

    async def run(self):
        """Acts at random moments for some seconds, then waits for the last stop."""
        async with trio.open_nursery() as nursery:
            ends_at = trio.current_time() + SOAK_S
            while trio.current_time() < ends_at:
                await trio.sleep(self._dice.uniform(0, MAX_PAUSE_S))
                self._act(nursery)

    def _act(self, nursery):
        service = self._dice.choice(SERVICES)
        reloads = self._dice.random() < 0.3
        state = self._state_by_service[service]
        if state is not DaemonState.STARTING:
            daemon = self._fleet.daemons_by_service[service]
            send_signal(daemon, signal.SIGHUP if reloads else signal.SIGTERM)
        if state is DaemonState.RUNNING and not reloads:
            self._state_by_service[service] = DaemonState.STOPPING
            nursery.start_soon(self._restart, service)
        if self._dice.random() < 0.3:
            self._configure()

    async def _restart(self, service):
        """Waits for a daemon's end after its first SIGTERM, and starts it again."""
        daemon = self._fleet.daemons_by_service[service]
        stop = Stop(trio.current_time(), GRACE_S)
        self.stops_by_service[service].append(stop)
        await wait_for_exit(daemon, stop)
        self._state_by_service[service] = DaemonState.STARTING
        await trio.sleep(self._dice.uniform(0, MAX_RESTART_DELAY_S))
        daemon.start()
        await wait_until(daemon.is_ready, "a ready daemon")
        self._sequence += 1
        await daemon.send_heartbeat(self._sequence, slots=SLOTS)
        self._state_by_service[service] = DaemonState.RUNNING

    def _configure(self):
        self._version += 1
        configuration = build_configuration(self._version, timeout="15s")
        self._fleet.store.put("keyed.op", "config", configuration)


async def play(directory, seed):
    """Plays a seed; returns what was wrong."""
    async with run_hosted_fleet(
        directory,
        services=SERVICES,
        make_upstream=ScriptedUpstream,
        slots=SLOTS,
        timeout="15s",
    ) as fleet:
        loads = {
            service: Load(
                Journal(prefix=service), fleet.daemons_by_service[service].outbound
            )
            for service in INGRESSES
        }
        operator = Operator(fleet, seed)
        async with trio.open_nursery() as nursery:
            for load in loads.values():
                nursery.start_soon(load.run_mixed)
            await operator.run()
            for load in loads.values():
                load.is_over = True
        runs = fleet.back.upstream.runs
    violations = []
    for service, load in loads.items():
        stops = operator.stops_by_service[service] + operator.stops_by_service["back"]
        violations += find_violations(load.journal, runs, *stops)
    return violations


@pytest.mark.parametrize("seed", range(SEED_COUNT))
async def test_a_series_of_stops_loses_no_request(seed, tmp_path):
    violations = await play(tmp_path, seed)
    assert not violations, summarize(violations)
