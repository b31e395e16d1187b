"""What an upstream tells the daemon on its host."""

from msgspec import Struct

from mangospoke.ids import InstanceId, ServiceName


class Announcement(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a `POST` to the announce path, as JSON.

    Attributes:
        service: The service that the upstream runs.
        address: Where it takes requests; IP and port on this host.
        slots: Requests that it runs at once.
        connections: Connections that it accepts.
        health_path: Path that answers 200 while it is healthy; a hint only.
        load_path: Path that answers a `LoadReport`; a hint only.
        instance: Name of this start of the upstream, if it gives one; requests then
            say which instance they are meant for.
        cold_left_ms: Milliseconds for which it is slow yet; None for the service's
            declared time.
    """

    service: ServiceName
    address: str
    slots: int
    connections: int
    health_path: str = "/health"
    load_path: str = "/load"
    instance: InstanceId | None = None
    cold_left_ms: int | None = None


class LoadReport(Struct, frozen=True):
    """What an upstream says of its own load; it may lag or mislead."""

    in_flight: int
    slots: int
