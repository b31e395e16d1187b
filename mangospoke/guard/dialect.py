"""Header names and formats of the HTTP exchange with an upstream.

The daemon uses its native dialect unless the hosting platform provides another.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from mangospoke.calls import Call
from mangospoke.http import fields
from mangospoke.http.messages import HttpResponse
from mangospoke.ids import ExecutionToken, InstanceId
from mangospoke.verdicts import Headers

_SHED_STATUS = 503


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Load that an upstream reports in a response."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata from a response's status and header fields.

    Attributes:
        request_id: The request that it belongs to, or None if not given.
        not_run: Whether the upstream states that it did not run the request.
        is_other_instance: Whether an instance other than the expected one responded.
        is_authentic: Whether it has what each response of the upstream must have, such
            as a signature.
        report: The upstream's load, or None if not given.
        idle_timeout_s: Seconds for which the upstream keeps an idle connection open,
            or None if not given.
    """

    request_id: bytes | None = None
    not_run: bool = False
    is_other_instance: bool = False
    is_authentic: bool = True
    report: UpstreamReport | None = None
    idle_timeout_s: float | None = None


@dataclass(frozen=True, slots=True)
class UpstreamDialect:
    """Header names and formats of one kind of upstream.

    Attributes:
        request_headers: Builds the header fields of a call, without those that frame
            its body.
        read_metadata: Reads the metadata of a response.
        internal_fields: Response header fields that the guard doesn't pass on.
    """

    request_headers: Callable[
        [Call, ExecutionToken, InstanceId | None], list[tuple[bytes, bytes]]
    ]
    read_metadata: Callable[[HttpResponse], ResponseMetadata]
    internal_fields: frozenset[bytes]


def remaining_ms(call: Call) -> int:
    """Returns the whole milliseconds until a call's deadline; 0 once it has passed."""
    return max(0, int((call.deadline - trio.current_time()) * 1000))


def _request_headers(
    call: Call, token: ExecutionToken, instance: InstanceId | None
) -> list[tuple[bytes, bytes]]:
    headers = [
        *call.headers,
        (fields.REQUEST_ID, call.request_id.encode()),
        (fields.ACCOUNT, call.account_id.encode()),
        (fields.IMPORTANCE, b"%d" % call.importance),
        (fields.DEADLINE, b"%d" % remaining_ms(call)),
        (fields.EXECUTION, token.encode()),
    ]
    if call.idempotency_key is not None:
        headers.append((fields.IDEMPOTENCY_KEY, call.idempotency_key.encode()))
    return headers


def _read_metadata(response: HttpResponse) -> ResponseMetadata:
    request_id = find_field(response.headers, fields.REQUEST_ID)
    is_shed = find_field(response.headers, fields.SHED) is not None
    not_run = is_shed and response.status == _SHED_STATUS
    return ResponseMetadata(request_id=request_id, not_run=not_run)


def find_field(headers: Headers, name: bytes) -> bytes | None:
    """Returns the last value of a header field, or None."""
    last_value = None
    for field_name, value in headers:
        if field_name == name:
            last_value = value
    return last_value


NATIVE_DIALECT = UpstreamDialect(_request_headers, _read_metadata, fields.INTERNAL)
"""Mangospoke's own header names, listed in `http/fields.py`."""
