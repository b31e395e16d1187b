"""The platform's store: a log with keyed topics, by its HTTP calls."""

import base64
import struct
import time
from collections.abc import Iterator
from typing import TypeVar
from urllib.parse import quote

import msgspec
from msgspec import Struct, field

from mangospoke.conf.settings import LogService
from mangospoke.http.messages import HttpResponse
from mangospoke.logservice.calls import (
    LogRefusedError,
    LogTransport,
    LogUnavailableError,
    OffsetExpiredError,
)
from mangospoke.logservice.keyed import KeyedBatch, KeyedRecord, WriteId

CONFIGURATION_TOPIC = "keyed.op"
"""Written by the operator alone."""

CONFIGURATION_KEY = "config"

HOSTS_TOPIC = "keyed.hosts"
"""The fleet's own: each host's record under its id."""

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
_RAW = b"application/octet-stream"
_READ_KB = 1_024

_OK = 200
_GONE = 410
_NOT_DONE = frozenset({400, 403, 404, 409, 412, 413, 429, 503, 507})
"""Statuses that say that nothing was appended."""


_AnswerType = TypeVar("_AnswerType", bound=Struct)


class _NewestItem(Struct, frozen=True):
    key: str
    value: str = ""
    offset: int = 0


class _Newest(Struct, frozen=True):
    """Answer of `log-newest`.

    Attributes:
        more: Whether there are further keys.
        end: Offset that the next record will have.
    """

    items: list[_NewestItem] = field(default_factory=list)
    more: bool = False
    end: int = 0


class _Gone(Struct, frozen=True):
    first: int = 0


class StoreLog:
    """The store as a `KeyedLog`; every topic of the fleet has one partition, 0."""

    def __init__(self, settings: LogService) -> None:
        self.calls = LogTransport(settings)

    async def read_newest(self, topic: str) -> KeyedBatch:
        """See `KeyedLog.read_newest`."""
        records: list[KeyedRecord] = []
        after = ""
        end: int | None = None
        while True:
            target = f"/log-newest?topic={topic}&part=0{after}"
            answer = await self.calls.exchange(b"GET", target)
            content = _content(answer)
            page = _decode(content, _Newest)
            # Pages are no snapshot: what changes meanwhile is read on from the first.
            end = page.end if end is None else min(end, page.end)
            for item in page.items:
                value = base64.b64decode(item.value)
                records.append(KeyedRecord(item.key, value, item.offset))
            if not page.more or not page.items:
                return KeyedBatch(records, end)
            after = f"&after={quote(page.items[-1].key, safe='')}"

    async def read(self, topic: str, from_offset: int, wait_ms: int) -> KeyedBatch:
        """See `KeyedLog.read`."""
        target = (
            f"/log-read?topic={topic}&part=0&from={from_offset}"
            f"&maxKb={_READ_KB}&waitMs={wait_ms}"
        )
        started_at = time.monotonic()
        answer = await self.calls.exchange(b"GET", target, wait_s=wait_ms / 1000)
        if answer.status == _GONE:
            raise OffsetExpiredError(_decode(answer.body.content or b"{}", _Gone).first)
        content = _content(answer)
        records = list(_read_records(content, from_offset))
        if records:
            return KeyedBatch(records, records[-1].offset + 1)
        waited_s = min(time.monotonic() - started_at, wait_ms / 1000)
        return KeyedBatch((), from_offset, waited_s)

    async def put(self, topic: str, key: str, value: bytes, write_id: WriteId) -> None:
        """See `KeyedLog.put`."""
        producer = quote(write_id.producer, safe="")
        target = (
            f"/log-append?topic={topic}&part=0&producer={producer}"
            f"&epoch={write_id.epoch}&seq={write_id.sequence}"
        )
        name = key.encode()
        body = bytes([len(name)]) + name + value
        record = _LENGTH.pack(len(body)) + body
        answer = await self.calls.exchange(b"POST", target, record, _RAW)
        if answer.status == _OK:
            return
        detail = f"status {answer.status} {answer.body.content!r}"
        if answer.status in _NOT_DONE:
            raise LogRefusedError(detail)
        raise LogUnavailableError(detail)


def _content(answer: HttpResponse) -> bytes:
    if answer.status != _OK or answer.body.content is None:
        raise LogUnavailableError(f"status {answer.status}")
    return answer.body.content


def _decode(content: bytes, wanted: type[_AnswerType]) -> _AnswerType:
    try:
        return msgspec.json.decode(content, type=wanted)
    except msgspec.MsgspecError as error:
        raise LogUnavailableError(f"unreadable answer: {error}") from error


def _read_records(content: bytes, from_offset: int) -> Iterator[KeyedRecord]:
    """Splits the raw answer: end and first offset, then records with their lengths."""
    position = _OFFSETS.size
    offset = from_offset
    while position + _LENGTH.size <= len(content):
        (length,) = _LENGTH.unpack_from(content, position)
        position += _LENGTH.size
        yield _read_record(content[position : position + length], offset)
        position += length
        offset += 1


def _read_record(body: bytes, offset: int) -> KeyedRecord:
    if not body or 1 + body[0] > len(body):
        return KeyedRecord("", b"", offset)
    end = 1 + body[0]
    return KeyedRecord(body[1:end].decode(errors="replace"), body[end:], offset)
