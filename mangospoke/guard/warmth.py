"""Whether the process run of an upstream is cold, and until when.

Load pattern: an upstream that has just started, or has lost what it keeps in memory, is
slow for some seconds and ends if it gets much more than a few requests a second. It
tells the time that is left, but late: with its next heartbeat. After an unexpected end
nothing is known of it, so that it counts as cold until it is known to be warm.

Every `now` is a time in seconds of the same clock.
"""

import enum
import math

_MAX_TOLD_RATIO = 4.0
"""Cold time that is believed at once, in cold starts that the service declares."""

_MAX_TOLD_S = 60.0
"""The same in seconds, where the service declares none."""

_END_MARGIN_S = 0.1
"""Time for which an upstream is still taken for cold after the end that it told.

Its clock and this one needn't run alike, and a timer of its own ends its cold start.
"""


class WarmthSource(enum.Enum):
    """What shows that an upstream is cold or warm."""

    HEARTBEAT = "heartbeat"
    RESPONSE = "response"
    UNREACHABLE = "unreachable"
    TIME = "time"
    SILENCE = "silence"


class Warmth:
    """What is known of an upstream's cold start.

    Attributes:
        cold_start_s: Cold time that the service declares, in seconds; 0 for none.
        cold_until: End of the cold time: minus infinity for an upstream that is warm,
            infinity for one that hasn't answered since an unexpected end.
        is_presumed: Whether it is only taken for cold, as it may have ended.
        source: What showed so last.
        told_at: When the upstream last told whether it is cold.
    """

    def __init__(self) -> None:
        self.cold_start_s = 0.0
        self.cold_until = -math.inf
        self.is_presumed = False
        self.source = WarmthSource.TIME
        self.told_at = -math.inf

    def is_cold(self, now: float) -> bool:
        """Whether the upstream counts as cold."""
        return now < self.cold_until

    def left_s(self, now: float) -> float:
        """Returns the seconds for which it counts as cold; 0 for a warm one."""
        return max(0.0, self.cold_until - now)

    def start_run(self, left_s: float | None, now: float) -> None:
        """Begins with a new process run of the upstream.

        Args:
            left_s: Cold time that it says is left; None if it says nothing, which is
                no proof that it is warm.
            now: The current time.
        """
        if left_s is None:
            self.presume_cold(WarmthSource.SILENCE, now)
            return
        self.cold_until = self._end_of(left_s, now)
        self.is_presumed = False
        self.source = WarmthSource.HEARTBEAT
        self.told_at = now

    def process_heartbeat(self, left_s: float | None, now: float) -> None:
        """Processes what a heartbeat of the same process run says.

        A heartbeat may arrive seconds late. So it can begin and prolong the cold time,
        which then ends late; it never shortens it.
        """
        if left_s is None:
            return
        self.told_at = now
        cold_until = self._end_of(left_s, now)
        if left_s <= 0 or (cold_until <= self.cold_until and not self.is_presumed):
            return
        self.cold_until = cold_until
        self.is_presumed = False
        self.source = WarmthSource.HEARTBEAT

    def process_response(self, left_s: float, requested_at: float, now: float) -> None:
        """Processes what a response of the upstream says.

        It counts, both ways, if it was asked for after the last statement. An earlier
        one can only prolong the cold time.

        Args:
            left_s: Cold time that is left; 0 says that it is warm.
            requested_at: When its request was sent.
            now: When it arrived.
        """
        cold_until = self._end_of(left_s, now)
        if requested_at < self.told_at and cold_until <= self.cold_until:
            return
        self.told_at = now
        self.cold_until = cold_until
        self.is_presumed = False
        self.source = WarmthSource.RESPONSE

    def process_answer(self, requested_at: float, now: float) -> None:
        """Processes a response that doesn't say whether the upstream is cold.

        One that may have ended shows by it that it runs: if it ended, it started no
        later than now.
        """
        if self.cold_until == math.inf and requested_at >= self.told_at:
            self.cold_until = now + self.cold_start_s + _END_MARGIN_S

    def presume_cold(self, source: WarmthSource, now: float) -> None:
        """Takes the upstream for cold, as long as nothing shows that it is warm."""
        self.cold_until = math.inf
        self.is_presumed = True
        self.source = source
        self.told_at = now

    def expire(self) -> None:
        """Takes the upstream for warm, since its cold time is over."""
        self.cold_until = -math.inf
        self.is_presumed = False
        self.source = WarmthSource.TIME

    def _end_of(self, left_s: float, now: float) -> float:
        if not left_s > 0:
            return -math.inf
        longest_s = self.cold_start_s * _MAX_TOLD_RATIO or _MAX_TOLD_S
        return now + min(left_s, longest_s) + _END_MARGIN_S
