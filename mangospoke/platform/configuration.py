"""Parses the platform's configuration and translates it into the product's own."""

import hashlib

import msgspec
from loguru import logger
from msgspec import Struct, field

from mangospoke.conf.declarations import Access, Importance
from mangospoke.conf.effective import (
    Backend,
    EffectiveAccount,
    EffectiveConfiguration,
    EffectiveKey,
    EffectiveRoute,
    EffectiveService,
)
from mangospoke.decoding import decode_json
from mangospoke.ids import ClientAccountId, KeyId, RouteName, ServiceName
from mangospoke.platform.bounds import parse_duration_ms

_IDEMPOTENT_KIND = "safe"
_UNLIMITED_CAPACITY = 1_000_000
"""The platform configures no slots: upstreams report them in their heartbeats."""

_KEY_DIGEST_BYTES = 16


class _WeightedBackend(Struct, frozen=True):
    service: str
    weight: int = 1


class _RouteAction(Struct, frozen=True):
    """Where a route's requests are sent.

    Attributes:
        timeout: Maximum time that a request is kept waiting, as a duration.
        service: Destination if there are no backends.
        backends: Destinations among which the requests are split by weight.
        attempts: Maximum number of upstreams that a request is sent to, including the
            first.
    """

    timeout: str
    service: str = ""
    backends: list[_WeightedBackend] = field(default_factory=list)
    attempts: int = 1


class _RouteMatch(Struct, frozen=True, rename="camel"):
    path_prefix: str


class _RouteRule(Struct, frozen=True, rename="camel"):
    """A route.

    Attributes:
        kind: `safe` if its requests are idempotent; they aren't for any other value.
        target_latency: Latency objective as a duration, or None.
        priority: Priority of its requests; 0 is the highest.
        public: Whether it accepts requests without a key.
    """

    name: str
    match: _RouteMatch
    action: _RouteAction
    kind: str = ""
    target_latency: str | None = None
    priority: int = 0
    public: bool = False


class _HostnameRules(Struct, frozen=True):
    """The routes of one host name; unlike its name in the platform, no socket."""

    hostname: str
    rules: list[_RouteRule] = field(default_factory=list)


class _Cluster(Struct, frozen=True, rename="camel"):
    """A service.

    Attributes:
        max_conns: Maximum number of connections; 0 if unlimited.
        health_path: Path at which an upstream tells its health.
        cold_start: Time for which an upstream is cold after its start, as a duration.
        cold_per_s: Requests a second that a cold upstream takes; 0 if unlimited.
    """

    name: str
    max_conns: int = 0
    health_path: str = ""
    cold_start: str = "0s"
    cold_per_s: float = 0.0


class _Tenant(Struct, frozen=True, rename="camel"):
    """A client account.

    Attributes:
        priority: Overrides the routes' priority for its requests if it isn't None.
        rate_per_s: Requests per second over all hosts; 0 if unlimited.
    """

    name: str
    api_keys: list[str] = field(default_factory=list)
    priority: int | None = None
    rate_per_s: int = 0
    burst: int = 0


class _PlatformConfiguration(Struct, frozen=True):
    """A complete configuration; its version is `r` followed by a number."""

    version: str
    listeners: list[_HostnameRules] = field(default_factory=list)
    clusters: list[_Cluster] = field(default_factory=list)
    tenants: list[_Tenant] = field(default_factory=list)


def digest_key(key: bytes) -> KeyId:
    """Returns the digest by which a key is identified without storing it."""
    return KeyId(hashlib.blake2b(key, digest_size=_KEY_DIGEST_BYTES).hexdigest())


def read_configuration(content: bytes) -> EffectiveConfiguration | None:
    """Parses a configuration; logs the error and returns None if it is invalid."""
    try:
        platform_configuration = decode_json(content, _PlatformConfiguration)
        return _build_configuration(platform_configuration)
    except (msgspec.MsgspecError, ValueError) as error:
        logger.bind(event="configuration_rejected").error(
            "cannot parse the configuration: {}", error
        )
        return None


def _build_configuration(
    platform_configuration: _PlatformConfiguration,
) -> EffectiveConfiguration:
    configuration = EffectiveConfiguration(
        version=int(platform_configuration.version.lstrip("r"))
    )
    for cluster in platform_configuration.clusters:
        name = ServiceName(cluster.name)
        configuration.services_by_name[name] = _build_service(name, cluster)
    for listener in platform_configuration.listeners:
        for rule in listener.rules:
            route = _build_route(rule)
            configuration.host_routes.add(listener.hostname, route.path, route)
    for tenant in platform_configuration.tenants:
        _add_account(configuration, tenant)
    return configuration


def _build_service(name: ServiceName, cluster: _Cluster) -> EffectiveService:
    return EffectiveService(
        name=name,
        calls=(),
        slots=_UNLIMITED_CAPACITY,
        connections=cluster.max_conns or _UNLIMITED_CAPACITY,
        # The ramp of a fresh upstream follows what its heartbeats say.
        cold_start_s=parse_duration_ms(cluster.cold_start) / 1000,
        echoes_request_id=True,
        cold_per_s=cluster.cold_per_s,
        health_path=cluster.health_path,
    )


def _build_route(rule: _RouteRule) -> EffectiveRoute:
    action = rule.action
    backends = tuple(
        Backend(ServiceName(weighted_backend.service), weighted_backend.weight)
        for weighted_backend in action.backends
    )
    service = ServiceName(action.service)
    if backends:
        service = backends[0].service
    target_s = None
    if rule.target_latency is not None:
        target_s = parse_duration_ms(rule.target_latency) / 1000
    return EffectiveRoute(
        service=service,
        name=RouteName(rule.name),
        method=b"",
        path=rule.match.path_prefix,
        access=Access.KEYLESS if rule.public else Access.OPEN,
        importance=_importance_of_priority(rule.priority),
        idempotent=rule.kind == _IDEMPOTENT_KIND,
        deadline_s=parse_duration_ms(action.timeout) / 1000,
        retries=max(0, action.attempts - 1),
        target_latency_s=target_s,
        backends=backends,
    )


def _add_account(configuration: EffectiveConfiguration, tenant: _Tenant) -> None:
    account_id = ClientAccountId(tenant.name)
    importance = (
        None if tenant.priority is None else _importance_of_priority(tenant.priority)
    )
    configuration.accounts_by_id[account_id] = EffectiveAccount(
        account_id=account_id,
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        weight=1,
        domain_weights={},
        site_rate=None,
        site_burst=None,
        importance=importance,
    )
    for key in tenant.api_keys:
        key_id = digest_key(key.encode())
        configuration.keys_by_id[key_id] = EffectiveKey(account_id, None, False)


def _importance_of_priority(priority: int) -> Importance:
    """Converts a priority to an importance, limited to the lowest importance."""
    return Importance(min(max(0, priority), Importance.LOW))
