"""Writes a host's record to the log service, and again if that has forgotten it."""

import math
import random
from collections.abc import Callable, Sequence

import msgspec
import trio
from loguru import logger

from mangospoke.ids import Incarnation
from mangospoke.logservice.calls import (
    LogRefusedError,
    LogUnavailableError,
    WriterFencedError,
    WriterOutOfOrderError,
)
from mangospoke.logservice.keyed import KeyedLog, KeyedRecord, WriteId
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.state.host_directory import find_host
from mangospoke.state.membership import announcement_order

_WRITE_RETRY_DELAY_S = 0.3
_MAX_REWRITES_PER_S = 200
"""Records that all hosts together write again when the log service forgot them."""


class HostRecordWriter:
    """Writes the latest of a host's records.

    Attributes:
        rewrite_count: Times that the host's record was to be written again because the
            log service had forgotten it.
        written_listeners: Called with each record once the log service has it.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        log: KeyedLog,
        topic: str,
        record: UpstreamAnnounced,
    ) -> None:
        """Initializes the writer.

        Args:
            incarnation: Incarnation of this daemon process.
            log: The log service.
            topic: The keyed topic of the host records.
            record: The first record.
        """
        self.rewrite_count = 0
        self.written_listeners: list[Callable[[UpstreamAnnounced], None]] = []
        self._log = log
        self._topic = topic
        self._epoch: int = incarnation
        self._epoch_step = 1
        self._write_count = 0
        self._desired_record = record
        self._written_record: UpstreamAnnounced | None = None
        self._written_at = -math.inf
        self._written_era: int | None = None
        self._desired_changed = trio.Event()
        self._written_changed = trio.Event()
        self._rewrite_delay_s = 0.0

    @property
    def record(self) -> UpstreamAnnounced:
        """The host's latest record, written or about to be."""
        return self._desired_record

    def replace(self, record: UpstreamAnnounced) -> None:
        """Has another record written in place of the latest one."""
        self._desired_record = record
        self._desired_changed.set()

    async def run(self) -> None:
        """Writes the host's record whenever it changes, until it is cancelled.

        A write without an answer may have been done or not, or may be done later.
        So the same record is written until a write succeeds, and only then the next.
        """
        while True:
            record = self._desired_record
            if record is self._written_record:
                self._desired_changed = trio.Event()
                await self._desired_changed.wait()
                continue
            await trio.sleep(self._rewrite_delay_s)
            self._rewrite_delay_s = 0.0
            await self._write(record)
            self._written_record = record
            self._written_at = trio.current_time()
            self._written_era = self._log.era.current
            self._write_count += 1
            written_changed, self._written_changed = self._written_changed, trio.Event()
            written_changed.set()
            for listener in self.written_listeners:
                listener(record)

    def check_written(
        self,
        newest: Sequence[KeyedRecord],
        sent_at: float = math.inf,
        era: int | None = None,
    ) -> None:
        """Has the host's record written again if the log service has forgotten it.

        Args:
            newest: The newest record of each host in the log service.
            sent_at: When they were asked for, in seconds on trio's clock. If that was
                before the record was written, they needn't contain it.
            era: The era of the log service that they are of.
        """
        written = self._written_record
        if written is None:
            return
        if sent_at <= self._written_at and era == self._written_era:
            return
        stored = find_host(newest, written.host_id)
        if stored is not None and announcement_order(stored) >= announcement_order(
            written
        ):
            return
        self.rewrite_count += 1
        self._written_record = None
        self._rewrite_delay_s = random.uniform(0, len(newest) / _MAX_REWRITES_PER_S)
        logger.bind(
            event="host_rewritten",
            state=written.state.value,
            sequence=written.sequence,
            stored_state=None if stored is None else stored.state.value,
            stored_sequence=None if stored is None else stored.sequence,
        ).warning("the log service forgot this host's record; writing it again")
        self._desired_changed.set()

    async def _write(self, record: UpstreamAnnounced) -> None:
        value = msgspec.json.encode(record)
        while True:
            write_id = WriteId(record.host_id, self._epoch, self._write_count)
            try:
                await self._log.put(self._topic, record.host_id, value, write_id)
                return
            except (WriterOutOfOrderError, WriterFencedError) as error:
                self._start_sequence(error)
            except (LogUnavailableError, LogRefusedError) as error:
                logger.bind(event="host_unwritten", state=record.state.value).warning(
                    "writing this host's record failed; retrying: {}", error
                )
            await trio.sleep(_WRITE_RETRY_DELAY_S)

    def _start_sequence(self, error: LogRefusedError) -> None:
        """Starts a new sequence of writes, which no earlier one has to precede.

        The log service has forgotten writes, or the clock by which this process was
        started was behind that of the one before. The step to the next epoch grows, so
        that the latest known one is passed soon.
        """
        self._epoch += self._epoch_step
        self._epoch_step *= 2
        self._write_count = 0
        logger.bind(event="write_sequence_restarted", epoch=self._epoch).warning(
            "the log service refuses this host's sequence of writes; starting another: "
            "{}",
            error,
        )

    async def wait_written(self) -> None:
        """Waits until the host's latest record is written."""
        await self.wait_until_written(lambda record: record is self._desired_record)

    async def wait_until_written(
        self, predicate: Callable[[UpstreamAnnounced], bool]
    ) -> None:
        """Waits until the log service has a record for which a predicate holds.

        Unlike `wait_written`, it doesn't wait for records that replace that one.
        """
        while self._written_record is None or not predicate(self._written_record):
            await self._written_changed.wait()
