"""The order in which each failure domain's hosts take an account's parts.

All hosts that know the same records find the same order, by rendezvous hashing. A host
whose record says that it leaves keeps its place in the line, but is passed over.
"""

import itertools
from collections.abc import Iterable

from mangospoke.ids import ClientAccountId, FailureDomainId, HostId
from mangospoke.logservice.records import UpstreamAnnounced, UpstreamState
from mangospoke.rendezvous import rendezvous_rank
from mangospoke.state.fleet import Fleet
from mangospoke.state.membership import announcement_order


class HostRanks:
    """The listed hosts in line, and when each one's record last changed.

    Args:
        fleet: The known hosts.

    Attributes:
        domains: The failure domains of the hosts that don't leave.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.domains: frozenset[FailureDomainId] = frozenset()
        self._fleet = fleet
        self._known: dict[HostId, UpstreamAnnounced] = {}
        self._changed_at_by_host: dict[HostId, int] = {}
        self._listed_by_domain: dict[FailureDomainId, frozenset[HostId]] = {}
        self._present: frozenset[HostId] = frozenset()
        self._line_by_key: dict[
            tuple[FailureDomainId, ClientAccountId], list[HostId]
        ] = {}

    def update(self, now: int) -> None:
        """Takes over the known hosts, and notes whose record has changed.

        Args:
            now: The current time in nanoseconds.
        """
        before, self._known = self._known, self._fleet.upstreams_by_host
        for host_id, record in self._known.items():
            if _is_changed(before.get(host_id), record):
                self._changed_at_by_host[host_id] = now
        for host_id in before.keys() - self._known.keys():
            self._changed_at_by_host[host_id] = now
        present = frozenset(
            host_id for host_id, record in self._known.items() if _is_present(record)
        )
        if before.keys() != self._known.keys():
            self._listed_by_domain = _group_by_domain(self._known.values())
            self._line_by_key.clear()
        self._present = present
        self.domains = frozenset(self._known[each].failure_domain for each in present)

    def is_present(self, host_id: HostId) -> bool:
        """Whether a host is listed and its record doesn't say that it leaves."""
        return host_id in self._present

    def line(
        self, domain: FailureDomainId, account_id: ClientAccountId
    ) -> list[HostId]:
        """Returns all listed hosts of a failure domain in order."""
        key = (domain, account_id)
        line = self._line_by_key.get(key)
        if line is None:
            listed = self._listed_by_domain.get(domain, frozenset())
            line = [HostId(host) for host in rendezvous_rank(listed, account_id)]
            self._line_by_key[key] = line
        return line

    def first(
        self, domain: FailureDomainId, account_id: ClientAccountId, count: int
    ) -> list[HostId]:
        """Returns the first present hosts of a failure domain, in order."""
        line = self.line(domain, account_id)
        present = (host_id for host_id in line if host_id in self._present)
        return list(itertools.islice(present, count))

    def changed_at(self, hosts: Iterable[HostId]) -> int:
        """Returns when the record of one of some hosts last changed; 0 if of none."""
        return max((self._changed_at_by_host.get(each, 0) for each in hosts), default=0)

    def recent(self, domain: FailureDomainId, since: int) -> frozenset[HostId]:
        """Returns the hosts that are present, or whose record changed since a time."""
        listed = self._listed_by_domain.get(domain, frozenset())
        return frozenset(
            host_id
            for host_id in listed
            if host_id in self._present or self._changed_at_by_host[host_id] > since
        )


def _is_present(record: UpstreamAnnounced) -> bool:
    return record.state is not UpstreamState.DRAINING


def _is_changed(before: UpstreamAnnounced | None, after: UpstreamAnnounced) -> bool:
    if before is None:
        return True
    is_same_order = announcement_order(before) == announcement_order(after)
    return not is_same_order or _is_present(before) != _is_present(after)


def _group_by_domain(
    records: Iterable[UpstreamAnnounced],
) -> dict[FailureDomainId, frozenset[HostId]]:
    hosts_by_domain: dict[FailureDomainId, set[HostId]] = {}
    for record in records:
        hosts_by_domain.setdefault(record.failure_domain, set()).add(record.host_id)
    return {domain: frozenset(hosts) for domain, hosts in hosts_by_domain.items()}
