"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65_536

_BEFORE_CUT_S = 0.02
"""Time in which the first part of a response that is cut off reaches the other side."""

_WRITERS: dict[tuple[str, int], set[asyncio.StreamWriter]] = {}
"""The connections that are open at each address."""

_SILENT: list[asyncio.Future[None]] = []
"""What connections that stay silent wait for; kept, as nothing else refers to them."""


@dataclass(slots=True)
class Request:
    """A request that a stand-in received.

    Attributes:
        headers: Header fields by lower-case name; the last value of a name counts.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Response:
    """A response of a stand-in, or one that a client got.

    Attributes:
        cut_at: Bytes of the body after which the connection is reset; None for a whole
            response.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    cut_at: int | None = None


Handler = Callable[[Request], Awaitable[Response | None]]
"""Handles a request; without a response the connection stays silent for good."""


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def serve(ip: str, port: int, handle: Handler) -> asyncio.Server:
    """Serves HTTP/1.1 at an address; a request is dropped when its caller leaves."""

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        _WRITERS.setdefault((ip, port), set()).add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await _read_body(reader, headers)
                response = await handle(Request(method, target, headers, body))
                if response is None:
                    _SILENT.append(asyncio.get_running_loop().create_future())
                    await _SILENT[-1]
                content = _encode_response(response)
                if response.cut_at is not None:
                    content = content[: response.cut_at - len(response.body)]
                writer.write(content)
                await writer.drain()
                if response.cut_at is not None:
                    await asyncio.sleep(_BEFORE_CUT_S)
                    writer.transport.abort()
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Also cancelled at the end of the case, when nobody waits for it.
            pass
        finally:
            _WRITERS.get((ip, port), set()).discard(writer)
            writer.close()

    return await asyncio.start_server(
        serve_connection, ip, port, limit=MAX_HEAD_BYTES, backlog=512
    )


def close_connections(ip: str, port: int) -> None:
    """Ends all connections that were accepted at an address."""
    for writer in _WRITERS.pop((ip, port), set()):
        writer.transport.abort()


def _encode_response(response: Response) -> bytes:
    lines = [f"HTTP/1.1 {response.status} Reason"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines += [f"content-length: {len(response.body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + response.body


def _encode_head(method: str, target: str, headers: dict[str, str]) -> bytes:
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


async def _read_response(reader: asyncio.StreamReader) -> Response:
    first, headers = await _read_head(reader)
    content = await _read_body(reader, headers)
    return Response(int(first.split(" ")[1]), headers, content)


class Connection:
    """A client's connection, which carries one request at a time."""

    def __init__(self, address: str) -> None:
        """Initializes a connection that is opened by its first request."""
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> Response | None:
        """Sends a request; returns None if no complete response came in time."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, target, headers, body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return None

    async def send_pipelined(
        self, requests: list[tuple[str, dict[str, str]]], timeout_s: float = 5.0
    ) -> list[Response]:
        """Sends GET requests in one piece, each a target and header fields.

        Returns:
            The responses that came whole, in order; fewer if the connection ended.
        """
        responses: list[Response] = []
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await self._open()
                heads = [_encode_head("GET", *request) for request in requests]
                writer.write(b"".join(heads))
                while len(responses) < len(requests):
                    responses.append(await _read_response(reader))
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
        return responses

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None:
            ip, _, port = self._address.rpartition(":")
            self._streams = await asyncio.open_connection(ip, int(port))
        return self._streams

    async def _exchange(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Response:
        reader, writer = await self._open()
        if body or method not in ("GET", "DELETE"):
            headers = {**headers, "content-length": str(len(body))}
        writer.write(_encode_head(method, target, headers) + body)
        response = await _read_response(reader)
        if response.headers.get("connection", "").lower() == "close":
            self.close()
        return response

    def close(self) -> None:
        """Closes the connection; the next request opens another one."""
        if self._streams is not None:
            with contextlib.suppress(OSError):
                self._streams[1].close()
            self._streams = None
