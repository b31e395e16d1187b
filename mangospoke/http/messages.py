"""HTTP requests and responses as the daemon handles them."""

from dataclasses import dataclass

from mangospoke.http.bodies import Body
from mangospoke.verdicts import Headers


@dataclass(slots=True)
class HttpRequest:
    """A request whose head has been read; field names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: Body

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
