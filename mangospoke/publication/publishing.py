"""Publishes a change of the configuration and determines whether it was accepted.

The log service has no compare-and-set. Instead, a change names the version that it
builds on, and every reader accepts the first change on a version and ignores the
others. An append whose response was lost can therefore be retried with the same
record: a second or delayed copy builds on an outdated version and is ignored.
"""

import random
import secrets
from dataclasses import dataclass

import trio
from msgspec import Raw

from mangospoke.conf.sections import Sections, changed_sections
from mangospoke.logservice.client import LogRefusedError, LogUnavailableError
from mangospoke.logservice.records import ConfigurationChanged, LogStream
from mangospoke.publication.reading import ConfigurationReader, Log

_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
_RECORD_ID_BYTES = 16


@dataclass(frozen=True, slots=True)
class Published:
    """The change is in the log, and every reader accepts it."""

    version: int


@dataclass(frozen=True, slots=True)
class AlreadyActive:
    """The active configuration already equals the wanted one, whoever published it."""

    version: int


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Another operator's change was accepted first, and this one is ignored.

    Attributes:
        version: Version that is active now.
        author: Author of the change that was accepted.
    """

    version: int
    author: str


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """The outcome could not be determined in time.

    Attributes:
        may_be_published: Whether the change may have been or may still be accepted.
        detail: The last error of the log service.
    """

    may_be_published: bool
    detail: str


@dataclass(frozen=True, slots=True)
class HistoryUnavailable:
    """The log no longer holds the records that make up the active configuration."""


PublicationOutcome = (
    Published | AlreadyActive | ChangeConflict | UnknownOutcome | HistoryUnavailable
)


async def publish_sections(
    log: Log, wanted: Sections, author: str, timeout_s: float
) -> PublicationOutcome:
    """Publishes a configuration as a change of the active one.

    Args:
        log: The log service.
        wanted: All sections of the new configuration.
        author: Name of the operator, shown to others whose change conflicts.
        timeout_s: Seconds to keep retrying while the log service does not respond.
    """
    publication = _Publication(log, wanted, author)
    with trio.move_on_after(timeout_s):
        return await publication.run()
    return UnknownOutcome(publication.appended, publication.detail)


class _Publication:
    """An attempt to publish one change.

    Attributes:
        appended: Whether an append was started, so the log may hold the record.
        detail: The last error of the log service.
    """

    def __init__(self, log: Log, wanted: Sections, author: str) -> None:
        self.appended = False
        self.detail = "no response yet"
        self._log = log
        self._wanted = wanted
        self._author = author
        self._reader = ConfigurationReader(log)
        self._backoff_s = _INITIAL_BACKOFF_S

    async def run(self) -> PublicationOutcome:
        await self._read_to_end()
        if not self._reader.is_complete:
            return HistoryUnavailable()
        state = self._reader.state
        changed, removed = changed_sections(state.sections, self._wanted)
        if not changed and not removed:
            return AlreadyActive(state.version)
        record = ConfigurationChanged(
            record_id=secrets.token_hex(_RECORD_ID_BYTES),
            builds_on=state.version,
            sections={name: Raw(content) for name, content in changed.items()},
            removed=removed,
            author=self._author,
        )
        return await self._append_until_decided(record)

    async def _append_until_decided(
        self, record: ConfigurationChanged
    ) -> PublicationOutcome:
        while True:
            offset = await self._append(record)
            outcome = await self._read_outcome(record)
            while outcome is None and offset is not None:
                # The record is stored, so reading on will determine the outcome.
                await self._back_off()
                outcome = await self._read_outcome(record)
            if outcome is not None:
                return outcome
            await self._back_off()

    async def _append(self, record: ConfigurationChanged) -> int | None:
        self.appended = True
        try:
            return await self._log.append(LogStream.CONFIGURATION, record)
        except (LogUnavailableError, LogRefusedError) as error:
            self.detail = str(error)
            return None

    async def _read_outcome(
        self, record: ConfigurationChanged
    ) -> PublicationOutcome | None:
        """Reads to the end; None if the version built on is still active."""
        await self._read_to_end()
        state = self._reader.state
        if state.version == record.builds_on:
            return None
        version = record.builds_on + 1
        accepted = self._reader.accepted_by_version.get(version)
        if accepted is not None and accepted.record_id == record.record_id:
            return Published(version)
        if not any(changed_sections(state.sections, self._wanted)):
            return AlreadyActive(state.version)
        if accepted is None:
            detail = "retention removed the accepted change before it was read"
            return UnknownOutcome(True, detail)
        return ChangeConflict(state.version, accepted.author)

    async def _read_to_end(self) -> None:
        while True:
            try:
                await self._reader.read_to_end()
            except LogUnavailableError as error:
                self.detail = str(error)
                await self._back_off()
            else:
                return

    async def _back_off(self) -> None:
        await trio.sleep(random.uniform(0, self._backoff_s))
        self._backoff_s = min(_MAX_BACKOFF_S, 2 * self._backoff_s)
