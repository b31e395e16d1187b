"""The platform's settings file of a process, translated into the product's settings."""

import os
from pathlib import Path

import msgspec
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
from mangospoke.daemon.hosting import Hosting, Promises, ResendAllowance, StaticRates
from mangospoke.ids import FailureDomainId, HostId, ServiceName, SiteId

SETTINGS_VARIABLE = "MANGOSPOKE_CONFIG"
"""Environment variable with the path of the settings file."""

SECRET_VARIABLE = "MANGOSPOKE_FLEET_SECRET"
"""Environment variable with the fleet secret, set in the deploy file."""

_PEER_PORT = 0
_OPERATIONS_PORT = 1
"""Offsets into the range of ports that the platform leaves to the fleet."""

_STORE_TIMEOUT_MS = 1_000
_MS_PER_UNIT = {"ms": 1.0, "s": 1_000.0}


class _Listen(Struct, frozen=True):
    """Addresses of a machine.

    Attributes:
        inbound: Free for the fleet's own use; left unused.
        outbound: Callers on the machine and its upstream's own calls.
        control: The upstream's heartbeats.
        ready: The platform's readiness probe.
    """

    inbound: str
    outbound: str
    control: str
    ready: str


class _Store(Struct, frozen=True):
    """The log service, which the platform calls its store."""

    address: str


class _MachineSettings(Struct, frozen=True, rename="camel"):
    """The settings file; fields that the product doesn't need are left out.

    Attributes:
        bootstrap: Whether the whole system starts for the first time.
    """

    node_name: str
    ip: str
    zone: str
    region: str
    listen: _Listen
    port_range: tuple[int, int]
    app_addr: str
    service: str
    platform: _Store
    bootstrap: bool = False
    heartbeat: str = "1500ms"
    bounds: list[str] = field(default_factory=list)


def read_settings() -> Hosting:
    """Reads the settings file that the environment names.

    Raises:
        OSError: If it can't be read.
        msgspec.ValidationError: If it lacks a field or has one of another type.
    """
    content = Path(os.environ[SETTINGS_VARIABLE]).read_bytes()
    machine = msgspec.json.decode(content, type=_MachineSettings)
    bounds = _read_bounds(machine.bounds)
    return Hosting(
        settings=_settings_of(machine),
        callers_address=machine.listen.outbound,
        heartbeat_address=machine.listen.control,
        readiness_address=machine.listen.ready,
        upstream_address=machine.app_addr,
        upstream_service=ServiceName(machine.service),
        promises=_promises_of(bounds),
        fleet_starts=machine.bootstrap,
    )


def _settings_of(machine: _MachineSettings) -> Settings:
    def address(offset: int) -> str:
        return f"{machine.ip}:{machine.port_range[0] + offset}"

    return Settings(
        host=Host(
            id=HostId(machine.node_name),
            failure_domain=FailureDomainId(machine.zone),
            site=SiteId(machine.region),
        ),
        listen=Listen(
            public=machine.listen.outbound,
            local=machine.listen.control,
            peer=address(_PEER_PORT),
            control=address(_PEER_PORT),
            operations=address(_OPERATIONS_PORT),
        ),
        fleet=Fleet(secret=os.environ[SECRET_VARIABLE]),
        log=LogService(address=machine.platform.address, timeout_ms=_STORE_TIMEOUT_MS),
        logging=Logging(format=LogFormat.JSON, level="INFO"),
    )


def _promises_of(bounds: dict[str, str]) -> Promises:
    return Promises(
        withdrawal_s=_seconds(bounds.get("revoke", "5s")),
        drain_s=_seconds(bounds.get("drain", "2s")),
        stop_s=_seconds(bounds.get("grace", "6s")),
        resends=ResendAllowance(
            window_s=_seconds(bounds.get("budgetWindow", "10s")),
            slack=int(bounds.get("budgetSlack", "0")),
        ),
        rates=StaticRates(
            window_s=_seconds(bounds.get("quotaWindow", "5s")),
            excess_share=float(bounds.get("quotaOverage", "0")),
            excess_requests=int(bounds.get("quotaSlack", "0")),
        ),
    )


def _read_bounds(bounds: list[str]) -> dict[str, str]:
    """Splits the platform's bounds, each a text `name=value`."""
    pairs = (bound.partition("=") for bound in bounds)
    return {name: value for name, _, value in pairs}


def parse_duration_ms(text: str) -> float:
    """Reads a duration such as `1500ms` or `2.5s`.

    Raises:
        ValueError: If it is none.
    """
    for unit, milliseconds in _MS_PER_UNIT.items():
        number = text.removesuffix(unit)
        if number != text:
            return float(number) * milliseconds
    raise ValueError(f"{text!r} is no duration")


def _seconds(text: str) -> float:
    return parse_duration_ms(text) / 1000
