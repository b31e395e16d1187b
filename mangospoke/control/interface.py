"""What subsystems need of control messages, whatever carries them."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

from mangospoke.control.messages import Message

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
