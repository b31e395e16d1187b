"""Reading of the configuration in force by folding its stream."""

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
    """What publication needs of the log service's client."""

    async def append(self, stream: LogStream, record: Record) -> int:
        """Appends a record and returns its offset."""

    async def read(
        self, stream: LogStream, from_offset: int, wait_ms: int
    ) -> ReadResponse:
        """Reads records from an offset on."""


class ConfigurationReader:
    """The configuration that an operator's command has read so far.

    Attributes:
        state: The fold over all records read.
        accepted_by_version: The change that led to each version, as far as it was
            read; a version that came by a snapshot has none.
    """

    def __init__(self, log: Log) -> None:
        self.state = ConfigurationState()
        self.accepted_by_version: dict[int, ConfigurationChanged] = {}
        self._log = log
        self._next_offset = 0
        self._gap_ends_at: int | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the state is the one in force, not one with a gap behind it."""
        return self._gap_ends_at is None

    async def read_to_end(self) -> None:
        """Reads and folds all records that the stream holds now.

        Raises:
            LogUnavailableError: If the log service gave no answer.
        """
        while True:
            try:
                answer = await self._log.read(
                    LogStream.CONFIGURATION, self._next_offset, 0
                )
            except OffsetExpiredError as error:
                self._next_offset = error.first_offset
                self._gap_ends_at = error.first_offset
                continue
            for stored in answer.records:
                self._fold(stored)
                if self._next_offset <= stored.offset:
                    # A snapshot has closed the gap and is read on from.
                    break
            if self._next_offset >= answer.next_offset:
                return

    def _fold(self, stored: StoredRecord) -> None:
        self._next_offset = stored.offset + 1
        record = _decode(stored)
        if record is None:
            return
        if isinstance(record, ConfigurationSnapshot):
            self._close_gap(record)
        elif self.is_complete and self.state.apply(record):
            # Behind a gap a change that lost its race looks like one that won.
            self.accepted_by_version[self.state.version] = record

    def _close_gap(self, snapshot: ConfigurationSnapshot) -> None:
        """Restores a snapshot that covers all that the log no longer has."""
        if self._gap_ends_at is None or snapshot.covers < self._gap_ends_at:
            return
        if self.state.restore(snapshot):
            self._gap_ends_at = None
            self._next_offset = snapshot.covers


def _decode(stored: StoredRecord) -> ConfigurationRecord | None:
    try:
        record = decode_record(LogStream.CONFIGURATION, bytes(stored.content))
    except ValueError:
        # Daemons skip what they can't read, so it isn't in force anywhere.
        return None
    assert isinstance(record, ConfigurationChanged | ConfigurationSnapshot)
    return record
