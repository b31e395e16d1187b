"""The part of HTTP/1.1 that the stand-ins speak."""

import asyncio
from dataclasses import dataclass

MAX_HEAD_BYTES = 65_536


@dataclass(frozen=True)
class Message:
    """A request or a response.

    Attributes:
        start: The words of the first line.
        headers: Header fields; names are in lower case.
        body: The complete body.
    """

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message; None if the connection ends before it is complete."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        words = (lines[0].split(" ", 2) + ["", ""])[:3]
        headers = {}
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                headers[name.strip().lower()] = value.strip()
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message((words[0], words[1], words[2]), headers, body)


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    chunks = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return b"".join(chunks)
        chunks.append(chunk[:-2])


def encode_message(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a message with a body of known length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def request(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 8.0,
) -> Message | None:
    """Sends a request on a new connection and returns the response.

    Returns:
        The response; None if the connection could not be opened, or was closed without
        a complete response, or there was none in time.
    """
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                ip, int(port), limit=MAX_HEAD_BYTES
            )
            fields = {"Host": address, **(headers or {})}
            writer.write(encode_message(f"{method} {target} HTTP/1.1", fields, body))
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
