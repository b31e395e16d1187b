"""Ranking of the daemons that may become grantor of a failure domain."""

import xxhash

from mangospoke.ids import FailureDomainId, HostId
from mangospoke.logservice.records import UpstreamAnnounced, UpstreamState
from mangospoke.state.fleet import Fleet

_MAX_CANDIDATES = 3
"""Daemons per domain that follow the shares stream and may become grantor."""


def rank_candidates(fleet: Fleet, domain: FailureDomainId) -> list[UpstreamAnnounced]:
    """Returns the domain's grantor candidates, highest rank first.

    The rank is a rendezvous hash, so that all daemons with the same membership agree
    on it, and one host that comes or goes changes at most one candidate.
    """
    upstreams = [
        upstream
        for upstream in fleet.membership_state.upstreams_by_host.values()
        if upstream.failure_domain == domain and upstream.state is UpstreamState.SERVING
    ]
    upstreams.sort(key=lambda upstream: _rendezvous_hash(domain, upstream.host_id))
    return upstreams[:_MAX_CANDIDATES]


def _rendezvous_hash(domain: FailureDomainId, host_id: HostId) -> int:
    return xxhash.xxh3_64_intdigest(f"{domain}/{host_id}".encode())


def candidate_rank(candidates: list[UpstreamAnnounced], host_id: HostId) -> int | None:
    """Returns a host's index among the candidates, or None if it isn't one.

    As long as the domain has no known upstream, every daemon of it has rank 0.
    """
    if not candidates:
        return 0
    for rank, candidate in enumerate(candidates):
        if candidate.host_id == host_id:
            return rank
    return None


def is_draining_or_left(fleet: Fleet, host_id: HostId) -> bool:
    """Returns whether a host's upstream is draining or has left."""
    membership = fleet.membership_state
    upstream = membership.upstreams_by_host.get(host_id)
    if upstream is None:
        return host_id in membership.left_by_host
    return upstream.state is UpstreamState.DRAINING
