"""Assembly of a daemon's components from its settings."""

import random
import time
from dataclasses import dataclass

from mangospoke.conf.settings import Settings, ShareMode
from mangospoke.control.transport import NngControlChannel
from mangospoke.daemon.components import (
    add_quarantine,
    make_identity,
    make_peer_connections,
)
from mangospoke.daemon.operations import OperationsRequestHandler
from mangospoke.daemon.status import read_status
from mangospoke.guard.at_most_once import AtMostOnceExecutor
from mangospoke.guard.guard import Guard
from mangospoke.guard.home_groups import ClaimGroups
from mangospoke.guard.poison import QuarantineController
from mangospoke.guard.records import RECORD_LIFETIME_S
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.server import ConnectionContext
from mangospoke.idle import WorkCounter
from mangospoke.ids import Incarnation
from mangospoke.ingress.dispatch import Dispatcher
from mangospoke.ingress.key_routing import IdempotencyKeyRouter
from mangospoke.ingress.local import LocalRequestHandler
from mangospoke.ingress.public import PublicRequestHandler
from mangospoke.logservice.client import LogClient
from mangospoke.observability.decisions import DecisionLog
from mangospoke.observability.incidents import IncidentRecorder
from mangospoke.observability.lag import LoopLagMonitor
from mangospoke.observability.logs import EventLog
from mangospoke.observability.overload import OverloadDetector
from mangospoke.peers.client import PeerConnectionPool
from mangospoke.peers.handshake import Identity
from mangospoke.rates.service import Rates, open_rates
from mangospoke.rates.site_limits import Quota, SiteLimits
from mangospoke.rates.static import StaticShares
from mangospoke.routing.balancer import Balancer
from mangospoke.routing.ejection import Ejector
from mangospoke.shutdown import Shutdown
from mangospoke.state.fleet import Fleet
from mangospoke.state.subsystem import StateSubsystem, assemble_state


@dataclass(slots=True)
class Daemon:
    """The components of a daemon, connected but not yet running."""

    settings: Settings
    identity: Identity
    fleet: Fleet
    decisions: DecisionLog
    log_client: LogClient
    control: NngControlChannel
    guard: Guard
    at_most_once: AtMostOnceExecutor
    state: StateSubsystem
    quarantine: QuarantineController
    overload: OverloadDetector
    lag: LoopLagMonitor
    incidents: IncidentRecorder
    peers: PeerConnectionPool
    ejector: Ejector
    public: PublicRequestHandler
    local: LocalRequestHandler
    operations: OperationsRequestHandler
    connections: ConnectionContext
    rates: Rates


def assemble_daemon(settings: Settings, log: EventLog) -> Daemon:
    """Creates all components of a daemon and connects them."""
    incarnation = Incarnation(int(time.time() * 1000))
    identity = make_identity(settings, incarnation)
    domain = settings.host.failure_domain
    fleet = Fleet(settings.host.site)
    log_client = LogClient(settings.log)
    overload = OverloadDetector()
    lag = LoopLagMonitor()
    incidents = IncidentRecorder(settings.host.id, domain, log_client)
    decisions = DecisionLog(log, overload, incidents)
    guard = Guard(fleet, settings.limits, decisions)
    control = NngControlChannel(
        settings.fleet.secret,
        settings.fleet.previous_secrets,
        settings.fleet.translate,
    )
    state = assemble_state(settings, incarnation, fleet, log_client, control, guard)
    ejector = Ejector()
    balancer = Balancer(
        fleet, settings.host.id, domain, ejector, guard.load, random.Random()
    )
    peers = make_peer_connections(settings, identity, balancer)
    quarantine = add_quarantine(settings, fleet, control, guard, guard.upstream_service)
    host_incarnation = (settings.host.id, incarnation)
    claim_groups = ClaimGroups(host_incarnation, fleet, RECORD_LIFETIME_S)
    at_most_once = AtMostOnceExecutor(
        host_incarnation, claim_groups, control, guard.execute
    )
    shutdown = Shutdown()
    decisions.read_shutdown_status = shutdown.status
    dispatcher = Dispatcher(
        settings.host.id,
        at_most_once.execute,
        peers,
        balancer,
        ejector,
        decisions,
        shutdown=shutdown,
    )
    key_router = IdempotencyKeyRouter(fleet, claim_groups, dispatcher.send)
    dispatcher.execute_by_key = key_router.execute
    at_most_once.run_claimed = dispatcher.execute_with_retries
    at_most_once.ask_holder = key_router.ask_holder
    local = LocalRequestHandler(
        fleet, domain, guard, state.announcer, dispatcher, decisions, shutdown
    )
    rates = open_rates(settings, incarnation, fleet, control, log_client)
    quota = _choose_quota(settings, fleet, rates)
    public = PublicRequestHandler(fleet, domain, quota, dispatcher, decisions, shutdown)
    daemon = Daemon(
        settings=settings,
        identity=identity,
        fleet=fleet,
        decisions=decisions,
        log_client=log_client,
        control=control,
        guard=guard,
        at_most_once=at_most_once,
        state=state,
        quarantine=quarantine,
        overload=overload,
        lag=lag,
        incidents=incidents,
        peers=peers,
        ejector=ejector,
        public=public,
        local=local,
        operations=OperationsRequestHandler(
            lambda: read_status(daemon),
            decisions,
            lag,
            quarantine.clear,
            log.sink.dropped_lines,
        ),
        connections=ConnectionContext(
            settings.limits,
            WorkCounter(),
            HangUpMonitor(),
            decisions.record_undelivered,
            shutdown,
        ),
        rates=rates,
    )
    return daemon


def _choose_quota(settings: Settings, fleet: Fleet, rates: Rates) -> Quota:
    if settings.rates.shares is ShareMode.STATIC:
        shares = StaticShares(lambda: len(fleet.membership_state.upstreams_by_host))
        return SiteLimits(fleet, settings.host.site, shares.admit).admit
    return SiteLimits(fleet, settings.host.site, rates.admit).admit
