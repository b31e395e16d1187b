"""What a check says: an id, a place, a fault and a hint."""

import enum
from dataclasses import dataclass
from pathlib import Path


class Level(enum.IntEnum):
    """How much a message matters; only errors keep a change from publication."""

    WARNING = 30
    ERROR = 40


@dataclass(frozen=True, slots=True)
class CheckMessage:
    """One fault that was found.

    Attributes:
        id: Stable id such as `mangospoke.E012`; its letter says the level.
        line: Line number from 1 on; 0 where the file as a whole is meant.
        hint: What to do about it; may be empty.
    """

    id: str
    file: Path
    line: int
    text: str
    hint: str = ""

    @property
    def level(self) -> Level:
        """The level that the id's letter stands for."""
        letter = self.id.rpartition(".")[2][0]
        return Level.ERROR if letter == "E" else Level.WARNING

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else str(self.file)
        hint = f". HINT: {self.hint}" if self.hint else ""
        return f"{place}: {self.id}: {self.text}{hint}"


def has_errors(messages: tuple[CheckMessage, ...] | list[CheckMessage]) -> bool:
    """Whether any message is an error."""
    return any(message.level is Level.ERROR for message in messages)
