"""How an upstream is spoken to: names and formats, apart from decisions.

The daemon speaks its own dialect unless a platform that hosts it brings another.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from mangospoke.calls import Call
from mangospoke.http import fields
from mangospoke.http.messages import HttpAnswer
from mangospoke.ids import ExecutionToken, InstanceId
from mangospoke.verdicts import Headers

_SHED_STATUS = 503


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """What an upstream says of its load with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerMarks:
    """What an answer says beside its status and body.

    Attributes:
        request_id: The request that it belongs to, or None if it doesn't say.
        not_run: Whether the upstream says that it did not run the request.
        is_other_instance: Whether another instance answered than was expected.
        is_genuine: Whether it is an answer of the upstream as it has to be.
        report: The upstream's load, if it tells.
        idle_s: Seconds that the upstream keeps the connection idle, if it tells.
    """

    request_id: bytes | None = None
    not_run: bool = False
    is_other_instance: bool = False
    is_genuine: bool = True
    report: UpstreamReport | None = None
    idle_s: float | None = None


@dataclass(frozen=True, slots=True)
class UpstreamDialect:
    """Names and formats towards an upstream.

    Attributes:
        request_headers: Header fields of a call, without those that frame its body.
        read_marks: Reads what an answer says beside its status and body.
        internal_fields: Fields of an answer that end at the guard.
    """

    request_headers: Callable[
        [Call, ExecutionToken, InstanceId | None], list[tuple[bytes, bytes]]
    ]
    read_marks: Callable[[HttpAnswer], AnswerMarks]
    internal_fields: frozenset[bytes]


def remaining_ms(call: Call) -> int:
    """Whole milliseconds until a call's deadline; 0 once it has passed."""
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


def _read_marks(answer: HttpAnswer) -> AnswerMarks:
    echoed = find_field(answer.headers, fields.REQUEST_ID)
    shed = find_field(answer.headers, fields.SHED) is not None
    not_run = shed and answer.status == _SHED_STATUS
    return AnswerMarks(request_id=echoed, not_run=not_run)


def find_field(headers: Headers, name: bytes) -> bytes | None:
    """The last value of a header field, or None."""
    found = None
    for field_name, value in headers:
        if field_name == name:
            found = value
    return found


OWN_DIALECT = UpstreamDialect(_request_headers, _read_marks, fields.INTERNAL)
"""The product's own names, which `http/fields.py` lists."""
