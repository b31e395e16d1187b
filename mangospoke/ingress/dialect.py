"""How callers of a hosted daemon are spoken to: names and formats, no decisions."""

from collections.abc import Callable
from dataclasses import dataclass

from mangospoke.http.messages import HttpAnswer, HttpRequest
from mangospoke.ids import KeyId, RequestId, ServiceName
from mangospoke.verdicts import Headers, Outcome


@dataclass(frozen=True, slots=True)
class CallerFields:
    """What a request says beside its method, target and body.

    Attributes:
        host: Host name that the caller asked for.
        request_id: The caller's id of the request, or None.
        time_left_s: Seconds that the caller will wait, or None.
        key_id: Digest of the key that it carries, or None.
        parent_id: The request for which an upstream sends it, where the id tells.
    """

    host: str
    request_id: RequestId | None
    time_left_s: float | None
    key_id: KeyId | None
    parent_id: RequestId = RequestId("")


@dataclass(frozen=True, slots=True)
class CallerDialect:
    """Names and formats towards callers.

    Attributes:
        read_fields: Reads what a request says.
        passed_on: Header fields that go on to the upstream, given the service on
            whose host the request entered.
        write_answer: Shows an outcome to the caller.
    """

    read_fields: Callable[[HttpRequest], CallerFields]
    passed_on: Callable[[HttpRequest, ServiceName], Headers]
    write_answer: Callable[[Outcome, RequestId | None], HttpAnswer]
