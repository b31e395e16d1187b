"""Registering of this host and its upstream with the fleet, in a keyed topic.

The upstream sends heartbeats to the daemon beside it. What changes by them (a start,
a drain, an end) is written as the host's record; that it still lives is not, since
the daemon is the only way to it and sees for itself.
"""

import secrets
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

import msgspec
import trio
from loguru import logger

from mangospoke.announcements import Announcement
from mangospoke.conf.settings import Settings
from mangospoke.guard.guard import Guard
from mangospoke.ids import HostId, Incarnation, InstanceId, ServiceName
from mangospoke.logservice.calls import LogRefusedError, LogUnavailableError
from mangospoke.logservice.keyed import KeyedLog, KeyedRecord, Writer
from mangospoke.logservice.records import UpstreamAnnounced, UpstreamState
from mangospoke.state.fleet import Fleet
from mangospoke.state.membership import order_of

_RETRY_S = 0.3
_KEPT_CONNECTIONS = 1_000_000
"""Connections of an upstream that doesn't say how many it takes."""


class HeartbeatState(Enum):
    """What an upstream says of itself."""

    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What an upstream told.

    Attributes:
        instance: Name of this start of the upstream.
        started_at_ms: Wall-clock milliseconds of its start; 0 if it doesn't say.
        sequence: Number of the heartbeat in that start.
        cold_left_ms: Milliseconds for which it is slow yet.
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
    """Keeps the guard and the host's record true to what its upstream told.

    Attributes:
        stopping: Whether the daemon is stopping, so that its host takes no work.
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
        self.stopping = False
        self._settings = settings
        self._incarnation = incarnation
        self._service = service
        self._guard = guard
        self._log = log
        self._topic = topic
        self._latest: Heartbeat | None = None
        self._sequence = 0
        self._writes = 0
        self._wanted = self._record(UpstreamState.ABSENT, 0)
        self._written: UpstreamAnnounced | None = None
        self._wake = trio.Event()
        self._settled = trio.Event()

    def take(self, heartbeat: Heartbeat) -> bool:
        """Takes a heartbeat and returns whether it was news or repeated news.

        One that was overtaken, by a later one or by the upstream's next start, is
        ignored.
        """
        if self._is_overtaken(heartbeat):
            return False
        before, self._latest = self._latest, heartbeat
        if heartbeat.state is HeartbeatState.SERVING:
            self._attach(heartbeat)
        elif before is None or before.instance != heartbeat.instance:
            # The daemon starts beside an upstream that is leaving already.
            self._attach(heartbeat)
            self._drain(heartbeat)
        else:
            self._drain(heartbeat)
        return True

    def _is_overtaken(self, heartbeat: Heartbeat) -> bool:
        latest = self._latest
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
            connections=_KEPT_CONNECTIONS,
            instance=heartbeat.instance,
            cold_left_ms=0,
        )
        known = self._guard.announcement
        is_known = (
            known is not None
            and msgspec.structs.replace(known, cold_left_ms=0) == announcement
        )
        if is_known and not self._guard.draining:
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
        self._want(UpstreamState.SERVING, heartbeat.slots)

    def _drain(self, heartbeat: Heartbeat) -> None:
        if self._guard.announcement is None or self._guard.draining:
            return
        logger.bind(
            event="upstream_leaves",
            instance=heartbeat.instance,
            state=heartbeat.state.value,
        ).info("upstream {} leaves", heartbeat.instance)
        self._guard.drain()
        self._want(UpstreamState.DRAINING, heartbeat.slots)

    def stop(self) -> None:
        """Takes the host out of routing, since its daemon stops."""
        self.stopping = True
        self._want(UpstreamState.DRAINING, self._wanted.slots)

    def _want(self, state: UpstreamState, slots: int) -> None:
        if self.stopping:
            state = UpstreamState.DRAINING
        if (state, slots) == (self._wanted.state, self._wanted.slots):
            return
        self._sequence += 1
        self._wanted = self._record(state, slots)
        self._wake.set()

    def _record(self, state: UpstreamState, slots: int) -> UpstreamAnnounced:
        service = self._service
        if self._latest is not None:
            service = self._latest.service
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

        A write without an answer may be done or not, even later. So the same record
        is written until that is known, and only then the next one.
        """
        while True:
            record = self._wanted
            if record is self._written:
                self._settled.set()
                self._wake = trio.Event()
                await self._wake.wait()
                continue
            await self._write(record)
            self._written = record
            self._writes += 1

    async def _write(self, record: UpstreamAnnounced) -> None:
        writer = Writer(record.host_id, self._incarnation, self._writes)
        value = msgspec.json.encode(record)
        while True:
            try:
                await self._log.put(self._topic, record.host_id, value, writer)
                return
            except (LogUnavailableError, LogRefusedError) as error:
                logger.bind(event="host_unwritten", state=record.state.value).warning(
                    "this host's record is not written yet: {}", error
                )
            await trio.sleep(_RETRY_S)

    async def wait_written(self) -> None:
        """Waits until the host's record is what it should be."""
        while self._wanted is not self._written:
            self._settled = trio.Event()
            await self._settled.wait()


class HostDirectory:
    """The hosts of the fleet, read from the keyed topic that they write."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._records_by_host: dict[HostId, UpstreamAnnounced] = {}

    def __len__(self) -> int:
        return len(self._records_by_host)

    def take(self, records: Sequence[KeyedRecord]) -> None:
        """Takes records of the topic; those that can't be read name no host."""
        for record in records:
            if not record.value:
                self._records_by_host.pop(HostId(record.key), None)
                continue
            try:
                host = msgspec.json.decode(record.value, type=UpstreamAnnounced)
            except msgspec.MsgspecError as error:
                logger.bind(event="host_unreadable", key=record.key).warning(
                    "the record of {} can't be read: {}", record.key, error
                )
                continue
            self._take(host)
        self._fleet.put_upstreams(dict(self._records_by_host))

    def _take(self, host: UpstreamAnnounced) -> None:
        known = self._records_by_host.get(host.host_id)
        if known is not None and order_of(known) > order_of(host):
            return
        self._records_by_host[host.host_id] = host
