"""Consumer of the shares stream, which keeps the share table up to date."""

import random
import secrets
from collections.abc import Callable

import msgspec
import trio
from loguru import logger

from mangospoke.logservice.client import (
    LogClient,
    LogRefusedError,
    LogUnavailableError,
    OffsetExpiredError,
)
from mangospoke.logservice.protocol import StoredRecord
from mangospoke.logservice.records import LogStream, Record, decode_record
from mangospoke.rates.records import SharesRecord, SharesSnapshot
from mangospoke.rates.share_table import ShareTable

_READ_WAIT_MS = 20_000
_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 2.0
_OFFSET_PAST_END = 2**53
"""Larger than any real offset: a read there returns only the stream's bounds."""
_SCAN_BATCH_RECORDS = 400
_SNAPSHOT_INTERVAL_RECORDS = 300
"""Records between two snapshots; bounds what a new reader has to replay."""

RecordCallback = Callable[[SharesRecord], None]


class SharesFollower:
    """Applies the shares stream to the share table, from the newest snapshot on.

    Attributes:
        next_offset: Offset of the next record to apply, or None as long as the start
            isn't known.
        is_complete: Whether the table reflects all records before `next_offset`. A
            daemon must not act on an incomplete table.
    """

    def __init__(
        self, client: LogClient, table: ShareTable, on_record_applied: RecordCallback
    ) -> None:
        self.next_offset: int | None = None
        self.is_complete = False
        self._client = client
        self._table = table
        self._on_record_applied = on_record_applied
        self._snapshot_offset = 0
        self._batch_applied = trio.Event()

    async def run(self) -> None:
        """Consumes the stream until cancelled."""
        backoff_s = _MIN_BACKOFF_S
        while True:
            try:
                if self.next_offset is None:
                    await self._start_from_newest_snapshot()
                await self._read_batch(_READ_WAIT_MS)
                backoff_s = _MIN_BACKOFF_S
            except OffsetExpiredError:
                self.next_offset = None
                self.is_complete = False
            except LogUnavailableError as error:
                logger.bind(event="log_unavailable", stream="shares").warning(
                    "reading from the log service failed: {}", error
                )
                await trio.sleep(random.uniform(0, backoff_s))
                backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)

    async def _start_from_newest_snapshot(self) -> None:
        """Scans backwards from the stream's end for a snapshot and loads it.

        Without a usable snapshot, reading starts at the first record that is left.
        """
        bounds = await self._client.read(LogStream.SHARES, _OFFSET_PAST_END, 0)
        batch_end = bounds.next_offset
        while batch_end > bounds.first_offset:
            batch_start = max(bounds.first_offset, batch_end - _SCAN_BATCH_RECORDS)
            answer = await self._client.read(LogStream.SHARES, batch_start, 0)
            for stored in reversed(answer.records):
                record = _decode(stored)
                if not isinstance(record, SharesSnapshot):
                    continue
                if record.next_offset >= bounds.first_offset:
                    self._restore_snapshot(record)
                    return
            batch_end = batch_start
        self.next_offset = bounds.first_offset
        self.is_complete = bounds.first_offset == 0

    def _restore_snapshot(self, snapshot: SharesSnapshot) -> None:
        self._table.restore(snapshot)
        self.next_offset = snapshot.next_offset
        self._snapshot_offset = snapshot.next_offset
        self.is_complete = True
        self._on_record_applied(snapshot)

    async def _read_batch(self, wait_ms: int) -> None:
        offset = self.next_offset or 0
        answer = await self._client.read(LogStream.SHARES, offset, wait_ms)
        for stored in answer.records:
            if stored.offset == self.next_offset:
                self._apply(stored)
        batch_applied, self._batch_applied = self._batch_applied, trio.Event()
        batch_applied.set()

    def _apply(self, stored: StoredRecord) -> None:
        self.next_offset = stored.offset + 1
        record = _decode(stored)
        if isinstance(record, SharesSnapshot):
            self._snapshot_offset = max(self._snapshot_offset, record.next_offset)
        elif record is not None and self._table.apply(record):
            self._on_record_applied(record)

    async def append(self, record: Record) -> bool:
        """Appends a record.

        Whether the record is accepted is known only once it has been read back.

        Returns:
            Whether the log service confirmed the append.
        """
        try:
            await self._client.append(LogStream.SHARES, record)
        except (LogUnavailableError, LogRefusedError) as error:
            logger.bind(event="append_failed", stream="shares").warning(
                "appending to the shares stream failed: {}", error
            )
            return False
        return True

    async def catch_up(self) -> bool:
        """Waits until all records that the stream has now are applied.

        Returns:
            False if the log service couldn't be reached.
        """
        try:
            bounds = await self._client.read(LogStream.SHARES, _OFFSET_PAST_END, 0)
        except LogUnavailableError:
            return False
        while self.next_offset is None or self.next_offset < bounds.next_offset:
            await self._batch_applied.wait()
        return True

    def is_snapshot_due(self) -> bool:
        """Returns whether enough records follow the newest snapshot for another."""
        if not self.is_complete or self.next_offset is None:
            return False
        return self.next_offset - self._snapshot_offset >= _SNAPSHOT_INTERVAL_RECORDS

    async def append_snapshot(self) -> None:
        """Appends a snapshot of the table."""
        if self.next_offset is not None:
            snapshot = self._table.snapshot(secrets.token_hex(8), self.next_offset)
            await self.append(snapshot)


def _decode(stored: StoredRecord) -> SharesRecord | None:
    try:
        return decode_record(LogStream.SHARES, bytes(stored.content))  # type: ignore[return-value]
    except msgspec.MsgspecError as error:
        logger.bind(event="record_unreadable", offset=stored.offset).error(
            "skipping an undecodable record of the shares stream: {}", error
        )
        return None
