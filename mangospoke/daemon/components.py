"""Factories of the components that both kinds of daemon have."""

from collections.abc import Callable
from dataclasses import replace

import msgspec

from mangospoke.conf.settings import Settings
from mangospoke.control.interface import ControlChannel
from mangospoke.guard.guard import Guard
from mangospoke.guard.poison import QuarantineController
from mangospoke.http.held_bytes import (
    SERVICE_BODY_BYTES,
    HeldBytes,
    service_capacity,
)
from mangospoke.http.server import ConnectionContext
from mangospoke.ids import Incarnation, ServiceName
from mangospoke.peers.client import PeerConnectionPool
from mangospoke.peers.handshake import Identity
from mangospoke.routing.balancer import Balancer
from mangospoke.state.fleet import Fleet


def make_identity(settings: Settings, incarnation: Incarnation) -> Identity:
    """Returns what a daemon proves to its peers."""
    return Identity(
        settings.host.id,
        settings.host.failure_domain,
        incarnation,
        settings.fleet.secret,
        settings.fleet.previous_secrets,
    )


def make_peer_connections(
    settings: Settings, identity: Identity, balancer: Balancer
) -> PeerConnectionPool:
    """Returns the connections to peers; what these report goes to the balancer."""
    return PeerConnectionPool(
        identity,
        settings.fleet.translate,
        balancer.record_load,
        balancer.record_one_way_delay,
        settings.limits.body_bytes,
        balancer.notices.read,
    )


def add_quarantine(
    settings: Settings,
    fleet: Fleet,
    control: ControlChannel,
    guard: Guard,
    upstream_service: Callable[[], ServiceName | None],
) -> QuarantineController:
    """Puts the quarantine of requests that crash upstreams into the guard."""
    guard.quarantine = QuarantineController(
        settings.host.id,
        settings.host.failure_domain,
        fleet,
        control,
        guard.accepts_connections,
        upstream_service,
    )
    return guard.quarantine


def make_service_connections(connections: ConnectionContext) -> ConnectionContext:
    """Returns the context of connections that bring no requests of callers."""
    return replace(
        connections,
        limits=msgspec.structs.replace(
            connections.limits,
            body_bytes=SERVICE_BODY_BYTES,
            buffered_body_bytes=SERVICE_BODY_BYTES,
        ),
        held_bytes=HeldBytes(service_capacity()),
    )
