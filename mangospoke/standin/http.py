"""A small HTTP/1.1 server that stand-ins are built on.

It serves one request at a time on each connection, notices a client that hangs up
while its request is worked on, and lets a handler break an answer on purpose.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import NoReturn
from urllib.parse import parse_qsl

import h11
import trio

from mangospoke.addresses import split_listen_address
from mangospoke.standin.endless import EndlessBytes
from mangospoke.verdicts import Headers

_RECEIVE_BYTES = 65_536
_MAXIMUM_HEAD_BYTES = 65_536
_BACKLOG = 1_024


class ConnectionDroppedError(Exception):
    """Raised by a handler to close the connection without an answer."""


@dataclass(frozen=True, slots=True)
class Request:
    """A request that was received whole."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> dict[str, str]:
        """The query's fields by name; the last one of a name counts."""
        return dict(parse_qsl(self.target.partition(b"?")[2].decode("latin-1")))

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of a header field, or None."""
        for field, value in self.headers:
            if field == name:
                return value
        return None


@dataclass(frozen=True, slots=True)
class Response:
    """An answer.

    Attributes:
        truncate_at: Bytes of the body after which the connection is closed, or
            None for a whole answer.
        endless: What is sent in place of an answer, until the client closes.
    """

    status: int = 200
    body: bytes = b""
    headers: Sequence[tuple[bytes, bytes]] = ()
    truncate_at: int | None = None
    endless: EndlessBytes | None = None


Handler = Callable[[Request], Awaitable[Response]]


class HttpServer:
    """The connections of one listening address.

    Attributes:
        max_connections: Further connections are closed at once; None for no limit.
    """

    def __init__(self, handler: Handler, max_connections: int | None = None) -> None:
        self.max_connections = max_connections
        self._handler = handler
        self._scopes_by_task: dict[trio.lowlevel.Task, trio.CancelScope] = {}

    @property
    def connection_count(self) -> int:
        """Connections that are open now."""
        return len(self._scopes_by_task)

    def drop_connections(self) -> None:
        """Closes every open connection but the one that asked for it."""
        asking = trio.lowlevel.current_task()
        for task, scope in self._scopes_by_task.items():
            if task is not asking:
                scope.cancel()

    async def serve(
        self,
        address: str,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until it is cancelled.

        Args:
            address: IP and port to listen on; port 0 takes a free one.
            task_status: Told the address once the socket listens.
        """
        ip, port = split_listen_address(address)
        listeners = await trio.open_tcp_listeners(port, host=ip, backlog=_BACKLOG)
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_listeners, self._serve_stream, listeners)
            await nursery.start(serve)
            bound_port = listeners[0].socket.getsockname()[1]
            task_status.started(f"{ip}:{bound_port}")

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        limit = self.max_connections
        if limit is not None and len(self._scopes_by_task) >= limit:
            await stream.aclose()
            return
        task = trio.lowlevel.current_task()
        with trio.CancelScope() as scope:
            self._scopes_by_task[task] = scope
            try:
                async with stream:
                    await self._serve_requests(stream)
            except (trio.BrokenResourceError, h11.ProtocolError):
                # The client is gone or speaks no HTTP; nothing is owed to it.
                return
            finally:
                del self._scopes_by_task[task]

    async def _serve_requests(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=_MAXIMUM_HEAD_BYTES
        )
        while True:
            request = await _receive_request(connection, stream)
            if request is None:
                return
            response = await self._answer(request, connection, stream)
            if response is None:
                return
            if response.endless is not None:
                await _send_endless_bytes(stream, response.endless)
            await _send_response(connection, stream, response)
            if connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _answer(
        self, request: Request, connection: h11.Connection, stream: trio.SocketStream
    ) -> Response | None:
        """Runs the handler; None if the client hung up or gets no answer."""
        response = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_hang_up, connection, stream, nursery.cancel_scope)
            try:
                response = await self._handler(request)
            except ConnectionDroppedError:
                response = None
            nursery.cancel_scope.cancel()
        return response


async def _receive_request(
    connection: h11.Connection, stream: trio.SocketStream
) -> Request | None:
    head: h11.Request | None = None
    chunks: list[bytes] = []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            if connection.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await stream.send_all(connection.send(go_on) or b"")
            connection.receive_data(await stream.receive_some(_RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return Request(
                head.method, head.target, list(head.headers), b"".join(chunks)
            )
        else:
            return None


async def _watch_hang_up(
    connection: h11.Connection, stream: trio.SocketStream, scope: trio.CancelScope
) -> None:
    """Cancels the work on a request once its client has closed the connection."""
    try:
        data = await stream.receive_some(_RECEIVE_BYTES)
    except trio.BrokenResourceError:
        data = b""
    if data:
        # The client pipelines: keep its next request for later.
        connection.receive_data(data)
    else:
        scope.cancel()


async def _send_endless_bytes(
    stream: trio.SocketStream, endless: EndlessBytes
) -> NoReturn:
    """Sends until the client closes, which raises `trio.BrokenResourceError`."""
    await stream.send_all(endless.start)
    while True:
        await stream.send_all(endless.repeated)
        await trio.sleep(endless.pause_s)


async def _send_response(
    connection: h11.Connection, stream: trio.SocketStream, response: Response
) -> None:
    length = str(len(response.body)).encode()
    headers = [*response.headers, (b"content-length", length)]
    head = h11.Response(status_code=response.status, headers=headers)
    parts = [connection.send(head) or b""]
    if response.truncate_at is not None:
        parts.append(response.body[: response.truncate_at])
        await stream.send_all(b"".join(parts))
        return
    if response.body:
        parts.append(connection.send(h11.Data(data=response.body)) or b"")
    parts.append(connection.send(h11.EndOfMessage()) or b"")
    await stream.send_all(b"".join(parts))
