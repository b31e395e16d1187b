"""In-memory log whose appends can be lost, delayed, or lose their response."""

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


class AppendResult(enum.Enum):
    """How an append ends."""

    STORED = "stored"
    RESPONSE_LOST = "answer lost"
    DELAYED = "late"
    LOST = "lost"
    REFUSED = "refused"


class FakeLog:
    """A single stream; delayed records are stored at the second read after them."""

    def __init__(self, results=()):
        self.stored = []
        self.first_offset = 0
        self.appends = 0
        self.failing_reads = 0
        self._results = itertools.chain(results, itertools.repeat(AppendResult.STORED))
        self._delayed = []
        self._reads_until_stored = 0

    @property
    def next_offset(self):
        return len(self.stored)

    def store(self, record):
        offset = len(self.stored)
        self.stored.append(StoredRecord(offset, 0, Raw(encode_record(record))))
        return offset

    async def append(self, stream, record):
        self.appends += 1
        result = next(self._results)
        if result is AppendResult.REFUSED:
            raise LogRefusedError("status 429")
        if result is AppendResult.DELAYED:
            self._delayed.append(record)
            self._reads_until_stored = 2
        elif result is not AppendResult.LOST:
            offset = self.store(record)
            if result is AppendResult.STORED:
                return offset
        raise LogUnavailableError("no answer")

    def store_delayed(self):
        """Stores the delayed records."""
        delayed, self._delayed = self._delayed, []
        for record in delayed:
            self.store(record)

    async def read(self, stream, from_offset, wait_ms):
        if self.failing_reads:
            self.failing_reads -= 1
            raise LogUnavailableError("down")
        if self._delayed:
            self._reads_until_stored -= 1
            if self._reads_until_stored <= 0:
                self.store_delayed()
        if from_offset < self.first_offset:
            raise OffsetExpiredError(self.first_offset)
        # Small pages, so that reading to the end takes several calls.
        page = tuple(self.stored[from_offset : from_offset + 2])
        return ReadResponse(self.first_offset, self.next_offset, page)
