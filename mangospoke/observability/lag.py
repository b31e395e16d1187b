"""How late the event loop runs what is due."""

import trio

from mangospoke.observability.latencies import Histogram

_INTERVAL_S = 0.5


class LoopLag:
    """Measures the event loop's lag at intervals.

    Attributes:
        histogram: Lags seen.
    """

    def __init__(self) -> None:
        self.histogram = Histogram()

    async def run(self) -> None:
        """Measures until it is cancelled."""
        while True:
            due_at = trio.current_time() + _INTERVAL_S
            await trio.sleep_until(due_at)
            self.histogram.observe(trio.current_time() - due_at)
