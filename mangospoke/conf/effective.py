"""The configuration as one host uses it: base and the site's overlay merged.

Merging happens here, when a version arrives, so that a later change of the base
shows through every overlay. A merge can only restrict: it takes the lower rate and
burst and the union of withdrawn keys.
"""

from dataclasses import dataclass, field

from mangospoke.conf.declarations import (
    Access,
    ClientAccount,
    ClientAccountOverlay,
    FailureDomain,
    Importance,
    Overlay,
    Route,
    RouteOverlay,
    Service,
    ServiceOverlay,
)
from mangospoke.conf.routes import HostRoutes, RouteTable
from mangospoke.conf.sections import Sections, join_base, join_overlay
from mangospoke.ids import (
    ClientAccountId,
    FailureDomainId,
    KeyId,
    RouteName,
    ServiceName,
    SiteId,
)
from mangospoke.keys import KeyHash, parse_hash


@dataclass(frozen=True, slots=True)
class Backend:
    """A service that takes a share of a route's requests."""

    service: ServiceName
    weight: int


@dataclass(frozen=True, slots=True)
class EffectiveRoute:
    """A route with the site's overlay applied.

    Attributes:
        method: Empty if the route takes any method.
        retries: Upstreams beyond the first that a request may be sent to.
        target_latency_s: Time within which an answer is worth most, or None.
        backends: Services that share the requests by weight; empty if `service`
            takes them all.
    """

    service: ServiceName
    name: RouteName
    method: bytes
    path: str
    access: Access
    importance: Importance
    idempotent: bool
    deadline_s: float
    retries: int
    target_latency_s: float | None = None
    backends: tuple[Backend, ...] = ()


@dataclass(frozen=True, slots=True)
class EffectiveService:
    """A service with the site's overlay applied.

    Attributes:
        cold_per_s: Requests a second that a cold upstream takes; 0 for no bound.
        health_path: Path at which an upstream tells its health; empty if none.
    """

    name: ServiceName
    calls: tuple[ServiceName, ...]
    slots: int
    connections: int
    cold_start_s: float
    echoes_request_id: bool
    cold_per_s: float = 0.0
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class EffectiveKey:
    """A key that works or has been withdrawn at the site.

    Attributes:
        key_hash: None where the key's id is itself a digest of the whole key.
    """

    account_id: ClientAccountId
    key_hash: KeyHash | None
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class EffectiveAccount:
    """A client account.

    Attributes:
        rate: Requests a second over the whole fleet; 0 if they aren't limited.
        site_rate: Lower rate for requests that enter at this site, or None.
        importance: Of all the account's requests, in place of the routes'; or None.
    """

    account_id: ClientAccountId
    rate: int
    burst: int
    weight: int
    domain_weights: dict[FailureDomainId, int]
    site_rate: int | None
    site_burst: int | None
    importance: Importance | None = None


@dataclass(slots=True)
class EffectiveConfiguration:
    """All that is in force at a host, at one version."""

    version: int = 0
    routes: "RouteTable[EffectiveRoute]" = field(default_factory=RouteTable)
    host_routes: "HostRoutes[EffectiveRoute]" = field(default_factory=HostRoutes)
    services_by_name: dict[ServiceName, EffectiveService] = field(default_factory=dict)
    accounts_by_id: dict[ClientAccountId, EffectiveAccount] = field(
        default_factory=dict
    )
    keys_by_id: dict[KeyId, EffectiveKey] = field(default_factory=dict)
    domains_by_id: dict[FailureDomainId, FailureDomain] = field(default_factory=dict)


def merge_sections(
    version: int, sections: Sections, site: SiteId
) -> EffectiveConfiguration:
    """Merges a version's sections for a site."""
    base = join_base(sections)
    overlay = join_overlay(sections, site)
    configuration = EffectiveConfiguration(version, domains_by_id=dict(base.domains))
    for name, service in base.services.items():
        _add_service(configuration, name, service, overlay)
    for account_id, account in base.accounts.items():
        _add_account(configuration, account_id, account, overlay)
    return configuration


def _add_service(
    configuration: EffectiveConfiguration,
    name: ServiceName,
    service: Service,
    overlay: Overlay,
) -> None:
    changes = overlay.services.get(name, ServiceOverlay())
    configuration.services_by_name[name] = EffectiveService(
        name=name,
        calls=service.calls,
        slots=_or(changes.slots, service.slots),
        connections=_or(changes.connections, service.connections),
        cold_start_s=_or(changes.cold_start_ms, service.cold_start_ms) / 1000,
        echoes_request_id=service.echoes_request_id,
    )
    for route_name, route in service.routes.items():
        route_changes = changes.routes.get(route_name, RouteOverlay())
        effective = _merge_route(name, route_name, route, route_changes)
        configuration.routes.add(route.method, route.path, effective)


def _merge_route(
    service: ServiceName, name: RouteName, route: Route, changes: RouteOverlay
) -> EffectiveRoute:
    importance = changes.importance or route.importance
    return EffectiveRoute(
        service=service,
        name=name,
        method=route.method.encode(),
        path=route.path,
        access=route.access,
        importance=importance.importance,
        idempotent=route.idempotent,
        deadline_s=_or(changes.deadline_ms, route.deadline_ms) / 1000,
        retries=_or(changes.retries, route.retries),
    )


def _add_account(
    configuration: EffectiveConfiguration,
    account_id: ClientAccountId,
    account: ClientAccount,
    overlay: Overlay,
) -> None:
    changes = overlay.accounts.get(account_id, ClientAccountOverlay())
    configuration.accounts_by_id[account_id] = EffectiveAccount(
        account_id=account_id,
        rate=account.rate,
        burst=account.burst,
        weight=account.weight,
        domain_weights=account.domain_weights,
        site_rate=changes.rate,
        site_burst=changes.burst,
    )
    for key_id, key in account.keys.items():
        withdrawn = key.withdrawn or key_id in changes.withdrawn_keys
        configuration.keys_by_id[key_id] = EffectiveKey(
            account_id, parse_hash(key.hash), withdrawn
        )


def _or(changed: int | None, original: int) -> int:
    return original if changed is None else changed
