"""Timing of the takeover by a newly appointed grantor."""

from mangospoke.ids import HostId
from mangospoke.rates.records import DaemonIdentity, DomainGrantor
from mangospoke.rates.timing import CLOCK_MARGIN_NS, GRANT_LIFE_NS, SUPERSEDE_NS


class Takeover:
    """Computes when the predecessors have stopped and their grants have expired.

    A predecessor that answers has stopped. One that doesn't answer for `SUPERSEDE_NS`
    either got a message but its answer was lost, or was not running: then it detects
    the pause when it runs again, and grants nothing until it has read the log.

    Attributes:
        epoch: Epoch of the appointment.
        unconfirmed_predecessors: Predecessors that have not confirmed their stop.
    """

    def __init__(self, appointed: DomainGrantor, host_id: HostId, now: int) -> None:
        self.epoch = appointed.epoch
        self.unconfirmed_predecessors = {
            predecessor
            for predecessor in appointed.predecessors
            # An earlier incarnation on this host had the same address, so it has ended.
            if predecessor.host_id != host_id
        }
        self._supersede_deadline = now + SUPERSEDE_NS
        self._stopped_at = now
        self._has_predecessors = bool(appointed.predecessors)

    def mark_stopped(self, predecessor: DaemonIdentity, now: int) -> None:
        """Records that a predecessor has confirmed that it no longer grants."""
        self.unconfirmed_predecessors.discard(predecessor)
        self._stopped_at = max(self._stopped_at, now)

    def earliest_grant_at(self) -> int:
        """Returns the time from which no grant of a predecessor can be in use."""
        if not self._has_predecessors:
            return self._stopped_at
        stopped_at = self._stopped_at
        if self.unconfirmed_predecessors:
            stopped_at = max(stopped_at, self._supersede_deadline)
        return stopped_at + GRANT_LIFE_NS + CLOCK_MARGIN_NS

    def supersede_deadline(self) -> int:
        """Returns until when predecessors that don't answer are told to stop."""
        return self._supersede_deadline
