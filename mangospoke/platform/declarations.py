"""The operator's configuration on the platform, as the product's own."""

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
from mangospoke.ids import ClientAccountId, KeyId, RouteName, ServiceName
from mangospoke.platform.settings import parse_duration_ms

_IDEMPOTENT_KIND = "safe"
_ANY_SLOTS = 1_000_000
"""The platform declares no slots: upstreams tell theirs in their heartbeats."""

_KEY_DIGEST_BYTES = 16


class _Part(Struct, frozen=True):
    service: str
    weight: int = 1


class _Action(Struct, frozen=True):
    """Where a route's requests go.

    Attributes:
        attempts: Upstreams that a request may be sent to, the first included.
        timeout: Longest time that the operator wants a request kept waiting.
    """

    timeout: str
    service: str = ""
    backends: list[_Part] = field(default_factory=list)
    attempts: int = 1


class _Match(Struct, frozen=True, rename="camel"):
    path_prefix: str


class _Rule(Struct, frozen=True, rename="camel"):
    """A route.

    Attributes:
        kind: `safe` if it may run more than once; anything else may not.
        priority: 0 is the highest.
        public: Whether it takes requests without a key.
    """

    name: str
    match: _Match
    action: _Action
    kind: str = ""
    target_latency: str | None = None
    priority: int = 0
    public: bool = False


class _Listener(Struct, frozen=True):
    """The routes of one host name; it has nothing to do with listening."""

    hostname: str
    rules: list[_Rule] = field(default_factory=list)


class _Cluster(Struct, frozen=True, rename="camel"):
    """A service."""

    name: str
    max_conns: int = 0


class _Tenant(Struct, frozen=True, rename="camel"):
    """A client account.

    Attributes:
        priority: Of all its requests, in place of the routes'.
        rate_per_s: Requests a second over all hosts; 0 if they aren't limited.
    """

    name: str
    api_keys: list[str] = field(default_factory=list)
    priority: int | None = None
    rate_per_s: int = 0
    burst: int = 0


class _DesiredState(Struct, frozen=True):
    """A whole configuration; its version is written `r` and a number."""

    version: str
    listeners: list[_Listener] = field(default_factory=list)
    clusters: list[_Cluster] = field(default_factory=list)
    tenants: list[_Tenant] = field(default_factory=list)


def digest_key(key: bytes) -> KeyId:
    """Names a key without keeping it."""
    return KeyId(hashlib.blake2b(key, digest_size=_KEY_DIGEST_BYTES).hexdigest())


def read_configuration(content: bytes) -> EffectiveConfiguration | None:
    """Reads a configuration, or logs why it can't be used and returns None."""
    try:
        state = msgspec.json.decode(content, type=_DesiredState)
        return _translate(state)
    except (msgspec.MsgspecError, ValueError) as error:
        logger.bind(event="configuration_rejected").error(
            "a configuration can't be read: {}", error
        )
        return None


def _translate(state: _DesiredState) -> EffectiveConfiguration:
    configuration = EffectiveConfiguration(version=int(state.version.lstrip("r")))
    for cluster in state.clusters:
        name = ServiceName(cluster.name)
        configuration.services_by_name[name] = _service(name, cluster)
    for listener in state.listeners:
        for rule in listener.rules:
            route = _route(rule)
            configuration.host_routes.add(listener.hostname, route.path, route)
    for tenant in state.tenants:
        _add_account(configuration, tenant)
    return configuration


def _service(name: ServiceName, cluster: _Cluster) -> EffectiveService:
    return EffectiveService(
        name=name,
        calls=(),
        slots=_ANY_SLOTS,
        connections=cluster.max_conns or _ANY_SLOTS,
        cold_start_s=0.0,
        echoes_request_id=True,
    )


def _route(rule: _Rule) -> EffectiveRoute:
    action = rule.action
    backends = tuple(
        Backend(ServiceName(part.service), part.weight) for part in action.backends
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
        importance=_importance(rule.priority),
        idempotent=rule.kind == _IDEMPOTENT_KIND,
        deadline_s=parse_duration_ms(action.timeout) / 1000,
        retries=max(0, action.attempts - 1),
        target_latency_s=target_s,
        backends=backends,
    )


def _add_account(configuration: EffectiveConfiguration, tenant: _Tenant) -> None:
    account_id = ClientAccountId(tenant.name)
    importance = None if tenant.priority is None else _importance(tenant.priority)
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


def _importance(priority: int) -> Importance:
    """Ranks beyond the product's lowest importance share it."""
    return Importance(min(max(0, priority), Importance.LOW))
