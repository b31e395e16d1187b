"""Detection of callers that disconnect while their request is in progress.

One task polls the connections of all requests in progress. This costs two dictionary
operations per request; a watcher task per request would cost several switches of
the scheduler.
"""

import select
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from mangospoke.streams import Stream

_POLL_INTERVAL_S = 0.05

_POLL_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


_Watch = tuple[trio.CancelScope, Callable[[], None]]
"""A request's scope, and the function that records that its caller hung up."""


class HangUpMonitor:
    """Cancels requests whose caller has closed the connection."""

    def __init__(self) -> None:
        self._watches_by_stream: dict[Stream, _Watch] = {}
        self._wake = trio.Event()

    @contextmanager
    def watch(
        self, stream: Stream, record_hang_up: Callable[[], None]
    ) -> Iterator[trio.CancelScope]:
        """Yields a scope that is cancelled when the peer closes the connection.

        Args:
            stream: Connection to the caller.
            record_hang_up: Called before the scope is cancelled.
        """
        with trio.CancelScope() as scope:
            if not self._watches_by_stream:
                self._wake.set()
            self._watches_by_stream[stream] = (scope, record_hang_up)
            try:
                yield scope
            finally:
                del self._watches_by_stream[stream]

    async def run(self) -> None:
        """Polls until cancelled; waits without polling while no request runs."""
        while True:
            if not self._watches_by_stream:
                self._wake = trio.Event()
                await self._wake.wait()
            await trio.sleep(_POLL_INTERVAL_S)
            self._poll_once()

    def _poll_once(self) -> None:
        poll = select.poll()
        watches_by_descriptor = {}
        for stream, watch in self._watches_by_stream.items():
            descriptor = stream.fileno()
            if descriptor >= 0:
                watches_by_descriptor[descriptor] = watch
                poll.register(descriptor, _POLL_EVENTS)
        for descriptor, _ in poll.poll(0):
            scope, record_hang_up = watches_by_descriptor[descriptor]
            record_hang_up()
            scope.cancel()
