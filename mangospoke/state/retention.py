"""Preserves the replicated state in the log service beyond its retention.

Each reader checks periodically whether the log alone still lets a new host rebuild
the state, and appends a snapshot before it no longer does. The first reader to find a
snapshot due appends it; the others see it and don't. Duplicate snapshots are
harmless, as readers without a gap ignore them.
"""

import random
import time

import trio
from loguru import logger

from mangospoke.logservice.client import (
    LogClient,
    LogRefusedError,
    LogUnavailableError,
)
from mangospoke.state.fleet import Fleet
from mangospoke.state.following import Follower
from mangospoke.state.streams import StreamReplica
from mangospoke.state.topology import DomainTopology

_CHECK_INTERVAL_S = 10.0
_MAX_APPEND_DELAY_S = 20.0
"""Upper bound of the random delay in which another reader may append a snapshot."""

_SNAPSHOTS_PER_RETENTION = 3


def is_snapshot_due(
    replica: StreamReplica, retention_s: float, started_at_ms: int, now_ms: int
) -> bool:
    """Whether the log alone can't rebuild a stream's state, or soon couldn't.

    Args:
        replica: The stream.
        retention_s: Seconds for which the log service keeps a record.
        started_at_ms: Wall-clock milliseconds at which this daemon began to read.
        now_ms: Current wall-clock milliseconds.
    """
    if replica.log_first_offset > replica.snapshot_covers:
        # Retention dropped the first records, and no known snapshot replaces them.
        return True
    newest_ms = replica.snapshot_appended_at_ms or started_at_ms
    return now_ms - newest_ms > retention_s * 1000 / _SNAPSHOTS_PER_RETENTION


class SnapshotWriter:
    """Appends snapshots of all followed streams when they are due."""

    def __init__(
        self,
        fleet: Fleet,
        client: LogClient,
        topology: DomainTopology,
        follower: Follower,
        retention_s: float,
        random_source: random.Random,
    ) -> None:
        self._fleet = fleet
        self._client = client
        self._topology = topology
        self._follower = follower
        self._retention_s = retention_s
        self._random = random_source
        self._started_at_ms = _wall_clock_ms()

    async def run(self) -> None:
        """Checks all streams periodically until it is cancelled."""
        while True:
            await trio.sleep(self._random.uniform(0.5, 1.5) * _CHECK_INTERVAL_S)
            if not self._topology.is_reader() or self._follower.log_is_failing():
                continue
            for replica in self._fleet.streams.values():
                if self._is_due(replica):
                    await trio.sleep(self._random.uniform(0, _MAX_APPEND_DELAY_S))
                    await self._append_if_due(replica)

    def _is_due(self, replica: StreamReplica) -> bool:
        return replica.next_offset >= replica.log_first_offset and is_snapshot_due(
            replica, self._retention_s, self._started_at_ms, _wall_clock_ms()
        )

    async def _append_if_due(self, replica: StreamReplica) -> None:
        if not self._is_due(replica):
            return
        snapshot = replica.state_machine.snapshot(replica.next_offset)
        if snapshot is None:
            return
        try:
            offset = await self._client.append(replica.stream, snapshot)
        except (LogRefusedError, LogUnavailableError) as error:
            logger.bind(event="snapshot_failed").warning(
                "appending a snapshot failed: {}", error
            )
            return
        logger.bind(
            event="snapshot_appended", stream=replica.stream.value, offset=offset
        ).info(
            "appended a snapshot of {} up to offset {}",
            replica.stream.value,
            snapshot.covers,
        )


def _wall_clock_ms() -> int:
    return time.time_ns() // 1_000_000
