"""The format of requests and responses exchanged with callers of a hosted daemon.

A platform brings its own header fields and formats. They are translated here, without
any decision about the request.
"""

from collections.abc import Callable
from dataclasses import dataclass

from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.ids import KeyId, RequestId, ServiceName
from mangospoke.verdicts import Headers, Outcome


@dataclass(frozen=True, slots=True)
class CallerFields:
    """Parsed header fields of a caller's request.

    Attributes:
        host: Host name in the request.
        request_id: The caller's id of the request, or None.
        timeout_s: Seconds for which the caller waits for a response, or None.
        key_id: Digest of the key in the request, or None.
        parent_id: For a request by an upstream, the id of the request that it is
            executing; empty if the request id doesn't contain it.
    """

    host: str
    request_id: RequestId | None
    timeout_s: float | None
    key_id: KeyId | None
    parent_id: RequestId = RequestId("")


@dataclass(frozen=True, slots=True)
class CallerDialect:
    """Functions that translate a platform's requests and responses.

    Attributes:
        read_fields: Parses the header fields of a request.
        forwarded_headers: Returns the header fields to send to the upstream, given
            the service of the host at which the request arrived.
        build_response: Builds the response that reports an outcome to the caller.
    """

    read_fields: Callable[[HttpRequest], CallerFields]
    forwarded_headers: Callable[[HttpRequest, ServiceName], Headers]
    build_response: Callable[[Outcome, RequestId | None], HttpResponse]
