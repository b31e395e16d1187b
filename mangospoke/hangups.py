"""Detection of callers that disconnect while their request is in progress.

One task polls the connections of all requests in progress. This costs two dictionary
operations per request; a watcher task per request would cost several switches of
the scheduler.
"""

import select
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from mangospoke.streams import Stream

_POLL_INTERVAL_S = 0.05

_POLL_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class HangUpMonitor:
    """Cancels requests whose caller has closed the connection."""

    def __init__(self) -> None:
        self._scopes_by_stream: dict[Stream, trio.CancelScope] = {}
        self._wake = trio.Event()

    @contextmanager
    def watch(self, stream: Stream) -> Iterator[trio.CancelScope]:
        """Yields a scope that is cancelled when the peer closes the connection.

        Args:
            stream: Connection to the caller.
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
        """Polls until cancelled; waits without polling while no request runs."""
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
                poll.register(descriptor, _POLL_EVENTS)
        for descriptor, _ in poll.poll(0):
            scopes_by_descriptor[descriptor].cancel()
