"""Noticing that a caller hung up while its request is being served.

One task polls the connections of all requests in progress. That costs a request two
dictionary operations, where a watching task of its own costs several turns of the
scheduler.
"""

import select
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from mangospoke.streams import Stream

_POLL_INTERVAL_S = 0.05

_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class HangUpMonitor:
    """Cancels what is done for callers that hung up."""

    def __init__(self) -> None:
        self._scopes_by_stream: dict[Stream, trio.CancelScope] = {}
        self._wake = trio.Event()

    @contextmanager
    def watch(self, stream: Stream) -> Iterator[trio.CancelScope]:
        """Yields a scope that is cancelled when the connection's other side closes.

        Args:
            stream: The connection.
        """
        with trio.CancelScope() as scope:
            if not self._scopes_by_stream:
                self._wake.set()
            self._scopes_by_stream[stream] = scope
            try:
                yield scope
            finally:
                del self._scopes_by_stream[stream]

    async def run(self) -> None:
        """Polls until it is cancelled; sleeps while nothing is in progress."""
        while True:
            if not self._scopes_by_stream:
                self._wake = trio.Event()
                await self._wake.wait()
            await trio.sleep(_POLL_INTERVAL_S)
            self._poll_once()

    def _poll_once(self) -> None:
        poll = select.poll()
        scopes_by_descriptor = {}
        for stream, scope in self._scopes_by_stream.items():
            descriptor = stream.fileno()
            if descriptor >= 0:
                scopes_by_descriptor[descriptor] = scope
                poll.register(descriptor, _EVENTS)
        for descriptor, _ in poll.poll(0):
            scopes_by_descriptor[descriptor].cancel()
