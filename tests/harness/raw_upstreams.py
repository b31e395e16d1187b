"""Upstreams that send bytes which no HTTP library would send."""

import trio


class RawUpstream:
    """Reads a request head on each connection, then runs the script of the test.

    Attributes:
        script: Sends what the test wants; the connection is closed after it.
        ended: Set once a connection's client is gone or its script is at its end.
        accepted_count: Number of connections accepted.
        sent_bytes: Number of bytes that `flood` has sent.
    """

    def __init__(self, script):
        self.script = script
        self.ended = trio.Event()
        self.accepted_count = 0
        self.sent_bytes = 0
        self.address = ""

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        task_status.started(self)
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream):
        self.accepted_count += 1
        received = b""
        try:
            async with stream:
                while b"\r\n\r\n" not in received:
                    chunk = await stream.receive_some()
                    if not chunk:
                        return
                    received += chunk
                await self.script(self, stream)
        except trio.BrokenResourceError:
            pass
        finally:
            self.ended.set()

    async def flood(self, stream, content):
        """Sends the same bytes at full speed until the client closes."""
        while True:
            await stream.send_all(content)
            self.sent_bytes += len(content)

    async def trickle(self, stream, content, interval_s=0.02):
        """Sends the same bytes slowly until the client closes."""
        while True:
            await stream.send_all(content)
            self.sent_bytes += len(content)
            await trio.sleep(interval_s)
