"""Publishes the state of this host's upstream to the fleet.

The announcer repeatedly compares the desired record of the upstream with the fleet
state and appends the record if the fleet state lacks it. This covers every cause of
a missing record alike: a lost append, retention, a paused host that its failure
domain declared dead, or an earlier process on this host whose clock was ahead.
"""

import secrets
import time
from collections.abc import Callable

import trio
from loguru import logger

from mangospoke.announcements import Announcement
from mangospoke.conf.settings import Settings
from mangospoke.guard.guard import Guard
from mangospoke.ids import Incarnation
from mangospoke.logservice.records import (
    UpstreamAnnounced,
    UpstreamLeft,
    UpstreamState,
)
from mangospoke.state.fleet import Fleet
from mangospoke.state.membership import announcement_order
from mangospoke.state.provisional import ProvisionalRecord

_RECONCILE_INTERVAL_S = 1.0

NO_UPSTREAM = Incarnation(0)


class Announcer:
    """Keeps the fleet's record of this host's upstream up to date.

    Attributes:
        superseded: Whether another daemon has taken over this host id; this daemon
            then announces nothing any more.
    """

    def __init__(
        self,
        settings: Settings,
        daemon_incarnation: Incarnation,
        fleet: Fleet,
        guard: Guard,
        want: Callable[[ProvisionalRecord], None],
    ) -> None:
        """Initializes the announcer without an upstream.

        Args:
            settings: The daemon's settings.
            daemon_incarnation: Incarnation of this daemon process.
            fleet: The fleet state to compare with.
            guard: The guard in front of the upstream.
            want: Queues a record to be appended to the log service.
        """
        self.superseded = False
        self._settings = settings
        self._daemon_incarnation = daemon_incarnation
        self._fleet = fleet
        self._guard = guard
        self._queue_append = want
        self._desired_record: ProvisionalRecord | None = None
        self._suspended_announcement: Announcement | None = None
        self._was_confirmed = False
        self._desired_changed = trio.Event()
        self._confirmed = trio.Event()
        guard.leaving_listeners.append(self._announce_draining)

    @property
    def incarnation(self) -> Incarnation:
        """The announced incarnation of the upstream, or `NO_UPSTREAM`."""
        if isinstance(self._desired_record, UpstreamAnnounced):
            return self._desired_record.incarnation
        return NO_UPSTREAM

    def announce(self, announcement: Announcement) -> None:
        """Announces an upstream; does nothing if it is announced already."""
        is_known = announcement == self._guard.announcement
        if is_known and announcement.instance and self._guard.statements.is_leaving:
            return
        if (
            is_known
            and not self._guard.draining
            and self._suspended_announcement is None
        ):
            return
        self._suspended_announcement = None
        self._guard.attach(announcement)
        self._set_announced(announcement, UpstreamState.SERVING)

    def drain(self) -> None:
        """Takes the upstream out of routing; requests in progress continue."""
        if self._guard.announcement is None or self._guard.draining:
            return
        self._guard.drain()
        self._announce_draining()

    def _announce_draining(self) -> None:
        announcement = self._guard.announcement
        if announcement is not None and self._suspended_announcement is None:
            self._set_announced(announcement, UpstreamState.DRAINING)

    def leave(self) -> None:
        """Announces that the upstream has left."""
        if self._guard.announcement is None:
            return
        self._guard.detach()
        self._suspended_announcement = None
        self._set_left()

    def suspend(self) -> None:
        """Removes an upstream that refuses connections from the fleet."""
        if (
            self._guard.announcement is not None
            and self._suspended_announcement is None
        ):
            self._suspended_announcement = self._guard.announcement
            self._set_left()

    def resume(self) -> None:
        """Announces a suspended upstream again, with a new incarnation."""
        announcement, self._suspended_announcement = self._suspended_announcement, None
        if announcement is not None and not self._guard.draining:
            self._set_announced(announcement, UpstreamState.SERVING)

    def _set_left(self) -> None:
        if isinstance(self._desired_record, UpstreamAnnounced):
            left = UpstreamLeft(
                record_id=secrets.token_hex(8),
                host_id=self._settings.host.id,
                incarnation=self._desired_record.incarnation,
            )
            self._set_desired_record(left)

    def _set_announced(self, announcement: Announcement, state: UpstreamState) -> None:
        before = self._desired_record
        if isinstance(before, UpstreamAnnounced):
            incarnation, sequence = before.incarnation, before.sequence + 1
        else:
            incarnation, sequence = self._new_incarnation(), 0
        record = UpstreamAnnounced(
            record_id=secrets.token_hex(8),
            host_id=self._settings.host.id,
            failure_domain=self._settings.host.failure_domain,
            incarnation=incarnation,
            service=announcement.service,
            peer_address=self._settings.listen.peer,
            control_address=self._settings.listen.control,
            slots=announcement.slots,
            state=state,
            operations_address=self._settings.listen.operations,
            sequence=sequence,
            daemon_incarnation=self._daemon_incarnation,
        )
        self._set_desired_record(record)

    def _new_incarnation(self) -> Incarnation:
        """Returns one above every known incarnation, even if the clock is behind."""
        before = (
            self._desired_record.incarnation if self._desired_record is not None else 0
        )
        known = self._fleet.membership_state.latest_incarnation(self._settings.host.id)
        now_ms = time.time_ns() // 1_000_000
        return Incarnation(
            max(now_ms, before + 1, known + 1, self._latest_left_incarnation() + 1)
        )

    def _latest_left_incarnation(self) -> int:
        """Highest incarnation recorded as left or declared dead; -1 if none."""
        host_id = self._settings.host.id
        left: int = self._fleet.membership_state.left_by_host.get(
            host_id, Incarnation(-1)
        )
        for record in self._fleet.provisional.records():
            if isinstance(record, UpstreamLeft) and record.host_id == host_id:
                left = max(left, record.incarnation)
        return left

    def _set_desired_record(self, record: ProvisionalRecord) -> None:
        self._desired_record = record
        self._confirmed = trio.Event()
        desired_changed, self._desired_changed = self._desired_changed, trio.Event()
        desired_changed.set()

    async def flush(self) -> None:
        """Waits until the fleet state contains the latest announcement."""
        while self._desired_record is not None and not self.superseded:
            if self._find_missing_record() is None:
                return
            await self._confirmed.wait()

    async def run(self) -> None:
        """Queues missing records for appending, until it is cancelled."""
        while True:
            if not self.superseded:
                self._reconcile()
            with trio.move_on_after(_RECONCILE_INTERVAL_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        _cancel_after, self._desired_changed.wait, nursery
                    )
                    nursery.start_soon(
                        _cancel_after, self._fleet.wait_for_change, nursery
                    )

    def _reconcile(self) -> None:
        missing = self._find_missing_record()
        if missing is not None:
            self._queue_append(missing)
            return
        if isinstance(self._desired_record, UpstreamAnnounced):
            self._was_confirmed = True
        self._confirmed.set()

    def _find_missing_record(self) -> ProvisionalRecord | None:
        """Returns the record that the fleet state lacks, or None.

        Replaces the desired record by one with a new incarnation if the current
        one can no longer take effect.
        """
        desired = self._desired_record
        if desired is None:
            return None
        state = self._fleet.membership_state
        known = state.upstreams_by_host.get(self._settings.host.id)
        if isinstance(desired, UpstreamLeft):
            is_known = known is not None and known.incarnation <= desired.incarnation
            return desired if is_known else None
        if known is not None and known.incarnation > desired.incarnation:
            self._handle_newer_incarnation(desired, known)
        elif self._latest_left_incarnation() >= desired.incarnation:
            logger.bind(event="declared_left", incarnation=desired.incarnation).warning(
                "this host was declared dead; announcing it with a new incarnation"
            )
            self._announce_new_incarnation(desired)
        elif known is not None and announcement_order(known) == announcement_order(
            desired
        ):
            return None
        return self._desired_record if not self.superseded else None

    def _handle_newer_incarnation(
        self, desired: UpstreamAnnounced, known: UpstreamAnnounced
    ) -> None:
        if not self._was_confirmed:
            # The known record is from an earlier process whose clock was ahead.
            self._announce_new_incarnation(desired)
            return
        self.superseded = True
        logger.bind(event="superseded", incarnation=known.incarnation).error(
            "another daemon has announced host {}; this daemon stops announcing it",
            known.host_id,
        )

    def _announce_new_incarnation(self, desired: UpstreamAnnounced) -> None:
        announcement = self._guard.announcement
        self._desired_record = UpstreamLeft(
            record_id="", host_id=desired.host_id, incarnation=desired.incarnation
        )
        if announcement is not None:
            self._set_announced(announcement, desired.state)


async def _cancel_after(wait: Callable[[], object], nursery: trio.Nursery) -> None:
    await wait()  # type: ignore[misc]
    nursery.cancel_scope.cancel()
