"""The platform's HTTP header fields, towards callers and upstreams."""

from mangospoke.calls import Call
from mangospoke.guard.dialect import (
    ResponseMetadata,
    UpstreamDialect,
    UpstreamReport,
    remaining_ms,
)
from mangospoke.http import fields
from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.ids import ExecutionToken, InstanceId, RequestId, ServiceName
from mangospoke.ingress.dialect import CallerDialect, CallerFields
from mangospoke.platform.declarations import digest_key
from mangospoke.verdicts import (
    RULES_BY_REFUSAL,
    Answered,
    Headers,
    Outcome,
    RefusalReason,
    Refused,
)

_REQUEST_ID = b"attempt-id"
"""New for each attempt of a caller, so that it names one request of ours."""

_TIME_LEFT = b"timeout-ms"
_KEY = b"key"
_ACCOUNT = b"tenant"
_INSTANCE = b"expect-instance"
_CALLER = b"caller-service"
"""The service on whose host a request entered."""

_SIGNATURE = b"response-signature"
_NOT_RUN = b"not-executed"
_REPORT = b"server-load"
_KEEP_ALIVE = b"keep-alive"

_SET_BY_US = frozenset({_REQUEST_ID, _TIME_LEFT, _KEY, _ACCOUNT, _INSTANCE, _CALLER})
_DROPPED = fields.HOP_BY_HOP | _SET_BY_US

_OTHER_INSTANCE_STATUS = 421
_REPORT_PARTS = 3

_PROMISED_STATUS = 503
"""Promises that the request has not run; 502 and 504 promise nothing."""

_STATUSES_BY_REFUSAL = {
    RefusalReason.OVER_RATE: 429,
    RefusalReason.UNAUTHENTICATED: 401,
    RefusalReason.KEY_WITHDRAWN: 401,
    RefusalReason.UNKNOWN_ROUTE: 404,
}


def _read_fields(request: HttpRequest) -> CallerFields:
    by_name = dict(request.headers)
    request_id = by_name.get(_REQUEST_ID)
    time_left = by_name.get(_TIME_LEFT, b"")
    key = by_name.get(_KEY)
    return CallerFields(
        host=by_name.get(b"host", b"").decode("latin-1"),
        request_id=RequestId(request_id.decode("latin-1")) if request_id else None,
        timeout_s=int(time_left) / 1000 if time_left.isdigit() else None,
        key_id=digest_key(key) if key is not None else None,
        parent_id=_parent_of(request_id or b""),
    )


def _parent_of(request_id: bytes) -> RequestId:
    """An upstream's call has the id of the request behind it, a point and more."""
    return RequestId(request_id.rpartition(b".")[0].decode("latin-1"))


def _passed_on(request: HttpRequest, service: ServiceName) -> Headers:
    headers = [pair for pair in request.headers if pair[0] not in _DROPPED]
    headers.append((_CALLER, service.encode()))
    return headers


def _write_answer(outcome: Outcome, request_id: RequestId | None) -> HttpResponse:
    if isinstance(outcome, Answered):
        return HttpResponse(outcome.status, outcome.headers, outcome.body)
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    if request_id is not None:
        headers.append((_REQUEST_ID, request_id.encode("latin-1")))
    status = outcome.status
    if isinstance(outcome, Refused):
        status = _STATUSES_BY_REFUSAL.get(outcome.reason, _PROMISED_STATUS)
        headers.extend(_retry_after(outcome))
    elif status not in (502, 504):
        status = 502
    text = f"{outcome.reason.value}: {outcome.detail}\n"
    return HttpResponse(status, headers, buffered_body(text.encode()))


def _retry_after(refused: Refused) -> list[tuple[bytes, bytes]]:
    seconds = refused.retry_after_s
    if seconds is None:
        seconds = RULES_BY_REFUSAL[refused.reason].retry_after_s
    if seconds is None:
        return []
    return [(b"retry-after", f"{seconds:.2f}".encode())]


CALLER_DIALECT = CallerDialect(_read_fields, _passed_on, _write_answer)


def _request_headers(
    call: Call, token: ExecutionToken, instance: InstanceId | None
) -> list[tuple[bytes, bytes]]:
    headers = [
        *call.headers,
        (_REQUEST_ID, call.request_id.encode("latin-1")),
        (_TIME_LEFT, b"%d" % remaining_ms(call)),
    ]
    if call.account_id:
        headers.append((_ACCOUNT, call.account_id.encode()))
    if instance is not None:
        headers.append((_INSTANCE, instance.encode()))
    return headers


def _read_marks(answer: HttpResponse) -> ResponseMetadata:
    by_name = dict(answer.headers)
    is_success = 200 <= answer.status < 300
    return ResponseMetadata(
        request_id=by_name.get(_REQUEST_ID),
        not_run=_NOT_RUN in by_name,
        is_other_instance=answer.status == _OTHER_INSTANCE_STATUS,
        is_authentic=not is_success or _SIGNATURE in by_name,
        report=_read_report(by_name.get(_REPORT)),
        idle_timeout_s=_read_idle_s(by_name.get(_KEEP_ALIVE)),
    )


def _read_report(value: bytes | None) -> UpstreamReport | None:
    """Reads running requests, waiting requests and slots, separated by commas."""
    parts = value.split(b",") if value is not None else []
    numbers = [int(part) for part in parts if part.strip().isdigit()]
    if len(numbers) != _REPORT_PARTS:
        return None
    return UpstreamReport(*numbers)


def _read_idle_s(value: bytes | None) -> float | None:
    """Reads the timeout of `Keep-Alive`, in whole seconds."""
    if value is None:
        return None
    _, _, rest = value.partition(b"timeout=")
    digits = rest.partition(b",")[0].strip()
    return float(digits) if digits.isdigit() else None


UPSTREAM_DIALECT = UpstreamDialect(
    _request_headers, _read_marks, frozenset({_KEEP_ALIVE, b"connection"})
)
