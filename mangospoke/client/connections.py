"""Keep-alive HTTP/1.1 connections from a client to servers, one exchange at a time."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from types import TracebackType

import h11
import trio

from mangospoke.addresses import split_address
from mangospoke.verdicts import Headers

_RECEIVE_BYTES = 65_536
_MAXIMUM_HEAD_BYTES = 65_536


class ExchangeError(Exception):
    """An exchange brought no whole answer.

    Attributes:
        sent: Whether a byte of the request may have reached the server.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of a header field, or None."""
        for field, value in self.headers:
            if field == name:
                return value
        return None


class _Connection:
    """An open connection that is used for one exchange after the other."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAXIMUM_HEAD_BYTES
        )

    async def exchange(
        self,
        method: bytes,
        target: bytes,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> HttpAnswer:
        request = h11.Request(method=method, target=target, headers=list(headers))
        parts = [self.http.send(request) or b""]
        if body:
            parts.append(self.http.send(h11.Data(data=body)) or b"")
        parts.append(self.http.send(h11.EndOfMessage()) or b"")
        await self.stream.send_all(b"".join(parts))
        return await self._receive()

    async def _receive(self) -> HttpAnswer:
        head: h11.Response | None = None
        chunks: list[bytes] = []
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.stream.receive_some(_RECEIVE_BYTES))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                body = b"".join(chunks)
                return HttpAnswer(head.status_code, list(head.headers), body)
            elif not isinstance(event, h11.InformationalResponse):
                raise h11.RemoteProtocolError("closed before the answer")

    def is_reusable(self) -> bool:
        states = (self.http.our_state, self.http.their_state)
        return states == (h11.DONE, h11.DONE)


class ConnectionPool:
    """Idle connections by address; a context manager that closes them.

    A connection whose exchange did not end well is closed, never used again, so that
    a late answer can't be taken for another request's.
    """

    def __init__(self) -> None:
        self._idle_by_address: dict[str, deque[_Connection]] = {}

    async def exchange(
        self,
        address: str,
        method: str,
        target: str,
        headers: Sequence[tuple[bytes, bytes]] = (),
        body: bytes = b"",
    ) -> HttpAnswer:
        """Sends a request and returns the whole answer.

        Args:
            address: IP and port of the server.
            method: The HTTP method.
            target: Path and query.
            headers: Further header fields; names in lower case.
            body: The whole body.

        Raises:
            ExchangeError: If no whole answer came.
        """
        all_headers = [(b"host", address.encode()), *headers]
        if body or method in ("POST", "PUT", "PATCH"):
            all_headers.append((b"content-length", str(len(body)).encode()))
        connection = await self._open(address)
        try:
            answer = await connection.exchange(
                method.encode(), target.encode(), all_headers, body
            )
        except (trio.BrokenResourceError, h11.ProtocolError) as error:
            await trio.aclose_forcefully(connection.stream)
            raise ExchangeError(f"{address}: {error!r}", sent=True) from error
        except BaseException:
            await trio.aclose_forcefully(connection.stream)
            raise
        await self._keep(address, connection)
        return answer

    async def _open(self, address: str) -> _Connection:
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            if not _is_closed_by_peer(connection.stream):
                return connection
            await trio.aclose_forcefully(connection.stream)
        try:
            ip, port = split_address(address)
            return _Connection(await trio.open_tcp_stream(ip, port))
        except OSError as error:
            raise ExchangeError(f"{address}: {error}", sent=False) from error

    async def _keep(self, address: str, connection: _Connection) -> None:
        if not connection.is_reusable():
            await trio.aclose_forcefully(connection.stream)
            return
        connection.http.start_next_cycle()
        self._idle_by_address.setdefault(address, deque()).append(connection)

    async def aclose(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                await trio.aclose_forcefully(connection.stream)
        self._idle_by_address.clear()

    async def __aenter__(self) -> "ConnectionPool":
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.aclose()


def _is_closed_by_peer(stream: trio.SocketStream) -> bool:
    """Whether an idle connection is readable: closed, or with an unasked answer."""
    return stream.socket.is_readable()
