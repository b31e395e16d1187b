"""Which process runs of a host's upstream have left for good.

Failure: a heartbeat that was sent before its upstream left arrives after the departure
was acknowledged, at this process or at a later one. What has left stays so: the runs
are kept in the host's record, from which a daemon that starts takes them over.

A run is named by its instance and its start. An upstream may start again under the same
instance; that run's start is later, so it isn't affected. A message that names no start
may come from a run that wasn't heard of yet. Starts are read from the upstream's clock,
which may differ from this host's, so they don't tell that run from one that starts
after the message. For as long as heartbeats may be late, a run that is heard of only
after such a message may be either.
"""

from collections.abc import Iterable, Sequence

from mangospoke.ids import InstanceId
from mangospoke.logservice.records import Departure
from mangospoke.state.heartbeats import Heartbeat
from mangospoke.state.ongoing_runs import OngoingRuns

_MAX_DEPARTURES = 8
"""Departures that are kept. The heartbeats of earlier runs are older than the start of
the present one by far."""


_MAX_LATENESS_MS = 30_000
"""How late a heartbeat may arrive."""

_MIN_ONGOING_S = 2.5
"""Time for which the heartbeats of a run have to go on if it may have left already. The
last two of a run that left may be late by the same time, and come 1.5 s apart."""


class Departures:
    """The process runs that have left, latest last."""

    def __init__(self) -> None:
        self._departure_by_instance: dict[InstanceId, Departure] = {}
        self._doubtful_runs = OngoingRuns()

    def records(self) -> tuple[Departure, ...]:
        """Returns what is to be kept in the host's record."""
        return tuple(self._departure_by_instance.values())

    def has_left(self, instance: InstanceId, started_at_ms: int) -> bool:
        """Whether a process run has left for certain."""
        departure = self._departure_by_instance.get(instance)
        return departure is not None and started_at_ms <= departure.last_start_ms

    def is_alive(self, heartbeat: Heartbeat, now: float, now_ms: int) -> bool:
        """Whether a run that isn't known to have left didn't leave unheard either.

        Args:
            heartbeat: A heartbeat of the run.
            now: Seconds on the monotonic clock.
            now_ms: Unix milliseconds of this host's clock.
        """
        if not self.may_have_left(heartbeat.instance, now_ms):
            return True
        return self._doubtful_runs.span_s(heartbeat, now) >= _MIN_ONGOING_S

    def present_run(
        self, instance: InstanceId, heard_start_ms: int, now_ms: int
    ) -> Departure:
        """Returns the departure of the run of an instance that runs now.

        Messages that don't say when their run started may come from a later run than
        the latest that was heard, as heartbeats may be late or lost.

        Args:
            instance: The instance.
            heard_start_ms: Start of its latest run that was used, in Unix milliseconds;
                0 if none was.
            now_ms: Unix milliseconds of this host's clock.
        """
        doubtful_start_ms = self._doubtful_runs.forget(instance)
        return Departure(instance, max(heard_start_ms, doubtful_start_ms), now_ms)

    def may_have_left(self, instance: InstanceId, now_ms: int) -> bool:
        """Whether a run that is first heard of now may have left before.

        Args:
            instance: Its instance.
            now_ms: Unix milliseconds of this host's clock.
        """
        departure = self._departure_by_instance.get(instance)
        if departure is None or departure.unheard_until_ms == 0:
            return False
        return now_ms - departure.unheard_until_ms < _MAX_LATENESS_MS

    def are_recorded(self, recorded: Sequence[Departure]) -> bool:
        """Whether a host's record says of all these runs that they have left."""
        return all(covers(recorded, departure) for departure in self.records())

    def add(self, departure: Departure) -> bool:
        """Adds a departure; returns whether it is news."""
        known = self._departure_by_instance.pop(departure.instance, None)
        if known is not None:
            departure = Departure(
                departure.instance,
                max(departure.last_start_ms, known.last_start_ms),
                max(departure.unheard_until_ms, known.unheard_until_ms),
            )
        self._departure_by_instance[departure.instance] = departure
        while len(self._departure_by_instance) > _MAX_DEPARTURES:
            del self._departure_by_instance[next(iter(self._departure_by_instance))]
        return departure != known

    def restore(self, departures: Iterable[Departure]) -> None:
        """Takes over earlier departures; those that are known count as later."""
        known = self.records()
        self._departure_by_instance.clear()
        for departure in (*departures, *known):
            self.add(departure)


def covers(departures: Sequence[Departure], departure: Departure) -> bool:
    """Whether departures say that all runs of another one have left."""
    return any(
        each.instance == departure.instance
        and each.last_start_ms >= departure.last_start_ms
        and each.unheard_until_ms >= departure.unheard_until_ms
        for each in departures
    )
