"""Parses the platform's settings file and translates it into the product's settings."""

import math
import os
from pathlib import Path

from loguru import logger
from msgspec import Struct, field

from mangospoke.conf.settings import (
    Fleet,
    Host,
    Listen,
    LogFormat,
    Logging,
    LogService,
    Settings,
)
from mangospoke.daemon.hosting import (
    ColdExcessLimits,
    Guarantees,
    HostedSettings,
    RateExcessLimits,
)
from mangospoke.decoding import decode_json
from mangospoke.guard.retry_arrivals import RetryLimit
from mangospoke.ids import FailureDomainId, HostId, ServiceName, SiteId
from mangospoke.numbers import MAX_WHOLE_NUMBER
from mangospoke.platform.bounds import Bounds

SETTINGS_PATH_VARIABLE = "MANGOSPOKE_CONFIG"
"""Environment variable that holds the path of the settings file."""

FLEET_SECRET_VARIABLE = "MANGOSPOKE_FLEET_SECRET"
"""Environment variable that holds the fleet secret; the deploy file sets it."""

_PEER_PORT_OFFSET = 0
_OPERATIONS_PORT_OFFSET = 1
"""Offsets into the port range that the platform reserves for the fleet."""

_LOG_TIMEOUT_MS = 1_000


class _ListenAddresses(Struct, frozen=True):
    """Addresses at which a host's daemon listens.

    Attributes:
        inbound: Reserved for the fleet's own use; unused.
        outbound: For requests of callers on the host and of its upstream.
        control: For the upstream's heartbeats.
        ready: For the platform's readiness probe.
    """

    inbound: str
    outbound: str
    control: str
    ready: str


class _LogServiceAddress(Struct, frozen=True):
    """Address of the log service, which the platform calls its store."""

    address: str


class _SettingsFile(Struct, frozen=True, rename="camel"):
    """The settings file, without the fields that the product doesn't use.

    Attributes:
        node_name: Id of the host.
        zone: Failure domain of the host.
        region: Site of the host.
        port_range: Bounds of the port range reserved for the fleet.
        app_addr: Address at which the host's upstream takes requests.
        service: Service that the upstream runs.
        platform: Address of the log service.
        zones: Region of each failure domain.
        heartbeat: Heartbeat interval, as a duration; unused.
        bounds: Bounds that the platform's operators rely on, each `name=value`.
        limits: What the host grants a process; `memoryMb` and `maxFds` are used.
    """

    node_name: str
    ip: str
    zone: str
    region: str
    listen: _ListenAddresses
    port_range: tuple[int, int]
    app_addr: str
    service: str
    platform: _LogServiceAddress
    zones: dict[str, str] = field(default_factory=dict)
    heartbeat: str = "1500ms"
    bounds: list[str] = field(default_factory=list)
    limits: dict[str, object] = field(default_factory=dict)


def read_settings() -> HostedSettings:
    """Reads the settings file whose path is in the environment.

    Raises:
        OSError: If the file can't be read.
        msgspec.ValidationError: If a field is missing or has the wrong type.
    """
    content = Path(os.environ[SETTINGS_PATH_VARIABLE]).read_bytes()
    settings_file = decode_json(content, _SettingsFile)
    bounds = Bounds(settings_file.bounds)
    return HostedSettings(
        settings=_build_settings(settings_file),
        callers_address=settings_file.listen.outbound,
        heartbeat_address=settings_file.listen.control,
        readiness_address=settings_file.listen.ready,
        upstream_address=settings_file.app_addr,
        upstream_service=ServiceName(settings_file.service),
        guarantees=_build_guarantees(bounds),
        failure_domains=tuple(map(FailureDomainId, sorted(settings_file.zones))),
        memory_mb=_read_limit(settings_file.limits, "memoryMb"),
        max_descriptors=_read_limit(settings_file.limits, "maxFds"),
    )


def _read_limit(limits: dict[str, object], name: str) -> float:
    """Returns a limit of the host; infinity if it isn't a number above 0."""
    value = limits.get(name)
    if isinstance(value, int | float) and value > 0:
        return float(min(value, MAX_WHOLE_NUMBER))
    if value is not None:
        logger.bind(event="limit_unreadable", limit=name).error(
            "limit {} is {!r}, not a number above 0; nothing is bounded by it",
            name,
            value,
        )
    return math.inf


def _build_settings(settings_file: _SettingsFile) -> Settings:
    def address(offset: int) -> str:
        return f"{settings_file.ip}:{settings_file.port_range[0] + offset}"

    return Settings(
        host=Host(
            id=HostId(settings_file.node_name),
            failure_domain=FailureDomainId(settings_file.zone),
            site=SiteId(settings_file.region),
        ),
        listen=Listen(
            public=settings_file.listen.outbound,
            local=settings_file.listen.control,
            peer=address(_PEER_PORT_OFFSET),
            control=address(_PEER_PORT_OFFSET),
            operations=address(_OPERATIONS_PORT_OFFSET),
        ),
        fleet=Fleet(secret=os.environ[FLEET_SECRET_VARIABLE]),
        log=LogService(
            address=settings_file.platform.address, timeout_ms=_LOG_TIMEOUT_MS
        ),
        logging=Logging(format=LogFormat.JSON, level="INFO"),
    )


def _build_guarantees(bounds: Bounds) -> Guarantees:
    return Guarantees(
        withdrawal_s=bounds.duration_s("revoke", 5.0),
        drain_s=bounds.duration_s("drain", 2.0),
        stop_s=bounds.duration_s("grace", 6.0),
        retries=RetryLimit(
            window_s=bounds.duration_s("budgetWindow", 10.0),
            min_retries=bounds.number("budgetSlack", 0.0),
            max_ratio=bounds.number("retryBudget", 0.0),
        ),
        rates=RateExcessLimits(
            window_s=bounds.duration_s("quotaWindow", 5.0),
            max_excess_ratio=bounds.number("quotaOverage", 0.0),
            max_excess_requests=bounds.number("quotaSlack", 0.0),
        ),
        cold=ColdExcessLimits(
            max_excess_ratio=max(0.0, bounds.number("coldOverage", 1.0) - 1),
            max_excess_requests=bounds.number("coldSlack", 0.0),
        ),
        evacuation_s=bounds.duration_s("evac", 5.0),
    )
