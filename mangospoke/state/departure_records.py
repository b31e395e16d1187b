"""Departures of a host's upstream, and whether the log service has them.

Failure: a daemon acknowledges a departure that only its own process knows, and ends.
The upstream, which has its acknowledgment, says it no more, and is used again.
"""

import trio
from loguru import logger

from mangospoke.logservice.records import Departure
from mangospoke.state.departures import Departures, covers
from mangospoke.state.host_record_writer import HostRecordWriter

_MAX_ACKNOWLEDGMENT_DELAY_S = 0.85
"""Longest wait for a departure's record before its upstream is told that there is none
yet. An upstream takes a response that comes after a second for none."""

_MAX_REPETITION_MS = 10_000
"""Time after a deregistration in which another one is taken for the same. An upstream
without an acknowledgment repeats it with its next heartbeat."""


class DepartureRecords:
    """Follows departures into the host's record."""

    def __init__(self, departures: Departures, writer: HostRecordWriter) -> None:
        """Initializes the state.

        Args:
            departures: The departures that this process knows.
            writer: Writes the host's record, which contains them.
        """
        self._departures = departures
        self._writer = writer
        self._stored: tuple[Departure, ...] = ()
        self._unacknowledged: Departure | None = None

    def restore(self, stored: tuple[Departure, ...]) -> None:
        """Takes over what an earlier process on this host recorded."""
        self._stored = stored
        self._departures.restore(stored)

    def make_deregistered(self, departure: Departure) -> Departure:
        """Returns the departure to be recorded before a message is acknowledged.

        Args:
            departure: The departure that a deregistration stands for.

        Returns:
            The departure that this message repeats, if it does: else a repeated message
            would never be acknowledged while the log service is slow.
        """
        repeated = self._unacknowledged
        if repeated is not None and _repeats(departure, repeated):
            return repeated
        self._unacknowledged = departure
        return departure

    async def wait_recorded(self, departure: Departure) -> bool:
        """See `HeartbeatReceiver.wait_recorded`."""
        if not self._departures.has_left(departure.instance, departure.last_start_ms):
            return False
        with trio.move_on_after(_MAX_ACKNOWLEDGMENT_DELAY_S):
            await self._writer.wait_until_written(
                lambda record: covers(record.departures, departure)
            )
            if departure == self._unacknowledged:
                # One that is acknowledged is not repeated: the next is a later run's.
                self._unacknowledged = None
            return True
        logger.bind(
            event="departure_unrecorded",
            instance=departure.instance,
            last_start_ms=departure.last_start_ms,
        ).warning("the departure isn't recorded yet, so it isn't acknowledged")
        return False

    async def wait_all_recorded(self) -> None:
        """Waits until all departures are recorded; not at all if they are."""
        if self._departures.are_recorded(self._stored):
            return
        await self._writer.wait_until_written(
            lambda record: self._departures.are_recorded(record.departures)
        )


def _repeats(departure: Departure, earlier: Departure) -> bool:
    elapsed_ms = departure.unheard_until_ms - earlier.unheard_until_ms
    return departure.instance == earlier.instance and elapsed_ms <= _MAX_REPETITION_MS
