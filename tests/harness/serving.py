"""HTTP servers inside a test's own process."""

import trio

from mangospoke.conf.settings import Limits
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.server import ConnectionContext, make_connection_handler
from mangospoke.idle import WorkCounter
from mangospoke.streams import Stream


async def serve_http(handle, task_status=trio.TASK_STATUS_IGNORED):
    """Serves a handler at a free port, whose address is told to the starter."""
    context = ConnectionContext(Limits(), WorkCounter(), HangUpMonitor())
    serve = make_connection_handler(handle, context)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    ip, port = listeners[0].socket.getsockname()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(context.hang_ups.run)
        task_status.started(f"{ip}:{port}")
        await trio.serve_listeners(
            lambda stream: serve(Stream(stream.socket)), listeners
        )
