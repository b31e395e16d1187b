"""Exponential backoff between retries."""

import random

import trio

INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 5.0


class Backoff:
    """Exponential backoff with full jitter, which spreads concurrent retries."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._max_delay_s = INITIAL_DELAY_S

    def reset(self) -> None:
        """Resets the delay to its initial upper bound."""
        self._max_delay_s = INITIAL_DELAY_S

    async def sleep(self) -> None:
        """Sleeps for a random delay and doubles the upper bound."""
        await trio.sleep(self._random.uniform(0, self._max_delay_s))
        self._max_delay_s = min(MAX_DELAY_S, 2 * self._max_delay_s)
