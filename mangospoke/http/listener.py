"""Listening sockets, and a task for each connection that they accept."""

import errno
import os
import socket
from collections.abc import Awaitable, Callable, Iterator

import trio
from loguru import logger

from mangospoke.addresses import split_listen_address
from mangospoke.streams import Stream

ConnectionHandler = Callable[[Stream], Awaitable[None]]

_BACKLOG = 1_024

_LISTENER_ERRNOS = frozenset(
    {errno.EBADF, errno.EINVAL, errno.ENOTSOCK, errno.EOPNOTSUPP, errno.EFAULT}
)
"""Errors of `accept` that mean that the listening socket itself is unusable.

All others end: a lack of descriptors or memory when other connections are closed, and
an error of one queued connection, which `accept` also reports, with that connection.
"""

_ACCEPT_RETRY_DELAY_S = 0.1


async def open_listener(address: str) -> trio.SocketListener:
    """Binds a listening TCP socket to `IP:port`.

    Raises:
        OSError: If the address can't be bound.
    """
    listen_socket = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listen_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit this option.
    listen_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await listen_socket.bind(split_listen_address(address))
    listen_socket.listen(_BACKLOG)
    return trio.SocketListener(listen_socket)


class Acceptor:
    """Accepts connections at one address and runs a task for each.

    An exception in one connection's task doesn't affect the others. While the maximum
    number of connections is open, new ones are closed immediately.
    """

    def __init__(
        self,
        listener: trio.SocketListener,
        handler: ConnectionHandler,
        max_connections: int,
    ) -> None:
        self._listener = listener
        self._handler = handler
        self._max_connections = max_connections
        self._open_connections = 0
        self._accept_scope = trio.CancelScope()

    async def serve(self) -> None:
        """Serves until cancelled, or until accepting stops and all connections end."""
        async with trio.open_nursery() as nursery:
            with _duplicate(self._listener) as listen_socket:
                with self._accept_scope:
                    await self._accept_until_cancelled(listen_socket, nursery)
                self._listener.socket.close()
                # Closing the last listening descriptor resets the connections that
                # the kernel has queued, so they are accepted first.
                for stream in _accept_queued(listen_socket):
                    nursery.start_soon(self._serve_connection, stream)

    async def _accept_until_cancelled(
        self, listen_socket: socket.socket, nursery: trio.Nursery
    ) -> None:
        while True:
            await trio.lowlevel.wait_readable(listen_socket)
            try:
                stream = _accept_one(listen_socket)
            except OSError as error:
                if error.errno in _LISTENER_ERRNOS:
                    raise
                logger.bind(event="accept_failed").warning(
                    "accepting a connection failed: {}; retrying", error
                )
                await trio.sleep(_ACCEPT_RETRY_DELAY_S)
                continue
            if stream is not None:
                nursery.start_soon(self._serve_connection, stream)

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections are still served."""
        self._accept_scope.cancel()

    async def _serve_connection(self, stream: Stream) -> None:
        if self._open_connections >= self._max_connections:
            logger.bind(event="connection_refused").warning(
                "connection closed: {} connections are already open",
                self._open_connections,
            )
            stream.close()
            return
        self._open_connections += 1
        try:
            await self._handler(stream)
        except Exception:
            logger.exception("unhandled exception in a connection's task")
        finally:
            stream.close()
            self._open_connections -= 1


def _duplicate(listener: trio.SocketListener) -> socket.socket:
    """Returns a non-blocking duplicate of a listening socket."""
    duplicate = socket.socket(fileno=os.dup(listener.socket.fileno()))
    duplicate.setblocking(False)
    return duplicate


def _accept_queued(listen_socket: socket.socket) -> Iterator[Stream]:
    """Yields the connections that the kernel has queued, up to the first error."""
    try:
        while (stream := _accept_one(listen_socket)) is not None:
            yield stream
    except OSError as error:
        logger.bind(event="accept_failed").warning(
            "accepting a connection failed: {}; the listener is being closed", error
        )


def _accept_one(listen_socket: socket.socket) -> Stream | None:
    """Accepts a connection; None if none is queued."""
    try:
        accepted, _ = listen_socket.accept()
    except (BlockingIOError, ConnectionAbortedError):
        return None
    return Stream(trio.socket.from_stdlib_socket(accepted))
