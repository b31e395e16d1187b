"""Header names and formats of the HTTP exchange with an upstream.

The daemon uses its native dialect unless the hosting platform provides another.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass

import trio

from mangospoke.calls import Call
from mangospoke.http import fields
from mangospoke.http.messages import HttpResponse
from mangospoke.ids import ExecutionToken, InstanceId
from mangospoke.verdicts import Headers

_SHED_STATUS = 503
_MAX_LOGGED_CHARACTERS = 40
_DECIMAL_NUMBER = re.compile(
    rb"([0-9]{1,15}(\.[0-9]{0,15})?|\.[0-9]{1,15})([eE]\+?[0-9]{1,2})?"
)


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Load that an upstream reports in a response.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that it has queued.
        slots: Requests that it can run at once.
        slowness_ratio: How many times longer than usual work takes on its machine at
            this moment.
    """

    running: int
    waiting: int
    slots: int
    slowness_ratio: float = 1.0


@dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """A rate limit that an upstream names and that can't be read.

    Attributes:
        text: What it names, shortened.
    """

    text: str


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
        rate_limit: Requests a second that the upstream takes from the whole fleet, or
            None if it names no limit.
        is_leaving: Whether the upstream says that it is leaving.
        cold_left_s: Seconds for which the upstream says that it stays cold, 0 if it is
            warm; None if it says nothing of it.
        instance: The process run that responded, or None if not given.
    """

    request_id: bytes | None = None
    not_run: bool = False
    is_other_instance: bool = False
    is_authentic: bool = True
    report: UpstreamReport | None = None
    idle_timeout_s: float | None = None
    rate_limit: float | UnreadableLimit | None = None
    is_leaving: bool = False
    cold_left_s: float | None = None
    instance: InstanceId | None = None

    @property
    def states_not_run(self) -> bool:
        """Whether the upstream states in any way that it did not run the request."""
        return self.not_run or self.is_other_instance


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
    return ResponseMetadata(
        request_id=request_id,
        not_run=not_run,
        rate_limit=read_rate_limit(response.headers, fields.RATE_LIMIT),
        is_leaving=find_field(response.headers, fields.LEAVING) == b"1",
    )


def read_rate_limit(headers: Headers, name: bytes) -> float | UnreadableLimit | None:
    """Returns the limit that a header field names: a decimal number, 0 or more.

    Of several values, which may be in several fields or separated by commas, the lowest
    that can be read holds.
    """
    values = [value for field_name, value in headers if field_name == name]
    if not values:
        return None
    parts = [part.strip() for part in b",".join(values).split(b",")]
    limits = [float(part) for part in parts if _DECIMAL_NUMBER.fullmatch(part)]
    if limits:
        return min(limits)
    return UnreadableLimit(values[0][:_MAX_LOGGED_CHARACTERS].decode("latin-1"))


def read_cold_left_s(value: bytes | None) -> float | None:
    """Returns the seconds that a header field tells in milliseconds, or None.

    Whatever can't be read says nothing.
    """
    if value is None or not _DECIMAL_NUMBER.fullmatch(value.strip()):
        return None
    return float(value) / 1000


def find_field(headers: Headers, name: bytes) -> bytes | None:
    """Returns the last value of a header field, or None."""
    last_value = None
    for field_name, value in headers:
        if field_name == name:
            last_value = value
    return last_value


NATIVE_DIALECT = UpstreamDialect(_request_headers, _read_metadata, fields.INTERNAL)
"""Mangospoke's own header names, listed in `http/fields.py`."""
