"""Client of the log service for the streams that this system keeps in it."""

from typing import TypeVar

import msgspec

from mangospoke.conf.settings import LogService
from mangospoke.decoding import decode_json
from mangospoke.http.messages import HttpResponse
from mangospoke.logservice.calls import (
    LogRefusedError,
    LogTransport,
    LogUnavailableError,
    OffsetExpiredError,
)
from mangospoke.logservice.protocol import AppendResponse, ReadResponse
from mangospoke.logservice.records import LogStream, Record, encode_record
from mangospoke.observability.status import LogHealth

__all__ = ["LogClient", "LogRefusedError", "LogUnavailableError", "OffsetExpiredError"]

_OK = 200
_GONE = 410
_MAX_RECORDS_PER_READ = 500

_ResponseType = TypeVar("_ResponseType", AppendResponse, ReadResponse)


class LogClient:
    """Appends records to streams of the log service, and reads them."""

    def __init__(self, settings: LogService) -> None:
        self._transport = LogTransport(settings)

    def health(self) -> LogHealth:
        """Returns the time since the last response and the consecutive failures."""
        return self._transport.health()

    async def append(self, stream: LogStream, record: Record) -> int:
        """Appends a record and returns its offset.

        Raises:
            LogRefusedError: If the log service rejected the record.
            LogUnavailableError: If no response was received; the stream then shows
                whether the record was appended.
        """
        target = f"/streams/{stream.value}/records"
        response = await self._transport.exchange(
            b"POST", target, encode_record(record)
        )
        if response.status != _OK:
            raise LogRefusedError(f"unexpected HTTP status {response.status}")
        return _decode(response, AppendResponse).offset

    async def read(
        self, stream: LogStream, from_offset: int, wait_ms: int
    ) -> ReadResponse:
        """Reads records from an offset on, and waits for one if there is none yet.

        Args:
            stream: The stream.
            from_offset: Offset of the first record to read.
            wait_ms: Maximum wait for a record, in milliseconds.

        Raises:
            OffsetExpiredError: If the offset is past retention.
            LogUnavailableError: If the read failed.
        """
        target = (
            f"/streams/{stream.value}/records"
            f"?from={from_offset}&limit={_MAX_RECORDS_PER_READ}&wait_ms={wait_ms}"
        )
        response = await self._transport.exchange(b"GET", target, wait_s=wait_ms / 1000)
        if response.status not in (_OK, _GONE):
            raise LogUnavailableError(f"unexpected HTTP status {response.status}")
        result = _decode(response, ReadResponse)
        if response.status == _GONE:
            raise OffsetExpiredError(result.first_offset)
        return result


def _decode(
    response: HttpResponse, response_type: type[_ResponseType]
) -> _ResponseType:
    """Decodes a response; one that was too large to be read whole has no content."""
    try:
        return decode_json(response.body.content or b"", response_type)
    except msgspec.MsgspecError as error:
        raise LogUnavailableError(f"cannot decode the response: {error}") from error
