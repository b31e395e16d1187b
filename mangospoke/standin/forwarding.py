"""Connections that pass a link of the fault proxy."""

import socket
import struct
from dataclasses import dataclass

import trio

from mangospoke.addresses import split_address
from mangospoke.standin.links import Link, LinkMode

_RECEIVE_BYTES = 65_536
_CHUNKS_IN_FLIGHT = 1_024
_NO_LINGER = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Chunk:
    """Bytes on their way; empty at the end of a direction."""

    content: bytes
    due_at: float


async def forward_connection(
    near: trio.SocketStream, target: str, out: Link, back: Link
) -> None:
    """Carries one accepted connection to its target until either side ends.

    Args:
        near: The accepted connection.
        target: Address that it leads to.
        out: Link towards the target.
        back: Link from the target.
    """
    async with near:
        if await _is_refused(near, out, back):
            return
        # The handshake of a real connection takes a round trip over the link.
        await trio.sleep((out.state.delay_ms + back.state.delay_ms) / 1000)
        try:
            ip, port = split_address(target)
            far = await trio.open_tcp_stream(ip, port)
        except OSError:
            await _reset(near)
            return
        async with far, trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(_watch_reset, out, (near, far), scope)
            nursery.start_soon(_watch_reset, back, (near, far), scope)
            async with trio.open_nursery() as pumps:
                pumps.start_soon(_pump, near, far, out, scope)
                pumps.start_soon(_pump, far, near, back, scope)
            scope.cancel()


async def _is_refused(near: trio.SocketStream, out: Link, back: Link) -> bool:
    """Treats a new connection as the links' modes say."""
    for link in (out, back):
        await link.wait_while_stalled()
        if link.state.mode is LinkMode.RESET:
            await _reset(near)
            return True
        if link.state.mode is LinkMode.HALF_OPEN:
            await _swallow(near)
            return True
    return False


async def _pump(
    source: trio.SocketStream,
    sink: trio.SocketStream,
    link: Link,
    scope: trio.CancelScope,
) -> None:
    """Carries one direction; a broken side ends the whole connection."""
    sender, receiver = trio.open_memory_channel[Chunk](_CHUNKS_IN_FLIGHT)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_read_chunks, source, link, sender)
            nursery.start_soon(_write_chunks, receiver, sink, link)
    except* (trio.BrokenResourceError, trio.ClosedResourceError):
        await _reset(sink)
        scope.cancel()


async def _read_chunks(
    source: trio.SocketStream, link: Link, sender: trio.MemorySendChannel[Chunk]
) -> None:
    async with sender:
        while True:
            content = await source.receive_some(_RECEIVE_BYTES)
            due_at = link.delivery_time(trio.current_time(), len(content))
            await sender.send(Chunk(bytes(content), due_at))
            if not content:
                return


async def _write_chunks(
    receiver: trio.MemoryReceiveChannel[Chunk], sink: trio.SocketStream, link: Link
) -> None:
    async for chunk in receiver:
        await trio.sleep_until(chunk.due_at)
        await link.wait_while_stalled()
        if link.state.mode is LinkMode.HALF_OPEN:
            await trio.sleep_forever()
        if not chunk.content:
            await sink.send_eof()
            return
        await sink.send_all(chunk.content)


async def _watch_reset(
    link: Link, streams: tuple[trio.SocketStream, ...], scope: trio.CancelScope
) -> None:
    while link.state.mode is not LinkMode.RESET:
        await link.changed.wait()
    for stream in streams:
        await _reset(stream)
    scope.cancel()


async def _swallow(stream: trio.SocketStream) -> None:
    """Reads until the sender gives up, and never says a word."""
    try:
        while await stream.receive_some(_RECEIVE_BYTES):
            pass
    except trio.BrokenResourceError:
        return


async def _reset(stream: trio.SocketStream) -> None:
    """Closes a connection so that its peer sees a reset."""
    if stream.socket.fileno() >= 0:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    await trio.aclose_forcefully(stream)
