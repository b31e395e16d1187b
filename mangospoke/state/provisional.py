"""Membership records that a failure domain knows before the log service has them.

While the log service is unavailable, a new upstream must still get requests from its
failure domain. So an announcement, or the declaration that an upstream's host is dead,
is shared between the domain's daemons. It takes effect until the log has a newer
record, or until it expires as no daemon repeats it. All records of a host are ordered
by incarnation and sequence, however they were received, so shared records and the log
can disagree only for a short time.
"""

from dataclasses import dataclass

import trio

from mangospoke.ids import HostId
from mangospoke.logservice.records import UpstreamAnnounced, UpstreamLeft
from mangospoke.state.membership import MembershipState, announcement_order

SHARE_INTERVAL_S = 20.0
"""Time after which a record that the log still lacks is shared again."""

_RECORD_LIFETIME_S = 3 * SHARE_INTERVAL_S + 5
_MAX_HOSTS = 512

ProvisionalRecord = UpstreamAnnounced | UpstreamLeft


@dataclass(frozen=True, slots=True)
class _Entry:
    record: ProvisionalRecord
    expires_at: float


class ProvisionalMembership:
    """Records of this failure domain that the membership stream doesn't have yet."""

    def __init__(self, log_state: MembershipState) -> None:
        self._log_state = log_state
        self._entries_by_host: dict[HostId, _Entry] = {}

    def add(self, record: ProvisionalRecord) -> bool:
        """Adds a record until it expires; False if it isn't newer than known ones."""
        held = self._entries_by_host.get(record.host_id)
        if held is not None and _record_order(held.record) > _record_order(record):
            return False
        if not self._is_newer_than_log(record):
            return False
        if held is None and len(self._entries_by_host) >= _MAX_HOSTS:
            return False
        expires_at = trio.current_time() + _RECORD_LIFETIME_S
        self._entries_by_host[record.host_id] = _Entry(record, expires_at)
        return True

    def _is_newer_than_log(self, record: ProvisionalRecord) -> bool:
        latest = self._log_state.latest_incarnation(record.host_id)
        if record.incarnation != latest:
            return record.incarnation > latest
        known = self._log_state.upstreams_by_host.get(record.host_id)
        if known is None:
            return False
        return isinstance(record, UpstreamLeft) or announcement_order(
            record
        ) > announcement_order(known)

    def _drop_outdated(self) -> None:
        now = trio.current_time()
        self._entries_by_host = {
            host_id: held
            for host_id, held in self._entries_by_host.items()
            if held.expires_at > now and self._is_newer_than_log(held.record)
        }

    def records(self) -> tuple[ProvisionalRecord, ...]:
        """The records that are newer than the membership stream."""
        self._drop_outdated()
        return tuple(held.record for held in self._entries_by_host.values())

    def merged_upstreams(self) -> dict[HostId, UpstreamAnnounced]:
        """The upstreams of the membership stream updated with provisional records."""
        upstreams_by_host = self._log_state.upstreams_by_host
        records = self.records()
        if not records:
            return dict(upstreams_by_host)
        merged = dict(upstreams_by_host)
        for record in records:
            if isinstance(record, UpstreamAnnounced):
                merged[record.host_id] = record
            else:
                merged.pop(record.host_id, None)
        return merged


def _record_order(record: ProvisionalRecord) -> tuple[int, float]:
    """Sort key in which a departure follows all announcements of its incarnation."""
    if isinstance(record, UpstreamLeft):
        return record.incarnation, float("inf")
    return announcement_order(record)
