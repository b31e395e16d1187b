"""The order of the responses on a connection whose requests overlap."""

from collections.abc import Iterator

import trio

from mangospoke.cancellation import Cancellation


class PendingResponse:
    """The position of one request's response in the order of its connection.

    Attributes:
        cancellation: Cause for which the request is cancelled.
        finished: Set once the response is written, so that the next one may be.
        finished_at: When that was, in seconds on trio's clock; None before.
        previous: The response before it, until that is known to be finished.
        is_streamed: Whether its body is not complete yet, so that it may break off.
    """

    __slots__ = ("cancellation", "finished", "finished_at", "is_streamed", "previous")

    def __init__(
        self, cancellation: Cancellation, previous: "PendingResponse | None"
    ) -> None:
        self.cancellation = cancellation
        self.finished = trio.Event()
        self.finished_at: float | None = None
        self.previous = previous
        self.is_streamed = False

    def finish(self) -> None:
        """Lets the next response be written."""
        self.finished_at = trio.current_time()
        self.finished.set()

    async def wait_for_previous(self) -> None:
        """Waits until this response may be written."""
        # Waiting for an event that is already set would still yield to the scheduler.
        if self.previous is not None and not self.previous.finished.is_set():
            await self.previous.finished.wait()
        self.previous = None

    def count_unfinished_before(self) -> int:
        """Returns the number of earlier responses that are not finished."""
        return sum(1 for _ in unfinished_responses(self.previous))


def unfinished_responses(response: PendingResponse | None) -> Iterator[PendingResponse]:
    """Yields the unfinished responses up to the given one, the latest first."""
    while response is not None and not response.finished.is_set():
        yield response
        response = response.previous
