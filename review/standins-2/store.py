"""A stand-in of the platform's store: an append-only log with compacted topics."""

import asyncio
import base64
import json
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from wire import Request, Response, serve

_ANSWER_S = 0.004
_MAX_ITEMS = 500
_REPEATS_REMEMBERED = 5


@dataclass(slots=True)
class _Producer:
    epoch: int = -1
    sequence: int = -1
    responses: dict[int, Response] = field(default_factory=dict)


@dataclass(slots=True)
class _Topic:
    records: list[bytes] = field(default_factory=list)
    producers: dict[str, _Producer] = field(default_factory=dict)


class Store:
    """The store.

    Attributes:
        on_append: Called with the topic, key and value of each record appended.
        muted: Machines that get no response any more; what they ask is still done.
    """

    def __init__(self) -> None:
        """Initializes an empty store."""
        self.on_append: Callable[[str, str, bytes], None] = lambda *record: None
        self.on_answer: Callable[[str, str, Response], None] = lambda *answer: None
        self.muted: set[str] = set()
        self._topics: dict[str, _Topic] = {}
        self._changed = asyncio.Event()

    async def open_door(self, ip: str, port: int, machine: str) -> asyncio.Server:
        """Serves one machine at an address of its own."""

        async def handle(request: Request) -> Response | None:
            response = await self._handle(request)
            await asyncio.sleep(_ANSWER_S)
            if machine in self.muted:
                return None
            self.on_answer(machine, request.target, response)
            return response

        return await serve(ip, port, handle)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record as the operator does."""
        self._append(topic, bytes([len(key)]) + key.encode() + value)

    def newest(self, topic: str) -> dict[str, tuple[bytes, int]]:
        """Returns value and offset of the newest record of each key."""
        newest = {}
        for offset, record in enumerate(self._topic(topic).records):
            key, value = _split(record)
            newest[key] = (value, offset)
        return {key: entry for key, entry in newest.items() if entry[0]}

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _append(self, topic: str, record: bytes) -> int:
        records = self._topic(topic).records
        records.append(record)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        self.on_append(topic, *_split(record))
        return len(records) - 1

    async def _handle(self, request: Request) -> Response:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/log-newest":
            return self._newest_page(query)
        if parts.path == "/log-read":
            return await self._read(query)
        if parts.path == "/log-append":
            return self._produce(query, request.body)
        return _json(404, {})

    def _newest_page(self, query: dict[str, str]) -> Response:
        newest = sorted(self.newest(query["topic"]).items())
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in newest
            if key > query.get("after", "")
        ]
        page = {
            "items": items[:_MAX_ITEMS],
            "more": len(items) > _MAX_ITEMS,
            "end": len(self._topic(query["topic"]).records),
        }
        return _json(200, page)

    async def _read(self, query: dict[str, str]) -> Response:
        topic = self._topic(query["topic"])
        offset = int(query["from"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("waitMs", "0")) / 1000
        while offset >= len(topic.records) and loop.time() < until:
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                break
        content = struct.pack(">QQ", len(topic.records), 0)
        for record in topic.records[offset:]:
            content += struct.pack(">I", len(record)) + record
        return Response(200, {}, content)

    def _produce(self, query: dict[str, str], content: bytes) -> Response:
        topic = self._topic(query["topic"])
        producer = topic.producers.setdefault(query["producer"], _Producer())
        epoch, sequence = int(query["epoch"]), int(query["seq"])
        if epoch < producer.epoch:
            return _json(409, {"why": "fenced"})
        if epoch == producer.epoch:
            if sequence in producer.responses:
                return producer.responses[sequence]
            if sequence != producer.sequence + 1:
                return _json(409, {"why": "seq", "seq": producer.sequence + 1})
        else:
            producer.epoch = epoch
            producer.responses.clear()
        offset = self._append(query["topic"], content[4:])
        response = _json(200, {"offset": offset, "end": offset + 1})
        producer.sequence = sequence
        producer.responses[sequence] = response
        producer.responses.pop(sequence - _REPEATS_REMEMBERED, None)
        return response


def _split(record: bytes) -> tuple[str, bytes]:
    end = 1 + record[0]
    return record[1:end].decode(), record[end:]


def _json(status: int, value: object) -> Response:
    content = json.dumps(value).encode()
    return Response(status, {"content-type": "application/json"}, content)
