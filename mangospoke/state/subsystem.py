"""Assembles the state subsystem and registers its control message handlers."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from mangospoke.conf.settings import Settings
from mangospoke.control.messages import (
    IndirectProbe,
    Probe,
    ProbeResponse,
    ReadStreams,
    ShareMembership,
)
from mangospoke.control.transport import NngControlChannel
from mangospoke.guard.guard import Guard
from mangospoke.ids import Incarnation
from mangospoke.logservice.client import LogClient
from mangospoke.observability.status import StateStatus
from mangospoke.state.announcer import Announcer
from mangospoke.state.fleet import Fleet
from mangospoke.state.following import Follower
from mangospoke.state.liveness import LivenessProber
from mangospoke.state.relay import Relay
from mangospoke.state.retention import SnapshotWriter
from mangospoke.state.topology import DomainTopology
from mangospoke.state.writer import MembershipWriter

Service = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class StateSubsystem:
    """The components that follow, relay and write the fleet's state.

    Attributes:
        announcer: Publishes the state of this host's upstream.
        topology: Which daemons this daemon follows and probes.
        services_by_name: Background tasks that the supervisor runs.
        status: Returns the subsystem's part of the daemon's status.
    """

    announcer: Announcer
    topology: DomainTopology
    services_by_name: dict[str, Service]
    status: Callable[[], StateStatus]


def assemble_state(
    settings: Settings,
    incarnation: Incarnation,
    fleet: Fleet,
    client: LogClient,
    control: NngControlChannel,
    guard: Guard,
) -> StateSubsystem:
    """Creates and connects the components and registers their message handlers."""
    source = random.Random()
    topology = DomainTopology(settings, fleet, source)
    relay = Relay(fleet)
    follower = Follower(fleet, client, control, topology, relay, source)
    writer = MembershipWriter(
        settings.host.failure_domain, fleet, client, control, topology, source
    )
    announcer = Announcer(settings, incarnation, fleet, guard, writer.want)
    prober = LivenessProber(settings.host.id, control, topology, writer, source)
    snapshot_writer = SnapshotWriter(
        fleet, client, topology, follower, settings.log.retention_s, source
    )

    async def answer_probe(_: Probe) -> ProbeResponse:
        version = fleet.configuration.version
        return ProbeResponse(settings.host.id, announcer.incarnation, version)

    control.handlers_by_type[Probe] = answer_probe
    control.handlers_by_type[ReadStreams] = relay.answer
    control.handlers_by_type[ShareMembership] = writer.answer
    control.handlers_by_type[IndirectProbe] = prober.answer

    def status() -> StateStatus:
        age_s = fleet.age_s()
        return StateStatus(
            age_s=None if age_s == float("inf") else age_s,
            source=follower.source,
            position=topology.position(),
            reads_log=follower.reads_log(),
            log_failures=follower.log_failures,
            rejected_version=fleet.rejected_version,
            provisional=len(fleet.provisional.records()),
            control_bytes_sent=control.bytes_sent,
            control_bytes_received=control.bytes_received,
        )

    return StateSubsystem(
        announcer=announcer,
        topology=topology,
        services_by_name={
            "follower": follower.run,
            "announcer": announcer.run,
            "membership writer": writer.run,
            "liveness prober": prober.run,
            "snapshot keeper": snapshot_writer.run,
        },
        status=status,
    )
