"""Registers this host and its upstream with the fleet, in a keyed topic.

The upstream sends heartbeats to the daemon on its host. Changes that they report (a
start, a drain, an end) are written as the host's record. That the upstream is still
alive isn't written: it is only reachable through the daemon, which notices itself.
"""

import math
import random
import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

import msgspec
import trio
from loguru import logger

from mangospoke.announcements import Announcement
from mangospoke.conf.settings import Settings
from mangospoke.guard.guard import Guard
from mangospoke.ids import Incarnation, InstanceId, ServiceName
from mangospoke.logservice.calls import (
    LogRefusedError,
    LogUnavailableError,
    WriterFencedError,
    WriterOutOfOrderError,
)
from mangospoke.logservice.keyed import KeyedLog, KeyedRecord, WriteId
from mangospoke.logservice.records import UpstreamAnnounced, UpstreamState
from mangospoke.state.host_directory import find_host
from mangospoke.state.membership import announcement_order

_WRITE_RETRY_DELAY_S = 0.3
_MAX_REWRITES_PER_S = 200
"""Records that all hosts together write again when the log service forgot them."""

_DEFAULT_MAX_CONNECTIONS = 1_000_000
"""Connection limit of an upstream, as heartbeats don't report one."""


class HeartbeatState(Enum):
    """The state that an upstream reports of itself."""

    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat of an upstream.

    Attributes:
        instance: Id of this process run of the upstream.
        service: The service that the upstream runs.
        address: IP and port at which it takes requests.
        slots: Requests that it runs at once.
        state: Its state.
        started_at_ms: Wall-clock milliseconds at its start; 0 if not reported.
        sequence: Number of the heartbeat within the process run.
        cold_left_ms: Remaining warm-up time in milliseconds.
    """

    instance: InstanceId
    service: ServiceName
    address: str
    slots: int
    state: HeartbeatState
    started_at_ms: int
    sequence: int
    cold_left_ms: int


class HostRegistrar:
    """Keeps the guard and the host's record in line with the upstream's heartbeats.

    Attributes:
        stopping: Whether the daemon is stopping, so that its host gets no requests.
        rewrite_count: Times that the host's record was to be written again because the
            log service had forgotten it.
        written_listeners: Called with each record once the log service has it.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: Incarnation,
        service: ServiceName,
        guard: Guard,
        log: KeyedLog,
        topic: str,
    ) -> None:
        """Initializes the registrar with a host record without an upstream.

        Args:
            settings: The daemon's settings.
            incarnation: Incarnation of this daemon process.
            service: Service in the host's record until the first heartbeat.
            guard: The guard in front of the upstream.
            log: The log service.
            topic: The keyed topic of the host records.
        """
        self.stopping = False
        self.rewrite_count = 0
        self.written_listeners: list[Callable[[UpstreamAnnounced], None]] = []
        self._settings = settings
        self._incarnation = incarnation
        self._service = service
        self._guard = guard
        self._log = log
        self._topic = topic
        self._latest_heartbeat: Heartbeat | None = None
        self._sequence = 0
        self._epoch: int = incarnation
        self._epoch_step = 1
        self._write_count = 0
        self._desired_record = self._make_record(UpstreamState.ABSENT, 0)
        self._written_record: UpstreamAnnounced | None = None
        self._written_at = -math.inf
        self._written_era: int | None = None
        self._desired_changed = trio.Event()
        self._all_written = trio.Event()
        self._rewrite_delay_s = 0.0
        guard.leaving_listeners.append(self._handle_leaving)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Processes a heartbeat; returns False if it is out of date.

        A heartbeat is out of date, and ignored, if a later one of the same process
        run or one of a later run was processed already.
        """
        if self._is_outdated(heartbeat):
            return False
        before, self._latest_heartbeat = self._latest_heartbeat, heartbeat
        if heartbeat.state is HeartbeatState.SERVING:
            self._attach(heartbeat)
        elif before is None or before.instance != heartbeat.instance:
            # The first heartbeat that this daemon gets of an upstream that is
            # leaving already.
            self._attach(heartbeat)
            self._drain(heartbeat)
        else:
            self._drain(heartbeat)
        return True

    def _is_outdated(self, heartbeat: Heartbeat) -> bool:
        latest = self._latest_heartbeat
        if latest is None:
            return False
        if heartbeat.instance == latest.instance:
            same_start = heartbeat.started_at_ms == latest.started_at_ms
            if same_start and latest.state is HeartbeatState.LEAVING:
                return heartbeat.state is not HeartbeatState.LEAVING
            if same_start:
                return heartbeat.sequence < latest.sequence
        return heartbeat.started_at_ms < latest.started_at_ms

    def _attach(self, heartbeat: Heartbeat) -> None:
        announcement = Announcement(
            service=heartbeat.service,
            address=heartbeat.address,
            slots=heartbeat.slots,
            connections=_DEFAULT_MAX_CONNECTIONS,
            instance=heartbeat.instance,
            cold_left_ms=0,
            started_at_ms=heartbeat.started_at_ms,
        )
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
        """Takes the host out of routing because its upstream says that it leaves."""
        self._set_desired_state(UpstreamState.DRAINING, self._desired_record.slots)

    def stop(self) -> None:
        """Takes the host out of routing because its daemon is stopping."""
        self.stopping = True
        self._set_desired_state(UpstreamState.DRAINING, self._desired_record.slots)

    def is_leaving(self) -> bool:
        """Whether this host's record says, or is about to say, that it drains."""
        return self._desired_record.state is UpstreamState.DRAINING

    def desired_record(self) -> UpstreamAnnounced:
        """Returns this host's record as it is, or is about to be, written."""
        return self._desired_record

    def _set_desired_state(self, state: UpstreamState, slots: int) -> None:
        if self.stopping:
            state = UpstreamState.DRAINING
        if (state, slots) == (self._desired_record.state, self._desired_record.slots):
            return
        self._sequence += 1
        self._desired_record = self._make_record(state, slots)
        self._desired_changed.set()

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
        )

    async def run(self) -> None:
        """Writes the host's record whenever it changes, until it is cancelled.

        A write without an answer may have been done or not, or may be done later.
        So the same record is written until a write succeeds, and only then the next.
        """
        while True:
            record = self._desired_record
            if record is self._written_record:
                self._all_written.set()
                self._desired_changed = trio.Event()
                await self._desired_changed.wait()
                continue
            await trio.sleep(self._rewrite_delay_s)
            self._rewrite_delay_s = 0.0
            await self._write(record)
            self._written_record = record
            self._written_at = trio.current_time()
            self._written_era = self._log.era.current
            self._write_count += 1
            for listener in self.written_listeners:
                listener(record)

    def check_written(
        self,
        newest: Sequence[KeyedRecord],
        sent_at: float = math.inf,
        era: int | None = None,
    ) -> None:
        """Has the host's record written again if the log service has forgotten it.

        Args:
            newest: The newest record of each host in the log service.
            sent_at: When they were asked for, in seconds on trio's clock. If that was
                before the record was written, they needn't contain it.
            era: The era of the log service that they are of.
        """
        written = self._written_record
        if written is None:
            return
        if sent_at <= self._written_at and era == self._written_era:
            return
        stored = find_host(newest, written.host_id)
        if stored is not None and announcement_order(stored) >= announcement_order(
            written
        ):
            return
        self.rewrite_count += 1
        self._written_record = None
        self._rewrite_delay_s = random.uniform(0, len(newest) / _MAX_REWRITES_PER_S)
        logger.bind(
            event="host_rewritten",
            state=written.state.value,
            sequence=written.sequence,
            stored_state=None if stored is None else stored.state.value,
            stored_sequence=None if stored is None else stored.sequence,
        ).warning("the log service forgot this host's record; writing it again")
        self._desired_changed.set()

    async def _write(self, record: UpstreamAnnounced) -> None:
        value = msgspec.json.encode(record)
        while True:
            write_id = WriteId(record.host_id, self._epoch, self._write_count)
            try:
                await self._log.put(self._topic, record.host_id, value, write_id)
                return
            except (WriterOutOfOrderError, WriterFencedError) as error:
                self._start_sequence(error)
            except (LogUnavailableError, LogRefusedError) as error:
                logger.bind(event="host_unwritten", state=record.state.value).warning(
                    "writing this host's record failed; retrying: {}", error
                )
            await trio.sleep(_WRITE_RETRY_DELAY_S)

    def _start_sequence(self, error: LogRefusedError) -> None:
        """Starts a new sequence of writes, which no earlier one has to precede.

        The log service has forgotten writes, or the clock by which this process was
        started was behind that of the one before. The step to the next epoch grows, so
        that the latest known one is passed soon.
        """
        self._epoch += self._epoch_step
        self._epoch_step *= 2
        self._write_count = 0
        logger.bind(event="write_sequence_restarted", epoch=self._epoch).warning(
            "the log service refuses this host's sequence of writes; starting another: "
            "{}",
            error,
        )

    async def wait_written(self) -> None:
        """Waits until the host's latest record is written."""
        while self._desired_record is not self._written_record:
            self._all_written = trio.Event()
            await self._all_written.wait()
