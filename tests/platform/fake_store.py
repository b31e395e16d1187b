"""A stand-in of the platform's store: keyed topics, over HTTP, in memory.

It can be silent, refuse, lose answers after the write, be late and forget history.
"""

import base64
import enum
import struct
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio

from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest, HttpResponse

PAGE_ITEMS = 3
"""Small, so that tests read several pages."""


class Trouble(enum.Enum):
    """What the store does to calls."""

    NONE = "none"
    SILENT = "silent"
    BUSY = "busy"
    LOSES_ANSWERS = "loses-answers"


class _Topic:
    def __init__(self):
        self.records: list[bytes] = []
        self.first = 0
        self.last_by_producer: dict[str, tuple[int, int, bytes]] = {}

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def newest(self) -> dict[str, tuple[bytes, int]]:
        newest: dict[str, tuple[bytes, int]] = {}
        for index, record in enumerate(self.records):
            end = 1 + record[0]
            key = record[1:end].decode()
            newest[key] = (record[end:], self.first + index)
        return {key: found for key, found in newest.items() if found[0]}


class FakeStore:
    """The store; `calls` lists each call's method and path."""

    def __init__(self):
        self.topics: dict[str, _Topic] = {}
        self.calls: list[str] = []
        self.trouble = Trouble.NONE
        self.troubles_path: Callable[[str], bool] = lambda path: True
        self.kept: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._changed = trio.Event()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes as the operator does."""
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + value)

    def forget(self, topic: str) -> None:
        """Drops the history; the newest record of each key is kept."""
        found = self._topic(topic)
        self.kept[topic] = {**self.kept.get(topic, {}), **found.newest()}
        found.first = found.end
        found.records.clear()

    def newest(self, topic: str) -> dict[str, tuple[bytes, int]]:
        """The newest record of each key."""
        return {**self.kept.get(topic, {}), **self._topic(topic).newest()}

    def _topic(self, name: str) -> _Topic:
        return self.topics.setdefault(name, _Topic())

    def _append(self, topic: str, record: bytes) -> int:
        found = self._topic(topic)
        found.records.append(record)
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        return found.end - 1

    async def handle(self, request: HttpRequest) -> HttpResponse:
        parts = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self.calls.append(f"{request.method.decode()} {parts.path}")
        trouble = self.trouble if self.troubles_path(parts.path) else Trouble.NONE
        if trouble is Trouble.SILENT:
            await trio.sleep_forever()
        if trouble is Trouble.BUSY:
            return _answer(503, b"{}")
        answer = await self._answer(parts.path, query, request.body.content or b"")
        if trouble is Trouble.LOSES_ANSWERS:
            await trio.sleep_forever()
        return answer

    async def _answer(self, path, query, content) -> HttpResponse:
        if path == "/log-newest":
            return self._newest(query)
        if path == "/log-read":
            return await self._read(query)
        if path == "/log-append":
            return self._log_append(query, content)
        return _answer(404, b"{}")

    def _newest(self, query) -> HttpResponse:
        topic = query["topic"]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(self.newest(topic).items())
            if key > query.get("after", "")
        ]
        page = {
            "items": items[:PAGE_ITEMS],
            "more": len(items) > PAGE_ITEMS,
            "end": self._topic(topic).end,
        }
        return _answer(200, msgspec.json.encode(page))

    async def _read(self, query) -> HttpResponse:
        topic = self._topic(query["topic"])
        offset = int(query["from"])
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while offset >= topic.end:
                await self._changed.wait()
        if offset < topic.first:
            return _answer(410, msgspec.json.encode({"first": topic.first}))
        content = struct.pack(">QQ", topic.end, topic.first)
        for record in topic.records[offset - topic.first :]:
            content += struct.pack(">I", len(record)) + record
        return _answer(200, content)

    def _log_append(self, query, content) -> HttpResponse:
        topic = self._topic(query["topic"])
        producer = query["producer"]
        epoch, sequence = int(query["epoch"]), int(query["seq"])
        last_epoch, last_sequence, last_answer = topic.last_by_producer.get(
            producer, (-1, -1, b"")
        )
        if epoch < last_epoch:
            return _answer(409, b'{"why":"fenced"}')
        if epoch == last_epoch and sequence == last_sequence:
            return _answer(200, last_answer)
        if epoch == last_epoch and sequence != last_sequence + 1:
            return _answer(409, b'{"why":"seq"}')
        offset = self._append(query["topic"], content[4:])
        answer = msgspec.json.encode({"offset": offset, "end": offset + 1})
        topic.last_by_producer[producer] = (epoch, sequence, answer)
        return _answer(200, answer)


def _answer(status: int, content: bytes) -> HttpResponse:
    return HttpResponse(status, [], buffered_body(content))
