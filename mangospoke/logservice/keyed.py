"""Compacted topics, which retain the newest record of each key, and their consumer.

A compacted topic needs no snapshots: a consumer that starts late, or whose offset is
past retention, reads the newest record of each key and continues from there.
"""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

import trio
from loguru import logger

from mangospoke.logservice.calls import LogUnavailableError, OffsetExpiredError
from mangospoke.logservice.era import LogEra

_MIN_RETRY_DELAY_S = 0.1
_MAX_RETRY_DOUBLINGS = 3
_MIN_PERMISSION_CHECK_INTERVAL_S = 0.01
_MAX_PERMISSION_CHECK_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a compacted topic.

    Attributes:
        key: The key.
        value: The value; empty if the key was deleted.
        offset: The record's offset in its topic.
    """

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class KeyedBatch:
    """The result of one read of a compacted topic.

    Attributes:
        records: The records, in offset order.
        next_offset: Offset at which the next read starts.
        waited_s: Seconds for which the log service waited for a record in vain. The
            result shows the state of the topic at the end of that wait.
        era: The era of the log service in which the offsets hold.
    """

    records: Sequence[KeyedRecord]
    next_offset: int
    waited_s: float = 0.0
    era: int | None = None


@dataclass(frozen=True, slots=True)
class WriteId:
    """Identifies a write, so that the log service detects late and repeated ones.

    Attributes:
        producer: The producer's name, unique in the fleet.
        epoch: Increases with each restart of the producer, and when it begins a new
            sequence; lower ones are fenced.
        sequence: Number of the write in that epoch, from 0.
    """

    producer: str
    epoch: int
    sequence: int


class KeyedLog(Protocol):
    """Interface of a log service with compacted topics.

    Attributes:
        era: The era of the log service that its responses name.
    """

    era: LogEra

    async def read_newest(self, topic: str) -> KeyedBatch:
        """Reads the newest record of each key.

        Raises:
            LogUnavailableError: If no response was received.
        """

    async def read(self, topic: str, from_offset: int, wait_ms: int) -> KeyedBatch:
        """Reads records from an offset on, and waits for one if there is none yet.

        Args:
            topic: The topic.
            from_offset: Offset of the first record to read.
            wait_ms: Maximum wait for a record, in milliseconds.

        Raises:
            OffsetExpiredError: If the offset is past retention.
            LogUnavailableError: If no response was received.
        """

    async def put(self, topic: str, key: str, value: bytes, write_id: WriteId) -> None:
        """Appends a record for a key.

        Raises:
            WriterOutOfOrderError: If it expects another sequence number.
            WriterFencedError: If it knows a later epoch of the writer.
            LogRefusedError: If it rejected the record for another reason.
            LogUnavailableError: If no response was received; the record may still be
                appended later.
        """


class KeyedFollower:
    """Consumes a compacted topic and passes its records to a callback.

    Attributes:
        handle_records: Called with records in offset order, some of them repeatedly.
        era: Era of the log service that the records' offsets belong to.
        next_offset: Offset up to which all records were passed on; None before the
            first read. Newer records may have been passed on as well.
        confirm: Called with a time in seconds on the follower's clock. The records so
            far include all that had been appended by then.
        handle_newest: Called before `handle_records` with the newest record of each
            key, whenever the topic was read from the beginning. What is not among them
            is not in the log service, or not any more.
        newest_sent_at: When the last read from the beginning was sent, in seconds on
            trio's clock.
        may_read: Whether the topic may be read now. It is read in any case until it
            was read once.
        seconds_until_may_read: Returns the time until the topic may be read, as far as
            is known.
        retry_delay_s: Returns the least delay after a failed read, in seconds, for the
            number of failed reads in a row.
        batch_delay_s: Delay after a read that brought records, so that changes that
            come close together are read at once.
    """

    def __init__(
        self,
        log: KeyedLog,
        topic: str,
        handle_records: Callable[[Sequence[KeyedRecord]], None],
        wait_ms: int,
        read_clock: Callable[[], float] = trio.current_time,
        confirm: Callable[[float], None] = lambda at: None,
    ) -> None:
        self.handle_records = handle_records
        self.confirm = confirm
        self.handle_newest: Callable[[Sequence[KeyedRecord]], None] = lambda records: (
            None
        )
        self.newest_sent_at = -math.inf
        self.may_read: Callable[[], bool] = lambda: True
        self.seconds_until_may_read: Callable[[], float] = lambda: math.inf
        self.retry_delay_s: Callable[[int], float] = lambda failure_count: 0.0
        self.batch_delay_s = 0.0
        self._log = log
        self._topic = topic
        self._wait_ms = wait_ms
        self._read_clock = read_clock
        self.next_offset: int | None = None
        self.era: int | None = None
        self._lost_offset: int | None = None
        self._failure_count = 0
        self._is_resting = False
        self._confirmed_at = -math.inf

    async def run(self) -> None:
        """Reads the topic until cancelled."""
        while True:
            if self.next_offset is not None and not self.may_read():
                self._is_resting = True
                await trio.sleep(self._permission_check_interval_s())
                continue
            try:
                await self._read_next()
            except OffsetExpiredError as error:
                logger.bind(
                    event="history_gone", topic=self._topic, first=error.first_offset
                ).warning(
                    "records of topic {} were removed before they were read: {}",
                    self._topic,
                    error,
                )
                self._start_over()
            except LogUnavailableError as error:
                self._record_failure(error)
                await trio.sleep(self._delay_after_failure_s())

    def _permission_check_interval_s(self) -> float:
        remaining_s = self.seconds_until_may_read()
        return min(
            max(remaining_s, _MIN_PERMISSION_CHECK_INTERVAL_S),
            _MAX_PERMISSION_CHECK_INTERVAL_S,
        )

    def _delay_after_failure_s(self) -> float:
        doublings = min(self._failure_count - 1, _MAX_RETRY_DOUBLINGS)
        delay_s = _MIN_RETRY_DELAY_S * 2**doublings * random.uniform(0.5, 1.0)
        return max(delay_s, self.retry_delay_s(self._failure_count))

    async def _read_next(self) -> None:
        if self.next_offset is not None and self._log.era.current != self.era:
            self._start_over()
        batch: KeyedBatch | None = None
        sent_at = self._read_clock()
        with self._log.era.cancel_at_end():
            batch = await self._read_batch()
        if batch is None or not self._is_of_present_era(batch):
            return
        self._record_success()
        self._log_new_state(batch)
        is_complete = self.next_offset is None
        self.era = batch.era
        self.next_offset = batch.next_offset
        if is_complete:
            self.handle_newest(batch.records)
        if batch.records:
            self.handle_records(batch.records)
        self._confirmed_at = sent_at + batch.waited_s
        self.confirm(self._confirmed_at)
        if batch.records and not is_complete:
            await trio.sleep(self.batch_delay_s)

    async def _read_batch(self) -> KeyedBatch:
        if self.next_offset is None:
            self.newest_sent_at = trio.current_time()
            return await self._log.read_newest(self._topic)
        wait_ms = self._next_wait_ms()
        return await self._log.read(self._topic, self.next_offset, wait_ms)

    def _next_wait_ms(self) -> int:
        """Returns how long the next read may wait for a record.

        After a failure or a rest the state is wanted at once. A read that was ended by
        a record proves the state of when it was sent only, so the next one waits less
        long: a proof never gets older than the longest wait.
        """
        if self._failure_count or self._is_resting:
            return 0
        age_ms = (self._read_clock() - self._confirmed_at) * 1000
        return max(0, math.floor(self._wait_ms - age_ms))

    def _is_of_present_era(self, batch: KeyedBatch) -> bool:
        """Whether a batch is of the era of the offset that it was read from."""
        if batch.era != self._log.era.current:
            return False
        return self.next_offset is None or batch.era == self.era

    def _start_over(self) -> None:
        """Forgets the offset, which is another record's in the present era."""
        self._lost_offset, self.next_offset = self.next_offset, None

    def _log_new_state(self, batch: KeyedBatch) -> None:
        """Logs that the topic was read anew after the log service lost records."""
        if self._lost_offset is None:
            return
        logger.bind(
            event="topic_read_anew",
            topic=self._topic,
            era=batch.era,
            previous_era=self.era,
            next_offset=batch.next_offset,
            previous_next_offset=self._lost_offset,
        ).info(
            "topic {} was read anew in era {}: it ends at {}, not at {}",
            self._topic,
            batch.era,
            batch.next_offset,
            self._lost_offset,
        )
        self._lost_offset = None

    def _record_failure(self, error: LogUnavailableError) -> None:
        self._failure_count += 1
        if self._failure_count == 1:
            logger.bind(event="log_lost", topic=self._topic).warning(
                "topic {} can't be read: {}", self._topic, error
            )

    def _record_success(self) -> None:
        self._is_resting = False
        if self._failure_count:
            self._failure_count = 0
            logger.bind(event="log_regained", topic=self._topic).info(
                "topic {} can be read again", self._topic
            )
