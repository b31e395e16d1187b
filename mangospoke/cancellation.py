"""Why a request in progress was cancelled, and how far a shutdown has come."""

import enum
from dataclasses import dataclass


class CancelCause(enum.Enum):
    """Cause for which a request ended without its complete response.

    `CALLER_HUNG_UP`: the caller closed its connection. `CALLER_NOT_READING`: the
    caller didn't read a response in time. `CONNECTION_CLOSED`: this daemon closed the
    connection after an earlier response. `BODY_INCOMPLETE`: the body of the response
    broke off while it was sent. `STOPPED`: the daemon ended.
    """

    CALLER_HUNG_UP = "caller-hung-up"
    CALLER_NOT_READING = "caller-not-reading"
    CONNECTION_CLOSED = "connection-closed"
    BODY_INCOMPLETE = "body-incomplete"
    STOPPED = "stopped"


CAUSED_BY_CALLER = frozenset(
    {CancelCause.CALLER_HUNG_UP, CancelCause.CALLER_NOT_READING}
)

CAUSED_BY_DAEMON = frozenset({CancelCause.CONNECTION_CLOSED, CancelCause.STOPPED})

_DETAILS_BY_CAUSE = {
    CancelCause.CALLER_HUNG_UP: "the caller hung up",
    CancelCause.CALLER_NOT_READING: "the caller didn't read a response in time",
    CancelCause.CONNECTION_CLOSED: "this daemon closed the connection",
    CancelCause.BODY_INCOMPLETE: "the body of the response broke off",
    CancelCause.STOPPED: "this daemon ended",
}


class Cancellation:
    """The cause for which a request is cancelled, set by whoever cancels it.

    Attributes:
        cause: The first cause that was set; `STOPPED` if nobody set one, since only
            the end of the daemon cancels requests without a cause of their own.
    """

    __slots__ = ("_is_set", "cause")

    def __init__(self) -> None:
        self.cause = CancelCause.STOPPED
        self._is_set = False

    @property
    def detail(self) -> str:
        """The cause in words."""
        return _DETAILS_BY_CAUSE[self.cause]

    def set_cause(self, cause: CancelCause) -> None:
        """Sets the cause unless an earlier one is set."""
        if not self._is_set:
            self.cause = cause
            self._is_set = True

    def record_hang_up(self) -> None:
        """Records that the caller closed its connection."""
        self.set_cause(CancelCause.CALLER_HUNG_UP)


@dataclass(frozen=True, slots=True)
class ShutdownStatus:
    """Status of a daemon's shutdown, for the log.

    Attributes:
        phase: Phase of the shutdown, such as `draining`; empty while serving.
        elapsed_s: Seconds since it began; None while serving.
    """

    phase: str = ""
    elapsed_s: float | None = None


NOT_SHUTTING_DOWN = ShutdownStatus()
