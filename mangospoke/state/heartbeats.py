"""Heartbeats of a host's upstream, and which of them can be of that upstream.

Failure: another writer on the host sends a well-formed heartbeat. One that is taken for
a new start of the upstream takes the sound one out of use.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from loguru import logger

from mangospoke.announcements import Announcement
from mangospoke.ids import FailureDomainId, InstanceId, ServiceName
from mangospoke.logservice.records import Departure

_DEFAULT_MAX_CONNECTIONS = 1_000_000
"""Connection limit of an upstream, as heartbeats don't report one."""


class HeartbeatState(Enum):
    """The state that an upstream reports of itself."""

    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat of an upstream.

    Attributes:
        instance: Id of this process run of the upstream.
        service: The service that the upstream runs.
        address: IP and port at which it takes requests.
        slots: Requests that it runs at once.
        state: Its state.
        started_at_ms: Wall-clock milliseconds at its start; 0 if not reported.
        sequence: Number of the heartbeat within the process run.
        cold_left_ms: Remaining warm-up time in milliseconds; None if not reported.
        failure_domain: Failure domain that it names; empty if not reported.
    """

    instance: InstanceId
    service: ServiceName
    address: str
    slots: int
    state: HeartbeatState
    started_at_ms: int
    sequence: int
    cold_left_ms: int | None
    failure_domain: FailureDomainId = FailureDomainId("")

    def departure(self) -> Departure:
        """Returns the departure of this process run."""
        return Departure(self.instance, self.started_at_ms)

    def is_same_run(self, other: "Heartbeat") -> bool:
        """Whether both are of one process run."""
        return (self.instance, self.started_at_ms) == (
            other.instance,
            other.started_at_ms,
        )


class HeartbeatReceiver(Protocol):
    """What handles the messages of this host's upstream."""

    def handle_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Processes a heartbeat; returns False if it is ignored."""

    def handle_deregistration(self, instance: InstanceId) -> Departure:
        """Processes that a process run of the upstream has left."""

    async def wait_recorded(self, departure: Departure) -> bool:
        """Waits until a departure is recorded where it outlives this process.

        Returns:
            Whether it is; False once the upstream would take no acknowledgment.
        """


def is_outdated(heartbeat: Heartbeat, latest: Heartbeat | None) -> bool:
    """Whether a later heartbeat of the same run, or one of a later run, came before."""
    if latest is None:
        return False
    if latest.is_same_run(heartbeat):
        # A departure isn't undone, so none is out of date.
        is_serving = heartbeat.state is HeartbeatState.SERVING
        return is_serving and heartbeat.sequence < latest.sequence
    return heartbeat.started_at_ms < latest.started_at_ms


def make_announcement(heartbeat: Heartbeat) -> Announcement:
    """Returns the announcement of an upstream that serves, as if it were warm."""
    return Announcement(
        service=heartbeat.service,
        address=heartbeat.address,
        slots=heartbeat.slots,
        connections=_DEFAULT_MAX_CONNECTIONS,
        instance=heartbeat.instance,
        cold_left_ms=0,
        started_at_ms=heartbeat.started_at_ms,
    )


class IgnoredHeartbeatLog:
    """Writes why heartbeats are ignored, once for each run and reason in a row."""

    def __init__(self) -> None:
        """Initializes the log, in which nothing was written yet."""
        self._latest: tuple[InstanceId, int, str] | None = None

    def write(self, heartbeat: Heartbeat, reason: str) -> None:
        """Writes a line unless it repeats the latest one."""
        line = (heartbeat.instance, heartbeat.started_at_ms, reason)
        if line == self._latest:
            return
        self._latest = line
        logger.bind(
            event="heartbeat_ignored",
            instance=heartbeat.instance,
            service=heartbeat.service,
            started_at_ms=heartbeat.started_at_ms,
            sequence=heartbeat.sequence,
        ).warning("ignoring heartbeats of upstream {}: {}", heartbeat.instance, reason)


HeartbeatCheck = Callable[[Heartbeat], str | None]
"""Returns why a heartbeat can't be of this host's upstream; None if it can."""


def make_heartbeat_check(
    address: str,
    failure_domain: FailureDomainId,
    is_known_service: Callable[[ServiceName], bool],
) -> HeartbeatCheck:
    """Returns a check of heartbeats against what is known of this host.

    Args:
        address: Address at which this host's upstream takes requests; empty if that
            isn't known.
        failure_domain: This host's failure domain.
        is_known_service: Whether a service is configured.
    """

    def find_mismatch(heartbeat: Heartbeat) -> str | None:
        if address and heartbeat.address != address:
            return f"its address {heartbeat.address!r} isn't that of this host"
        if heartbeat.failure_domain not in ("", failure_domain):
            return f"it names the failure domain {heartbeat.failure_domain!r}"
        if not is_known_service(heartbeat.service):
            return f"the service {heartbeat.service!r} isn't configured"
        return None

    return find_mismatch
