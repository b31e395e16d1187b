"""The choice of an upstream for a call.

This host's own upstream comes first while it has room, since that saves the hop to
another daemon. Otherwise the less loaded of two random upstreams of the own failure
domain is taken, unless both make the call wait longer than one of another domain
would, the way there included.
"""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

import trio

from mangospoke.ids import FailureDomainId, HostId, ServiceName
from mangospoke.logservice.records import UpstreamAnnounced, UpstreamState
from mangospoke.peers.messages import Load
from mangospoke.routing.ejection import Ejector
from mangospoke.state.fleet import Fleet

_LOAD_LIFETIME_S = 1.0
"""Age after which a load that came with an answer says nothing any more."""

_OWN_UPSTREAM_PRESSURE = 0.8
"""Share of its limit up to which this host's own upstream is taken unasked."""

_UNKNOWN_PRESSURE = 0.5
"""Taken for an upstream of which no fresh load is known."""

_DEFAULT_TRANSIT_S = 0.002
"""Time one way to another failure domain, until it has been measured."""

_ATTEMPTS = 6
"""Draws before all upstreams are looked through for one that may be sent to."""


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream that a call is sent to, and why."""

    upstream: UpstreamAnnounced
    reason: str


@dataclass(slots=True)
class _Observed:
    """What this daemon knows of an upstream's load.

    Attributes:
        sent_since: Requests sent since the load was observed.
    """

    load: Load
    at: float
    sent_since: int = 0


@dataclass(frozen=True, slots=True)
class _Candidates:
    """A service's serving upstreams."""

    near: Sequence[UpstreamAnnounced]
    far: Sequence[UpstreamAnnounced]


class Balancer:
    """Chooses upstreams by what their answers tell of their load."""

    def __init__(
        self,
        fleet: Fleet,
        host_id: HostId,
        domain: FailureDomainId,
        ejector: Ejector,
        read_own_load: Callable[[], Load],
        random_source: random.Random,
    ) -> None:
        self._fleet = fleet
        self._host_id = host_id
        self._domain = domain
        self._ejector = ejector
        self._read_own_load = read_own_load
        self._random = random_source
        self._observed_by_address: dict[str, _Observed] = {}
        self._transit_by_address: dict[str, float] = {}
        self._candidates_by_service: dict[ServiceName, _Candidates] = {}
        fleet.membership_listeners.append(self._membership_changed)

    def _membership_changed(self) -> None:
        self._candidates_by_service.clear()
        upstreams = self._fleet.upstreams_by_host
        self._ejector.keep_only(set(upstreams))
        addresses = {upstream.peer_address for upstream in upstreams.values()}
        for known in (self._observed_by_address, self._transit_by_address):
            for address in set(known) - addresses:
                del known[address]

    def observe(self, address: str, load: Load) -> None:
        """Takes the load that came with an answer."""
        self._observed_by_address[address] = _Observed(load, trio.current_time())

    def observe_transit(self, address: str, transit_s: float) -> None:
        """Takes the measured time one way to a daemon, in seconds."""
        self._transit_by_address[address] = transit_s

    def delay_s(self, service: ServiceName) -> float:
        """Mean queue delay at a service's upstreams, or below them if higher.

        Upstreams of which nothing fresh is known don't count; 0 if all are such.
        """
        own_s = self._mean_s(service, lambda load: load.queue_delay_ms)
        return max(own_s, self.deep_delay_s(service))

    def deep_delay_s(self, service: ServiceName) -> float:
        """Highest queue delay of the services below a service, as it was told."""
        return self._mean_s(service, lambda load: load.deep_delay_ms)

    def _mean_s(self, service: ServiceName, read_ms: Callable[[Load], float]) -> float:
        candidates = self._candidates(service)
        total_ms = 0.0
        count = 0
        for upstream in (*candidates.near, *candidates.far):
            load = self._load_of(upstream)
            if load is not None:
                total_ms += read_ms(load)
                count += 1
        return total_ms / count / 1000 if count else 0.0

    def _load_of(self, upstream: UpstreamAnnounced) -> Load | None:
        if upstream.host_id == self._host_id:
            return self._read_own_load()
        observed = self._fresh(upstream)
        return None if observed is None else observed.load

    def count(self, service: ServiceName) -> int:
        """How many upstreams of a service are known."""
        return len(self._fleet.upstreams_by_service.get(service, {}))

    def choose(
        self, service: ServiceName, excluded: Collection[HostId]
    ) -> Choice | None:
        """Chooses an upstream of a service, or None if there is none left.

        Args:
            service: The service.
            excluded: Hosts that the call has been sent to already.
        """
        candidates = self._candidates(service)
        own = self._own(candidates, excluded)
        if own is not None:
            return own
        near = self._draw(candidates.near, excluded)
        if near is not None and self._pressure(near) < 1:
            return self._chosen(near, "own-domain")
        far = self._draw(candidates.far, excluded)
        if far is None:
            return self._chosen(near, "own-domain") if near else None
        if near is None:
            return self._chosen(far, "other-domain")
        if self._wait_s(far) + 2 * self._transit_s(far) < self._wait_s(near):
            return self._chosen(far, "spill-over")
        return self._chosen(near, "own-domain")

    def _candidates(self, service: ServiceName) -> _Candidates:
        candidates = self._candidates_by_service.get(service)
        if candidates is None:
            serving = [
                upstream
                for upstream in self._fleet.upstreams_by_service.get(
                    service, {}
                ).values()
                if upstream.state is UpstreamState.SERVING
            ]
            candidates = _Candidates(
                near=[u for u in serving if u.failure_domain == self._domain],
                far=[u for u in serving if u.failure_domain != self._domain],
            )
            self._candidates_by_service[service] = candidates
        return candidates

    def _own(
        self, candidates: _Candidates, excluded: Collection[HostId]
    ) -> Choice | None:
        if self._host_id in excluded:
            return None
        for upstream in candidates.near:
            if upstream.host_id == self._host_id:
                break
        else:
            return None
        load = self._read_own_load()
        if load.queued or load.in_flight >= load.limit * _OWN_UPSTREAM_PRESSURE:
            return None
        if not self._ejector.may_send(upstream):
            return None
        return Choice(upstream, "own-host")

    def _draw(
        self, upstreams: Sequence[UpstreamAnnounced], excluded: Collection[HostId]
    ) -> UpstreamAnnounced | None:
        """Draws two upstreams and returns the less loaded one."""
        if not upstreams:
            return None
        drawn: list[UpstreamAnnounced] = []
        for _ in range(_ATTEMPTS):
            upstream = upstreams[int(self._random.random() * len(upstreams))]
            if upstream not in drawn and self._is_usable(upstream, excluded):
                drawn.append(upstream)
                if len(drawn) == 2:
                    break
        if not drawn:
            drawn = [u for u in upstreams if self._is_usable(u, excluded)]
        if not drawn:
            return None
        return min(drawn, key=self._pressure)

    def _is_usable(
        self, upstream: UpstreamAnnounced, excluded: Collection[HostId]
    ) -> bool:
        return upstream.host_id not in excluded and self._ejector.may_send(upstream)

    def _chosen(self, upstream: UpstreamAnnounced, reason: str) -> Choice:
        observed = self._observed_by_address.get(upstream.peer_address)
        if observed is not None:
            observed.sent_since += 1
        return Choice(upstream, reason)

    def _fresh(self, upstream: UpstreamAnnounced) -> _Observed | None:
        observed = self._observed_by_address.get(upstream.peer_address)
        if observed is None or trio.current_time() - observed.at > _LOAD_LIFETIME_S:
            return None
        return observed

    def _pressure(self, upstream: UpstreamAnnounced) -> float:
        """Requests in the upstream and its queue over its concurrency limit."""
        observed = self._fresh(upstream)
        if observed is None:
            return _UNKNOWN_PRESSURE
        load = observed.load
        busy = load.in_flight + load.queued + observed.sent_since
        return busy / max(1, load.limit)

    def _wait_s(self, upstream: UpstreamAnnounced) -> float:
        observed = self._fresh(upstream)
        if observed is None:
            return 0.0
        return observed.load.queue_delay_ms / 1000

    def _transit_s(self, upstream: UpstreamAnnounced) -> float:
        return self._transit_by_address.get(upstream.peer_address, _DEFAULT_TRANSIT_S)
