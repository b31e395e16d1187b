"""An allowance of whole tokens in each sliding window of a given length."""

from collections import deque


class WindowAllowance:
    """Hands out at most a number of tokens in any window of time.

    Unlike a token bucket, which admits its burst in addition, it may use all that a
    window allows, which matters if that is only a few tokens.

    Every `now` is in nanoseconds of the same clock.

    Args:
        since: Time at which the allowance counts as used up: what was handed out
            before isn't known.
        count: Tokens per window.
        window_ns: Length of the window.
    """

    __slots__ = ("_taken_at", "_window_ns", "count")

    def __init__(self, since: int, count: int, window_ns: int) -> None:
        self.count = count
        self._window_ns = window_ns
        self._taken_at = deque([since] * count)

    def take(self, now: int, wanted: int) -> int:
        """Takes up to a number of tokens and returns how many it took."""
        while self._taken_at and self._taken_at[0] <= now - self._window_ns:
            self._taken_at.popleft()
        taken = max(0, min(wanted, self.count - len(self._taken_at)))
        self._taken_at.extend([now] * taken)
        return taken
