"""For how long the heartbeats of an upstream's process runs have gone on.

An upstream that has left sends nothing more, but what it sent may arrive late, and all
at once. So heartbeats that are heard one after the other, each with a later number,
show that their run is alive, whatever the clocks of both sides say.
"""

from mangospoke.ids import InstanceId
from mangospoke.state.heartbeats import Heartbeat

_MAX_RUNS = 16


class OngoingRuns:
    """When the first heartbeat of each run was heard, and the highest number."""

    def __init__(self) -> None:
        """Initializes the state without runs."""
        self._first_heard_at: dict[tuple[InstanceId, int], float] = {}
        self._highest_sequence: dict[tuple[InstanceId, int], int] = {}

    def span_s(self, heartbeat: Heartbeat, now: float) -> float:
        """Records a heartbeat; returns for how long those of its run have gone on.

        Args:
            heartbeat: The heartbeat.
            now: Seconds on the monotonic clock.

        Returns:
            Seconds since the first one; 0 if this one isn't later than all others.
        """
        run = (heartbeat.instance, heartbeat.started_at_ms)
        if run not in self._first_heard_at and len(self._first_heard_at) >= _MAX_RUNS:
            self._forget_run(next(iter(self._first_heard_at)))
        first_heard_at = self._first_heard_at.setdefault(run, now)
        if heartbeat.sequence <= self._highest_sequence.get(run, -1):
            return 0.0
        self._highest_sequence[run] = heartbeat.sequence
        return now - first_heard_at

    def _forget_run(self, run: tuple[InstanceId, int]) -> None:
        del self._first_heard_at[run]
        self._highest_sequence.pop(run, None)

    def forget(self, instance: InstanceId) -> int:
        """Forgets an instance's runs; returns the latest start, or 0 if there is none.

        Returns:
            Unix milliseconds of the upstream's clock.
        """
        runs = [run for run in self._first_heard_at if run[0] == instance]
        for run in runs:
            self._forget_run(run)
        return max((started_at_ms for _, started_at_ms in runs), default=0)

    def clear(self) -> None:
        """Forgets all runs."""
        self._first_heard_at.clear()
        self._highest_sequence.clear()
