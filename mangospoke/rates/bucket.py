"""A token bucket in integers, so that rounding never adds a token."""

from mangospoke.rates.units import MILLI

PICO_PER_MILLI = 1_000_000_000
"""Picotokens per millitoken. A rate of one millitoken per second is one picotoken per
nanosecond, so earned tokens are computed without division."""

PICO_PER_TOKEN = MILLI * PICO_PER_MILLI


class TokenBucket:
    """A token bucket that starts empty.

    Every `now` is in nanoseconds of the same clock. A clock that steps back earns
    nothing.

    Attributes:
        rate: Millitokens earned per second.
        burst: Capacity in millitokens.
    """

    __slots__ = ("_picotokens", "_updated_at", "burst", "rate")

    def __init__(self, now: int, rate: int = 0, burst: int = 0) -> None:
        self.rate = rate
        self.burst = burst
        self._picotokens = 0
        self._updated_at = now

    def _refill(self, now: int) -> None:
        if now > self._updated_at:
            picotokens = self._picotokens + (now - self._updated_at) * self.rate
            capacity = self.burst * PICO_PER_MILLI
            self._picotokens = picotokens if picotokens < capacity else capacity
            self._updated_at = now

    def resize(self, now: int, rate: int, burst: int) -> int:
        """Changes rate and burst from now on.

        Returns:
            Millitokens removed because they exceed the new burst.
        """
        self._refill(now)
        self.rate = rate
        self.burst = burst
        excess = self._picotokens - burst * PICO_PER_MILLI
        if excess <= 0:
            return 0
        self._picotokens -= excess
        return excess // PICO_PER_MILLI

    def take_token(self, now: int) -> bool:
        """Takes one token and returns True, or returns False if there is none."""
        self._refill(now)
        if self._picotokens < PICO_PER_TOKEN:
            return False
        self._picotokens -= PICO_PER_TOKEN
        return True

    def level(self, now: int) -> int:
        """Returns the millitokens in the bucket, rounded down."""
        self._refill(now)
        return self._picotokens // PICO_PER_MILLI

    def add(self, now: int, milli: int) -> None:
        """Adds millitokens taken out of another bucket, up to the burst."""
        self._refill(now)
        capacity = self.burst * PICO_PER_MILLI
        self._picotokens = min(capacity, self._picotokens + milli * PICO_PER_MILLI)

    def drain(self, now: int, milli: int) -> int:
        """Takes out up to `milli` millitokens and returns how many it took."""
        taken = max(0, min(milli, self.level(now)))
        self._picotokens -= taken * PICO_PER_MILLI
        return taken

    def wait_ns(self, now: int) -> int | None:
        """Returns the nanoseconds until a token is there, or None if it never is."""
        self._refill(now)
        missing = PICO_PER_TOKEN - self._picotokens
        if missing <= 0:
            return 0
        if self.rate == 0 or self.burst < MILLI:
            return None
        return -(-missing // self.rate)
