"""Assembly of a daemon that runs on a platform.

It makes the same decisions as any other daemon, but reads its state from a different
source: the platform's keyed topics hold the configuration and the hosts, so it keeps
no replicas of log streams.
"""

import random
import time
from collections.abc import Sequence
from dataclasses import replace

from loguru import logger

from mangospoke.conf.settings import Settings
from mangospoke.daemon.components import (
    add_quarantine,
    make_identity,
    make_peer_connections,
    make_service_connections,
)
from mangospoke.daemon.hosted_guard import (
    add_evacuation_gate,
    apply_cold_limits,
    follow_callees,
    make_guard,
)
from mangospoke.daemon.hosted_rates import HostedRates
from mangospoke.daemon.hosting import HostedSettings
from mangospoke.daemon.operations import OperationsRequestHandler
from mangospoke.daemon.platform_adapter import PlatformAdapter
from mangospoke.daemon.silent_domains import follow_reachability
from mangospoke.daemon.status import read_hosted_status
from mangospoke.daemon.supervision import Service
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.bodies import buffered_body
from mangospoke.http.held_bytes import (
    HeldBytes,
    callers_capacity,
)
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.http.server import ConnectionContext
from mangospoke.idle import WorkCounter
from mangospoke.ids import HostId, Incarnation, ServiceName
from mangospoke.ingress.dispatch import Dispatcher
from mangospoke.ingress.hosted import HostedRequestHandler
from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.observability.decisions import DecisionLog
from mangospoke.observability.lag import LoopLagMonitor
from mangospoke.observability.logs import EventLog
from mangospoke.observability.overload import OverloadDetector
from mangospoke.peers.control import PeerControlChannel
from mangospoke.rates.timing import HOME_LEASE_NS, NS_PER_S
from mangospoke.routing.balancer import Balancer
from mangospoke.routing.ejection import Ejector
from mangospoke.routing.probing import probe_ejected_hosts
from mangospoke.routing.reachability import DomainReachability
from mangospoke.routing.reachability_watch import ReachabilityWatch
from mangospoke.routing.retries import UnlimitedRetryBudget
from mangospoke.shutdown import Shutdown
from mangospoke.state.evacuated_services import EvacuatedServices
from mangospoke.state.fleet import Fleet
from mangospoke.state.freshness import Freshness
from mangospoke.state.heartbeats import make_heartbeat_check
from mangospoke.state.host_directory import HostDirectory
from mangospoke.state.keyed_following import KeyedFollowing
from mangospoke.state.registrar import HostRegistrar

_FRESHNESS_RATIO = 0.88
"""Part of `withdrawal_s` for which a host may serve without confirmation."""

_MAX_REROUTES = 2


class HostedDaemon:
    """The components of a hosted daemon."""

    def __init__(
        self, hosted_settings: HostedSettings, platform: PlatformAdapter, log: EventLog
    ) -> None:
        settings = hosted_settings.settings
        guarantees = hosted_settings.guarantees
        domain = settings.host.failure_domain
        incarnation = Incarnation(time.time_ns() // 1_000_000)
        self._log = log
        self.hosted_settings = hosted_settings
        self.settings: Settings = settings
        self.fleet = Fleet(settings.host.site)
        self.directory = HostDirectory(self.fleet, Freshness(HOME_LEASE_NS / NS_PER_S))
        self.freshness = Freshness(guarantees.withdrawal_s * _FRESHNESS_RATIO)
        self.log_calls = platform.log_calls
        self.log_era = platform.log.era
        self.lag = LoopLagMonitor()
        self.overload = OverloadDetector()
        self.decisions = DecisionLog(log, self.overload)
        self.decisions.read_proof_age_s = self.freshness.age_s
        self.guard = make_guard(
            hosted_settings, self.fleet, self.decisions, platform.upstream_dialect
        )
        self.evacuated_services = EvacuatedServices(
            self.fleet, hosted_settings.failure_domains
        )
        self.evacuation_gate = add_evacuation_gate(
            hosted_settings, self.fleet, self.guard
        )
        self.registrar = HostRegistrar(
            settings,
            incarnation,
            hosted_settings.upstream_service,
            self.guard,
            platform.log,
            platform.topics.hosts,
            make_heartbeat_check(
                hosted_settings.upstream_address, domain, self._is_known_service
            ),
        )
        self.registrar.written_listeners.append(self.directory.handle_written)
        self.ejector = Ejector()
        self.reachability = DomainReachability(
            settings.host.id, domain, random.Random()
        )
        balancer = Balancer(
            self.fleet,
            settings.host.id,
            domain,
            self.ejector,
            self.guard.load,
            random.Random(),
            self.reachability.is_silent,
        )
        self.identity = make_identity(settings, incarnation)
        self.peers = make_peer_connections(settings, self.identity, balancer)
        self.control = PeerControlChannel(self.peers)
        self.reachability_watch = ReachabilityWatch(
            settings.host.id,
            domain,
            incarnation,
            self.fleet,
            self.control,
            self.reachability,
        )
        self.quarantine = add_quarantine(
            settings,
            self.fleet,
            self.control,
            self.guard,
            lambda: hosted_settings.upstream_service,
        )
        self.quarantine.record_crashes = self.registrar.record_crashes
        shutdown = Shutdown()
        self.decisions.read_shutdown_status = shutdown.status
        dispatcher = Dispatcher(
            settings.host.id,
            self.guard.execute,
            self.peers,
            balancer,
            self.ejector,
            self.decisions,
            UnlimitedRetryBudget(),
            _MAX_REROUTES,
            shutdown,
            peers_retry=False,
        )
        follow_reachability(self.reachability, self.peers, dispatcher, self.ejector)
        self._account_rates = HostedRates(
            hosted_settings,
            incarnation,
            self.fleet,
            self.directory,
            self.control,
        )
        self.rates = self._account_rates.borrowed
        self.request_handler = HostedRequestHandler(
            self.fleet,
            self.freshness,
            platform.caller_dialect,
            hosted_settings.upstream_service,
            self.rates.admit,
            self.rates.give_back,
            dispatcher,
            balancer.downstream_delay_s,
            self.decisions,
            shutdown,
            self.guard.executions,
        )
        self.request_handler.record_callee = self.guard.route_callees.record_call
        follow_callees(
            hosted_settings, self.guard, balancer, self.request_handler.callees
        )
        self.handle_heartbeat = platform.heartbeat_handler(self.registrar)
        self.connections = ConnectionContext(
            settings.limits,
            WorkCounter(),
            HangUpMonitor(),
            self.decisions.record_undelivered,
            shutdown,
            held_bytes=HeldBytes(
                callers_capacity(
                    hosted_settings.memory_mb, hosted_settings.max_descriptors
                )
            ),
        )
        self.service_connections = make_service_connections(self.connections)
        self.operations = OperationsRequestHandler(
            lambda: read_hosted_status(self),
            self.decisions,
            self.lag,
            self.quarantine.clear,
            log.sink.dropped_lines,
        )
        self.following = KeyedFollowing(
            settings,
            platform.log,
            platform.topics,
            platform.read_configuration,
            self.fleet,
            self.directory,
            self.freshness,
            self.control,
        )
        self.following.check_written = self._handle_stored_hosts
        self.following.peers.handle_newest = self.registrar.check_written

    def reload(self, hosted_settings: HostedSettings) -> None:
        """Applies new guarantees; other changed settings require a restart."""
        previous, self.hosted_settings = self.hosted_settings, hosted_settings
        self.freshness.max_age_s = (
            hosted_settings.guarantees.withdrawal_s * _FRESHNESS_RATIO
        )
        apply_cold_limits(self.guard, hosted_settings.guarantees)
        reloaded = replace(previous, guarantees=hosted_settings.guarantees)
        needs_restart = reloaded != hosted_settings
        logger.bind(event="reloaded", needs_restart=needs_restart).info(
            "reloaded the settings{}",
            "; some changes require a restart" if needs_restart else "",
        )

    def _is_known_service(self, service: ServiceName) -> bool:
        return (
            service == self.hosted_settings.upstream_service
            or service in self.fleet.configuration.services_by_name
        )

    def _handle_stored_hosts(
        self, newest: Sequence[KeyedRecord], sent_at: float, era: int | None
    ) -> None:
        self._account_rates.resume(newest)
        self.registrar.take_over(newest)
        self.registrar.check_written(newest, sent_at, era)

    async def answer_readiness(self, request: HttpRequest) -> HttpResponse:
        """Handles a readiness check: whether this host accepts requests of callers."""
        is_ready = (
            not self.registrar.stopping
            and self.fleet.configuration.version > 0
            and self.freshness.is_fresh()
        )
        headers = [(b"content-type", b"text/plain")]
        content = b"ready\n" if is_ready else b"not ready\n"
        return HttpResponse(200 if is_ready else 503, headers, buffered_body(content))

    async def is_alive(self, host_id: HostId) -> bool:
        """Returns whether another host's daemon is reachable."""
        upstream = self.fleet.upstreams_by_host.get(host_id)
        return upstream is not None and await self.peers.can_connect(
            upstream.peer_address
        )

    def services_by_name(self) -> dict[str, Service]:
        """Background services to run under supervision, by name."""
        return {
            **self.following.services_by_name(),
            "rates": self.rates.run,
            "parts of rates": self._account_rates.claimer.run,
            "registrar": self.registrar.run,
            "admission": self.guard.admission.run,
            "cold starts": self.guard.cold_starts.run,
            "suspects": self.quarantine.run,
            "evacuation": self.evacuation_gate.run,
            "hang-up monitor": self.connections.hang_ups.run,
            "log": self._log.sink.run,
            "peer connections": self.peers.run,
            "reachability": self.reachability_watch.run,
            "prober": lambda: probe_ejected_hosts(self.ejector, self.is_alive),
            "overload": self.overload.run,
            "loop lag": self.lag.run,
        }
