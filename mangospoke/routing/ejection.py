"""Ejection of failing upstreams, up to a limit, and their readmission after a probe.

An upstream that fails several requests in a row receives none for a while. A single
cause can make many upstreams fail at once, so only a part of a service's upstreams may
be ejected at the same time: sending to the rest is better than refusing all requests.
An ejected upstream is readmitted in two steps, like a half-open circuit breaker: its
daemon has to answer a probe, then it receives one trial request at a time until one
succeeds.
"""

import enum
import math
from collections.abc import Collection
from dataclasses import dataclass

import trio

from mangospoke.ids import HostId, Incarnation, ServiceName
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Unanswered,
)

CONSECUTIVE_FAILURES_TO_EJECT = 3

MAX_EJECTED_RATIO = 0.5
"""Part of a service's upstreams that may be ejected at the same time."""

BASE_EJECTION_S = 1.0
"""Duration of a first ejection; it doubles with each consecutive one."""

MAX_EJECTION_S = 30.0

DRAINING_EXCLUSION_S = 5.0
"""Time without requests for an upstream that refused one because it is draining."""

_REFUSALS_COUNTED_AS_FAILURES = frozenset(
    {RefusalReason.UPSTREAM_UNREACHABLE, RefusalReason.PEER_UNREACHABLE}
)
_FAILURES_NOT_COUNTED = frozenset(
    {
        # Caused by the caller, or typical of an overloaded upstream: ejecting that
        # one would shift its load to the others.
        FailureReason.CANCELLED,
        FailureReason.REQUEST_BROKEN,
        FailureReason.DEADLINE_EXCEEDED,
        FailureReason.EARLIER_ATTEMPT_IN_PROGRESS,
        FailureReason.EARLIER_ATTEMPT_UNKNOWN,
        FailureReason.EARLIER_ATTEMPT_ANSWER_LOST,
        FailureReason.IDEMPOTENCY_KEY_EXPIRED,
        # The host is leaving, which says nothing about its upstream.
        FailureReason.STOPPED,
    }
)


class EjectionState(enum.Enum):
    """Whether an upstream may receive requests.

    `SERVING`: without restriction. `EJECTED`: none until a probe succeeds.
    `ON_TRIAL`: one at a time until one succeeds.
    """

    SERVING = "serving"
    EJECTED = "ejected"
    ON_TRIAL = "on-trial"


@dataclass(slots=True)
class _UpstreamHealth:
    """Failures of one incarnation of an upstream since its last success.

    Attributes:
        ejected_until: Time on trio's clock before which it isn't probed, in seconds.
        draining_until: Time on trio's clock before which it is assumed to be
            draining, in seconds.
        draining_sequence: Number of the announcement of the run that is draining.
        trial_in_flight: Whether the trial request is running.
    """

    incarnation: Incarnation
    service: ServiceName
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    state: EjectionState = EjectionState.SERVING
    ejected_until: float = -math.inf
    draining_until: float = -math.inf
    draining_sequence: int = -1
    trial_in_flight: bool = False


class Ejector:
    """Tracks the health of upstreams by the requests that this daemon sends them."""

    def __init__(self) -> None:
        self._health_by_host: dict[HostId, _UpstreamHealth] = {}
        self._ejected_count_by_service: dict[ServiceName, int] = {}

    def may_send(self, upstream: UpstreamAnnounced) -> bool:
        """Returns whether a request may be sent to an upstream now."""
        health = self._health_by_host.get(upstream.host_id)
        if health is None or health.incarnation != upstream.incarnation:
            return True
        if _is_draining(upstream, health):
            return False
        if health.state is EjectionState.ON_TRIAL:
            return not health.trial_in_flight
        return health.state is EjectionState.SERVING

    def record_send(self, upstream: UpstreamAnnounced) -> None:
        """Records that a request is about to be sent to an upstream."""
        health = self._health_by_host.get(upstream.host_id)
        if health is not None and health.state is EjectionState.ON_TRIAL:
            health.trial_in_flight = True

    def record_outcome(
        self, upstream: UpstreamAnnounced, outcome: Outcome, upstream_count: int
    ) -> bool:
        """Records a request's outcome.

        Args:
            upstream: The upstream that the request was sent to.
            outcome: The request's outcome.
            upstream_count: Number of known upstreams of the service.

        Returns:
            Whether this outcome caused the upstream to be ejected.
        """
        if isinstance(outcome, Answered):
            self._record_success(upstream)
            return False
        if not _is_upstream_failure(outcome):
            self._end_trial(upstream)
            if outcome.reason is RefusalReason.DRAINING:
                self.record_draining(upstream)
            return False
        return self._record_failure(upstream, upstream_count)

    def record_cancellation(self, upstream: UpstreamAnnounced) -> None:
        """Records that a request was cancelled, which says nothing of the upstream."""
        self._end_trial(upstream)

    def _end_trial(self, upstream: UpstreamAnnounced) -> None:
        health = self._health_by_host.get(upstream.host_id)
        if health is not None:
            health.trial_in_flight = False

    def _record_success(self, upstream: UpstreamAnnounced) -> None:
        health = self._health_by_host.get(upstream.host_id)
        if health is None:
            return
        self._forget(upstream.host_id)
        if _is_draining(upstream, health):
            # Its last responses say nothing about when it leaves.
            known = self._health_of(upstream)
            known.draining_until = health.draining_until
            known.draining_sequence = health.draining_sequence

    def _record_failure(self, upstream: UpstreamAnnounced, upstream_count: int) -> bool:
        health = self._health_of(upstream)
        health.consecutive_failures += 1
        health.trial_in_flight = False
        if health.state is EjectionState.EJECTED:
            return False
        on_trial = health.state is EjectionState.ON_TRIAL
        if not on_trial and health.consecutive_failures < CONSECUTIVE_FAILURES_TO_EJECT:
            return False
        if not on_trial and not self._may_eject_another(
            upstream.service, upstream_count
        ):
            return False
        self._eject(health)
        return True

    def _health_of(self, upstream: UpstreamAnnounced) -> _UpstreamHealth:
        """Returns the health of an upstream, a new one for a new incarnation."""
        health = self._health_by_host.get(upstream.host_id)
        if health is None or health.incarnation != upstream.incarnation:
            self._forget(upstream.host_id)
            health = _UpstreamHealth(upstream.incarnation, upstream.service)
            self._health_by_host[upstream.host_id] = health
        return health

    def _may_eject_another(self, service: ServiceName, upstream_count: int) -> bool:
        ejected_count = self._ejected_count_by_service.get(service, 0)
        return ejected_count + 1 <= math.floor(upstream_count * MAX_EJECTED_RATIO)

    def _eject(self, health: _UpstreamHealth) -> None:
        if health.state is EjectionState.SERVING:
            ejected_count = self._ejected_count_by_service.get(health.service, 0)
            self._ejected_count_by_service[health.service] = ejected_count + 1
        duration_s = BASE_EJECTION_S * 2**health.consecutive_ejections
        health.consecutive_ejections += 1
        health.state = EjectionState.EJECTED
        health.ejected_until = trio.current_time() + min(duration_s, MAX_EJECTION_S)

    def _forget(self, host_id: HostId) -> None:
        health = self._health_by_host.pop(host_id, None)
        if health is not None and health.state is not EjectionState.SERVING:
            self._ejected_count_by_service[health.service] -= 1

    def record_draining(self, upstream: UpstreamAnnounced) -> None:
        """Records that an upstream refused a request, or said, that it is draining.

        This can arrive before the membership stream reports the drain, or while
        that stream is unavailable. A later announcement of the host is of another run.
        """
        health = self._health_of(upstream)
        health.draining_sequence = max(health.draining_sequence, upstream.sequence)
        health.draining_until = trio.current_time() + DRAINING_EXCLUSION_S

    def hosts_due_for_probe(self) -> list[HostId]:
        """Returns the ejected hosts whose ejection time is over."""
        now = trio.current_time()
        return [
            host_id
            for host_id, health in self._health_by_host.items()
            if health.state is EjectionState.EJECTED and health.ejected_until <= now
        ]

    def record_probe(self, host_id: HostId, *, alive: bool) -> None:
        """Records the result of a probe.

        Args:
            host_id: The probed host.
            alive: Whether its upstream is put on trial; if not, it is ejected again.
        """
        health = self._health_by_host.get(host_id)
        if health is None or health.state is not EjectionState.EJECTED:
            return
        if alive:
            health.state = EjectionState.ON_TRIAL
        else:
            self._eject(health)

    def forget_hosts(self, host_ids: Collection[HostId]) -> None:
        """Forgets failures that say nothing about the hosts, as the way was cut.

        What is known of their draining stays.
        """
        now = trio.current_time()
        for host_id in host_ids:
            health = self._health_by_host.get(host_id)
            if health is not None and now >= health.draining_until:
                self._forget(host_id)

    def retain_hosts(self, host_ids: set[HostId]) -> None:
        """Forgets all hosts but those given, which are the fleet's members."""
        for host_id in set(self._health_by_host) - host_ids:
            self._forget(host_id)

    def states_by_host(self) -> dict[HostId, EjectionState]:
        """Returns the hosts that are ejected or on trial."""
        return {
            host_id: health.state
            for host_id, health in self._health_by_host.items()
            if health.state is not EjectionState.SERVING
        }


def _is_draining(upstream: UpstreamAnnounced, health: _UpstreamHealth) -> bool:
    """Whether the announced run of an upstream is the one that said it drains."""
    is_same_run = upstream.sequence <= health.draining_sequence
    return is_same_run and trio.current_time() < health.draining_until


def _is_upstream_failure(outcome: Refused | Unanswered) -> bool:
    """Returns whether an outcome counts towards the upstream's ejection."""
    if isinstance(outcome, Refused):
        return outcome.reason in _REFUSALS_COUNTED_AS_FAILURES
    return outcome.reason not in _FAILURES_NOT_COUNTED
