"""A log in memory whose appends may get lost, lose their answer or come late."""

import enum
import itertools

from msgspec import Raw

from mangospoke.logservice.client import (
    LogRefusedError,
    LogUnavailableError,
    OffsetExpiredError,
)
from mangospoke.logservice.protocol import ReadResponse, StoredRecord
from mangospoke.logservice.records import encode_record


class Fate(enum.Enum):
    """What becomes of an append."""

    STORED = "stored"
    ANSWER_LOST = "answer lost"
    LATE = "late"
    LOST = "lost"
    REFUSED = "refused"


class FakeLog:
    """One stream; late records are stored before the next read but one."""

    def __init__(self, fates=()):
        self.stored = []
        self.first_offset = 0
        self.appends = 0
        self.failing_reads = 0
        self._fates = itertools.chain(fates, itertools.repeat(Fate.STORED))
        self._late = []
        self._reads_until_late = 0

    @property
    def next_offset(self):
        return len(self.stored)

    def store(self, record):
        offset = len(self.stored)
        self.stored.append(StoredRecord(offset, 0, Raw(encode_record(record))))
        return offset

    async def append(self, stream, record):
        self.appends += 1
        fate = next(self._fates)
        if fate is Fate.REFUSED:
            raise LogRefusedError("status 429")
        if fate is Fate.LATE:
            self._late.append(record)
            self._reads_until_late = 2
        elif fate is not Fate.LOST:
            offset = self.store(record)
            if fate is Fate.STORED:
                return offset
        raise LogUnavailableError("no answer")

    def arrive(self):
        """Stores what is on its way."""
        late, self._late = self._late, []
        for record in late:
            self.store(record)

    async def read(self, stream, from_offset, wait_ms):
        if self.failing_reads:
            self.failing_reads -= 1
            raise LogUnavailableError("down")
        if self._late:
            self._reads_until_late -= 1
            if self._reads_until_late <= 0:
                self.arrive()
        if from_offset < self.first_offset:
            raise OffsetExpiredError(self.first_offset)
        # Short pages, so that reading takes several calls.
        page = tuple(self.stored[from_offset : from_offset + 2])
        return ReadResponse(self.first_offset, self.next_offset, page)
