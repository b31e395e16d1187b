"""Record of a response that its caller didn't get completely."""

from dataclasses import dataclass

from mangospoke.http.messages import HttpRequest


@dataclass(frozen=True, slots=True)
class UndeliveredResponse:
    """A response that the handler returned and that couldn't be sent completely.

    Attributes:
        request: The request; its cancellation holds the cause.
        status: HTTP status of the response.
        is_started: Whether a part of the response may have been sent.
    """

    request: HttpRequest
    status: int
    is_started: bool


def ignore_undelivered(undelivered: UndeliveredResponse) -> None:
    """Ignores a response, for servers without a decision log."""
