"""What subsystems need of control messages, whatever carries them."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

import msgspec
from loguru import logger

from mangospoke.control.messages import Message, Rejected

Handler = Callable[[Any], Awaitable[Message]]
AnswerType = TypeVar("AnswerType", bound=Message)


class ControlError(Exception):
    """A peer could not be asked, or its answer isn't to be believed."""


class Control(Protocol):
    """Asks other daemons, and holds what answers them.

    Attributes:
        handlers_by_type: What answers a message, by its type; subsystems add theirs
            before the first question comes.
    """

    handlers_by_type: dict[type[Message], Handler]

    async def ask(
        self,
        address: str,
        question: Message,
        answer_type: type[AnswerType],
        timeout_s: float,
    ) -> AnswerType:
        """Asks the daemon at a control address and returns its answer.

        Args:
            address: The daemon's advertised control address.
            question: The question.
            answer_type: The type that the answer must have.
            timeout_s: Seconds after which the question is given up.

        Raises:
            ControlError: If no answer came in time, or not a believable one.
        """


def union_of(handlers_by_type: dict[type[Message], Handler]) -> Any:
    """The union of all message types that have a handler."""
    types = iter(handlers_by_type)
    union: Any = next(types)
    for message_type in types:
        union = union | message_type
    return union


async def handle_question(
    handlers_by_type: dict[type[Message], Handler],
    decoder: msgspec.msgpack.Decoder,
    content: bytes,
) -> Message:
    """Answers a question, whatever carried it.

    Args:
        handlers_by_type: What answers a message, by its type.
        decoder: Decodes messages that have a handler.
        content: The question's bytes.
    """
    try:
        question = decoder.decode(content)
    except msgspec.MsgspecError as error:
        return Rejected(str(error))
    try:
        return await handlers_by_type[type(question)](question)
    except Exception as error:
        # One question's fault must not end the answering of all others.
        logger.exception("a control message's handler failed")
        return Rejected(repr(error))
