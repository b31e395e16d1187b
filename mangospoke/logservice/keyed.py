"""Topics that keep the newest record of each key, and following one of them.

Such a topic is its own snapshot: a reader that starts late, or that retention has
left behind, reads the newest record of each key and goes on from there.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

import trio
from loguru import logger

from mangospoke.logservice.calls import LogUnavailableError, OffsetGoneError

_FIRST_RETRY_S = 0.1
_LONGEST_RETRY_S = 0.8


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic.

    Attributes:
        value: Empty if the key was dropped.
    """

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class KeyedPart:
    """Records of a keyed topic, in offset order.

    Attributes:
        next_offset: Offset to read on from.
        held_back_s: Seconds for which the log service held the call back since it
            had no record; what is told holds from then on.
    """

    records: Sequence[KeyedRecord]
    next_offset: int
    held_back_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Writer:
    """Who writes a record, so that a late or repeated write is recognised.

    Attributes:
        name: Unique in the fleet.
        epoch: Grows with each life of the writer; a lower one is fenced off.
        sequence: Number of the write in that life, from 0.
    """

    name: str
    epoch: int
    sequence: int


class KeyedLog(Protocol):
    """The calls that a log service with keyed topics takes."""

    async def newest(self, topic: str) -> KeyedPart:
        """Reads the newest record of each key.

        Raises:
            LogUnavailableError: If no answer came.
        """

    async def read(self, topic: str, from_offset: int, wait_ms: int) -> KeyedPart:
        """Reads records from an offset on, waiting for one if there is none yet.

        Raises:
            OffsetGoneError: If retention has passed the offset.
            LogUnavailableError: If no answer came.
        """

    async def put(self, topic: str, key: str, value: bytes, writer: Writer) -> None:
        """Appends a record for a key.

        Raises:
            LogRefusedError: If it was refused.
            LogUnavailableError: If no answer came: it may be done even later.
        """


class KeyedFollower:
    """Follows a keyed topic and passes its records on.

    Attributes:
        take: Gets records in order; a key may come again with the same record.
        prove: Told the point on the follower's clock from which on the records
            taken so far are known to have been all.
    """

    def __init__(
        self,
        log: KeyedLog,
        topic: str,
        take: Callable[[Sequence[KeyedRecord]], None],
        wait_ms: int,
        read_clock: Callable[[], float] = trio.current_time,
        prove: Callable[[float], None] = lambda at: None,
    ) -> None:
        self.take = take
        self.prove = prove
        self._log = log
        self._topic = topic
        self._wait_ms = wait_ms
        self._read_clock = read_clock
        self._next_offset: int | None = None
        self._retry_s = _FIRST_RETRY_S
        self._lost = False

    async def run(self) -> None:
        """Follows the topic until it is cancelled."""
        while True:
            try:
                await self._read_on()
            except OffsetGoneError as gone:
                logger.bind(
                    event="history_gone", topic=self._topic, first=gone.first_offset
                ).warning("the log forgot records of {}: {}", self._topic, gone)
                self._next_offset = None
            except LogUnavailableError as error:
                self._note_lost(error)
                await trio.sleep(self._retry_s * random.uniform(0.5, 1.0))
                self._retry_s = min(2 * self._retry_s, _LONGEST_RETRY_S)

    async def _read_on(self) -> None:
        sent_at = self._read_clock()
        if self._next_offset is None:
            part = await self._log.newest(self._topic)
        else:
            part = await self._log.read(self._topic, self._next_offset, self._wait_ms)
        self._note_regained()
        self._next_offset = part.next_offset
        if part.records:
            self.take(part.records)
        self.prove(sent_at + part.held_back_s)

    def _note_lost(self, error: LogUnavailableError) -> None:
        if not self._lost:
            self._lost = True
            logger.bind(event="log_lost", topic=self._topic).warning(
                "{} can't be read: {}", self._topic, error
            )

    def _note_regained(self) -> None:
        self._retry_s = _FIRST_RETRY_S
        if self._lost:
            self._lost = False
            logger.bind(event="log_regained", topic=self._topic).info(
                "{} is read again", self._topic
            )
