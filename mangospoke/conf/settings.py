"""Settings of one host, apart from the fleet's declarations.

A daemon learns its addresses, its failure domain and the fleet secret from here
and nothing else; all that the fleet shares comes from the log service.
"""

import enum
from typing import Annotated

from msgspec import Meta, Struct, field

from mangospoke.ids import FailureDomainId, HostId, SiteId

Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]+$")]
"""An IPv4 number and a port, such as `127.0.0.1:7000`."""


Positive = Annotated[int, Meta(gt=0)]


class _Table(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the settings tables: unknown names are faults."""


class LogFormat(enum.Enum):
    """How log lines are written."""

    TEXT = "text"
    JSON = "json"


class Host(_Table, frozen=True, kw_only=True):
    """Who this host is.

    Attributes:
        id: Unique in the fleet; a host that replaces another may keep its id.
        failure_domain: One of the base file's.
        site: The site of that failure domain.
    """

    id: HostId
    failure_domain: FailureDomainId
    site: SiteId


class Listen(_Table, frozen=True, kw_only=True):
    """Addresses that the daemon listens on.

    Attributes:
        public: Callers.
        local: This host's upstream; loopback only.
        peer: Requests forwarded by other daemons.
        control: Control messages between daemons.
        operations: Metrics, health and status.
    """

    public: Address
    local: Address
    peer: Address
    control: Address
    operations: Address


class Fleet(_Table, frozen=True, kw_only=True):
    """How this daemon finds and trusts its peers.

    Attributes:
        secret: Shared by all daemons of the fleet.
        previous_secrets: Secrets still accepted from peers while one is rotated.
        seeds: Control addresses of a few daemons, asked while the log is down.
        translate: Address to dial in place of an advertised one, for hosts that
            reach another failure domain through translated addresses.
    """

    secret: str
    previous_secrets: tuple[str, ...] = ()
    seeds: tuple[Address, ...] = ()
    translate: dict[Address, Address] = field(default_factory=dict)


class LogService(_Table, frozen=True, kw_only=True):
    """Where the platform's log service is.

    Attributes:
        address: Its address.
        timeout_ms: Milliseconds after which an unanswered call is given up.
        retention_s: Seconds for which it keeps a record. Snapshots of the state
            are appended three times in that span.
    """

    address: Address
    timeout_ms: Positive = 5_000
    retention_s: Positive = 86_400


class Limits(_Table, frozen=True, kw_only=True):
    """Bounds on what one connection or request may use.

    Attributes:
        head_bytes: Largest head of a request or answer.
        buffered_body_bytes: Bodies up to this size are held whole in memory, so
            that an answer's head is sent only once its body is whole.
        body_bytes: Largest body; larger ones are refused.
        head_timeout_ms: Milliseconds a caller may take to send a head.
        idle_timeout_ms: Milliseconds a connection may stay without a request.
        public_connections: Connections accepted from callers at once.
    """

    head_bytes: Positive = 32_768
    buffered_body_bytes: Positive = 262_144
    body_bytes: Positive = 67_108_864
    head_timeout_ms: Positive = 10_000
    idle_timeout_ms: Positive = 60_000
    public_connections: Positive = 2_000


class Logging(_Table, frozen=True, kw_only=True):
    """How log lines look; they go to standard output.

    Attributes:
        format: `json` for machines, `text` for people.
        level: Least level written: `TRACE`, `DEBUG`, `INFO`, `SUCCESS`, `WARNING`,
            `ERROR` or `CRITICAL`.
    """

    format: LogFormat = LogFormat.JSON
    level: str = "INFO"


class ShareMode(enum.Enum):
    """How an account's rate is spread over hosts."""

    DYNAMIC = "dynamic"
    STATIC = "static"


class Rates(_Table, frozen=True, kw_only=True):
    """How client accounts' rates are held.

    Attributes:
        shares: `dynamic` shares follow demand and are exact; `static` ones are equal
            at all hosts, and are there to be compared with. All hosts of a fleet
            must have the same.
    """

    shares: ShareMode = ShareMode.DYNAMIC


class Settings(_Table, frozen=True, kw_only=True):
    """All settings of one host."""

    host: Host
    listen: Listen
    fleet: Fleet
    log: LogService
    limits: Limits = Limits()
    logging: Logging = Logging()
    rates: Rates = Rates()
