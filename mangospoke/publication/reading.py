"""Reads the active configuration by applying the records of its stream."""

from typing import Protocol

from mangospoke.logservice.client import OffsetExpiredError
from mangospoke.logservice.protocol import ReadResponse, StoredRecord
from mangospoke.logservice.records import (
    ConfigurationChanged,
    ConfigurationRecord,
    ConfigurationSnapshot,
    LogStream,
    Record,
    decode_record,
)
from mangospoke.state.configuration import ConfigurationState


class Log(Protocol):
    """The methods of the log service's client that publication uses."""

    async def append(self, stream: LogStream, record: Record) -> int:
        """Appends a record and returns its offset."""

    async def read(
        self, stream: LogStream, from_offset: int, wait_ms: int
    ) -> ReadResponse:
        """Reads records, starting at an offset."""


class ConfigurationReader:
    """Reads the configuration stream for an operator's command.

    Attributes:
        state: Configuration after all records that were read.
        accepted_by_version: Change that created each version, if it was read;
            versions that came with a snapshot have none.
    """

    def __init__(self, log: Log) -> None:
        self.state = ConfigurationState()
        self.accepted_by_version: dict[int, ConfigurationChanged] = {}
        self._log = log
        self._next_offset = 0
        self._gap_end_offset: int | None = None

    @property
    def is_complete(self) -> bool:
        """Whether no records that the state depends on are missing."""
        return self._gap_end_offset is None

    async def read_to_end(self) -> None:
        """Reads and applies all records that the stream currently holds.

        Raises:
            LogUnavailableError: If the log service did not respond.
        """
        while True:
            try:
                batch = await self._log.read(
                    LogStream.CONFIGURATION, self._next_offset, 0
                )
            except OffsetExpiredError as error:
                self._next_offset = error.first_offset
                self._gap_end_offset = error.first_offset
                continue
            for stored in batch.records:
                self._apply(stored)
                if self._next_offset <= stored.offset:
                    # A snapshot filled the gap; reading continues at its offset.
                    break
            if self._next_offset >= batch.next_offset:
                return

    def _apply(self, stored: StoredRecord) -> None:
        self._next_offset = stored.offset + 1
        record = _decode(stored)
        if record is None:
            return
        if isinstance(record, ConfigurationSnapshot):
            self._fill_gap(record)
        elif self.is_complete and self.state.apply(record):
            # After a gap, a rejected change cannot be told from an accepted one.
            self.accepted_by_version[self.state.version] = record

    def _fill_gap(self, snapshot: ConfigurationSnapshot) -> None:
        """Restores a snapshot if it covers all records that the log no longer holds."""
        if self._gap_end_offset is None or snapshot.covers < self._gap_end_offset:
            return
        if self.state.restore(snapshot):
            self._gap_end_offset = None
            self._next_offset = snapshot.covers


def _decode(stored: StoredRecord) -> ConfigurationRecord | None:
    try:
        record = decode_record(LogStream.CONFIGURATION, bytes(stored.content))
    except ValueError:
        # Daemons skip records that they cannot decode, so it is active nowhere.
        return None
    assert isinstance(record, ConfigurationChanged | ConfigurationSnapshot)
    return record
