"""Waits until a configuration version is active at every host."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from mangospoke.publication.hosts import FetchStatus, fetch_statuses

UNREACHABLE_GRACE_S = 5.0
"""How long hosts that do not respond are polled again, in seconds."""

_POLL_INTERVAL_S = 0.2

FindHosts = Callable[[], Awaitable[dict[str, str]]]
"""Returns host ids by operations address."""


@dataclass(slots=True)
class Confirmation:
    """The hosts at which a configuration version is active.

    Attributes:
        version: Version that should be active.
        asked: Whether all hosts have been polled at least once.
        versions_by_host: Active version at each host that responded.
        errors_by_host: Why the other hosts did not respond.
    """

    version: int
    asked: bool = False
    versions_by_host: dict[str, int] = field(default_factory=dict)
    errors_by_host: dict[str, str] = field(default_factory=dict)

    @property
    def behind(self) -> dict[str, int]:
        """Active version of each host that responded with an older version."""
        return {
            host: version
            for host, version in self.versions_by_host.items()
            if version < self.version
        }

    @property
    def is_complete(self) -> bool:
        """Whether the version is active at every host."""
        return self.asked and not self.behind and not self.errors_by_host


async def wait_until_active(
    version: int, find: FindHosts, ask: FetchStatus, timeout_s: float
) -> Confirmation:
    """Waits until a version, or a later one, is active at every reachable host.

    Unreachable hosts are polled for `UNREACHABLE_GRACE_S` only, and reported.

    Args:
        version: Configuration version to wait for.
        find: Finds the hosts; called before each poll, since hosts join and leave.
        ask: Requests the status of one host.
        timeout_s: Maximum time to wait for hosts with an older version, in seconds.
    """
    confirmation = Confirmation(version)
    started_at = trio.current_time()
    with trio.move_on_after(timeout_s):
        while True:
            await _poll_pending(confirmation, await find(), ask)
            if confirmation.is_complete:
                break
            elapsed_s = trio.current_time() - started_at
            if not confirmation.behind and elapsed_s >= UNREACHABLE_GRACE_S:
                break
            await trio.sleep(_POLL_INTERVAL_S)
    return confirmation


async def _poll_pending(
    confirmation: Confirmation, hosts_by_address: dict[str, str], ask: FetchStatus
) -> None:
    hosts = set(hosts_by_address.values())
    for removed_host in confirmation.versions_by_host.keys() - hosts:
        del confirmation.versions_by_host[removed_host]
    pending = {
        address: host
        for address, host in hosts_by_address.items()
        if confirmation.versions_by_host.get(host, -1) < confirmation.version
    }
    for host in pending.values():
        if host not in confirmation.versions_by_host:
            confirmation.errors_by_host.setdefault(host, "not polled yet")
    responses = await fetch_statuses(pending, ask)
    confirmation.errors_by_host = {
        pending[address]: error
        for address, error in responses.errors_by_address.items()
    }
    for address, status in responses.statuses_by_address.items():
        host = pending[address]
        confirmation.versions_by_host[host] = status.configuration_version
    confirmation.asked = True
