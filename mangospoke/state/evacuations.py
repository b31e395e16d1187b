"""Failure domains whose upstreams get no requests, by the operator's order.

Load pattern: the operator empties a failure domain before work on it. All hosts stop
sending to its upstreams within a bound; its hosts go on serving their own callers. Once
it is taken back, its upstreams may be cold, so their share of the requests grows
slowly.

The orders are records of the operator's topic, one for each failure domain. The state
that they amount to is passed between daemons as a whole: it is small, and the later one
in the order of the topic's offsets replaces the earlier one.
"""

import math
import random
from collections.abc import Callable, Iterable, Sequence

import trio
from loguru import logger

from mangospoke.control.messages import EvacuationState
from mangospoke.ids import FailureDomainId
from mangospoke.logservice.keyed import KeyedRecord

_RETURN_S = 10.0
"""Time in which a domain that was taken back gets its whole share again."""

_FIRST_SHARE = 0.1
"""Share that it gets at once, so that its upstreams begin to warm up."""

_NO_STATE = (0, -1)


class Evacuations:
    """The evacuated failure domains, as far as this host knows.

    Attributes:
        listeners: Called after the evacuated domains changed, or what is known of them
            is of a later state of the topic.
    """

    def __init__(self) -> None:
        self.listeners: list[Callable[[], None]] = []
        self._known = _NO_STATE
        self._since_by_domain: dict[FailureDomainId, float] = {}
        self._taken_back_at_by_domain: dict[FailureDomainId, float] = {}

    @property
    def known(self) -> tuple[int, int]:
        """Era of the topic and offset up to which its orders are known."""
        return self._known

    def domains(self) -> list[FailureDomainId]:
        """Returns the evacuated failure domains."""
        return sorted(self._since_by_domain)

    def returning(self) -> list[FailureDomainId]:
        """Returns the failure domains that don't get their whole share again yet."""
        return [
            domain
            for domain in sorted(self._taken_back_at_by_domain)
            if self.share(domain) < 1
        ]

    def is_evacuated(self, domain: FailureDomainId) -> bool:
        """Whether nothing may be sent to the upstreams of a failure domain."""
        return domain in self._since_by_domain

    def age_s(self, domain: FailureDomainId) -> float:
        """Seconds since this host learned of an evacuation.

        They are -inf if there is none, and inf if it found it at its start.
        """
        since = self._since_by_domain.get(domain)
        return -math.inf if since is None else trio.current_time() - since

    def share(self, domain: FailureDomainId) -> float:
        """Part of its usual requests that a failure domain may get, from 0 to 1."""
        if domain in self._since_by_domain:
            return 0.0
        taken_back_at = self._taken_back_at_by_domain.get(domain)
        if taken_back_at is None:
            return 1.0
        age_s = trio.current_time() - taken_back_at
        if age_s >= _RETURN_S:
            del self._taken_back_at_by_domain[domain]
            return 1.0
        return _FIRST_SHARE + (1 - _FIRST_SHARE) * age_s / _RETURN_S

    def draw_skipped(self, random_source: random.Random) -> set[FailureDomainId]:
        """Draws the domains that don't get a request, as they are only returning."""
        if not self._taken_back_at_by_domain:
            return set()
        return {
            domain
            for domain in self.returning()
            if random_source.random() >= self.share(domain)
        }

    def handle_newest(
        self, orders: Iterable[KeyedRecord], era: int | None, next_offset: int
    ) -> None:
        """Processes the newest order of each domain, read from the log service.

        A domain without one is not evacuated: its order was taken back, and the record
        of that may be deleted.

        Args:
            orders: The orders, with the failure domain as their key.
            era: Era of the log service that the offsets belong to.
            next_offset: Offset up to which the orders are complete.
        """
        domains = {FailureDomainId(each.key) for each in orders if each.value}
        self._replace((era or 0, next_offset), domains)

    def handle_orders(
        self, orders: Sequence[KeyedRecord], era: int | None, next_offset: int
    ) -> None:
        """Processes further orders; see `handle_newest`."""
        known_era, known_offset = self._known
        if (era or 0) != known_era:
            return
        domains = set(self._since_by_domain)
        for order in orders:
            if order.offset < known_offset:
                continue
            domain = FailureDomainId(order.key)
            if order.value:
                domains.add(domain)
            else:
                domains.discard(domain)
        self._replace((era or 0, next_offset), domains)

    def news_for(self, known: tuple[int, int]) -> EvacuationState | None:
        """Returns the state for a peer with an earlier one; None if it has this one."""
        if self._known <= known:
            return None
        era, offset = self._known
        return EvacuationState(era, offset, tuple(self.domains()))

    def handle_state_of_peer(self, state: EvacuationState) -> None:
        """Processes what a peer knows."""
        self._replace((state.era, state.offset), set(state.domains))

    def _replace(self, known: tuple[int, int], domains: set[FailureDomainId]) -> None:
        if known <= self._known:
            return
        is_first = self._known == _NO_STATE
        self._known = known
        before = set(self._since_by_domain)
        now = trio.current_time()
        # What a host finds at its start was ordered long ago: it needs no notice.
        since = -math.inf if is_first else now
        for domain in domains - before:
            self._since_by_domain[domain] = since
            self._taken_back_at_by_domain.pop(domain, None)
            logger.bind(event="evacuation_started", failure_domain=domain).warning(
                "failure domain {} is evacuated: its upstreams get no more requests",
                domain,
            )
        for domain in before - domains:
            del self._since_by_domain[domain]
            self._taken_back_at_by_domain[domain] = now
            logger.bind(event="evacuation_ended", failure_domain=domain).warning(
                "the evacuation of failure domain {} is taken back", domain
            )
        for listener in self.listeners:
            listener()
