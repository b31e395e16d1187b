"""Exit codes of the command line, and the errors that lead to them."""

import enum
from dataclasses import dataclass


class ExitCode(enum.IntEnum):
    """What a command's exit code says; part of the public interface."""

    OK = 0
    """The command did what it says."""

    FAULTS_FOUND = 1
    """`check` found errors, or `publish` refused or lost to another operator."""

    USAGE = 2
    """The command line is wrong, or a host's settings have errors."""

    LOG_UNREACHABLE = 3
    """The log service could not be asked."""

    NOT_IN_FORCE = 4
    """The change is published, but some hosts don't have it in force yet."""

    UNREACHABLE = 5
    """No daemon could be asked."""

    STOPPED = 6
    """A program ended because of a fault while it ran."""


@dataclass
class CommandError(Exception):
    """A command that can't go on.

    Attributes:
        exit_code: The code that the process exits with.
        message: One line for the operator.
        hint: What to do about it; may be empty.
    """

    exit_code: ExitCode
    message: str
    hint: str = ""

    def __str__(self) -> str:
        if not self.hint:
            return self.message
        return f"{self.message}. HINT: {self.hint}"
