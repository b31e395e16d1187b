"""HTTP responses that report outcomes to callers."""

import math

from mangospoke.http import fields
from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpResponse
from mangospoke.ids import IdempotencyKey, RequestId
from mangospoke.verdicts import RULES_BY_REFUSAL, Answered, Outcome, Refused


def build_response(
    outcome: Outcome,
    request_id: RequestId | None = None,
    idempotency_key: IdempotencyKey | None = None,
) -> HttpResponse:
    """Builds the HTTP response for an outcome, with its verdict as a header field."""
    headers = [(fields.VERDICT, outcome.verdict.value.encode())]
    if request_id is not None:
        headers.append((fields.REQUEST_ID, request_id.encode()))
    if idempotency_key is not None:
        headers.append((fields.IDEMPOTENCY_KEY, idempotency_key.encode()))
    if isinstance(outcome, Answered):
        headers.extend(outcome.headers)
        return HttpResponse(outcome.status, headers, outcome.body)
    headers.append((fields.REASON, outcome.reason.value.encode()))
    headers.append((b"content-type", b"text/plain; charset=utf-8"))
    if isinstance(outcome, Refused):
        headers.extend(_retry_after_fields(outcome))
    text = f"{outcome.reason.value}: {outcome.detail}\n"
    return HttpResponse(outcome.status, headers, buffered_body(text.encode()))


def _retry_after_fields(refused: Refused) -> list[tuple[bytes, bytes]]:
    delay_s = refused.retry_after_s
    if delay_s is None:
        delay_s = RULES_BY_REFUSAL[refused.reason].retry_after_s
    if delay_s is None:
        return []
    # Retry-After takes whole seconds; a retry that comes too early is refused again.
    return [(b"retry-after", b"%d" % math.ceil(delay_s))]
