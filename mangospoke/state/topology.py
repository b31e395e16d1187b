"""Which daemon each daemon follows: a tree over its failure domain.

Every daemon ranks the daemons of its failure domain by a hash of their host ids. The
first ranks read the log service; each of the others long-polls its parent in a tree.
There is no election: two daemons with different views of the membership cost one
additional reader, or follow each other until the next poll. Both are harmless, as a
daemon switches to another source when its own isn't fresh.
"""

import heapq
import random
from collections.abc import Callable

import xxhash

from mangospoke.conf.settings import Settings
from mangospoke.ids import FailureDomainId, HostId
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.state.fleet import Fleet
from mangospoke.state.reading_in_place import ancestor_ranks

READERS_PER_DOMAIN = 2
"""Daemons of a failure domain that read the log service."""

_MIN_READERS = 2
"""Readers of the whole fleet, so that one that fails isn't missed."""

_REMOTE_LEADERS = 4
"""First ranks of another failure domain that are kept: its reader, and those that read
in its place first."""

_FIRST_STAND_INS = 4
"""First ranks that the readers and the first rank follow if they learn nothing."""

FANOUT = 8
"""Daemons that follow the same parent in the tree."""


class DomainTopology:
    """This daemon's failure domain and the others, by the known upstreams.

    Args:
        settings: The daemon's settings.
        fleet: The known upstreams.
        random_source: Source of random choices.
        is_followed: Returns whether the daemon beside an upstream may be followed.
        readers_per_domain: Daemons of a failure domain that read the log service; more
            do if the fleet would have too few.
    """

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        random_source: random.Random,
        is_followed: Callable[[UpstreamAnnounced], bool] = lambda upstream: True,
        readers_per_domain: int = READERS_PER_DOMAIN,
    ) -> None:
        self._host_id = settings.host.id
        self._domain = settings.host.failure_domain
        self._address = settings.listen.control
        self._seeds = tuple(
            seed for seed in settings.fleet.seeds if seed != settings.listen.control
        )
        self._fleet = fleet
        self._random = random_source
        self._is_followed = is_followed
        self._readers_per_domain = readers_per_domain
        self._ranked_addresses: list[str] = []
        self._ranked_hosts: list[HostId] = []
        self._remote_leader_addresses: list[list[str]] = []
        self._ranked_from: dict[HostId, UpstreamAnnounced] | None = None

    @property
    def address(self) -> str:
        """This daemon's control address."""
        return self._address

    def ranked_addresses(self) -> list[str]:
        """Control addresses of the failure domain by rank, including this daemon's."""
        known = self._fleet.upstreams_by_host
        if known is not self._ranked_from:
            self._ranked_from = known
            addresses_by_host = {
                host_id: upstream.control_address
                for host_id, upstream in known.items()
                if upstream.failure_domain == self._domain
                and self._is_followed(upstream)
            }
            addresses_by_host[self._host_id] = self._address
            self._ranked_hosts = sorted(addresses_by_host, key=_rank_hash)
            self._ranked_addresses = [
                addresses_by_host[each] for each in self._ranked_hosts
            ]
            self._remote_leader_addresses = self._find_remote_leaders()
        return self._ranked_addresses

    def _find_remote_leaders(self) -> list[list[str]]:
        """Returns the control addresses of the other domains' first ranks, in order."""
        hosts_by_domain: dict[FailureDomainId, list[UpstreamAnnounced]] = {}
        for upstream in self._fleet.upstreams_by_host.values():
            domain = upstream.failure_domain
            if domain != self._domain and self._is_followed(upstream):
                hosts_by_domain.setdefault(domain, []).append(upstream)
        return [
            [
                upstream.control_address
                for upstream in heapq.nsmallest(
                    _REMOTE_LEADERS, hosts, key=lambda each: _rank_hash(each.host_id)
                )
            ]
            for hosts in hosts_by_domain.values()
        ]

    def position(self) -> int:
        """This daemon's rank in its failure domain, from 0."""
        return self.ranked_addresses().index(self._address)

    def is_reader(self) -> bool:
        """Whether this daemon is one of its failure domain's readers of the log."""
        return self.position() < self.reader_count()

    def reader_count(self) -> int:
        """Number of this failure domain's daemons that read the log service."""
        self.ranked_addresses()
        other_domain_count = len(self._remote_leader_addresses)
        return max(self._readers_per_domain, _MIN_READERS - other_domain_count)

    def source(self, attempt: int) -> str | None:
        """Control address of the daemon to follow; None for the first rank.

        Args:
            attempt: 0 for the parent in the tree; after failures a higher number,
                for a random daemon of a lower rank number.
        """
        position = self.position()
        if position == 0:
            return None
        reader_count = self.reader_count()
        if attempt == 0 and position >= reader_count:
            return self._ranked_addresses[(position - reader_count) // FANOUT]
        return self._ranked_addresses[self._random.randrange(position)]

    def rank(self) -> int:
        """This daemon's rank among those that aren't readers, from 0.

        It is negative for a reader.
        """
        return self.position() - self.reader_count()

    def stand_in(self, attempt: int) -> str | None:
        """Control address of one that reads the log in the readers' place before this.

        Args:
            attempt: 0 for the parent among those; after failures a higher number, for
                the parent's parent, at last for the readers, and then from the start.

        Returns:
            The address; for the first rank and readers, that of one which reads soon
            after it; None if there is no other.
        """
        addresses = self.ranked_addresses()
        readers = addresses[: self.reader_count()]
        others = addresses[self.reader_count() :]
        if self.rank() > 0:
            stand_ins = [others[rank] for rank in ancestor_ranks(self.rank())]
        else:
            stand_ins = others[:_FIRST_STAND_INS]
        sources = [each for each in stand_ins + readers if each != self._address]
        return sources[attempt % len(sources)] if sources else None

    def remote_leader(self, count: int) -> str | None:
        """Control address of a random one of another failure domain's first ranks.

        Args:
            count: How many ranks to choose from; the first one reads the log.
        """
        self.ranked_addresses()
        if not self._remote_leader_addresses:
            return None
        addresses = self._random.choice(self._remote_leader_addresses)
        return self._random.choice(addresses[:count])

    def peers(self) -> list[str]:
        """Control addresses of the failure domain's other daemons, in ring order."""
        addresses = self.ranked_addresses()
        position = addresses.index(self._address)
        return addresses[position + 1 :] + addresses[:position]

    def other_reader(self) -> str | None:
        """Control address of another reader of this failure domain, or None."""
        others = [
            each
            for each in self.ranked_addresses()[: self.reader_count()]
            if each != self._address
        ]
        return self._random.choice(others) if others else None

    def ring_successors(self, count: int) -> list[UpstreamAnnounced]:
        """The next daemons on the failure domain's ring, with their upstreams.

        Args:
            count: Maximum number of daemons.
        """
        self.ranked_addresses()
        hosts = self._ranked_hosts
        own_index = hosts.index(self._host_id)
        ring = hosts[own_index + 1 :] + hosts[:own_index]
        known = self._fleet.upstreams_by_host
        return [known[host_id] for host_id in ring[:count]]

    def random_remote(self) -> str | None:
        """Control address of a daemon in another failure domain, or of a seed.

        Returns:
            A random address, or None if none is known.
        """
        remote_addresses = [
            upstream.control_address
            for upstream in self._fleet.upstreams_by_host.values()
            if upstream.failure_domain != self._domain
        ]
        candidates = remote_addresses or list(self._seeds)
        if self._seeds and self._random.random() < 0.25:
            # All known addresses may belong to hosts that no longer exist.
            candidates = list(self._seeds)
        return self._random.choice(candidates) if candidates else None

    def seeds(self) -> tuple[str, ...]:
        """Control addresses of the seeds in the settings, without this daemon's."""
        return self._seeds


def _rank_hash(host_id: str) -> int:
    return xxhash.xxh3_64_intdigest(host_id.encode())
