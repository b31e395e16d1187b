"""TCP connections that avoid unnecessary switches of the scheduler.

Trio's socket stream yields to the scheduler after each successful write, attempts a
read before it waits, and sets options on each new connection. A request takes six
reads and writes, and a switch costs about as much as parsing a message, so these
steps are omitted here.
"""

import errno
import os
import select
import socket
import struct

import trio

RECEIVE_BYTES = 65_536

_KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 30),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 10),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)
"""An idle connection is probed after 30 s and closed after 30 s without a reply."""


_ZERO_LINGER = struct.pack("ii", 1, 0)
"""With this value of SO_LINGER, closing a socket resets its connection."""


class Stream:
    """A TCP connection.

    Bytes are sent in the order in which they were passed in, also if a sender is
    cancelled before the kernel has taken all of its bytes: the next one sends the rest
    first.
    """

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self._socket = sock
        self._descriptor = sock.fileno()
        self._unsent = memoryview(b"")
        self._flush_lock = trio.Lock()
        self._was_reset = False

    def fileno(self) -> int:
        """Returns the socket's file descriptor, or -1 after closing."""
        return self._descriptor

    async def send_all(self, content: bytes) -> None:
        """Sends bytes, waiting only if the kernel's send buffer is full.

        Raises:
            trio.BrokenResourceError: If the connection is broken.
            trio.ClosedResourceError: If it was closed locally.
        """
        if not self.try_send(content):
            await self.finish_send()

    def try_send(self, content: bytes) -> bool:
        """Sends as much as possible without blocking; returns whether all was sent.

        Otherwise `finish_send` sends the rest.

        Raises:
            trio.BrokenResourceError: If the connection is broken.
            trio.ClosedResourceError: If it was closed locally.
        """
        if self._unsent:
            self._unsent = memoryview(bytes(self._unsent) + content)
            return False
        self._unsent = memoryview(content)
        return self._write_unsent()

    def _write_unsent(self) -> bool:
        """Writes unsent bytes without blocking; returns whether none remain."""
        if self._descriptor < 0:
            raise trio.ClosedResourceError
        try:
            sent = os.write(self._descriptor, self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            # The kernel reports a reset once; reads see a plain end after that. One
            # that follows the peer's own end is reported as EPIPE.
            self._was_reset = self._was_reset or error.errno == errno.ECONNRESET
            raise trio.BrokenResourceError(str(error)) from error
        self._unsent = self._unsent[sent:]
        return not self._unsent

    async def finish_send(self) -> None:
        """Sends the bytes that `try_send` could not send.

        Raises:
            trio.BrokenResourceError: If the connection is broken.
            trio.ClosedResourceError: If it was closed locally.
        """
        async with self._flush_lock:
            while self._unsent:
                if self._descriptor < 0:
                    raise trio.ClosedResourceError
                await trio.lowlevel.wait_writable(self._descriptor)
                self._write_unsent()

    async def receive_some(self) -> bytes:
        """Waits for bytes and returns them; empty once the peer has sent EOF.

        Raises:
            trio.BrokenResourceError: If the connection is broken, also if a write was
                told of it first.
            trio.ClosedResourceError: If it was closed locally.
        """
        while True:
            if self._descriptor < 0:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_readable(self._descriptor)
            try:
                content = os.read(self._descriptor, RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error
            if not content and self._was_reset:
                raise trio.BrokenResourceError("the peer reset the connection")
            return content

    async def wait_for_input(self) -> None:
        """Waits until bytes or EOF can be read, or the stream is closed."""
        if self._descriptor < 0:
            return
        try:
            await trio.lowlevel.wait_readable(self._descriptor)
        except trio.ClosedResourceError:
            # The next read reports it.
            return

    def send_eof(self) -> None:
        """Closes the sending direction; the peer may continue to send.

        Raises:
            trio.BrokenResourceError: If the connection is broken.
        """
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    def enable_keep_alive(self) -> None:
        """Enables TCP keep-alive, to detect a peer host that vanished silently."""
        for level, option, value in _KEEP_ALIVE_OPTIONS:
            self._socket.setsockopt(level, option, value)

    def reset_on_close(self) -> None:
        """Lets `close` reset the connection, so that the peer doesn't see a plain end.

        Bytes that haven't reached the peer yet are lost.
        """
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)

    def has_input(self) -> bool:
        """Returns whether bytes or EOF can be read, or the stream is closed."""
        if self._descriptor < 0:
            return True
        poll = select.poll()
        poll.register(self._descriptor, select.POLLIN)
        return bool(poll.poll(0))

    def close(self) -> None:
        """Closes the connection immediately; idempotent."""
        self._descriptor = -1
        self._socket.close()


async def open_stream(ip: str, port: int) -> Stream:
    """Connects to an address.

    Raises:
        OSError: If the connection cannot be established.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await sock.connect((ip, port))
    except BaseException:
        sock.close()
        raise
    return Stream(sock)
