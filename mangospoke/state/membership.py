"""The upstreams of the fleet, replicated from the log service's records."""

import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mangospoke.ids import HostId, Incarnation, ServiceName
from mangospoke.logservice.records import (
    MembershipRecord,
    MembershipSnapshot,
    UpstreamAnnounced,
    UpstreamLeft,
)

_MAX_LEFT_HOSTS = 4_096
"""Hosts whose last incarnation is kept, so that a late append can't revive it."""


def _do_nothing() -> None:
    pass


@dataclass(slots=True)
class MembershipState:
    """State machine of the membership stream.

    Attributes:
        upstreams_by_host: The newest announcement by host.
        left_by_host: Highest incarnation that has left, by host; least recently
            updated first.
        on_settled: Called after a change, and after a batch of records was applied.
    """

    upstreams_by_host: dict[HostId, UpstreamAnnounced] = field(default_factory=dict)
    left_by_host: dict[HostId, Incarnation] = field(default_factory=dict)
    on_settled: Callable[[], None] = _do_nothing

    def apply(self, record: MembershipRecord) -> bool:
        """Applies a record and returns whether anything changed."""
        if isinstance(record, MembershipSnapshot):
            return False
        if isinstance(record, UpstreamLeft):
            changed = self._apply_left(record)
        else:
            changed = self._apply_announced(record)
        if changed:
            # Called for each change: within one batch an incarnation may come and
            # go, and listeners must not miss it.
            self.on_settled()
        return changed

    def _apply_announced(self, record: UpstreamAnnounced) -> bool:
        if record.incarnation <= self.left_by_host.get(record.host_id, -1):
            return False
        known = self.upstreams_by_host.get(record.host_id)
        if known is not None and announcement_order(known) > announcement_order(record):
            return False
        self.upstreams_by_host[record.host_id] = record
        return known != record

    def _apply_left(self, record: UpstreamLeft) -> bool:
        before = self.left_by_host.pop(record.host_id, Incarnation(-1))
        self.left_by_host[record.host_id] = max(record.incarnation, before)
        if len(self.left_by_host) > _MAX_LEFT_HOSTS:
            del self.left_by_host[next(iter(self.left_by_host))]
        known = self.upstreams_by_host.get(record.host_id)
        if known is None or known.incarnation > record.incarnation:
            return False
        del self.upstreams_by_host[record.host_id]
        return True

    def restore(self, snapshot: MembershipSnapshot) -> bool:
        """Restores the state from a snapshot."""
        self.upstreams_by_host = {each.host_id: each for each in snapshot.upstreams}
        self.left_by_host = dict(snapshot.left)
        return True

    def snapshot(self, covers: int) -> MembershipSnapshot | None:
        """Returns a snapshot of the state, or None if it is empty.

        Args:
            covers: Offset up to which the stream has been applied.
        """
        if not self.upstreams_by_host and not self.left_by_host:
            return None
        return MembershipSnapshot(
            record_id=secrets.token_hex(8),
            covers=covers,
            upstreams=tuple(self.upstreams_by_host.values()),
            left=self.left_by_host,
        )

    def settle(self) -> None:
        """Reports that a batch of records was applied."""
        self.on_settled()

    def latest_incarnation(self, host_id: HostId) -> int:
        """Highest known incarnation of a host; -1 if none is known."""
        known = self.upstreams_by_host.get(host_id)
        left = self.left_by_host.get(host_id, Incarnation(-1))
        return max(left, known.incarnation if known is not None else -1)

    def of_service(self, service: ServiceName) -> Iterable[UpstreamAnnounced]:
        """The upstreams of a service, in any state."""
        return [
            upstream
            for upstream in self.upstreams_by_host.values()
            if upstream.service == service
        ]


def announcement_order(record: UpstreamAnnounced) -> tuple[int, int]:
    """Sort key that orders the announcements of one host."""
    return record.incarnation, record.sequence
