"""Connects what learns of silent failure domains with what acts on them."""

import trio

from mangospoke.ingress.dispatch import Dispatcher
from mangospoke.peers.client import PeerConnectionPool
from mangospoke.routing.ejection import Ejector
from mangospoke.routing.reachability import DomainReachability, ReachabilityChange


def follow_reachability(
    reachability: DomainReachability,
    peers: PeerConnectionPool,
    dispatcher: Dispatcher,
    ejector: Ejector,
) -> None:
    """Gives up calls to a domain that falls silent, and starts anew once it is heard.

    Args:
        reachability: Decides which failure domains are silent, by what the peer
            connections send and hear.
        peers: The connections to peers.
        dispatcher: Has calls in progress.
        ejector: Remembers failures of hosts.
    """
    peers.record_sent = lambda address: reachability.record_sent(
        address, trio.current_time()
    )
    peers.record_heard = lambda address: reachability.record_heard(
        address, trio.current_time()
    )

    def act(change: ReachabilityChange) -> None:
        host_ids = [host.host_id for host in change.hosts]
        if change.is_silent:
            peers.close_idle([host.peer_address for host in change.hosts])
            dispatcher.abandon_calls(host_ids)
        else:
            ejector.forget_hosts(host_ids)

    reachability.listeners.append(act)
