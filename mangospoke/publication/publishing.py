"""Publication of a change: compare, append, and learn what became of it.

The log service has no compare-and-set. A change names the version that it builds on,
and every reader accepts the first change on a version and ignores the others. So an
append whose answer was lost may be repeated with the same record: whichever copy
comes second, or late, builds on a version that has passed.
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

_FIRST_BACKOFF_S = 0.1
_LONGEST_BACKOFF_S = 2.0
_RECORD_ID_BYTES = 16


@dataclass(frozen=True, slots=True)
class Published:
    """The change is in the log, and every reader accepts it."""

    version: int


@dataclass(frozen=True, slots=True)
class AlreadyInForce:
    """The files say what is in force, by this operator or another."""

    version: int


@dataclass(frozen=True, slots=True)
class LostRace:
    """Another operator's change was accepted first; this one is in force nowhere.

    Attributes:
        version: The version in force now.
        author: Who published the change that won.
    """

    version: int
    author: str


@dataclass(frozen=True, slots=True)
class Unsettled:
    """The log service didn't answer in time.

    Attributes:
        may_be_published: Whether the change may still turn out to be accepted.
    """

    may_be_published: bool
    detail: str


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The log no longer holds what is in force."""


PublicationOutcome = Published | AlreadyInForce | LostRace | Unsettled | HistoryGone


async def publish_sections(
    log: Log, wanted: Sections, author: str, timeout_s: float
) -> PublicationOutcome:
    """Publishes a configuration as a change of what is in force.

    Args:
        log: The log service.
        wanted: All sections of the configuration.
        author: Who publishes, told to operators who lose a race.
        timeout_s: Seconds to keep trying while the log service doesn't answer.
    """
    publication = _Publication(log, wanted, author)
    with trio.move_on_after(timeout_s):
        return await publication.run()
    return Unsettled(publication.appended, publication.detail)


class _Publication:
    """One change on its way into the log.

    Attributes:
        appended: Whether an append was begun, so that the record may be in the log.
        detail: What the log service said last.
    """

    def __init__(self, log: Log, wanted: Sections, author: str) -> None:
        self.appended = False
        self.detail = "no answer yet"
        self._log = log
        self._wanted = wanted
        self._author = author
        self._reader = ConfigurationReader(log)
        self._backoff_s = _FIRST_BACKOFF_S

    async def run(self) -> PublicationOutcome:
        await self._read_to_end()
        if not self._reader.is_complete:
            return HistoryGone()
        state = self._reader.state
        changed, removed = changed_sections(state.sections, self._wanted)
        if not changed and not removed:
            return AlreadyInForce(state.version)
        record = ConfigurationChanged(
            record_id=secrets.token_hex(_RECORD_ID_BYTES),
            builds_on=state.version,
            sections={name: Raw(content) for name, content in changed.items()},
            removed=removed,
            author=self._author,
        )
        return await self._append_until_settled(record)

    async def _append_until_settled(
        self, record: ConfigurationChanged
    ) -> PublicationOutcome:
        while True:
            offset = await self._append(record)
            outcome = await self._settle(record)
            while outcome is None and offset is not None:
                # It was written, so it is only a matter of reading as far as that.
                await self._back_off()
                outcome = await self._settle(record)
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

    async def _settle(self, record: ConfigurationChanged) -> PublicationOutcome | None:
        """Reads on to the end; None if the version built on is still in force."""
        await self._read_to_end()
        state = self._reader.state
        if state.version == record.builds_on:
            return None
        version = record.builds_on + 1
        winner = self._reader.accepted_by_version.get(version)
        if winner is not None and winner.record_id == record.record_id:
            return Published(version)
        if not any(changed_sections(state.sections, self._wanted)):
            return AlreadyInForce(state.version)
        if winner is None:
            detail = "retention passed the change that won before it was read"
            return Unsettled(True, detail)
        return LostRace(state.version, winner.author)

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
        self._backoff_s = min(_LONGEST_BACKOFF_S, 2 * self._backoff_s)
