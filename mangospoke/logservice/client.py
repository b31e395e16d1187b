"""Client of the platform's append-only log service: the system's own streams."""

import msgspec

from mangospoke.conf.settings import LogService
from mangospoke.logservice.calls import (
    LogCalls,
    LogRefusedError,
    LogUnavailableError,
    OffsetGoneError,
)
from mangospoke.logservice.protocol import AppendAnswer, ReadAnswer
from mangospoke.logservice.records import Record, Stream, encode_record
from mangospoke.observability.status import LogHealth

__all__ = ["LogClient", "LogRefusedError", "LogUnavailableError", "OffsetGoneError"]

_OK = 200
_GONE = 410
_READ_LIMIT = 500


class LogClient:
    """Appends to and reads from the log service over pooled connections."""

    def __init__(self, settings: LogService) -> None:
        self._calls = LogCalls(settings)

    def health(self) -> LogHealth:
        """Says how the log service has answered."""
        return self._calls.health()

    async def append(self, stream: Stream, record: Record) -> int:
        """Appends a record and returns its offset.

        Raises:
            LogRefusedError: If it was refused.
            LogUnavailableError: If no answer came; read on to learn what happened.
        """
        target = f"/streams/{stream.value}/records"
        answer = await self._calls.exchange(b"POST", target, encode_record(record))
        if answer.status != _OK:
            raise LogRefusedError(f"status {answer.status}")
        return msgspec.json.decode(answer.body.content or b"", type=AppendAnswer).offset

    async def read(self, stream: Stream, from_offset: int, wait_ms: int) -> ReadAnswer:
        """Reads records from an offset on, waiting for one if there is none yet.

        Raises:
            OffsetGoneError: If retention has passed the offset.
            LogUnavailableError: If no answer came.
        """
        target = (
            f"/streams/{stream.value}/records"
            f"?from={from_offset}&limit={_READ_LIMIT}&wait_ms={wait_ms}"
        )
        answer = await self._calls.exchange(b"GET", target, wait_s=wait_ms / 1000)
        if answer.status not in (_OK, _GONE):
            raise LogUnavailableError(f"status {answer.status}")
        read = msgspec.json.decode(answer.body.content or b"", type=ReadAnswer)
        if answer.status == _GONE:
            raise OffsetGoneError(read.first_offset)
        return read
