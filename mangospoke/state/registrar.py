"""Registers this host and its upstream with the fleet, in a keyed topic.

The upstream sends heartbeats to the daemon on its host. Changes that they report (a
start, a drain, an end) are written as the host's record. That the upstream is still
alive isn't written: it is only reachable through the daemon, which notices itself.
"""

import dataclasses
import math
import secrets
import time
from collections.abc import Callable, Sequence

import msgspec
import trio
from loguru import logger

from mangospoke.conf.settings import Settings
from mangospoke.guard.guard import Guard
from mangospoke.ids import Incarnation, InstanceId, ServiceName
from mangospoke.logservice.keyed import KeyedLog, KeyedRecord
from mangospoke.logservice.records import (
    Departure,
    RecordedCrash,
    UpstreamAnnounced,
    UpstreamState,
)
from mangospoke.state.departure_records import DepartureRecords
from mangospoke.state.departures import Departures
from mangospoke.state.heartbeats import (
    Heartbeat,
    HeartbeatCheck,
    HeartbeatState,
    IgnoredHeartbeatLog,
    is_outdated,
    make_announcement,
)
from mangospoke.state.host_directory import find_host
from mangospoke.state.host_record_writer import HostRecordWriter
from mangospoke.state.unconfirmed_heartbeats import UnconfirmedHeartbeats


class HostRegistrar:
    """Keeps the guard and the host's record in line with the upstream's heartbeats.

    Attributes:
        stopping: Whether the daemon is stopping, so that its host gets no requests.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: Incarnation,
        service: ServiceName,
        guard: Guard,
        log: KeyedLog,
        topic: str,
        find_mismatch: HeartbeatCheck = lambda heartbeat: None,
    ) -> None:
        """Initializes the registrar with a host record without an upstream.

        Args:
            settings: The daemon's settings.
            incarnation: Incarnation of this daemon process.
            service: Service in the host's record until the first heartbeat.
            guard: The guard in front of the upstream.
            log: The log service.
            topic: The keyed topic of the host records.
            find_mismatch: Returns why a heartbeat can't be of this host's upstream.
        """
        self.stopping = False
        self._settings = settings
        self._incarnation = incarnation
        self._service = service
        self._guard = guard
        self._find_mismatch = find_mismatch
        self._departures = Departures()
        self._crashes: tuple[RecordedCrash, ...] = ()
        self._took_over = trio.Event()
        self._unconfirmed = UnconfirmedHeartbeats(_now_ms())
        self._ignored_log = IgnoredHeartbeatLog()
        self._latest_heartbeat: Heartbeat | None = None
        self._sequence = 0
        self._present_since_ms: int | None = incarnation
        self._writer = HostRecordWriter(
            incarnation, log, topic, self._make_record(UpstreamState.ABSENT, 0)
        )
        self._departure_records = DepartureRecords(self._departures, self._writer)
        guard.leaving_listeners.append(self._handle_leaving)

    @property
    def rewrite_count(self) -> int:
        """Times that the log service had forgotten the host's record."""
        return self._writer.rewrite_count

    @property
    def written_listeners(self) -> list[Callable[[UpstreamAnnounced], None]]:
        """Called with each record once the log service has it."""
        return self._writer.written_listeners

    def take_over(self, newest: Sequence[KeyedRecord]) -> None:
        """Takes over what earlier daemons on this host recorded; needed once.

        Until then nothing is written, which would replace that record, and an upstream
        is used only if it certainly hasn't left before this process started.

        Args:
            newest: The newest record of each host in the log service.
        """
        if self._took_over.is_set():
            return
        self._took_over.set()
        stored = find_host(newest, self._settings.host.id)
        if stored is not None:
            self._departure_records.restore(stored.departures)
            self._crashes = (*stored.crashes, *self._crashes)
        self._replace_record_content()
        latest = self._latest_heartbeat
        if latest is not None and self._departures.has_left(
            latest.instance, latest.started_at_ms
        ):
            self._drain(latest)
        for heartbeat in self._unconfirmed.take_all():
            self.handle_heartbeat(heartbeat)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Processes a heartbeat; returns False if it is ignored.

        A heartbeat is ignored if it can't be of this host's upstream, if its process
        run has left, or if a later one of the same run or one of a later run was
        processed already.
        """
        is_serving = heartbeat.state is HeartbeatState.SERVING
        if is_serving and not self._is_confirmed(heartbeat):
            return True
        mismatch = self._find_mismatch(heartbeat)
        if mismatch is not None and (is_serving or not self._is_latest_run(heartbeat)):
            self._ignored_log.write(heartbeat, mismatch)
            return False
        if self._departures.has_left(heartbeat.instance, heartbeat.started_at_ms):
            if is_serving:
                self._ignored_log.write(heartbeat, "this run of the upstream has left")
            return not is_serving
        if is_serving and not self._departures.is_alive(
            heartbeat, trio.current_time(), _now_ms()
        ):
            reason = "it isn't known yet whether this run of the upstream has left"
            self._ignored_log.write(heartbeat, reason)
            return False
        if not is_serving:
            self._add_departure(heartbeat.departure())
        if is_outdated(heartbeat, self._latest_heartbeat):
            return False
        before, self._latest_heartbeat = self._latest_heartbeat, heartbeat
        if is_serving:
            self._attach(heartbeat)
        elif before is None or before.instance != heartbeat.instance:
            # The first heartbeat that this daemon gets of an upstream that is
            # leaving already.
            self._attach(heartbeat)
            self._drain(heartbeat)
        else:
            self._drain(heartbeat)
        self._guard.process_heartbeat(heartbeat.instance, heartbeat.cold_left_ms)
        return True

    def _is_confirmed(self, heartbeat: Heartbeat) -> bool:
        """Whether it is known that the run hasn't left before this process started."""
        return self._took_over.is_set() or self._unconfirmed.add(
            heartbeat, trio.current_time()
        )

    def _is_latest_run(self, heartbeat: Heartbeat) -> bool:
        latest = self._latest_heartbeat
        return latest is not None and latest.is_same_run(heartbeat)

    def handle_deregistration(self, instance: InstanceId) -> Departure:
        """Processes that a process run of the upstream has left.

        The message doesn't say when the run started, and it may be a later one than the
        latest that was heard. So a run of the instance that is heard of later is used
        only once its heartbeats go on.

        Returns:
            The departure that has to be recorded before it is acknowledged.
        """
        latest = self._latest_heartbeat
        if latest is not None and latest.instance == instance:
            self.handle_heartbeat(
                dataclasses.replace(
                    latest, state=HeartbeatState.LEAVING, sequence=latest.sequence + 1
                )
            )
        departure = self._present_departure(instance)
        self._add_departure(departure)
        return self._departure_records.make_deregistered(departure)

    def _present_departure(
        self, instance: InstanceId, heard_start_ms: int = 0
    ) -> Departure:
        """Returns the departure that a message without a start stands for."""
        latest = self._latest_heartbeat
        if latest is not None and latest.instance == instance:
            heard_start_ms = max(heard_start_ms, latest.started_at_ms)
        return self._departures.present_run(instance, heard_start_ms, _now_ms())

    def _add_departure(self, departure: Departure) -> None:
        if not self._departures.add(departure):
            return
        logger.bind(
            event="departure",
            instance=departure.instance,
            last_start_ms=departure.last_start_ms,
            unheard_until_ms=departure.unheard_until_ms,
        ).info("upstream {} has left or is about to", departure.instance)
        self._replace_record_content()

    def _attach(self, heartbeat: Heartbeat) -> None:
        announcement = make_announcement(heartbeat)
        known = self._guard.announcement
        is_known = (
            known is not None
            and msgspec.structs.replace(known, cold_left_ms=0) == announcement
        )
        is_leaving = self._guard.statements.is_leaving
        if is_known and (is_leaving or not self._guard.draining):
            return
        if self.stopping:
            # Attaching would end the guard's drain. An upstream that outlives its
            # daemon sends heartbeats during the stop too.
            return
        logger.bind(
            event="upstream_started",
            instance=heartbeat.instance,
            service=heartbeat.service,
            slots=heartbeat.slots,
            cold_left_ms=heartbeat.cold_left_ms,
        ).info("upstream {} serves {}", heartbeat.instance, heartbeat.service)
        self._guard.attach(
            msgspec.structs.replace(announcement, cold_left_ms=heartbeat.cold_left_ms)
        )
        self._set_desired_state(UpstreamState.SERVING, heartbeat.slots)

    def _drain(self, heartbeat: Heartbeat) -> None:
        if self._guard.announcement is None or self._guard.draining:
            return
        logger.bind(
            event="upstream_leaves",
            instance=heartbeat.instance,
            state=heartbeat.state.value,
        ).info("upstream {} is leaving", heartbeat.instance)
        self._guard.drain()
        self._set_desired_state(UpstreamState.DRAINING, heartbeat.slots)

    def _handle_leaving(self) -> None:
        """Takes the host out of routing because its upstream says that it leaves.

        A response names no start either.
        """
        announcement = self._guard.announcement
        if announcement is not None and announcement.instance is not None:
            departure = self._present_departure(
                announcement.instance, announcement.started_at_ms
            )
            self._add_departure(departure)
        self._set_desired_state(UpstreamState.DRAINING, self._writer.record.slots)

    def record_crashes(self, crashes: tuple[RecordedCrash, ...]) -> None:
        """Sets the crashes that the host's record holds."""
        if crashes == self._crashes:
            return
        self._crashes = crashes
        self._replace_record_content()

    def stop(self) -> None:
        """Takes the host out of routing because its daemon is stopping."""
        self.stopping = True
        self._set_desired_state(UpstreamState.DRAINING, self._writer.record.slots)

    def _set_desired_state(self, state: UpstreamState, slots: int) -> None:
        if self.stopping:
            state = UpstreamState.DRAINING
        if (state, slots) == (self._writer.record.state, self._writer.record.slots):
            return
        self._replace_desired_record(state, slots)

    def _replace_record_content(self) -> None:
        record = self._writer.record
        self._replace_desired_record(record.state, record.slots)

    def _replace_desired_record(self, state: UpstreamState, slots: int) -> None:
        self._sequence += 1
        if state is UpstreamState.DRAINING:
            self._present_since_ms = None
        elif self._present_since_ms is None:
            self._present_since_ms = _now_ms()
        self._writer.replace(self._make_record(state, slots))

    def _make_record(self, state: UpstreamState, slots: int) -> UpstreamAnnounced:
        service = self._service
        if self._latest_heartbeat is not None:
            service = self._latest_heartbeat.service
        return UpstreamAnnounced(
            record_id=secrets.token_hex(8),
            host_id=self._settings.host.id,
            failure_domain=self._settings.host.failure_domain,
            incarnation=self._incarnation,
            service=service,
            peer_address=self._settings.listen.peer,
            control_address=self._settings.listen.control,
            slots=slots,
            state=state,
            operations_address=self._settings.listen.operations,
            sequence=self._sequence,
            daemon_incarnation=self._incarnation,
            departures=self._departures.records(),
            present_since_ms=self._present_since_ms or 0,
            crashes=self._crashes,
        )

    async def run(self) -> None:
        """Writes the host's record whenever it changes, until it is cancelled."""
        await self._took_over.wait()
        await self._writer.run()

    def check_written(
        self,
        newest: Sequence[KeyedRecord],
        sent_at: float = math.inf,
        era: int | None = None,
    ) -> None:
        """See `HostRecordWriter.check_written`."""
        self._writer.check_written(newest, sent_at, era)

    async def wait_written(self) -> None:
        """Waits until the host's latest record is written."""
        await self._writer.wait_written()

    async def wait_recorded(self, departure: Departure) -> bool:
        """See `HeartbeatReceiver.wait_recorded`."""
        return await self._departure_records.wait_recorded(departure)

    async def wait_departures_recorded(self) -> None:
        """Waits until all departures are recorded; not at all if they are."""
        await self._departure_records.wait_all_recorded()


def _now_ms() -> int:
    """Returns Unix milliseconds of this host's clock."""
    return time.time_ns() // 1_000_000
