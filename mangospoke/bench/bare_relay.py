"""The yardstick of added latency: a relay that only parses and passes on.

One caller's connection has one connection to the upstream. Nothing is looked at but
the framing, and bodies are held whole, as the daemon does with small ones.
"""

from functools import partial

import h11
import trio

from mangospoke.addresses import split_address, split_listen_address

_RECEIVE_BYTES = 65_536

_Head = h11.Request | h11.Response


async def serve_bare_relay(
    address: str,
    upstream: str,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Relays every connection to an upstream until it is cancelled.

    Args:
        address: IP and port to listen on; port 0 takes a free one.
        upstream: Address of the upstream.
        task_status: Told the address once it listens.
    """
    ip, port = split_listen_address(address)
    listeners = await trio.open_tcp_listeners(port, host=ip)
    bound_port = listeners[0].socket.getsockname()[1]
    task_status.started(f"{ip}:{bound_port}")
    await trio.serve_listeners(partial(_relay, upstream=upstream), listeners)


async def _relay(near: trio.SocketStream, upstream: str) -> None:
    ip, port = split_address(upstream)
    server = h11.Connection(h11.SERVER)
    client = h11.Connection(h11.CLIENT)
    async with near, await trio.open_tcp_stream(ip, port) as far:
        while True:
            request = await _receive(server, near)
            if request is None:
                return
            await _send(client, far, *request)
            answer = await _receive(client, far)
            if answer is None:
                return
            await _send(server, near, *answer)
            if server.our_state is not h11.DONE or client.our_state is not h11.DONE:
                return
            server.start_next_cycle()
            client.start_next_cycle()


async def _receive(
    connection: h11.Connection, stream: trio.SocketStream
) -> tuple[_Head, bytes] | None:
    head: _Head | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(_RECEIVE_BYTES))
        elif isinstance(event, h11.Request | h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return head, body
        else:
            return None


async def _send(
    connection: h11.Connection, stream: trio.SocketStream, head: _Head, body: bytes
) -> None:
    content = connection.send(head) or b""
    if body:
        content += connection.send(h11.Data(data=body)) or b""
    content += connection.send(h11.EndOfMessage()) or b""
    await stream.send_all(content)


async def _serve_until_cancelled(address: str, upstream: str) -> None:
    await serve_bare_relay(address, upstream)


def main(address: str, upstream: str) -> None:
    """Runs a bare relay.

    Args:
        address: IP and port to listen on.
        upstream: Address of the upstream.
    """
    trio.run(_serve_until_cancelled, address, upstream)


if __name__ == "__main__":
    import cyclopts

    cyclopts.run(main)
