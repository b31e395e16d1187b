"""HTTP client of the platform's store: a log service with compacted topics."""

import base64
import binascii
import struct
import time
from collections.abc import Iterator
from typing import TypeVar
from urllib.parse import quote

import msgspec
from msgspec import Struct, field

from mangospoke.conf.settings import LogService
from mangospoke.decoding import decode_json
from mangospoke.guard.dialect import find_field
from mangospoke.http.messages import HttpResponse
from mangospoke.logservice.calls import (
    LogRefusedError,
    LogTransport,
    LogUnavailableError,
    OffsetExpiredError,
    WriterFencedError,
    WriterOutOfOrderError,
)
from mangospoke.logservice.era import LogEra
from mangospoke.logservice.keyed import KeyedBatch, KeyedRecord, WriteId
from mangospoke.numbers import parse_whole_number

CONFIGURATION_TOPIC = "keyed.op"
"""Only the operator writes to it."""

CONFIGURATION_KEY = "config"

EVACUATION_PREFIX = "evacuate/"
"""How a key of that topic begins that empties a failure domain; its name follows."""

HOSTS_TOPIC = "keyed.hosts"
"""Holds a record for each host, with the host's id as its key."""

_RECORD_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
"""The topic's end offset and first offset."""

_ERA = b"store-era"
"""Response header field; rises when the store comes back from an older copy."""

_BINARY_CONTENT_TYPE = b"application/octet-stream"
_MAX_READ_KB = 1_024

_MAX_NEWEST_PAGES = 1_000
_MAX_NEWEST_BYTES = 67_108_864
"""Pages and bytes of the newest records of one topic that are read, so that a store
that always announces one more page neither fills the memory nor keeps the reader.
"""

_OK_STATUS = 200
_CONFLICT_STATUS = 409
_GONE_STATUS = 410
_NOT_APPENDED_STATUSES = frozenset({400, 403, 404, 409, 412, 413, 429, 503, 507})
"""Statuses that guarantee that nothing was appended."""

_ResponseType = TypeVar("_ResponseType", bound=Struct)


class _NewestItem(Struct, frozen=True):
    key: str
    value: str = ""
    offset: int = 0


class _NewestPage(Struct, frozen=True):
    """Response of `log-newest`.

    Attributes:
        items: The newest record of each key on this page.
        more: Whether there are more pages.
        end: Offset that the next appended record will have.
    """

    items: list[_NewestItem] = field(default_factory=list)
    more: bool = False
    end: int = 0


class _GoneDetail(Struct, frozen=True):
    """Body of a response with status 410; `first` is the first retained offset."""

    first: int = 0


class _Conflict(Struct, frozen=True):
    """Body of a response with status 409; `why` is `seq` or `fenced`."""

    why: str = ""


class StoreLog:
    """Implements `KeyedLog` with the store; each topic has one partition, 0."""

    def __init__(self, settings: LogService) -> None:
        self.transport = LogTransport(settings)
        self.era = LogEra()

    async def _exchange(
        self,
        method: bytes,
        target: str,
        content: bytes = b"",
        content_type: bytes = b"application/json",
        wait_s: float = 0.0,
    ) -> HttpResponse:
        """Sends a request and observes the era of its response.

        See `LogTransport.exchange`.
        """
        response = await self.transport.exchange(
            method, target, content, content_type, wait_s
        )
        if not self.era.observe(_read_era(response)):
            raise LogUnavailableError("a response of an era that has ended")
        return response

    async def read_newest(self, topic: str) -> KeyedBatch:
        """See `KeyedLog.read_newest`."""
        records: list[KeyedRecord] = []
        cursor = ""
        end: int | None = None
        era: int | None = None
        size = 0
        for _ in range(_MAX_NEWEST_PAGES):
            target = f"/log-newest?topic={topic}&part=0{cursor}"
            response = await self._exchange(b"GET", target)
            if end is not None and self.era.current != era:
                raise LogUnavailableError(f"the pages of {topic} are of two eras")
            era = self.era.current
            content = _require_content(response)
            size += len(content)
            if size > _MAX_NEWEST_BYTES:
                break
            page = _decode_json(content, _NewestPage)
            # The pages aren't one consistent snapshot: reading resumes at the first
            # page's end, so that changes made in between aren't missed.
            end = page.end if end is None else min(end, page.end)
            records.extend(_decode_item(item) for item in page.items)
            if not page.more or not page.items:
                return KeyedBatch(records, end, era=era)
            cursor = f"&after={quote(page.items[-1].key, safe='')}"
        detail = f"the pages of {topic} don't end after {size} bytes"
        raise LogUnavailableError(detail)

    async def read(self, topic: str, from_offset: int, wait_ms: int) -> KeyedBatch:
        """See `KeyedLog.read`."""
        target = (
            f"/log-read?topic={topic}&part=0&from={from_offset}"
            f"&maxKb={_MAX_READ_KB}&waitMs={wait_ms}"
        )
        started_at = time.monotonic()
        response = await self._exchange(b"GET", target, wait_s=wait_ms / 1000)
        era = self.era.current
        if response.status == _GONE_STATUS:
            raise OffsetExpiredError(
                _decode_json(response.body.content or b"{}", _GoneDetail).first
            )
        content = _require_content(response)
        records = list(_parse_records(content, from_offset))
        if records:
            return KeyedBatch(records, records[-1].offset + 1, era=era)
        waited_s = min(time.monotonic() - started_at, wait_ms / 1000)
        return KeyedBatch((), from_offset, waited_s, era)

    async def put(self, topic: str, key: str, value: bytes, write_id: WriteId) -> None:
        """See `KeyedLog.put`."""
        producer = quote(write_id.producer, safe="")
        target = (
            f"/log-append?topic={topic}&part=0&producer={producer}"
            f"&epoch={write_id.epoch}&seq={write_id.sequence}"
        )
        key_bytes = key.encode()
        body = bytes([len(key_bytes)]) + key_bytes + value
        record = _RECORD_LENGTH.pack(len(body)) + body
        response = await self._exchange(b"POST", target, record, _BINARY_CONTENT_TYPE)
        if response.status == _OK_STATUS:
            return
        detail = f"HTTP status {response.status}: {response.body.content!r}"
        if response.status == _CONFLICT_STATUS:
            raise _conflict_error(response, detail)
        if response.status in _NOT_APPENDED_STATUSES:
            raise LogRefusedError(detail)
        raise LogUnavailableError(detail)


def _conflict_error(response: HttpResponse, detail: str) -> LogRefusedError:
    """Returns the error that stands for a response with status 409."""
    try:
        conflict = decode_json(response.body.content or b"{}", _Conflict)
    except msgspec.MsgspecError:
        return LogRefusedError(detail)
    if conflict.why == "seq":
        return WriterOutOfOrderError(detail)
    if conflict.why == "fenced":
        return WriterFencedError(detail)
    return LogRefusedError(detail)


def _read_era(response: HttpResponse) -> int | None:
    """Returns the era that a response names; None if there is none to be read."""
    value = find_field(response.headers, _ERA)
    return parse_whole_number(value) if value is not None else None


def _require_content(response: HttpResponse) -> bytes:
    if response.status != _OK_STATUS or response.body.content is None:
        raise LogUnavailableError(f"unexpected HTTP status {response.status}")
    return response.body.content


def _decode_json(content: bytes, response_type: type[_ResponseType]) -> _ResponseType:
    try:
        return decode_json(content, response_type)
    except msgspec.MsgspecError as error:
        raise LogUnavailableError(f"cannot decode the response: {error}") from error


def _decode_item(item: _NewestItem) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value)
    except binascii.Error as error:
        raise LogUnavailableError(f"cannot decode a value: {error}") from error
    return KeyedRecord(item.key, value, item.offset)


def _parse_records(content: bytes, from_offset: int) -> Iterator[KeyedRecord]:
    """Parses a response of `log-read`: two offsets, then length-prefixed records."""
    position = _READ_HEADER.size
    offset = from_offset
    while position + _RECORD_LENGTH.size <= len(content):
        (length,) = _RECORD_LENGTH.unpack_from(content, position)
        position += _RECORD_LENGTH.size
        yield _parse_record(content[position : position + length], offset)
        position += length
        offset += 1


def _parse_record(body: bytes, offset: int) -> KeyedRecord:
    """Parses a record: key length, key and value; the key is empty if malformed."""
    if not body or 1 + body[0] > len(body):
        return KeyedRecord("", b"", offset)
    end = 1 + body[0]
    return KeyedRecord(body[1:end].decode(errors="replace"), body[end:], offset)
