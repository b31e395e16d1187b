"""Which failure domains can be reached: one that falls silent is found out as a whole.

Load pattern: a failure domain is cut off without a reset, so that packets vanish. Each
request that is sent there waits until its deadline, and each pair of hosts would find
that out for itself. Here, anything heard from any host of a domain proves it alive. If
nothing is heard after something was sent, a host of it is checked, then several; if
none of them answers, the whole domain is silent, and the neighbours are told.
"""

import enum
import math
import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from mangospoke.ids import FailureDomainId, HostId
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.rendezvous import rendezvous_rank

_SUSPECT_AFTER_S = 0.35
"""Time without a sign of life after a sending, from which on a domain is checked."""

_FIRST_CHECK_TIMEOUT_S = 0.2
_FULL_CHECK_TIMEOUT_S = 0.45
_FULL_CHECK_HOSTS = 6
"""Hosts of which none may answer: if half of a domain is cut off, one of them will."""

_MIN_HOSTS = 2
"""A domain with fewer hosts isn't judged: a single dead host isn't a silent domain."""

_MAX_CHECK_OVERRUN_S = 0.2
"""Time by which a check may end late; beyond it this process itself stood still."""

_RETURN_CHECK_HOSTS = 2
_RETURN_CHECK_INTERVAL_S = 0.3
_RARE_RETURN_CHECK_INTERVAL_S = 5.0
"""Interval at hosts that rely on their neighbours' checks, in case these are gone."""

_CHECKING_HOSTS = 3
"""Hosts of a domain that check for the return of a silent one."""

_NEWER_S = 0.1
"""Time by which a sign of life must be newer than a neighbour's evidence."""


class CheckStage(enum.Enum):
    """What a check is for.

    `FIRST`: one host of a domain that is suspected. `FULL`: several of them. `RETURN`:
    whether a silent domain is back.
    """

    FIRST = "first"
    FULL = "full"
    RETURN = "return"


_TIMEOUT_S_BY_STAGE = {
    CheckStage.FIRST: _FIRST_CHECK_TIMEOUT_S,
    CheckStage.FULL: _FULL_CHECK_TIMEOUT_S,
    CheckStage.RETURN: _FULL_CHECK_TIMEOUT_S,
}


@dataclass(frozen=True, slots=True)
class DomainCheck:
    """Hosts of a domain to ask for a sign of life, all at once."""

    domain: FailureDomainId
    stage: CheckStage
    hosts: tuple[UpstreamAnnounced, ...]
    started_at: float

    @property
    def timeout_s(self) -> float:
        """Time limit for their answers, in seconds."""
        return _TIMEOUT_S_BY_STAGE[self.stage]


@dataclass(frozen=True, slots=True)
class ReachabilityChange:
    """A failure domain that fell silent or is back.

    Attributes:
        silent_for_s: Seconds since the check that nothing answered began.
    """

    domain: FailureDomainId
    is_silent: bool
    silent_for_s: float
    hosts: tuple[UpstreamAnnounced, ...]


@dataclass(slots=True)
class _Domain:
    """What is known of the way to a failure domain.

    Attributes:
        heard_at: When any of its hosts was last heard.
        heard_at_by_address: When each host was last heard.
        unanswered_at_by_address: First sending to each host since then.
        silent_since: When the check began that nothing answered; None while it's
            reachable.
        suspected_at: When the last check of it began while it was reachable.
        is_checking: Whether a check is running.
        next_check_at: Time before which no further one begins.
    """

    hosts: list[UpstreamAnnounced] = field(default_factory=list)
    heard_at: float = -math.inf
    heard_at_by_address: dict[str, float] = field(default_factory=dict)
    unanswered_at_by_address: dict[str, float] = field(default_factory=dict)
    silent_since: float | None = None
    suspected_at: float = -math.inf
    is_checking: bool = False
    next_check_at: float = -math.inf

    def hear(self, now: float) -> None:
        self.heard_at = now
        self.unanswered_at_by_address.clear()

    def first_unanswered_at(self) -> float:
        return min(self.unanswered_at_by_address.values(), default=math.inf)


class DomainReachability:
    """The other failure domains, and which of them are silent.

    All times are seconds of the same clock.

    Attributes:
        listeners: Called after a domain fell silent or came back.
    """

    def __init__(
        self,
        own: HostId,
        own_domain: FailureDomainId,
        random_source: random.Random,
    ) -> None:
        self.listeners: list[Callable[[ReachabilityChange], None]] = []
        self._own = own
        self._own_domain = own_domain
        self._random = random_source
        self._domains_by_id: dict[FailureDomainId, _Domain] = {}
        self._domains_by_address: dict[str, _Domain] = {}
        self._neighbour_ids: list[HostId] = []

    def set_hosts(self, upstreams: Collection[UpstreamAnnounced]) -> None:
        """Replaces the known hosts; what is known of a domain stays."""
        hosts_by_domain: dict[FailureDomainId, list[UpstreamAnnounced]]
        hosts_by_domain = defaultdict(list)
        for upstream in upstreams:
            hosts_by_domain[upstream.failure_domain].append(upstream)
        self._neighbour_ids = [
            each.host_id for each in hosts_by_domain.pop(self._own_domain, ())
        ]
        self._domains_by_address = {}
        for domain_id in self._domains_by_id.keys() - hosts_by_domain.keys():
            del self._domains_by_id[domain_id]
        for domain_id, hosts in hosts_by_domain.items():
            domain = self._domains_by_id.setdefault(domain_id, _Domain())
            domain.hosts = hosts
            addresses = {each.peer_address for each in hosts}
            for at_by_address in (
                domain.unanswered_at_by_address,
                domain.heard_at_by_address,
            ):
                for address in set(at_by_address) - addresses:
                    del at_by_address[address]
            for address in addresses:
                self._domains_by_address[address] = domain

    def is_silent(self, domain_id: FailureDomainId) -> bool:
        """Whether nothing reaches a failure domain from here."""
        domain = self._domains_by_id.get(domain_id)
        return domain is not None and domain.silent_since is not None

    def silent_domains(self) -> list[FailureDomainId]:
        """Returns the domains that are silent, sorted."""
        return sorted(each for each in self._domains_by_id if self.is_silent(each))

    def record_sent(self, address: str, now: float) -> None:
        """Records that something that wants an answer was sent to a host."""
        domain = self._domains_by_address.get(address)
        if domain is not None:
            domain.unanswered_at_by_address.setdefault(address, now)

    def record_heard(self, address: str, now: float) -> None:
        """Records a sign of life of a host."""
        domain = self._domains_by_address.get(address)
        if domain is None:
            return
        domain.heard_at_by_address[address] = now
        domain.hear(now)

    def forget_checks(self) -> None:
        """Forgets running checks, whose results won't come."""
        for domain in self._domains_by_id.values():
            domain.is_checking = False

    def due_checks(self, now: float) -> list[DomainCheck]:
        """Returns the checks to make now; each must be followed by its result."""
        checks = []
        for domain_id, domain in self._domains_by_id.items():
            if domain.is_checking or now < domain.next_check_at:
                continue
            if domain.silent_since is not None:
                checks.append(self._check(domain_id, CheckStage.RETURN, now))
            elif (
                len(domain.hosts) >= _MIN_HOSTS
                and now - domain.first_unanswered_at() >= _SUSPECT_AFTER_S
            ):
                domain.suspected_at = now
                checks.append(self._check(domain_id, CheckStage.FIRST, now))
        return checks

    def _check(
        self, domain_id: FailureDomainId, stage: CheckStage, now: float
    ) -> DomainCheck:
        domain = self._domains_by_id[domain_id]
        domain.is_checking = True
        count = {
            CheckStage.FIRST: 1,
            CheckStage.FULL: _FULL_CHECK_HOSTS,
            CheckStage.RETURN: _RETURN_CHECK_HOSTS,
        }[stage]
        return DomainCheck(domain_id, stage, self._choose_hosts(domain, count), now)

    def _choose_hosts(
        self, domain: _Domain, count: int
    ) -> tuple[UpstreamAnnounced, ...]:
        """Chooses hosts to check: those last heard, and others at random.

        Many known hosts may be gone for good, so that chance alone could miss the rest.
        """
        by_recency = sorted(
            domain.hosts,
            key=lambda host: domain.heard_at_by_address.get(
                host.peer_address, -math.inf
            ),
            reverse=True,
        )
        recent_count = (count + 1) // 2
        others = by_recency[recent_count:]
        other_count = min(count - recent_count, len(others))
        return (*by_recency[:recent_count], *self._random.sample(others, other_count))

    def record_check(
        self, check: DomainCheck, *, is_answered: bool, now: float
    ) -> DomainCheck | None:
        """Records the result of a check; returns the one that has to follow."""
        domain = self._domains_by_id.get(check.domain)
        if domain is None:
            return None
        domain.is_checking = False
        if is_answered:
            domain.hear(now)
            self._set_reachable(check.domain, now)
            return None
        if domain.silent_since is not None:
            domain.next_check_at = now + self._return_check_pause_s(check.domain)
            return None
        stood_still = now - check.started_at > check.timeout_s + _MAX_CHECK_OVERRUN_S
        if stood_still or domain.heard_at >= check.started_at:
            return None
        if check.stage is CheckStage.FIRST:
            return self._check(check.domain, CheckStage.FULL, now)
        if len(domain.hosts) >= _MIN_HOSTS:
            self._set_silent(check.domain, domain.suspected_at, now)
        return None

    def handle_report(
        self,
        domain_id: FailureDomainId,
        *,
        is_silent: bool,
        silent_for_s: float,
        now: float,
    ) -> bool:
        """Learns from a neighbour in the own domain; returns whether it was news.

        A domain that this host has heard since isn't silent, whatever others found.
        """
        domain = self._domains_by_id.get(domain_id)
        if domain is None or is_silent is (domain.silent_since is not None):
            return False
        if not is_silent:
            self._set_reachable(domain_id, now)
            return True
        silent_since = now - silent_for_s
        if domain.heard_at > silent_since + _NEWER_S:
            return False
        self._set_silent(domain_id, silent_since, now)
        return True

    def _return_check_pause_s(self, domain_id: FailureDomainId) -> float:
        ranked = rendezvous_rank(self._neighbour_ids, domain_id)
        is_checking_host = self._own in ranked[:_CHECKING_HOSTS] or not ranked
        pause_s = (
            _RETURN_CHECK_INTERVAL_S
            if is_checking_host
            else _RARE_RETURN_CHECK_INTERVAL_S
        )
        return pause_s * (0.5 + self._random.random())

    def _set_silent(
        self, domain_id: FailureDomainId, silent_since: float, now: float
    ) -> None:
        domain = self._domains_by_id[domain_id]
        domain.silent_since = silent_since
        domain.next_check_at = now + self._return_check_pause_s(domain_id)
        self._notify(domain_id, domain, now)

    def _set_reachable(self, domain_id: FailureDomainId, now: float) -> None:
        domain = self._domains_by_id[domain_id]
        if domain.silent_since is None:
            return
        silent_since, domain.silent_since = domain.silent_since, None
        # Sendings of before the cut have no answer yet, which says nothing now.
        domain.hear(now)
        domain.next_check_at = now
        self._notify(domain_id, domain, now, silent_since)

    def _notify(
        self,
        domain_id: FailureDomainId,
        domain: _Domain,
        now: float,
        silent_since: float | None = None,
    ) -> None:
        since = domain.silent_since if silent_since is None else silent_since
        change = ReachabilityChange(
            domain_id,
            domain.silent_since is not None,
            now - (now if since is None else since),
            tuple(domain.hosts),
        )
        for listener in self.listeners:
            listener(change)


def hosts_in(
    upstreams: Iterable[UpstreamAnnounced], domain_id: FailureDomainId
) -> list[UpstreamAnnounced]:
    """Returns the hosts of a failure domain."""
    return [each for each in upstreams if each.failure_domain == domain_id]
