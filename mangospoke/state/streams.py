"""A daemon's replica of a stream of the log service.

Every reader applies the same records in offset order. So a daemon that holds the
records from an offset on, or a snapshot of the state at an offset, is as good a source
as the log service. A replica's offset only grows. A reader that has applied all
records before a snapshot ignores the snapshot; it only helps readers with a gap.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
import trio
from loguru import logger

from mangospoke.control.messages import RelayedRecord, StreamPart
from mangospoke.logservice.protocol import ReadResponse
from mangospoke.logservice.records import (
    LogStream,
    Record,
    Snapshot,
    decode_record,
    encode_record,
)

_MAX_TAIL_BYTES = 262_144
"""Size of the newest records kept for peers; a peer further behind gets a snapshot."""

_MAX_PART_BYTES = 1_048_576
"""Size of the records in one answer to a peer."""


class StateMachine(Protocol):
    """State that is computed by applying a stream's records in order."""

    def apply(self, record: Any) -> object:
        """Applies a record; never called with a snapshot."""

    def restore(self, snapshot: Any) -> bool:
        """Restores the state from a snapshot; False if that would be a step back."""

    def snapshot(self, covers: int) -> Snapshot | None:
        """Returns a snapshot of the state, or None if the state is empty.

        Args:
            covers: Offset up to which the stream has been applied.
        """

    def settle(self) -> None:
        """Puts the state into effect; called after a batch of records was applied."""


class StreamReplica:
    """The state of a stream up to an offset, and the newest records for peers.

    Attributes:
        stream: The stream.
        state_machine: What the records are applied to.
        next_offset: Offset of the next record to apply; never decreases.
        confirmed_at: Monotonic seconds at which the state was last known to match
            the log service; minus infinity if it never was.
        log_first_offset: First offset that the log service has, as of its last
            answer.
        snapshot_covers: Offset up to which the newest known snapshot covers the
            stream; 0 if none is known.
        snapshot_appended_at_ms: When the log service appended that snapshot, in its
            wall-clock milliseconds; 0 if none is known.
        listeners: Called after a batch of records was applied.
    """

    def __init__(self, stream: LogStream, state_machine: StateMachine) -> None:
        self.stream = stream
        self.state_machine = state_machine
        self.next_offset = 0
        self.confirmed_at = float("-inf")
        self.log_first_offset = 0
        self.snapshot_covers = 0
        self.snapshot_appended_at_ms = 0
        self.listeners: list[Callable[[], None]] = []
        self._tail: deque[RelayedRecord] = deque()
        self._tail_bytes = 0
        self._tail_first_offset = 0
        self._encoded_snapshot: tuple[int, bytes] | None = None

    def apply_records(
        self, asked: int, records: tuple[RelayedRecord, ...], next_offset: int
    ) -> None:
        """Applies those records of a read that are beyond the current state.

        Does nothing if the read left a gap or has no new records.

        Args:
            asked: Offset at which the read started.
            records: All records from there up to `next_offset`.
            next_offset: Offset at which the read ended.
        """
        if asked > self.next_offset or next_offset <= self.next_offset:
            return
        for stored in records:
            if stored.offset >= self.next_offset:
                self._apply(stored)
        self.next_offset = max(self.next_offset, next_offset)
        self._finish_batch()

    def apply_log_answer(self, asked: int, answer: ReadResponse) -> None:
        """Applies an answer of the log service and confirms the state if it is equal.

        Args:
            asked: Offset at which the read started.
            answer: The answer.
        """
        self.log_first_offset = answer.first_offset
        if asked < answer.first_offset:
            # The records between the two are unknown; only a snapshot closes the gap.
            return
        end = answer.records[-1].offset + 1 if answer.records else answer.next_offset
        records = tuple(
            RelayedRecord(each.offset, each.appended_at_ms, bytes(each.content))
            for each in answer.records
        )
        self.apply_records(asked, records, end)
        if answer.next_offset < asked:
            logger.bind(event="log_went_back", stream=self.stream.value).error(
                "the log service has lost records: it ends at offset {}, "
                "this host has read up to {}",
                answer.next_offset,
                asked,
            )
        elif self.next_offset >= answer.next_offset:
            self.confirm(0.0)

    def confirm(self, age_s: float) -> None:
        """Records that the state matched the log service some time ago.

        Args:
            age_s: Seconds since then.
        """
        self.confirmed_at = max(self.confirmed_at, trio.current_time() - age_s)

    def _apply(self, stored: RelayedRecord) -> None:
        try:
            record = _decode(self.stream, stored)
        except msgspec.MsgspecError as error:
            logger.bind(event="record_unreadable", offset=stored.offset).error(
                "skipping record {} of {}, which can't be decoded: {}",
                stored.offset,
                self.stream.value,
                error,
            )
            record = None
        if isinstance(record, Snapshot):
            self._note_snapshot(stored, record)
            stored = RelayedRecord(stored.offset, stored.appended_at_ms, b"")
        elif record is not None:
            self.state_machine.apply(record)
        self.next_offset = stored.offset + 1
        self._append_to_tail(stored)

    def _note_snapshot(self, stored: RelayedRecord, snapshot: Snapshot) -> None:
        if snapshot.covers >= self.snapshot_covers:
            self.snapshot_covers = snapshot.covers
            self.snapshot_appended_at_ms = stored.appended_at_ms

    def _append_to_tail(self, stored: RelayedRecord) -> None:
        self._tail.append(stored)
        self._tail_bytes += len(stored.content)
        while self._tail_bytes > _MAX_TAIL_BYTES:
            oldest = self._tail.popleft()
            self._tail_bytes -= len(oldest.content)
            self._tail_first_offset = oldest.offset + 1

    def restore_snapshot(self, snapshot: Snapshot) -> bool:
        """Restores a snapshot that covers more than was applied; False if not done."""
        if snapshot.covers <= self.next_offset:
            return False
        if not self.state_machine.restore(snapshot):
            logger.bind(event="snapshot_refused", stream=self.stream.value).error(
                "refused a snapshot up to offset {}: its state is older than this "
                "host's",
                snapshot.covers,
            )
            return False
        self.next_offset = snapshot.covers
        self._tail.clear()
        self._tail_bytes = 0
        self._tail_first_offset = snapshot.covers
        self._finish_batch()
        return True

    def apply_part(self, asked: int, part: StreamPart) -> None:
        """Applies a peer's answer.

        Args:
            asked: Offset at which the read started.
            part: The answer.

        Raises:
            msgspec.ValidationError: If its snapshot isn't one of this stream.
        """
        if part.snapshot is None:
            self.apply_records(asked, part.records, part.next_offset)
            return
        snapshot = decode_record(self.stream, part.snapshot)
        if isinstance(snapshot, Snapshot):
            self.restore_snapshot(snapshot)

    def skip_to(self, first_offset: int) -> None:
        """Continues at an offset although no source has the records before it."""
        self.next_offset = max(self.next_offset, first_offset)
        self._tail.clear()
        self._tail_bytes = 0
        self._tail_first_offset = self.next_offset

    def read(self, from_offset: int) -> StreamPart | None:
        """Reads records, or a snapshot, for a peer.

        Args:
            from_offset: The peer's next offset.

        Returns:
            The answer, or None if there is nothing beyond the peer's offset.
        """
        if from_offset >= self.next_offset:
            return None
        if from_offset < self._tail_first_offset:
            return self._snapshot_part()
        records: list[RelayedRecord] = []
        size = 0
        for stored in self._tail:
            if stored.offset < from_offset:
                continue
            size += len(stored.content)
            if records and size > _MAX_PART_BYTES:
                return StreamPart(records[-1].offset + 1, tuple(records))
            records.append(stored)
        return StreamPart(self.next_offset, tuple(records))

    def _snapshot_part(self) -> StreamPart | None:
        if (
            self._encoded_snapshot is None
            or self._encoded_snapshot[0] != self.next_offset
        ):
            snapshot = self.state_machine.snapshot(self.next_offset)
            if snapshot is None:
                return None
            self._encoded_snapshot = (self.next_offset, encode_record(snapshot))
        return StreamPart(self.next_offset, snapshot=self._encoded_snapshot[1])

    def _finish_batch(self) -> None:
        self._encoded_snapshot = None
        self.state_machine.settle()
        for listener in self.listeners:
            listener()


def _decode(stream: LogStream, stored: RelayedRecord) -> Record | None:
    return decode_record(stream, stored.content) if stored.content else None
