"""Load balancing: the choice of an upstream for a call.

The upstream on this host is preferred while it has spare capacity, since that saves
the network hop to another daemon. Otherwise two upstreams of this host's failure
domain are sampled at random and the one at which the call is expected to cost less is
chosen ("power of two choices"; `expected_costs`). If a call would cost much more than
usual at both, all upstreams of the domain are compared. A call spills over to another
failure domain if that one's upstreams have no room, or would cost it much more.
"""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

import trio

from mangospoke.ids import (
    NO_ROUTE,
    FailureDomainId,
    HostId,
    RouteName,
    ServiceName,
)
from mangospoke.logservice.records import UpstreamAnnounced, UpstreamState
from mangospoke.peers.messages import Load
from mangospoke.routing.ejection import Ejector
from mangospoke.routing.expected_costs import ExpectedCosts, crowding
from mangospoke.routing.notices import UpstreamNotices
from mangospoke.state.fleet import Fleet

_MAX_LOAD_AGE_S = 1.0
"""Age after which a reported load is ignored; sooner at a turn that was offered."""

_MAX_OWN_UTILIZATION_RATIO = 0.8
"""Utilization below which this host's own upstream is chosen without comparison."""

_DEFAULT_UTILIZATION_RATIO = 0.5
"""Utilization assumed for an upstream without a recent load report."""

_DEFAULT_ONE_WAY_DELAY_S = 0.002
"""Network delay assumed towards a daemon whose delay hasn't been observed yet."""

_MAX_EXCESS_COST_S = 0.1
"""Cost beyond a route's usual work from which on an upstream is a poor choice."""

_CROSS_DOMAIN_GAIN_S = 0.2
"""Cost that a hop to another failure domain must save where the own one has room."""

_SAME_COST_RATIO = 1.05
"""Costs within this ratio of the least one are regarded as equal to it."""

_MAX_SAMPLES = 6
"""Random samples before all upstreams are searched for usable ones."""


@dataclass(frozen=True, slots=True)
class UpstreamChoice:
    """The upstream that a call is sent to.

    Attributes:
        upstream: The chosen upstream.
        reason: Why it was chosen, as recorded with the attempt.
    """

    upstream: UpstreamAnnounced
    reason: str


@dataclass(slots=True)
class _ObservedLoad:
    """The last load that an upstream reported.

    Attributes:
        load: The reported load.
        observed_at: Time on trio's clock at which the report arrived, in seconds.
        sent_since: Requests that this daemon sent to the upstream since then.
    """

    load: Load
    observed_at: float
    sent_since: int = 0


@dataclass(frozen=True, slots=True)
class _Candidates:
    """A service's serving upstreams, by whether they are in this failure domain.

    Those of evacuated domains aren't among them.
    """

    own_domain: Sequence[UpstreamAnnounced]
    other_domains: Sequence[UpstreamAnnounced]

    def without(self, domains: Collection[FailureDomainId]) -> "_Candidates":
        """Returns those that aren't in any of some failure domains."""
        return _Candidates(
            [u for u in self.own_domain if u.failure_domain not in domains],
            [u for u in self.other_domains if u.failure_domain not in domains],
        )


class Balancer:
    """Chooses upstreams by the load that they report with their responses.

    Attributes:
        notices: What upstreams said about themselves.
    """

    def __init__(
        self,
        fleet: Fleet,
        host_id: HostId,
        domain: FailureDomainId,
        ejector: Ejector,
        read_own_load: Callable[[RouteName], Load],
        random_source: random.Random,
    ) -> None:
        """Initializes the balancer.

        Args:
            fleet: The upstreams known to this daemon.
            host_id: This host.
            domain: This host's failure domain.
            ejector: Determines which upstreams are ejected.
            read_own_load: Reads the load of this host's own upstream, with the work of
                a route.
            random_source: Source of the random samples.
        """
        self.notices = UpstreamNotices()
        self._fleet = fleet
        self._host_id = host_id
        self._domain = domain
        self._ejector = ejector
        self._read_own_load = read_own_load
        self._random = random_source
        self._costs = ExpectedCosts()
        self._load_by_address: dict[str, _ObservedLoad] = {}
        self._one_way_delay_by_address: dict[str, float] = {}
        self._candidates_by_service: dict[ServiceName, _Candidates] = {}
        fleet.membership_listeners.append(self._on_membership_change)
        fleet.evacuations.listeners.append(self._candidates_by_service.clear)

    def _on_membership_change(self) -> None:
        self._candidates_by_service.clear()
        upstreams = self._fleet.upstreams_by_host
        self._ejector.retain_hosts(set(upstreams))
        addresses = {upstream.peer_address for upstream in upstreams.values()}
        self.notices.retain(addresses)
        self._costs.retain(addresses)
        for by_address in (self._load_by_address, self._one_way_delay_by_address):
            for address in set(by_address) - addresses:
                del by_address[address]

    def record_load(
        self, address: str, load: Load, route: RouteName = NO_ROUTE
    ) -> None:
        """Records the load that came with the response to a call of a route."""
        now = trio.current_time()
        self._load_by_address[address] = _ObservedLoad(load, now)
        self._costs.record(address, route, load, now)
        if load.notice is not None:
            self.notices.record(address, load.notice)
            if load.notice.is_leaving:
                self._exclude_leaving(address)

    def _exclude_leaving(self, address: str) -> None:
        for upstream in self._fleet.upstreams_by_host.values():
            if upstream.peer_address == address:
                self._ejector.record_draining(upstream)

    def record_one_way_delay(self, address: str, one_way_delay_s: float) -> None:
        """Records the measured one-way network delay to a daemon, in seconds."""
        self._one_way_delay_by_address[address] = one_way_delay_s

    def delay_s(self, service: ServiceName) -> float:
        """Returns the queue delay at a service or downstream of it, in seconds.

        This is the larger of two means over the service's upstreams: their own queue
        delay, and that of the services downstream of them. Upstreams
        without a recent load report are left out; 0 if none has one.
        """
        own_delay_s = self._mean_s(service, lambda load: load.queue_delay_ms)
        return max(own_delay_s, self.downstream_delay_s(service))

    def downstream_delay_s(self, service: ServiceName) -> float:
        """Returns the reported downstream queue delay of a service, in seconds.

        Each upstream reports the longest delay among the services that it calls,
        directly or indirectly; this is the mean of the reports.
        """
        return self._mean_s(service, lambda load: load.deep_delay_ms)

    def refuses_retries(self, service: ServiceName) -> bool:
        """Returns whether an upstream of a service has said that it does."""
        candidates = self._candidates(service)
        for upstream in (*candidates.own_domain, *candidates.other_domains):
            observed = self._recent_load(upstream)
            if observed is not None and observed.load.refuses_retries:
                return True
        return False

    def _mean_s(self, service: ServiceName, read_ms: Callable[[Load], float]) -> float:
        """Averages a value of the known loads and converts it from ms to seconds."""
        candidates = self._candidates(service)
        total_ms = 0.0
        count = 0
        for upstream in (*candidates.own_domain, *candidates.other_domains):
            load = self._load_of(upstream)
            if load is not None:
                total_ms += read_ms(load)
                count += 1
        return total_ms / count / 1000 if count else 0.0

    def _load_of(self, upstream: UpstreamAnnounced) -> Load | None:
        if upstream.host_id == self._host_id:
            return self._read_own_load(NO_ROUTE)
        observed = self._recent_load(upstream)
        return None if observed is None else observed.load

    def count_upstreams(self, service: ServiceName) -> int:
        """Returns the number of known upstreams of a service."""
        return len(self._fleet.upstreams_by_service.get(service, {}))

    def choose(
        self,
        service: ServiceName,
        excluded: Collection[HostId],
        route: RouteName = NO_ROUTE,
    ) -> UpstreamChoice | None:
        """Chooses an upstream of a service.

        Args:
            service: The service.
            excluded: Hosts that the call has already been sent to.
            route: The call's route.

        Returns:
            The choice, or None if no usable upstream is left.
        """
        candidates = self._candidates(service)
        skipped = self._fleet.evacuations.draw_skipped(self._random)
        if skipped:
            choice = self._choose_among(candidates.without(skipped), excluded, route)
            if choice is not None:
                return choice
        return self._choose_among(candidates, excluded, route)

    def _choose_among(
        self,
        candidates: _Candidates,
        excluded: Collection[HostId],
        route: RouteName,
    ) -> UpstreamChoice | None:
        own_host = self._choose_own_host(candidates, excluded, route)
        if own_host is not None:
            return own_host
        own_domain = self._sample(candidates.own_domain, excluded, route)
        if (
            own_domain is not None
            and self._utilization(own_domain) < 1
            and not self._is_poor(own_domain, route)
        ):
            return self._choose_upstream(own_domain, "own-domain")
        other_domain = self._sample(candidates.other_domains, excluded, route)
        if other_domain is None:
            return (
                self._choose_upstream(own_domain, "own-domain") if own_domain else None
            )
        if own_domain is None:
            return self._choose_upstream(other_domain, "other-domain")
        if self._should_spill_over(own_domain, other_domain, route):
            return self._choose_upstream(other_domain, "spill-over")
        return self._choose_upstream(own_domain, "own-domain")

    def _should_spill_over(
        self,
        own_domain: UpstreamAnnounced,
        other_domain: UpstreamAnnounced,
        route: RouteName,
    ) -> bool:
        """Returns whether a hop to another failure domain is worth its cost."""
        round_trip_s = 2 * self._one_way_delay_s(other_domain)
        if self._utilization(own_domain) >= 1:
            own_delay_s = self._queue_delay_s(own_domain)
            return self._queue_delay_s(other_domain) + round_trip_s < own_delay_s
        if self._utilization(other_domain) >= 1:
            return False
        hop_cost_s = round_trip_s + _CROSS_DOMAIN_GAIN_S
        own_cost_s = self._cost_s(own_domain, route)
        return self._cost_s(other_domain, route) + hop_cost_s < own_cost_s

    def has_choice(self, service: ServiceName, excluded: Collection[HostId]) -> bool:
        """Returns whether a service has a usable upstream that isn't excluded."""
        candidates = self._candidates(service)
        return any(
            self._is_usable(upstream, excluded)
            for upstream in (*candidates.own_domain, *candidates.other_domains)
        )

    def _candidates(self, service: ServiceName) -> _Candidates:
        candidates = self._candidates_by_service.get(service)
        if candidates is None:
            serving = [
                upstream
                for upstream in self._fleet.upstreams_by_service.get(
                    service, {}
                ).values()
                if upstream.state is UpstreamState.SERVING
                and not self._fleet.evacuations.is_evacuated(upstream.failure_domain)
            ]
            candidates = _Candidates(
                own_domain=[u for u in serving if u.failure_domain == self._domain],
                other_domains=[u for u in serving if u.failure_domain != self._domain],
            )
            self._candidates_by_service[service] = candidates
        return candidates

    def _choose_own_host(
        self,
        candidates: _Candidates,
        excluded: Collection[HostId],
        route: RouteName,
    ) -> UpstreamChoice | None:
        """Chooses this host's own upstream if it has spare capacity and works well."""
        if self._host_id in excluded:
            return None
        for upstream in candidates.own_domain:
            if upstream.host_id == self._host_id:
                break
        else:
            return None
        load = self._read_own_load(route)
        if load.queued or load.in_flight >= load.limit * _MAX_OWN_UTILIZATION_RATIO:
            return None
        if not self._ejector.may_send(upstream):
            return None
        self.record_load(upstream.peer_address, load, route)
        if self._is_poor(upstream, route):
            return None
        return UpstreamChoice(upstream, "own-host")

    def _sample(
        self,
        upstreams: Sequence[UpstreamAnnounced],
        excluded: Collection[HostId],
        route: RouteName,
    ) -> UpstreamAnnounced | None:
        """Samples up to two usable upstreams and returns the one of less cost.

        If neither has room or both are poor, all are compared.
        """
        if not upstreams:
            return None
        sampled: list[UpstreamAnnounced] = []
        for _ in range(_MAX_SAMPLES):
            upstream = upstreams[int(self._random.random() * len(upstreams))]
            if upstream not in sampled and self._is_usable(upstream, excluded):
                sampled.append(upstream)
                if len(sampled) == 2:
                    break
        if not sampled or all(self._is_poor(u, route) for u in sampled):
            sampled = [u for u in upstreams if self._is_usable(u, excluded)]
        if not sampled:
            return None
        with_room = [u for u in sampled if self._utilization(u) < 1]
        if not with_room:
            return min(sampled, key=self._utilization)
        return self._choose_among_cheapest(with_room, route)

    def _choose_among_cheapest(
        self, upstreams: Sequence[UpstreamAnnounced], route: RouteName
    ) -> UpstreamAnnounced:
        """Returns one of about the least cost, so that senders don't all choose one."""
        costs = [self._crowded_cost_s(upstream, route) for upstream in upstreams]
        max_cost_s = min(costs) * _SAME_COST_RATIO
        cheapest = [
            upstream
            for upstream, cost_s in zip(upstreams, costs, strict=True)
            if cost_s <= max_cost_s
        ]
        return cheapest[int(self._random.random() * len(cheapest))]

    def _is_poor(self, upstream: UpstreamAnnounced, route: RouteName) -> bool:
        """Returns whether an upstream is full, or a call would cost too much there."""
        if self._utilization(upstream) >= 1:
            return True
        excess_s = self._cost_s(upstream, route) - self._costs.mean_work_s(route)
        return excess_s > _MAX_EXCESS_COST_S

    def _cost_s(self, upstream: UpstreamAnnounced, route: RouteName) -> float:
        """Returns what a call is expected to cost where there is room, in seconds."""
        return self._costs.cost_s(upstream.peer_address, route, trio.current_time())

    def _crowded_cost_s(self, upstream: UpstreamAnnounced, route: RouteName) -> float:
        """Returns the cost with regard to how full the upstream is."""
        return self._cost_s(upstream, route) * crowding(self._utilization(upstream))

    def _is_usable(
        self, upstream: UpstreamAnnounced, excluded: Collection[HostId]
    ) -> bool:
        return upstream.host_id not in excluded and self._ejector.may_send(upstream)

    def _choose_upstream(
        self, upstream: UpstreamAnnounced, reason: str
    ) -> UpstreamChoice:
        """Makes the choice and counts the request as sent to the upstream."""
        observed = self._load_by_address.get(upstream.peer_address)
        if observed is not None:
            observed.sent_since += 1
        return UpstreamChoice(upstream, reason)

    def _recent_load(self, upstream: UpstreamAnnounced) -> _ObservedLoad | None:
        observed = self._load_by_address.get(upstream.peer_address)
        if observed is None:
            return None
        max_age_s = _MAX_LOAD_AGE_S
        if observed.load.next_turn_ms:
            max_age_s = observed.load.next_turn_ms / 1000
        is_recent = trio.current_time() - observed.observed_at <= max_age_s
        return observed if is_recent else None

    def _utilization(self, upstream: UpstreamAnnounced) -> float:
        """Returns running and queued requests as a ratio of the concurrency limit."""
        observed = self._recent_load(upstream)
        if observed is None:
            return _DEFAULT_UTILIZATION_RATIO
        load = observed.load
        request_count = load.in_flight + load.queued + observed.sent_since
        return request_count / max(1, load.limit)

    def _queue_delay_s(self, upstream: UpstreamAnnounced) -> float:
        observed = self._recent_load(upstream)
        if observed is None:
            return 0.0
        load = observed.load
        return max(load.queue_delay_ms, load.next_turn_ms) / 1000

    def _one_way_delay_s(self, upstream: UpstreamAnnounced) -> float:
        return self._one_way_delay_by_address.get(
            upstream.peer_address, _DEFAULT_ONE_WAY_DELAY_S
        )
