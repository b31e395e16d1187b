"""Making of calls out of requests, for callers and for upstreams alike."""

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
from mangospoke.verdicts import Headers, RefusalReason, Refused

_DROPPED = (
    fields.INTERNAL | fields.HOP_BY_HOP | {fields.AUTHORIZATION, fields.IDEMPOTENCY_KEY}
)
"""Fields that end at this hop: about the connection, the key, or our own."""

_MAXIMUM_KEY_CHARACTERS = 128

NO_ACCOUNT = ClientAccountId("")
"""Stands in the calls of routes that need no key."""


def match_route(
    request: HttpRequest, configuration: EffectiveConfiguration, *, internal: bool
) -> EffectiveRoute | Refused:
    """Finds a request's route.

    Args:
        request: The request.
        configuration: The configuration in force.
        internal: Whether the request comes from an upstream's execution.
    """
    if configuration.version == 0:
        return Refused(RefusalReason.NOT_CONFIGURED, "no configuration yet")
    found = configuration.routes.match(request.method.decode(), request.path)
    if found is Mismatch.PATH:
        return Refused(RefusalReason.UNKNOWN_ROUTE, "no route has this path")
    if found is Mismatch.METHOD:
        return Refused(RefusalReason.METHOD_NOT_ALLOWED, "the route has other methods")
    assert isinstance(found, EffectiveRoute)
    if found.access is Access.INTERNAL and not internal:
        return Refused(RefusalReason.ROUTE_INTERNAL, "no route has this path")
    return found


def root_call(
    request: HttpRequest,
    route: EffectiveRoute,
    account_id: ClientAccountId,
    key_id: KeyId | None,
    domain: FailureDomainId,
) -> Call | Refused:
    """Makes the call of a caller's request."""
    key = _idempotency_key(request, route, domain)
    if isinstance(key, Refused):
        return key
    idempotency_key, key_use = key
    now = trio.current_time()
    return Call(
        request_id=new_request_id(),
        account_id=account_id,
        key_id=key_id,
        service=route.service,
        route=route.name,
        method=request.method,
        target=request.target,
        headers=_passed_on(request.headers),
        body=request.body,
        deadline=now + _deadline_s(request, route),
        importance=route.importance,
        idempotent=route.idempotent,
        idempotency_key=idempotency_key,
        retries=RetryAllowance(route.retries),
        key_use=key_use,
        entered_at=now,
        target_s=route.target_latency_s,
    )


def sub_call(
    request: HttpRequest,
    route: EffectiveRoute,
    parent: Call,
    domain: FailureDomainId,
) -> Call | Refused:
    """Makes the call of a request that an upstream sends while it runs another.

    It inherits account, importance and deadline, and draws on the same allowance
    of retries.
    """
    key = _idempotency_key(request, route, domain)
    if isinstance(key, Refused):
        return key
    idempotency_key, key_use = key
    now = trio.current_time()
    return Call(
        request_id=new_request_id(),
        account_id=parent.account_id,
        key_id=None,
        service=route.service,
        route=route.name,
        method=request.method,
        target=request.target,
        headers=_passed_on(request.headers),
        body=request.body,
        deadline=min(parent.deadline, now + _deadline_s(request, route)),
        # A booking's lookups count as much as the booking.
        importance=min(parent.importance, route.importance),
        idempotent=route.idempotent,
        idempotency_key=idempotency_key,
        retries=parent.retries,
        key_use=key_use,
        caller=parent.service,
        parent_id=parent.request_id,
        entered_at=now,
        target_s=route.target_latency_s,
    )


def new_request_id() -> RequestId:
    """Makes an id for one execution."""
    return RequestId(secrets.token_hex(16))


def _idempotency_key(
    request: HttpRequest, route: EffectiveRoute, domain: FailureDomainId
) -> tuple[IdempotencyKey | None, KeyUse] | Refused:
    if route.idempotent:
        return None, KeyUse.NONE
    sent = request.field(fields.IDEMPOTENCY_KEY)
    if sent is None:
        return new_idempotency_key(domain), KeyUse.FIRST_SEND
    text = sent.decode("latin-1")
    is_legible = text.isascii() and text.isprintable()
    if not text or not is_legible or len(text) > _MAXIMUM_KEY_CHARACTERS:
        return Refused(RefusalReason.BAD_REQUEST, "the Idempotency-Key is malformed")
    key = IdempotencyKey(text)
    if split_located_key(key) is not None:
        return key, KeyUse.LOOK_UP
    return key, KeyUse.CLAIM


def _deadline_s(request: HttpRequest, route: EffectiveRoute) -> float:
    """The route's deadline, or a shorter one that the caller asks for."""
    asked = request.field(fields.DEADLINE)
    if asked is None or not asked.isdigit():
        return route.deadline_s
    return min(route.deadline_s, int(asked) / 1000)


def _passed_on(headers: Headers) -> list[tuple[bytes, bytes]]:
    passed_on = [pair for pair in headers if pair[0] not in _DROPPED]
    if not any(name == b"host" for name, _ in passed_on):
        # HTTP/1.0 lets a caller leave it out; HTTP/1.1 towards upstreams doesn't.
        passed_on.append((b"host", b"unknown"))
    return passed_on
