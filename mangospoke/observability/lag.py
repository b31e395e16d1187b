"""Measures the lag of the event loop."""

import trio

from mangospoke.observability.latencies import Histogram

_SAMPLE_INTERVAL_S = 0.5


class LoopLagMonitor:
    """Periodically measures how late the event loop wakes a sleeping task.

    Attributes:
        histogram: Measured lags.
    """

    def __init__(self) -> None:
        self.histogram = Histogram()

    async def run(self) -> None:
        """Takes measurements until cancelled."""
        while True:
            due_at = trio.current_time() + _SAMPLE_INTERVAL_S
            await trio.sleep_until(due_at)
            self.histogram.observe(trio.current_time() - due_at)
