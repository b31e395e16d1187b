"""A stand-in for an application server beside a daemon."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable

from standins.record import Record
from standins.wire import (
    MAX_HEAD_BYTES,
    Message,
    encode_message,
    read_message,
    request,
)

HEARTBEAT_S = 1.5
_IDLE_TIMEOUT_S = 10


class Connection:
    """A connection of a server.

    Attributes:
        writer: Its writing side.
        late_copy: A second copy of the last response, which is sent when the next
            request arrives; empty if there is none.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.late_copy = b""


Handler = Callable[["Server", Connection, Message], Awaitable[bytes | None]]
"""Handles a request; returns the response, or None to close the connection."""


class Server:
    """An application server: it runs requests and sends pings to its daemon.

    Attributes:
        name: Name in the record.
        instance: The id of the present boot.
        address: IP and port at which it takes requests.
        state: What its pings say: `ready` or `draining`.
        sends_pings: Whether it sends pings at present.
        work_s: Time that a request takes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: str,
        control_address: str,
        record: Record,
        handle: Handler | None = None,
        slots: int = 64,
        work_s: float = 0.03,
    ) -> None:
        self.name = name
        self.instance = f"i-{name}-1"
        self.address = address
        self.state = "ready"
        self.sends_pings = True
        self.work_s = work_s
        self._service = service
        self._zone = zone
        self._control_address = control_address
        self._record = record
        self._handle = handle or answer_well
        self._slots = slots
        self._sequence = 0
        self._boot = 1
        self._born = int(time.time() * 1000)
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._ping_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens, and sends pings from now on."""
        ip, _, port = self.address.rpartition(":")
        self._listener = await asyncio.start_server(
            self._serve, ip, int(port), limit=MAX_HEAD_BYTES
        )
        self._ping_task = asyncio.create_task(self._send_pings())

    async def stop(self) -> None:
        """Ends: closes the listener and all connections, and sends no more pings."""
        if self._ping_task is not None:
            self._ping_task.cancel()
            self._ping_task = None
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for writer in list(self._writers):
            if writer.transport is not None:
                writer.transport.abort()
        for task in list(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()

    async def start_again(self) -> None:
        """Starts another boot with a new id."""
        self._boot += 1
        self.instance = f"i-{self.name}-{self._boot}"
        self._sequence = 0
        self._born = int(time.time() * 1000)
        await self.start()

    @property
    def is_up(self) -> bool:
        """Whether it takes requests."""
        return self._listener is not None

    async def _send_pings(self) -> None:
        while True:
            if self.sends_pings:
                await self.ping()
            await asyncio.sleep(HEARTBEAT_S)

    def next_ping(self) -> bytes:
        """Returns the body of the next ping."""
        self._sequence += 1
        body = {
            "address": self.address,
            "info": {
                "service": self._service,
                "version": "v1",
                "zone": self._zone,
                "slots": self._slots,
            },
            "status": {
                "state": self.state,
                "seq": self._sequence,
                "coldLeft": "0ms",
            },
            "born": self._born,
        }
        return json.dumps(body).encode()

    async def ping(self, body: bytes | None = None) -> int:
        """Sends a ping; returns the status of its answer, 0 if there is none."""
        return await self._call("PUT", body or self.next_ping())

    async def deregister(self) -> int:
        """Says that it leaves, as a server that never reports `draining`."""
        return await self._call("DELETE", b"")

    async def _call(self, method: str, body: bytes) -> int:
        headers = {"Content-Type": "application/json"}
        target = f"/instances/{self.instance}"
        answer = await request(
            self._control_address, method, target, headers, body, timeout_s=1.0
        )
        return answer.status if answer is not None else 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        connection = Connection(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if connection.late_copy:
                    writer.write(connection.late_copy)
                    connection.late_copy = b""
                response = await self._handle(self, connection, message)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    def record_run(self, message: Message) -> None:
        """Records that it began to work on a request."""
        self._record.add_run(
            self.name,
            message.headers.get("attempt-id", ""),
            message.start[1],
            message.headers.get("tenant", ""),
        )

    def is_meant(self, message: Message) -> bool:
        """Whether a request is for this boot."""
        return message.headers.get("expect-instance", self.instance) == self.instance

    def misdirected(self, message: Message) -> bytes:
        """Returns the response to a request for another boot."""
        headers = {
            "Attempt-Id": message.headers.get("attempt-id", ""),
            "Instance-Id": self.instance,
            "Not-Executed": "1",
        }
        return encode_message("HTTP/1.1 421 Misdirected Request", headers)

    def success(self, message: Message) -> bytes:
        """Returns the response to a request that ran."""
        attempt = message.headers.get("attempt-id", "")
        headers = {
            "Attempt-Id": attempt,
            "Response-Signature": f"{self.name}.{attempt}",
            "Keep-Alive": f"timeout={_IDLE_TIMEOUT_S}",
        }
        return encode_message("HTTP/1.1 200 OK", headers, attempt.encode())


async def answer_well(
    server: Server, connection: Connection, message: Message
) -> bytes | None:
    """Runs each request and answers it, as a sound server does."""
    if not server.is_meant(message):
        return server.misdirected(message)
    server.record_run(message)
    await asyncio.sleep(server.work_s)
    return server.success(message)
