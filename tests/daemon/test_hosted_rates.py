"""What the next process on a host takes over of the rates that one held which crashed.

Failure: a host's record said that it drains, and ceased to. It was killed before its
successor had given its parts back, and its next process took them over, as the one
before had run for long: accounts got twice their rate.
"""

import time

import msgspec
import pytest
import trio

from mangospoke.conf.effective import EffectiveAccount, EffectiveConfiguration
from mangospoke.conf.settings import Fleet as FleetSettings
from mangospoke.conf.settings import Host, Limits, Listen, LogService, Settings
from mangospoke.control.interface import ControlError
from mangospoke.daemon.hosted_rates import HostedRates
from mangospoke.daemon.hosting import Guarantees, HostedSettings, RateExcessLimits
from mangospoke.guard.guard import Guard
from mangospoke.guard.retry_arrivals import RetryLimit
from mangospoke.logservice.era import LogEra
from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.observability.decisions import DecisionLog
from mangospoke.rendezvous import rendezvous_rank
from mangospoke.state.fleet import Fleet
from mangospoke.state.freshness import Freshness, read_boot_clock
from mangospoke.state.heartbeats import Heartbeat, HeartbeatState
from mangospoke.state.host_directory import HostDirectory
from mangospoke.state.registrar import HostRegistrar
from tests.rates.fake_fleet import announcement

ADDRESS = "127.0.0.1:1"
HOST, NEIGHBOR = rendezvous_rank(["h1", "h2"], "acme")
"""The account's home, and the next in line."""

SETTINGS = Settings(
    host=Host(id=HOST, failure_domain="a", site="s"),
    listen=Listen(
        public=ADDRESS, local=ADDRESS, peer=ADDRESS, control=ADDRESS, operations=ADDRESS
    ),
    fleet=FleetSettings(secret="s"),
    log=LogService(address=ADDRESS),
)
HOSTED_SETTINGS = HostedSettings(
    settings=SETTINGS,
    callers_address=ADDRESS,
    heartbeat_address=ADDRESS,
    readiness_address=ADDRESS,
    upstream_address=ADDRESS,
    upstream_service="batches",
    guarantees=Guarantees(
        withdrawal_s=5.0,
        drain_s=2.0,
        stop_s=6.0,
        retries=RetryLimit(10.0, 0.0, 0.0),
        rates=RateExcessLimits(5.0, 0.0, 0.0),
        evacuation_s=5.0,
    ),
)
ACCOUNT = EffectiveAccount("acme", 50, 4, 1, {}, None, None)
RAN_MS = 60_000
"""How long the process before has run."""


class FakeLog:
    """Keeps the newest record."""

    def __init__(self):
        self.era = LogEra()
        self.newest = []

    async def put(self, topic, key, value, write_id):
        self.newest = [KeyedRecord(key, value, 0)]


class UnreachablePeers:
    """The control channel of a host that is cut off from all others."""

    def __init__(self):
        self.handlers_by_type = {}

    async def send_request(self, address, request, answer_type, timeout_s):
        raise ControlError("cut off")


def upstream_run(number, state=HeartbeatState.SERVING):
    return Heartbeat(
        instance=f"i-{number}",
        service="batches",
        address="127.0.0.1:2",
        slots=10,
        state=state,
        started_at_ms=number,
        sequence=5 + (state is HeartbeatState.DRAINING),
        cold_left_ms=0,
    )


async def record_of_process(heartbeats):
    """Returns the host's record after a process that ran for long, as now written."""
    log = FakeLog()
    started_ms = time.time_ns() // 1_000_000 - RAN_MS
    guard = Guard(Fleet("s"), Limits(), DecisionLog())
    registrar = HostRegistrar(SETTINGS, started_ms, "batches", guard, log, "hosts")
    registrar.take_over([])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(registrar.run)
        for heartbeat in heartbeats:
            registrar.handle_heartbeat(heartbeat)
            await registrar.wait_written()
        nursery.cancel_scope.cancel()
    return [*log.newest, neighbor_record()]


def neighbor_record():
    record = announcement(NEIGHBOR)
    record = msgspec.structs.replace(
        record, failure_domain="a", peer_address=ADDRESS, control_address=ADDRESS
    )
    return KeyedRecord(NEIGHBOR, msgspec.json.encode(record), 1)


async def is_admitted_after_restart(newest):
    """Whether the next process on the host, which hears nobody, hands out tokens."""
    fleet = Fleet("s")
    directory = HostDirectory(fleet, Freshness(12.0))
    rates = HostedRates(
        HOSTED_SETTINGS,
        time.time_ns() // 1_000_000,
        fleet,
        directory,
        UnreachablePeers(),
    )
    rates.resume(newest)
    directory.handle_records(newest)
    directory.freshness.confirm(read_boot_clock())
    fleet.activate_configuration(
        EffectiveConfiguration(1, accounts_by_id={ACCOUNT.account_id: ACCOUNT})
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(rates.borrowed.run)
        nursery.start_soon(rates.claimer.run)
        # Tokens are earned from the moment at which the lease is first looked at.
        await rates.borrowed.admit(ACCOUNT)
        await trio.sleep(0.2)
        refused = await rates.borrowed.admit(ACCOUNT)
        nursery.cancel_scope.cancel()
    return refused is None


async def test_what_a_crashed_process_held_is_taken_over():
    newest = await record_of_process([upstream_run(1)])
    assert await is_admitted_after_restart(newest)


@pytest.mark.parametrize("runs", [1, 2])
async def test_what_a_process_had_given_away_is_not_taken_over(runs):
    heartbeats = []
    for number in range(1, runs + 1):
        heartbeats += [
            upstream_run(number),
            upstream_run(number, HeartbeatState.DRAINING),
        ]
    newest = await record_of_process([*heartbeats, upstream_run(runs + 1)])
    assert not await is_admitted_after_restart(newest)
