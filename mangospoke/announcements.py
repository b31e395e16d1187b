"""Messages that an upstream sends to the daemon on its host."""

from msgspec import Struct

from mangospoke.addresses import DialableAddress
from mangospoke.ids import InstanceId, ServiceName


class Announcement(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Registration of an upstream: the JSON body of a `POST` to the announce path.

    Attributes:
        service: Service that the upstream implements.
        address: IP address and port on this host at which it accepts requests.
        slots: Number of requests that it processes concurrently.
        connections: Maximum number of connections that it accepts.
        health_path: Path that returns status 200 while it is healthy; a hint only.
        load_path: Path that returns a `LoadReport`; a hint only.
        instance: Name of this run of the upstream process, if it has one; requests
            then carry the instance that they are intended for.
        cold_left_ms: Milliseconds of warm-up that remain; None for the warm-up time
            that the service declares.
        started_at_ms: Unix milliseconds at which this run started; 0 if not known.
    """

    service: ServiceName
    address: DialableAddress
    slots: int
    connections: int
    health_path: str = "/health"
    load_path: str = "/load"
    instance: InstanceId | None = None
    cold_left_ms: int | None = None
    started_at_ms: int = 0


class LoadReport(Struct, frozen=True):
    """Load that an upstream reports of itself; may be outdated or wrong."""

    in_flight: int
    slots: int
