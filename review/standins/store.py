"""A stand-in for the platform's store: a log with compacted topics.

Each machine reaches it at an address of its own, so that it can turn single machines
away while it serves the others.
"""

import asyncio
import base64
import json
import struct
from collections import deque
from urllib.parse import parse_qs, urlsplit

from standins.wire import MAX_HEAD_BYTES, Message, encode_message, read_message

LATENCY_S = 0.004
_REMEMBERED_APPENDS = 5
_ITEMS_PER_PAGE = 500
_LENGTH = struct.Struct(">I")


class _Topic:
    """The records of a topic; nothing expires in the time of a case."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.epochs: dict[str, int] = {}
        self.appends: dict[str, deque[tuple[int, dict[str, int]]]] = {}

    def newest(self) -> dict[str, tuple[bytes, int]]:
        """Returns value and offset of the newest record of each key."""
        newest = {}
        for offset, record in enumerate(self.records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (record[end:], offset)
        return {key: entry for key, entry in newest.items() if entry[0]}


class Store:
    """The store.

    Attributes:
        rejects: Names of the machines that it turns away at present, with 503.
    """

    def __init__(self) -> None:
        self.rejects: set[str] = set()
        self._topics: dict[str, _Topic] = {}
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen_for(self, machine: str) -> str:
        """Opens an address for one machine and returns it."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            try:
                await self._serve(machine, reader, writer)
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                self._tasks.discard(task)
                writer.close()

        server = await asyncio.start_server(
            serve, "127.0.0.1", 0, limit=2 * MAX_HEAD_BYTES
        )
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Closes all addresses and connections."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()

    async def put_configuration(self, configuration: dict) -> None:
        """Writes a desired state, as the operator does."""
        key = b"config"
        value = json.dumps(configuration).encode()
        await self._append("keyed.op", [bytes([len(key)]) + key + value])

    def newest_values(self, topic: str) -> dict[str, bytes]:
        """Returns the newest value of each key of a topic."""
        newest = self._topic(topic).newest()
        return {key: value for key, (value, _) in newest.items()}

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def _append(self, topic: str, records: list[bytes]) -> int:
        log = self._topic(topic)
        offset = len(log.records)
        log.records.extend(records)
        async with self._changed:
            self._changed.notify_all()
        return offset

    async def _serve(
        self,
        machine: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while (call := await read_message(reader)) is not None:
            await asyncio.sleep(LATENCY_S)
            if machine in self.rejects:
                status, body = 503, b"{}"
            else:
                status, body = await self._dispatch(call)
                if machine in self.rejects:
                    status, body = 503, b"{}"
            headers = {"Content-Type": "application/json"}
            writer.write(encode_message(f"HTTP/1.1 {status} -", headers, body))
            await writer.drain()

    async def _dispatch(self, call: Message) -> tuple[int, bytes]:
        parts = urlsplit(call.start[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/log-newest":
            return 200, self._newest(query)
        if parts.path == "/log-read":
            return await self._read(query)
        if parts.path == "/log-append":
            return await self._log_append(query, call.body)
        return 404, b"{}"

    def _newest(self, query: dict[str, str]) -> bytes:
        log = self._topic(query["topic"])
        after = query.get("after", "")
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(log.newest().items())
            if key > after
        ]
        page = {
            "items": items[:_ITEMS_PER_PAGE],
            "more": len(items) > _ITEMS_PER_PAGE,
            "end": len(log.records),
        }
        return json.dumps(page).encode()

    async def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        log = self._topic(query["topic"])
        offset = int(query["from"])
        wait_s = int(query.get("waitMs", "0")) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: len(log.records) > offset)
        except TimeoutError:
            pass
        content = struct.pack(">QQ", len(log.records), 0)
        for record in log.records[offset:]:
            content += _LENGTH.pack(len(record)) + record
        return 200, content

    async def _log_append(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        log = self._topic(query["topic"])
        records = []
        while body:
            (length,) = _LENGTH.unpack_from(body)
            records.append(body[_LENGTH.size : _LENGTH.size + length])
            body = body[_LENGTH.size + length :]
        producer = query.get("producer")
        if producer is None:
            offset = await self._append(query["topic"], records)
            answer = {"offset": offset, "end": offset + len(records)}
            return 200, json.dumps(answer).encode()
        epoch, sequence = int(query["epoch"]), int(query["seq"])
        known_epoch = log.epochs.get(producer, -1)
        if epoch < known_epoch:
            return 409, b'{"why":"fenced"}'
        appends = log.appends.setdefault(producer, deque(maxlen=_REMEMBERED_APPENDS))
        if epoch == known_epoch:
            for known_sequence, answer in appends:
                if known_sequence == sequence:
                    return 200, json.dumps(answer).encode()
            if appends and sequence != appends[-1][0] + 1:
                conflict = {"why": "seq", "seq": appends[-1][0] + 1}
                return 409, json.dumps(conflict).encode()
        else:
            appends.clear()
            log.epochs[producer] = epoch
        offset = await self._append(query["topic"], records)
        answer = {"offset": offset, "end": offset + len(records)}
        appends.append((sequence, answer))
        return 200, json.dumps(answer).encode()
