"""Creation of calls from the requests of callers and of this host's upstream."""

import secrets

import trio

from mangospoke.calls import Call, KeyUse, RetryAllowance
from mangospoke.conf.declarations import Access
from mangospoke.conf.effective import EffectiveConfiguration, EffectiveRoute
from mangospoke.conf.routes import Mismatch
from mangospoke.guard.idempotency_keys import new_idempotency_key, split_located_key
from mangospoke.http import fields
from mangospoke.http.messages import HttpRequest
from mangospoke.ids import (
    ClientAccountId,
    FailureDomainId,
    IdempotencyKey,
    KeyId,
    RequestId,
)
from mangospoke.numbers import parse_whole_number
from mangospoke.verdicts import Headers, RefusalReason, Refused

_FIELDS_NOT_FORWARDED = (
    fields.INTERNAL | fields.HOP_BY_HOP | {fields.AUTHORIZATION, fields.IDEMPOTENCY_KEY}
)
"""Header fields of the connection, the keys, and the system itself."""

_MAX_KEY_CHARACTERS = 128

NO_ACCOUNT = ClientAccountId("")
"""Account of calls on routes that need no key."""


def match_route(
    request: HttpRequest, configuration: EffectiveConfiguration, *, internal: bool
) -> EffectiveRoute | Refused:
    """Finds the route of a request.

    Args:
        request: The request.
        configuration: The configuration in force.
        internal: Whether an upstream sends the request as part of an execution, so
            that internal routes match too.

    Returns:
        The route, or why the request is refused.
    """
    if configuration.version == 0:
        return Refused(RefusalReason.NOT_CONFIGURED, "no configuration yet")
    route = configuration.routes.match(request.method.decode(), request.path)
    if route is Mismatch.PATH:
        return Refused(RefusalReason.UNKNOWN_ROUTE, "no route has this path")
    if route is Mismatch.METHOD:
        return Refused(RefusalReason.METHOD_NOT_ALLOWED, "the route has other methods")
    assert isinstance(route, EffectiveRoute)
    if route.access is Access.INTERNAL and not internal:
        return Refused(RefusalReason.ROUTE_INTERNAL, "no route has this path")
    return route


def make_root_call(
    request: HttpRequest,
    route: EffectiveRoute,
    account_id: ClientAccountId,
    key_id: KeyId | None,
    domain: FailureDomainId,
) -> Call | Refused:
    """Makes the call for a request that a caller sends to the fleet."""
    key_and_use = _choose_idempotency_key(request, route, domain)
    if isinstance(key_and_use, Refused):
        return key_and_use
    idempotency_key, key_use = key_and_use
    now = trio.current_time()
    return Call(
        request_id=new_request_id(),
        account_id=account_id,
        key_id=key_id,
        service=route.service,
        route=route.name,
        method=request.method,
        target=request.target,
        headers=_forwarded_headers(request.headers),
        body=request.body,
        deadline=now + _deadline_s(request, route),
        importance=route.importance,
        idempotent=route.idempotent,
        idempotency_key=idempotency_key,
        retries=RetryAllowance(route.retries),
        key_use=key_use,
        entered_at=now,
        target_latency_s=route.target_latency_s,
        cancellation=request.cancellation,
    )


def make_sub_call(
    request: HttpRequest,
    route: EffectiveRoute,
    parent: Call,
    domain: FailureDomainId,
) -> Call | Refused:
    """Makes the call for a request that an upstream sends while it executes another.

    The sub-call belongs to the parent's account, ends by the parent's deadline, is at
    least as important, and shares the parent's retry allowance.
    """
    key_and_use = _choose_idempotency_key(request, route, domain)
    if isinstance(key_and_use, Refused):
        return key_and_use
    idempotency_key, key_use = key_and_use
    now = trio.current_time()
    return Call(
        request_id=new_request_id(),
        account_id=parent.account_id,
        key_id=None,
        service=route.service,
        route=route.name,
        method=request.method,
        target=request.target,
        headers=_forwarded_headers(request.headers),
        body=request.body,
        deadline=min(parent.deadline, now + _deadline_s(request, route)),
        # At least as important as the request that waits for it: 0 is the highest.
        importance=min(parent.importance, route.importance),
        idempotent=route.idempotent,
        idempotency_key=idempotency_key,
        retries=parent.retries,
        key_use=key_use,
        caller=parent.service,
        parent_id=parent.request_id,
        entered_at=now,
        target_latency_s=route.target_latency_s,
        cancellation=request.cancellation,
    )


def new_request_id() -> RequestId:
    """Makes a random id for a request."""
    return RequestId(secrets.token_hex(16))


def _choose_idempotency_key(
    request: HttpRequest, route: EffectiveRoute, domain: FailureDomainId
) -> tuple[IdempotencyKey | None, KeyUse] | Refused:
    """Takes the key that the caller sent, or makes one for a non-idempotent route."""
    if route.idempotent:
        return None, KeyUse.NONE
    value = request.field(fields.IDEMPOTENCY_KEY)
    if value is None:
        return new_idempotency_key(domain), KeyUse.FIRST_SEND
    text = value.decode("latin-1")
    is_printable = text.isascii() and text.isprintable()
    if not text or not is_printable or len(text) > _MAX_KEY_CHARACTERS:
        return Refused(RefusalReason.BAD_REQUEST, "the Idempotency-Key is malformed")
    key = IdempotencyKey(text)
    if split_located_key(key) is not None:
        return key, KeyUse.LOOK_UP
    return key, KeyUse.CLAIM


def _deadline_s(request: HttpRequest, route: EffectiveRoute) -> float:
    """Returns the route's deadline or a shorter one that the caller requested."""
    requested_ms = parse_whole_number(request.field(fields.DEADLINE) or b"")
    if requested_ms is None:
        return route.deadline_s
    return min(route.deadline_s, requested_ms / 1000)


def _forwarded_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    forwarded = [field for field in headers if field[0] not in _FIELDS_NOT_FORWARDED]
    if not any(name == b"host" for name, _ in forwarded):
        # HTTP/1.0 callers may omit Host; HTTP/1.1, spoken to upstreams, requires it.
        forwarded.append((b"host", b"unknown"))
    return forwarded
