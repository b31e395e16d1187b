"""Transport-independent interface of the control protocol."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

import msgspec
from loguru import logger

from mangospoke.control.messages import Message, Rejected
from mangospoke.decoding import decode_with

Handler = Callable[[Any], Awaitable[Message]]
AnswerType = TypeVar("AnswerType", bound=Message)


class ControlError(Exception):
    """A control request failed: no response, a rejection, or an invalid response."""


class ControlChannel(Protocol):
    """Sends control requests to other daemons and holds the handlers for theirs.

    Attributes:
        handlers_by_type: Request handlers by message type; subsystems register theirs
            before the first request arrives.
    """

    handlers_by_type: dict[type[Message], Handler]

    async def send_request(
        self,
        address: str,
        request: Message,
        response_type: type[AnswerType],
        timeout_s: float,
    ) -> AnswerType:
        """Sends a request to the daemon at a control address; returns the response.

        Args:
            address: The daemon's advertised control address.
            request: The request.
            response_type: Expected type of the response.
            timeout_s: Seconds after which the request fails.

        Raises:
            ControlError: If there is no valid response within the timeout.
        """


def message_union(handlers_by_type: dict[type[Message], Handler]) -> Any:
    """Returns the union of all message types that have a handler."""
    types = iter(handlers_by_type)
    union: Any = next(types)
    for message_type in types:
        union = union | message_type
    return union


async def handle_request(
    handlers_by_type: dict[type[Message], Handler],
    decoder: msgspec.msgpack.Decoder,
    content: bytes,
) -> Message:
    """Decodes a request, calls its handler and returns the response.

    Args:
        handlers_by_type: Request handlers by message type.
        decoder: Decoder for all message types that have a handler.
        content: The encoded request.
    """
    try:
        request = decode_with(decoder, content)
    except msgspec.MsgspecError as error:
        return Rejected(str(error))
    try:
        return await handlers_by_type[type(request)](request)
    except Exception as error:
        # An error in one handler must not stop the server for all other requests.
        logger.exception("control message handler failed")
        return Rejected(repr(error))
