"""The platform's HTTP header fields, for callers and upstreams."""

from mangospoke.calls import Call
from mangospoke.guard.dialect import (
    ResponseMetadata,
    UpstreamDialect,
    UpstreamReport,
    read_cold_left_s,
    read_rate_limit,
    remaining_ms,
)
from mangospoke.http import fields
from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.ids import ExecutionToken, InstanceId, RequestId, ServiceName
from mangospoke.ingress.dialect import CallerDialect, CallerFields
from mangospoke.numbers import parse_whole_number
from mangospoke.platform.configuration import digest_key
from mangospoke.verdicts import (
    RULES_BY_REFUSAL,
    Answered,
    Headers,
    Outcome,
    RefusalReason,
    Refused,
)

_REQUEST_ID = b"attempt-id"
"""Unique for each attempt of a caller, so that it serves as the request id."""

_TIMEOUT = b"timeout-ms"
_KEY = b"key"
_ACCOUNT = b"tenant"
_EXPECTED_INSTANCE = b"expect-instance"
_CALLER_SERVICE = b"caller-service"
"""The service of the host at which a request arrived."""

_RESPONSE_SIGNATURE = b"response-signature"
_NOT_EXECUTED = b"not-executed"
_SERVER_LOAD = b"server-load"
_SERVER_LIMIT = b"server-limit"
_SERVER_LEAVING = b"server-leaving"
_COLD_MS = b"cold-ms"
_INSTANCE = b"instance-id"
_KEEP_ALIVE = b"keep-alive"

_RESERVED = frozenset(
    {_REQUEST_ID, _TIMEOUT, _KEY, _ACCOUNT, _EXPECTED_INSTANCE, _CALLER_SERVICE}
)
_NOT_FORWARDED = fields.HOP_BY_HOP | _RESERVED

_MISDIRECTED_STATUS = 421
_SERVER_LOAD_COUNTS = 3
_MAX_SLOWNESS_PERCENT = 100_000
"""Larger numbers aren't believed."""


_NOT_EXECUTED_STATUS = 503
"""Guarantees that the request was not executed; 502 and 504 guarantee nothing."""

_STATUSES_BY_REFUSAL = {
    RefusalReason.OVER_RATE: 429,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.KEY_WITHDRAWN: 401,
    RefusalReason.UNKNOWN_ROUTE: 404,
}


def _read_fields(request: HttpRequest) -> CallerFields:
    by_name = dict(request.headers)
    request_id = by_name.get(_REQUEST_ID)
    key = by_name.get(_KEY)
    return CallerFields(
        host=by_name.get(b"host", b"").decode("latin-1"),
        request_id=RequestId(request_id.decode("latin-1")) if request_id else None,
        timeout_s=_parse_ms(by_name.get(_TIMEOUT, b"")),
        key_id=digest_key(key) if key is not None else None,
        parent_id=_parse_parent_id(request_id or b""),
    )


def _parse_ms(value: bytes) -> float | None:
    """Parses whole milliseconds into seconds."""
    milliseconds = parse_whole_number(value)
    return milliseconds / 1000 if milliseconds is not None else None


def _parse_parent_id(request_id: bytes) -> RequestId:
    """Returns the id before the last point.

    An upstream's call has the id of the request that it is executing, a point, and a
    suffix.
    """
    return RequestId(request_id.rpartition(b".")[0].decode("latin-1"))


def _forwarded_headers(request: HttpRequest, service: ServiceName) -> Headers:
    headers = [pair for pair in request.headers if pair[0] not in _NOT_FORWARDED]
    headers.append((_CALLER_SERVICE, service.encode()))
    return headers


def _build_response(outcome: Outcome, request_id: RequestId | None) -> HttpResponse:
    if isinstance(outcome, Answered):
        return HttpResponse(outcome.status, outcome.headers, outcome.body)
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    if request_id is not None:
        headers.append((_REQUEST_ID, request_id.encode("latin-1")))
    status = outcome.status
    if isinstance(outcome, Refused):
        status = _STATUSES_BY_REFUSAL.get(outcome.reason, _NOT_EXECUTED_STATUS)
        headers.extend(_build_retry_after(outcome))
    elif status not in (502, 504):
        status = 502
    text = f"{outcome.reason.value}: {outcome.detail}\n"
    return HttpResponse(status, headers, buffered_body(text.encode()))


def _build_retry_after(refused: Refused) -> list[tuple[bytes, bytes]]:
    seconds = refused.retry_after_s
    if seconds is None:
        seconds = RULES_BY_REFUSAL[refused.reason].retry_after_s
    if seconds is None:
        return []
    return [(b"retry-after", f"{seconds:.2f}".encode())]


CALLER_DIALECT = CallerDialect(_read_fields, _forwarded_headers, _build_response)


def _request_headers(
    call: Call, token: ExecutionToken, instance: InstanceId | None
) -> list[tuple[bytes, bytes]]:
    headers = [
        *call.headers,
        (_REQUEST_ID, call.request_id.encode("latin-1")),
        (_TIMEOUT, b"%d" % remaining_ms(call)),
    ]
    if call.account_id:
        headers.append((_ACCOUNT, call.account_id.encode()))
    if instance is not None:
        headers.append((_EXPECTED_INSTANCE, instance.encode()))
    return headers


def _read_metadata(response: HttpResponse) -> ResponseMetadata:
    by_name = dict(response.headers)
    is_success = 200 <= response.status < 300
    instance = by_name.get(_INSTANCE)
    return ResponseMetadata(
        request_id=by_name.get(_REQUEST_ID),
        not_run=_NOT_EXECUTED in by_name,
        is_other_instance=response.status == _MISDIRECTED_STATUS,
        is_authentic=not is_success or _RESPONSE_SIGNATURE in by_name,
        report=_parse_server_load(by_name.get(_SERVER_LOAD)),
        idle_timeout_s=_parse_idle_timeout_s(by_name.get(_KEEP_ALIVE)),
        rate_limit=read_rate_limit(response.headers, _SERVER_LIMIT),
        is_leaving=by_name.get(_SERVER_LEAVING) == b"1",
        cold_left_s=read_cold_left_s(by_name.get(_COLD_MS)),
        instance=None if instance is None else InstanceId(instance.decode("latin-1")),
    )


def _parse_server_load(value: bytes | None) -> UpstreamReport | None:
    """Parses the comma-separated load of an upstream.

    The values are the counts of running requests, of waiting ones and of slots. Some
    upstreams add the slowness of their machine in percent. Values after these are
    ignored.
    """
    parts = value.split(b",") if value is not None else []
    counts = [parse_whole_number(part.strip()) for part in parts[:_SERVER_LOAD_COUNTS]]
    if len(counts) < _SERVER_LOAD_COUNTS or None in counts:
        return None
    running, waiting, slots = (count or 0 for count in counts)
    return UpstreamReport(running, waiting, slots, _parse_slowness(parts))


def _parse_slowness(parts: list[bytes]) -> float:
    """Returns how many times longer than usual work takes on the machine now."""
    if len(parts) <= _SERVER_LOAD_COUNTS:
        return 1.0
    percent = parse_whole_number(parts[_SERVER_LOAD_COUNTS].strip())
    if not percent or percent > _MAX_SLOWNESS_PERCENT:
        return 1.0
    return percent / 100


def _parse_idle_timeout_s(value: bytes | None) -> float | None:
    """Parses the timeout of a `Keep-Alive` field, in whole seconds."""
    if value is None:
        return None
    _, _, value_tail = value.partition(b"timeout=")
    return parse_whole_number(value_tail.partition(b",")[0].strip())


UPSTREAM_DIALECT = UpstreamDialect(
    _request_headers, _read_metadata, frozenset({_KEEP_ALIVE, b"connection"})
)
