"""An in-memory fake of the platform's store, with its HTTP API for compacted topics.

It can stop responding, reject calls, lose responses after a write, delete history, and
come back from an older copy.
"""

import base64
import copy
import enum
import struct
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio

from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest, HttpResponse

ITEMS_PER_PAGE = 3
"""Small, so that tests read more than one page."""


class StoreFault(enum.Enum):
    """How the store fails calls."""

    NONE = "none"
    SILENT = "silent"
    BUSY = "busy"
    LOSES_RESPONSES = "loses-answers"


class _Topic:
    def __init__(self):
        self.records: list[bytes] = []
        self.first = 0
        self.last_by_producer: dict[str, tuple[int, int, bytes]] = {}
        self.newest_before_deletion: dict[str, tuple[bytes, int]] = {}

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def newest(self) -> dict[str, tuple[bytes, int]]:
        newest = dict(self.newest_before_deletion)
        for index, record in enumerate(self.records):
            end = 1 + record[0]
            key = record[1:end].decode()
            newest[key] = (record[end:], self.first + index)
        return {key: entry for key, entry in newest.items() if entry[0]}


class FakeStore:
    """The store.

    Attributes:
        calls: Method and path of each call received.
        affects_path: Whether the fault affects calls with a path.
        affects_topic: Whether the fault affects calls for a topic.
        era: Rises each time that the store comes back from a copy.
        append_delay_s: Time that each append takes, in seconds.
    """

    def __init__(self):
        self.topics: dict[str, _Topic] = {}
        self.calls: list[str] = []
        self.fault = StoreFault.NONE
        self.affects_path: Callable[[str], bool] = lambda path: True
        self.affects_topic: Callable[[str], bool] = lambda topic: True
        self.era = 1
        self.append_delay_s = 0.0
        self._changed = trio.Event()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record as the operator does."""
        name = key.encode()
        self._append(topic, bytes([len(name)]) + name + value)

    def delete_history(self, topic: str) -> None:
        """Deletes the history, except for the newest record of each key."""
        topic_log = self._topic(topic)
        topic_log.newest_before_deletion = topic_log.newest()
        topic_log.first = topic_log.end
        topic_log.records.clear()

    def newest(self, topic: str) -> dict[str, tuple[bytes, int]]:
        """Returns the newest record of each key."""
        return self._topic(topic).newest()

    def copy(self) -> dict[str, _Topic]:
        """Returns a copy that the store may come back from."""
        return copy.deepcopy(self.topics)

    def restore(self, topics: dict[str, _Topic]) -> None:
        """Comes back from a copy: what was appended since is gone."""
        self.topics = copy.deepcopy(topics)
        self.era += 1
        self._wake_readers()

    def _wake_readers(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _topic(self, name: str) -> _Topic:
        return self.topics.setdefault(name, _Topic())

    def _append(self, topic: str, record: bytes) -> int:
        topic_log = self._topic(topic)
        topic_log.records.append(record)
        self._wake_readers()
        return topic_log.end - 1

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles a call; each response names the era in which it was made."""
        response = await self._handle(request)
        response.headers = [(b"store-era", b"%d" % self.era)]
        return response

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        parts = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        self.calls.append(f"{request.method.decode()} {parts.path}")
        is_affected = self.affects_path(parts.path) and self.affects_topic(
            query.get("topic", "")
        )
        fault = self.fault if is_affected else StoreFault.NONE
        if fault is StoreFault.SILENT:
            await trio.sleep_forever()
        if fault is StoreFault.BUSY:
            return _build_response(503, b"{}")
        response = await self._dispatch(parts.path, query, request.body.content or b"")
        if fault is StoreFault.LOSES_RESPONSES:
            await trio.sleep_forever()
        return response

    async def _dispatch(self, path, query, content) -> HttpResponse:
        if path == "/log-newest":
            return self._newest(query)
        if path == "/log-read":
            return await self._read(query)
        if path == "/log-append":
            await trio.sleep(self.append_delay_s)
            return self._log_append(query, content)
        return _build_response(404, b"{}")

    def _newest(self, query) -> HttpResponse:
        topic = query["topic"]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(self.newest(topic).items())
            if key > query.get("after", "")
        ]
        page = {
            "items": items[:ITEMS_PER_PAGE],
            "more": len(items) > ITEMS_PER_PAGE,
            "end": self._topic(topic).end,
        }
        return _build_response(200, msgspec.json.encode(page))

    async def _read(self, query) -> HttpResponse:
        era = self.era
        topic = self._topic(query["topic"])
        offset = int(query["from"])
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while offset == topic.end and era == self.era:
                await self._changed.wait()
        if era != self.era:
            return _build_response(503, b"{}")
        if not topic.first <= offset <= topic.end:
            return _build_response(410, msgspec.json.encode({"first": topic.first}))
        content = struct.pack(">QQ", topic.end, topic.first)
        for record in topic.records[offset - topic.first :]:
            content += struct.pack(">I", len(record)) + record
        return _build_response(200, content)

    def _log_append(self, query, content) -> HttpResponse:
        topic = self._topic(query["topic"])
        producer = query["producer"]
        epoch, sequence = int(query["epoch"]), int(query["seq"])
        last_epoch, last_sequence, last_response = topic.last_by_producer.get(
            producer, (-1, -1, b"")
        )
        if epoch < last_epoch:
            return _build_response(409, b'{"why":"fenced"}')
        if epoch == last_epoch and sequence == last_sequence:
            return _build_response(200, last_response)
        if epoch == last_epoch and sequence != last_sequence + 1:
            content = msgspec.json.encode({"why": "seq", "seq": last_sequence + 1})
            return _build_response(409, content)
        offset = self._append(query["topic"], content[4:])
        response = msgspec.json.encode({"offset": offset, "end": offset + 1})
        topic.last_by_producer[producer] = (epoch, sequence, response)
        return _build_response(200, response)


def _build_response(status: int, content: bytes) -> HttpResponse:
    return HttpResponse(status, [], buffered_body(content))
