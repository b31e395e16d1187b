"""The typed form of the base file and of a site's overlay.

The structs mirror the TOML. Collections are tables named by id. Every default
is documented here and copied into the reference page.
"""

import enum
from typing import Annotated

from msgspec import Meta, Struct, field

from mangospoke.ids import (
    ClientAccountId,
    FailureDomainId,
    KeyId,
    RouteName,
    ServiceName,
    SiteId,
)

Positive = Annotated[int, Meta(gt=0)]
NonNegative = Annotated[int, Meta(ge=0)]


class Importance(enum.IntEnum):
    """Order in which requests are shed: the least important goes first."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class ImportanceName(enum.Enum):
    """Names of importances in declarations."""

    CRITICAL = "critical"
    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"

    @property
    def importance(self) -> Importance:
        """The order that the name stands for."""
        return Importance[self.name]


class Access(enum.Enum):
    """Who may use a route.

    `OPEN` is for callers that carry a key, `KEYLESS` for everybody, and `INTERNAL`
    for the calls that upstreams make.
    """

    OPEN = "open"
    INTERNAL = "internal"
    KEYLESS = "keyless"


class Declaration(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Base of all declared tables: unknown names are faults."""


class Route(Declaration, frozen=True, kw_only=True):
    """A route of a service.

    Attributes:
        method: The HTTP method.
        path: The path pattern: `{name}` stands for one segment, a last `*` for
            the rest.
        access: `open` to callers that carry a key, or `internal` to sub-calls.
        importance: Requests of lower importance are shed first.
        idempotent: Whether running a request twice is harmless.
        deadline_ms: Milliseconds a request may take as a whole.
        retries: Retries that a root request and all its sub-calls share.
    """

    method: str
    path: str
    access: Access = Access.OPEN
    importance: ImportanceName = ImportanceName.NORMAL
    idempotent: bool = True
    deadline_ms: Positive = 2_000
    retries: NonNegative = 2


class Service(Declaration, frozen=True, kw_only=True):
    """A service, run by upstreams in the failure domains.

    Attributes:
        routes: The service's routes by name.
        calls: Services that its upstreams call.
        slots: Requests that one upstream runs at once, unless it announces less.
        connections: Connections that one upstream accepts.
        cold_start_ms: Milliseconds over which a fresh upstream is ramped up.
        echoes_request_id: Whether upstreams return `Mangospoke-Request-Id`, so
            that a crossed answer is recognised.
    """

    routes: dict[RouteName, Route]
    calls: tuple[ServiceName, ...] = ()
    slots: Positive = 32
    connections: Positive = 200
    cold_start_ms: NonNegative = 3_000
    echoes_request_id: bool = True


class Key(Declaration, frozen=True, kw_only=True):
    """A client account's key; the secret itself stands nowhere.

    Attributes:
        hash: Salted hash, as `mangospoke keys hash` prints it.
        withdrawn: Whether the key has stopped working.
    """

    hash: str
    withdrawn: bool = False


class ClientAccount(Declaration, frozen=True, kw_only=True):
    """A client account and its rate over the whole fleet.

    Attributes:
        keys: The account's keys by key id.
        rate: Requests a second, over all hosts together.
        burst: Requests that may be admitted at once after a quiet time.
        weight: Share of contended upstream work, relative to other accounts.
        domain_weights: Where the account's demand is expected, by failure
            domain; the first split of its rate. Equal if empty.
    """

    keys: dict[KeyId, Key] = field(default_factory=dict)
    rate: Positive
    burst: Positive
    weight: Positive = 1
    domain_weights: dict[FailureDomainId, NonNegative] = field(default_factory=dict)


class FailureDomain(Declaration, frozen=True, kw_only=True):
    """A failure domain: hosts that aren't cut off from each other.

    Attributes:
        site: The site whose overlay applies there.
        region: Name of the region, for reports.
        lost: Set by an operator once no host of the domain runs any more, so that
            its shares of rates may be taken by others.
    """

    site: SiteId
    region: str = ""
    lost: bool = False


class Base(Declaration, frozen=True, kw_only=True):
    """The base file: what holds in the whole fleet."""

    domains: dict[FailureDomainId, FailureDomain]
    services: dict[ServiceName, Service]
    accounts: dict[ClientAccountId, ClientAccount]


class RouteOverlay(Declaration, frozen=True, kw_only=True):
    """Changes to a route at one site; what is left out shows the base.

    Attributes:
        importance: In place of the base's.
        deadline_ms: In place of the base's.
        retries: In place of the base's.
    """

    importance: ImportanceName | None = None
    deadline_ms: Positive | None = None
    retries: NonNegative | None = None


class ServiceOverlay(Declaration, frozen=True, kw_only=True):
    """Changes to a service at one site.

    Attributes:
        slots: In place of the base's.
        connections: In place of the base's.
        cold_start_ms: In place of the base's.
    """

    routes: dict[RouteName, RouteOverlay] = field(default_factory=dict)
    slots: Positive | None = None
    connections: Positive | None = None
    cold_start_ms: NonNegative | None = None


class ClientAccountOverlay(Declaration, frozen=True, kw_only=True):
    """Restrictions on a client account at one site.

    Attributes:
        rate: A lower rate for requests that enter at the site.
        burst: A lower burst for requests that enter at the site.
        withdrawn_keys: Keys that don't work at the site.
    """

    rate: Positive | None = None
    burst: Positive | None = None
    withdrawn_keys: tuple[KeyId, ...] = ()


class Overlay(Declaration, frozen=True, kw_only=True):
    """A site's overlay.

    Attributes:
        site: The site of one or more failure domains.
    """

    site: SiteId
    services: dict[ServiceName, ServiceOverlay] = field(default_factory=dict)
    accounts: dict[ClientAccountId, ClientAccountOverlay] = field(default_factory=dict)
