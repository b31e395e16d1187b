"""HTTP requests and responses as the daemon handles them."""

import dataclasses
from dataclasses import dataclass

from mangospoke.cancellation import Cancellation
from mangospoke.http.bodies import Body
from mangospoke.ids import RequestId, ServiceName
from mangospoke.verdicts import Headers


@dataclass(slots=True)
class HttpRequest:
    """A request whose head has been read; field names are in lower case.

    Attributes:
        method: The method.
        target: The target, with its query.
        headers: Header fields; names are in lower case.
        body: The body, in memory or still to be read.
        cancellation: Cause for which the request is cancelled.
        request_id: Id that the handler found or made, for the log; None if it has none.
        service: Service that the handler found, for the log; empty if unknown.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: Body
    cancellation: Cancellation = dataclasses.field(default_factory=Cancellation)
    request_id: RequestId | None = None
    service: ServiceName = ServiceName("")

    def field(self, name: bytes) -> bytes | None:
        """Returns the first value of a header field, or None."""
        for field_name, value in self.headers:
            if field_name == name:
                return value
        return None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(slots=True)
class HttpResponse:
    """A response to send, or one whose head has been received.

    Attributes:
        status: The HTTP status.
        headers: Header fields; names are in lower case.
        body: The body, in memory or still to be streamed.
        closes_connection: Whether the connection is closed after this response.
    """

    status: int
    headers: Headers
    body: Body
    closes_connection: bool = False
