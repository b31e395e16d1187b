"""Heartbeats that arrive before a host knows which runs of its upstream have left.

Failure: a daemon starts while the log service doesn't answer, so that it can't read
what the daemon before it recorded. A late heartbeat of an upstream that has left must
not bring that back; an upstream that is alive must not wait for the log service.

An upstream that has left sends nothing more. So one is alive that started after this
process, or whose heartbeats go on while this process runs.
"""

from mangospoke.ids import InstanceId
from mangospoke.state.heartbeats import Heartbeat
from mangospoke.state.ongoing_runs import OngoingRuns

_MIN_INTERVAL_S = 1.0
"""Time between two heartbeats that shows that the later one was sent later; those that
were held up together arrive together."""

_MAX_RUNS = 16


class UnconfirmedHeartbeats:
    """The latest heartbeat of each run, and when its first one arrived."""

    def __init__(self, started_at_ms: int) -> None:
        """Initializes the state without heartbeats.

        Args:
            started_at_ms: When this process started, in Unix milliseconds.
        """
        self._started_at_ms = started_at_ms
        self._latest_by_run: dict[tuple[InstanceId, int], Heartbeat] = {}
        self._runs = OngoingRuns()

    def add(self, heartbeat: Heartbeat, now: float) -> bool:
        """Keeps a heartbeat; returns whether its run is alive for certain.

        Args:
            heartbeat: A heartbeat that says that its upstream serves.
            now: Seconds on the monotonic clock.
        """
        run = (heartbeat.instance, heartbeat.started_at_ms)
        latest = self._latest_by_run.get(run)
        if latest is None and len(self._latest_by_run) >= _MAX_RUNS:
            oldest = next(iter(self._latest_by_run))
            del self._latest_by_run[oldest]
        if latest is None or heartbeat.sequence > latest.sequence:
            self._latest_by_run[run] = heartbeat
        span_s = self._runs.span_s(heartbeat, now)
        if heartbeat.started_at_ms >= self._started_at_ms:
            return True
        return span_s >= _MIN_INTERVAL_S

    def take_all(self) -> list[Heartbeat]:
        """Removes and returns the latest heartbeat of each run."""
        heartbeats = list(self._latest_by_run.values())
        self._latest_by_run.clear()
        self._runs.clear()
        return heartbeats
