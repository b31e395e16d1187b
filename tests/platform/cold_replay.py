"""The decisions of many hosts in virtual time, beside upstreams that may turn cold.

Each host has its own guard, balancer, dispatcher and request handler; only connections
are replaced: a call reaches another host's guard, and a model of an upstream, as a
Python call. An upstream that is cold ends above its rate, and comes back cold.
"""

import copy
import itertools
import math
import random

import trio

from mangospoke.announcements import Announcement
from mangospoke.calls import RetryAllowance
from mangospoke.conf.declarations import Access, Importance
from mangospoke.conf.effective import (
    EffectiveAccount,
    EffectiveConfiguration,
    EffectiveKey,
    EffectiveRoute,
    EffectiveService,
)
from mangospoke.conf.settings import Limits
from mangospoke.guard.dialect import ResponseMetadata
from mangospoke.guard.guard import Guard
from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.ingress.dialect import CallerDialect, CallerFields
from mangospoke.ingress.dispatch import Dispatcher
from mangospoke.ingress.hosted import HostedRequestHandler
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.observability.decisions import DecisionLog
from mangospoke.platform.headers import UPSTREAM_DIALECT
from mangospoke.routing.balancer import Balancer
from mangospoke.routing.ejection import Ejector
from mangospoke.shutdown import Shutdown
from mangospoke.state.fleet import Fleet
from mangospoke.state.freshness import Freshness
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    RefusalReason,
    Refused,
    Unanswered,
)

COLD_PER_S = 8.0
COLD_START_S = 3.0
ALLOWED_IN_A_SECOND = 20
CRASH_IN_A_SECOND = 24
SLOTS = 40
WORK_S = 0.05
COLD_SLOWNESS = 2.0
MAX_DOWN_S = 2.0
HEARTBEAT_S = 1.5
DOMAINS = ("a", "b", "c")
NETWORK_S = 0.0005

# Paths that each run of a path calls, one after the other.
CALLS_BY_PATH = {
    "/book/": ("/inner/documents/",),
    "/inner/documents/": ("/inner/stock/", "/inner/stock/"),
}
ROUTES = (
    ("bookings", "/book/", Access.OPEN, Importance.CRITICAL, 1.5),
    ("stock", "/stock/", Access.OPEN, Importance.NORMAL, 0.8),
    ("documents", "/inner/documents/", Access.KEYLESS, Importance.CRITICAL, 0.8),
    ("stock", "/inner/stock/", Access.KEYLESS, Importance.CRITICAL, 0.7),
)


def make_configuration(cold_per_s):
    """Builds the configuration; upstreams aren't bounded if the rate is 0."""
    configuration = EffectiveConfiguration(version=1)
    account = EffectiveAccount("acme", 0, 0, 1, {}, None, None)
    configuration.accounts_by_id["acme"] = account
    configuration.keys_by_id["k"] = EffectiveKey("acme", None, False)
    for service, path, access, importance, deadline_s in ROUTES:
        configuration.services_by_name[service] = EffectiveService(
            service, (), SLOTS, 1_000, COLD_START_S, True, cold_per_s, "/healthz"
        )
        route = EffectiveRoute(
            service, path, b"", path, access, importance, True, deadline_s, 1
        )
        configuration.host_routes.add("shop", path, route)
    return configuration


class ModelUpstream:
    """An upstream that ends if it gets too much while it is cold.

    Attributes:
        crash_count: Times that it ended.
        cold_until: When it is warm; infinity while it is down.
        most_in_a_second: The most requests that it got within a second while cold.
    """

    def __init__(self, host, dice):
        # Of its own, so that starts don't depend on what callers do.
        dice = random.Random(dice.random())
        self.crash_count = 0
        self.cold_until = math.inf
        self.most_in_a_second = 0
        self.announced = None
        self.max_connections = math.inf
        self._host = host
        self._dice = dice
        self._running = None
        self._arrivals = []
        self._number = 0

    @property
    def is_cold(self):
        return trio.current_time() < self.cold_until

    async def run(self):
        """Starts over and over, and sends heartbeats until it ends."""
        while True:
            await trio.sleep(self._dice.uniform(0, MAX_DOWN_S))
            self._number += 1
            self.cold_until = trio.current_time() + COLD_START_S
            self._arrivals = []
            with trio.CancelScope() as self._running:
                # It accepts connections before its first heartbeat.
                await trio.sleep(self._dice.uniform(0, 0.3))
                while True:
                    self._send_heartbeat()
                    await trio.sleep(HEARTBEAT_S)
            self._running = None

    def _send_heartbeat(self):
        left_s = max(0.0, self.cold_until - trio.current_time())
        name = f"{self._host.name}-{self._number}"
        if self._host.guard.announcement is None or self.announced != name:
            self.announced = name
            announcement = Announcement(
                service=self._host.service,
                address=self._host.name,
                slots=SLOTS,
                connections=1_000,
                instance=name,
                cold_left_ms=int(left_s * 1000),
                started_at_ms=self._number,
            )
            self._host.guard.attach(announcement)
        self._host.guard.process_heartbeat(name, int(left_s * 1000))

    def _crash(self):
        self.crash_count += 1
        self.cold_until = math.inf
        self._running.cancel()

    def _count_arrival(self):
        now = trio.current_time()
        self._arrivals = [time for time in self._arrivals if now - time < 1]
        self._arrivals.append(now)
        if self.is_cold:
            count = len(self._arrivals)
            self.most_in_a_second = max(self.most_in_a_second, count)
            if count > CRASH_IN_A_SECOND:
                self._crash()

    async def execute(self, call, token, echoes_request_id, instance=None):
        """Runs a call, in place of the connections to an upstream."""
        if self._running is None:
            return Refused(RefusalReason.UPSTREAM_UNREACHABLE, "it is down")
        if instance != f"{self._host.name}-{self._number}":
            return Refused(RefusalReason.OTHER_INSTANCE, "another run answered")
        run, sent_at = self._number, trio.current_time()
        self._count_arrival()
        await trio.sleep(WORK_S * (COLD_SLOWNESS if self.is_cold else 1))
        status = 200
        for path in CALLS_BY_PATH.get(call.target.decode(), ()):
            response = await self._host.send(path, key=None, deadline=call.deadline)
            if response.status != 200:
                status = 500
                break
        if self._number != run or self._running is None:
            return Unanswered(FailureReason.UPSTREAM_CONNECTION_LOST, "it ended")
        self._host.guard.cold_starts.process_response(ResponseMetadata(), sent_at)
        return Answered(status, [], buffered_body(b""))

    def check_health(self):
        """Returns what its health path tells; None while it is down."""
        if self._running is None:
            return None
        left_ms = max(0.0, self.cold_until - trio.current_time()) * 1000
        name = f"{self._host.name}-{self._number}"
        headers = [(b"instance-id", name.encode()), (b"cold-ms", b"%d" % left_ms)]
        return HttpResponse(200, headers, buffered_body(b""))


class ModelGuard(Guard):
    """A guard whose upstream is a model."""

    upstream: ModelUpstream

    def _open_connections(self, announcement):
        return self.upstream

    async def accepts_connections(self):
        return True


class ReplayHost:
    """One host: its daemon's decisions and its upstream."""

    def __init__(self, name, service, domain, fleet, replay, dice):
        self.name = name
        self.service = service
        self._numbers = itertools.count()
        decisions = DecisionLog()
        self.guard = ModelGuard(
            fleet, Limits(), decisions, UPSTREAM_DIALECT, adapts_limit=False
        )
        self.guard.cold_starts.max_excess_ratio = 0.5
        self.guard.cold_starts.max_excess_requests = 8.0
        self.upstream = self.guard.upstream = ModelUpstream(self, dice)
        ejector = Ejector()
        self.balancer = Balancer(fleet, name, domain, ejector, self.guard.load, dice)
        shutdown = Shutdown()
        freshness = Freshness(math.inf, trio.current_time)
        freshness.confirm(trio.current_time())
        dispatcher = Dispatcher(
            name,
            self.guard.execute,
            ReplayPeers(self, replay),
            self.balancer,
            ejector,
            decisions,
            None,
            2,
            shutdown,
        )
        self.handler = HostedRequestHandler(
            fleet,
            freshness,
            CallerDialect(_read_fields, _no_headers, _build_response),
            service,
            _no_quota,
            lambda account: None,
            dispatcher,
            self.balancer.downstream_delay_s,
            decisions,
            shutdown,
        )
        self.handler._random = dice
        callees = self.handler.callees
        self.guard.read_downstream_delay_s = lambda: callees.delay_s(
            self.balancer.delay_s, trio.current_time()
        )

    async def send(self, path, key="k", deadline=math.inf):
        """Sends a request to this host; returns the response."""
        timeout_s = min(60.0, deadline - trio.current_time())
        headers = [(b"id", b"%s.%d" % (self.name.encode(), next(self._numbers)))]
        headers.append((b"timeout", b"%f" % timeout_s))
        if key is not None:
            headers.append((b"key", key.encode()))
        request = HttpRequest(b"GET", path.encode(), headers, buffered_body(b""))
        return await self.handler.handle(request)


class ReplayPeers:
    """Reaches the guards of other hosts, in place of connections to them."""

    def __init__(self, host, replay):
        self._host = host
        self._replay = replay

    async def execute(self, address, call, retries):
        await trio.sleep(NETWORK_S)
        peer = self._replay.hosts_by_name[address]
        forwarded = copy.copy(call)
        forwarded.retries = RetryAllowance(retries)
        outcome = await peer.guard.execute(forwarded)
        call.send_status = forwarded.send_status
        load = peer.guard.offer_load(call.route)
        await trio.sleep(NETWORK_S)
        self._host.balancer.record_load(address, load, call.route)
        return outcome


class Replay:
    """A fleet whose hosts have all lost power, and its callers.

    Attributes:
        hosts_by_name: The hosts.
        responses: Path, time and status of each root request that ended.
    """

    def __init__(self, counts_by_service, cold_per_s, seed):
        random.seed(seed)
        self._dice = random.Random(seed)
        self._fleet = Fleet("site")
        self.responses = []
        self.hosts_by_name = {}
        for service, count in counts_by_service.items():
            for number in range(count):
                name = f"{service}{number}"
                domain = DOMAINS[number % len(DOMAINS)]
                host = ReplayHost(name, service, domain, self._fleet, self, self._dice)
                self.hosts_by_name[name] = host
                self._fleet.apply_membership(_make_record(name, service, domain))
        self._fleet.activate_configuration(make_configuration(cold_per_s))

    @property
    def upstreams(self):
        return [host.upstream for host in self.hosts_by_name.values()]

    async def run(self, rate_by_path, duration_s):
        """Has everything start at once, under load."""
        async with trio.open_nursery() as nursery:
            for host in self.hosts_by_name.values():
                nursery.start_soon(host.upstream.run)
                nursery.start_soon(host.guard.cold_starts.run)
                nursery.start_soon(host.guard.admission.run)
            for path, rate_per_s in rate_by_path.items():
                nursery.start_soon(self._send_all, path, rate_per_s)
            await trio.sleep(duration_s)
            nursery.cancel_scope.cancel()

    async def _send_all(self, path, rate_per_s):
        hosts = list(self.hosts_by_name.values())
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self._send, self._dice.choice(hosts), path)
                await trio.sleep(self._dice.expovariate(rate_per_s))

    async def _send(self, host, path):
        """Sends a request, and once more at another host if it wasn't served."""
        response = await host.send(path)
        self.responses.append((path, trio.current_time(), response.status))
        if response.status == 200:
            return
        retry_after_s = float(dict(response.headers).get(b"retry-after", b"0.1"))
        await trio.sleep(min(retry_after_s, 1.0))
        other = self._dice.choice(list(self.hosts_by_name.values()))
        response = await other.send(path)
        self.responses.append((path, trio.current_time(), response.status))

    async def health(self, address, path):
        """Asks a model for its health, in place of a connection to it."""
        await trio.sleep(NETWORK_S)
        return self.hosts_by_name[address].upstream.check_health()


def _make_record(name, service, domain):
    return UpstreamAnnounced(
        record_id=name,
        host_id=name,
        failure_domain=domain,
        incarnation=1,
        service=service,
        peer_address=name,
        control_address=name,
        slots=SLOTS,
    )


def _read_fields(request):
    by_name = dict(request.headers)
    key = by_name.get(b"key")
    return CallerFields(
        host="shop",
        request_id=by_name[b"id"].decode(),
        timeout_s=float(by_name[b"timeout"]),
        key_id=None if key is None else key.decode(),
    )


def _no_headers(request, service):
    return []


async def _no_quota(account):
    return None


def _build_response(outcome, request_id):
    headers = []
    if isinstance(outcome, Refused) and outcome.retry_after_s is not None:
        headers.append((b"retry-after", b"%f" % outcome.retry_after_s))
    return HttpResponse(outcome.status, headers, buffered_body(b""))
