"""Groups of daemons that decide about callers' idempotency keys.

A key belongs to one failure domain, and a few daemons of that domain store its claims.
Whether a key has been run is known only as long as all unexpired claims are known. This
module tracks what a daemon needs to judge that: since when it has been a member of its
domain, which members were lost, and which keys it is asked about.
"""

import math

import trio

from mangospoke.guard.claims import HostIncarnation
from mangospoke.guard.idempotency_keys import domain_of_key
from mangospoke.ids import FailureDomainId, HostId, IdempotencyKey
from mangospoke.logservice.records import LogStream, UpstreamAnnounced, UpstreamState
from mangospoke.rendezvous import rendezvous_rank
from mangospoke.state.fleet import Fleet

MAX_GROUP_SIZE = 5
"""Number of daemons of a domain that are asked about a key."""

MAX_HISTORY_RANK = 3
"""Number of top-ranked members of a group that may state that a key has not been run.

The difference to the group size is the number of higher-ranked joins, not yet read by
other daemons, that do not break at-most-once execution.
"""

DomainIds = tuple[FailureDomainId, ...]


def owner_domain(key: IdempotencyKey, domains: DomainIds) -> FailureDomainId | None:
    """Returns the failure domain that decides about a key; None without domains."""
    domain_in_key = domain_of_key(key)
    if domain_in_key in domains:
        return domain_in_key
    ranked = rendezvous_rank(domains, key)
    return FailureDomainId(ranked[0]) if ranked else None


class ClaimGroups:
    """A daemon's view of the groups, and whether it knows all claims of a key.

    Members are identified by host and incarnation of their daemon.
    """

    def __init__(
        self, host_incarnation: HostIncarnation, fleet: Fleet, lifetime_s: float
    ) -> None:
        self._own_incarnation = host_incarnation
        self._fleet = fleet
        self._lifetime_s = lifetime_s
        self._members_by_domain: dict[FailureDomainId, set[HostIncarnation]] = {}
        self._member_lost_at_by_domain: dict[FailureDomainId, float] = {}
        self._left_at_by_domain_and_host: dict[
            tuple[FailureDomainId, HostId], float
        ] = {}
        self._member_since: float | None = None
        self._members_to_import: set[HostIncarnation] = set()
        self._history_complete: bool | None = None
        self._domains: DomainIds = ()
        self._earlier_domain_sets: list[tuple[float, DomainIds]] = []
        fleet.membership_listeners.append(self._apply_membership)
        fleet.configuration_listeners.append(self._apply_configuration)

    def _apply_membership(self) -> None:
        now = trio.current_time()
        if self._history_complete is None:
            self._history_complete = self._starts_at_first_announcement()
        members_by_domain: dict[FailureDomainId, set[HostIncarnation]] = {}
        for upstream in self._fleet.membership_state.upstreams_by_host.values():
            domain_members = members_by_domain.setdefault(
                upstream.failure_domain, set()
            )
            domain_members.add(_incarnation_of(upstream))
        for domain, domain_members in self._members_by_domain.items():
            self._note_lost_members(
                domain, domain_members - members_by_domain.get(domain, set()), now
            )
        self._members_by_domain = members_by_domain
        self._update_own_membership(now)

    def _note_lost_members(
        self, domain: FailureDomainId, lost_members: set[HostIncarnation], now: float
    ) -> None:
        """Records when members were lost whose claims this daemon may not know."""
        for host_id, _ in lost_members:
            self._left_at_by_domain_and_host[(domain, host_id)] = now
        if lost_members and (
            not self.is_member(domain) or lost_members & self._members_to_import
        ):
            self._member_lost_at_by_domain[domain] = now

    def _update_own_membership(self, now: float) -> None:
        own_domains = [
            domain
            for domain, domain_members in self._members_by_domain.items()
            if self._own_incarnation in domain_members
        ]
        if not own_domains:
            self._member_since = None
            self._members_to_import = set()
        elif self._member_since is None:
            self._member_since = now
            # Daemons that join later read this daemon's announcement first and ask it.
            self._members_to_import = self._members_by_domain[own_domains[0]] - {
                self._own_incarnation
            }

    def _starts_at_first_announcement(self) -> bool:
        """Whether the stream was read from its very first announcement.

        A snapshot, or a stream without its head, lacks members that left before.
        """
        offset = self._fleet.next_offset_by_stream.get(LogStream.MEMBERSHIP, 0)
        return offset == 0 and len(self._fleet.membership_state.upstreams_by_host) == 1

    def _apply_configuration(self) -> None:
        domains = tuple(sorted(self._fleet.configuration.domains_by_id))
        if domains == self._domains:
            return
        now = trio.current_time()
        cutoff = now - self._lifetime_s
        self._earlier_domain_sets = [
            (valid_until, earlier)
            for valid_until, earlier in self._earlier_domain_sets
            if valid_until >= cutoff
        ]
        if self._domains:
            self._earlier_domain_sets.append((now, self._domains))
        self._domains = domains

    def members_to_import(self) -> list[UpstreamAnnounced]:
        """Returns earlier members whose claims haven't been imported yet."""
        upstreams = self._fleet.membership_state.upstreams_by_host.values()
        return [
            upstream
            for upstream in upstreams
            if _incarnation_of(upstream) in self._members_to_import
        ]

    def mark_imported(self, member: HostIncarnation, *, knew_all_claims: bool) -> None:
        """Records that a member's claims were imported and that it asks this daemon.

        Args:
            member: The member.
            knew_all_claims: Whether it knew of all claims, so that only claims that
                other members stored since may be missing.
        """
        self._members_to_import.discard(member)
        if knew_all_claims:
            self._history_complete = True
            for domain, domain_members in self._members_by_domain.items():
                if self._own_incarnation in domain_members:
                    self._member_lost_at_by_domain.pop(domain, None)

    def knows_all_claims(self) -> bool:
        """Whether this daemon knows of all unexpired claims in its domain.

        It does after it has been a member for the lifetime of records. Before that, it
        does if it imported the claims of all earlier members and none of them was lost
        before the import.
        """
        if self._member_since is None:
            return False
        now = trio.current_time()
        if now - self._member_since > self._lifetime_s:
            return True
        own_domains = [
            domain
            for domain, domain_members in self._members_by_domain.items()
            if self._own_incarnation in domain_members
        ]
        last_lost_at = max(
            self._member_lost_at_by_domain.get(domain, -math.inf)
            for domain in own_domains
        )
        nothing_lost = now - last_lost_at > self._lifetime_s
        return (
            bool(self._history_complete)
            and nothing_lost
            and not self._members_to_import
        )

    def includes_whole_domain(self) -> bool:
        """Whether every daemon of the own domain is asked about each of its keys."""
        own_domain_members = [
            domain_members
            for domain_members in self._members_by_domain.values()
            if self._own_incarnation in domain_members
        ]
        return any(
            len(domain_members) <= MAX_HISTORY_RANK
            for domain_members in own_domain_members
        )

    def is_known(self, member: HostIncarnation) -> bool:
        """Whether the announcement of a daemon has been read."""
        return any(
            member in domain_members
            for domain_members in self._members_by_domain.values()
        )

    def domain_of(self, key: IdempotencyKey) -> FailureDomainId | None:
        """Returns the failure domain that decides about a key, or None."""
        return owner_domain(key, self._domains)

    def members(
        self, domain: FailureDomainId, key: IdempotencyKey
    ) -> list[UpstreamAnnounced]:
        """Returns the daemons that are asked about a key, including draining ones."""
        by_host = {
            upstream.host_id: upstream
            for upstream in self._fleet.membership_state.upstreams_by_host.values()
            if upstream.failure_domain == domain
        }
        return [
            by_host[HostId(host_id)]
            for host_id in rendezvous_rank(by_host, key)[:MAX_GROUP_SIZE]
        ]

    def coordinator(
        self, domain: FailureDomainId, key: IdempotencyKey
    ) -> UpstreamAnnounced | None:
        """Returns the member that decides about a key, preferably a serving one."""
        members = self.members(domain, key)
        serving = [
            member for member in members if member.state is UpstreamState.SERVING
        ]
        preferred = serving or members
        return preferred[0] if preferred else None

    def is_member(self, domain: FailureDomainId) -> bool:
        """Whether this daemon is a member of a domain."""
        return self._own_incarnation in self._members_by_domain.get(domain, set())

    def knows_history(self, key: IdempotencyKey, domain: FailureDomainId) -> bool:
        """Whether this daemon knows of all unexpired claims of a key.

        It must have been in the group of the key for the whole lifetime of claims.
        """
        if not self.is_member(domain) or not self.knows_all_claims():
            return False
        if not self._was_always_in_group(key, domain):
            return False
        return self._owner_domain_unchanged(key, domain)

    def _was_always_in_group(
        self, key: IdempotencyKey, domain: FailureDomainId
    ) -> bool:
        """Whether each view during the lifetime of claims includes this daemon.

        Hosts that left are included: no view of the domain contains more hosts.
        """
        hosts = {host_id for host_id, _ in self._members_by_domain.get(domain, set())}
        cutoff = trio.current_time() - self._lifetime_s
        for (left_domain, host_id), left_at in self._left_at_by_domain_and_host.items():
            if left_domain == domain and left_at >= cutoff:
                hosts.add(host_id)
        if len(hosts) <= MAX_HISTORY_RANK:
            return True
        return (
            self._own_incarnation[0] in rendezvous_rank(hosts, key)[:MAX_HISTORY_RANK]
        )

    def _owner_domain_unchanged(
        self, key: IdempotencyKey, domain: FailureDomainId
    ) -> bool:
        cutoff = trio.current_time() - self._lifetime_s
        return all(
            owner_domain(key, domains) == domain
            for valid_until, domains in self._earlier_domain_sets
            if valid_until >= cutoff
        )


def _incarnation_of(upstream: UpstreamAnnounced) -> HostIncarnation:
    return (upstream.host_id, upstream.daemon_incarnation)
