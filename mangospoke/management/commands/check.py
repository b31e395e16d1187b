"""`mangospoke check`: list all faults of files."""

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import Parameter
from msgspec import Struct

from mangospoke.checks.messages import CheckMessage, Level, has_errors
from mangospoke.checks.run import check_files
from mangospoke.management.exits import CommandError, ExitCode


class MessageReport(Struct, frozen=True):
    """A message as `--json` prints it."""

    id: str
    level: str
    file: str
    line: int
    text: str
    hint: str


def run(
    base: Path | None = None,
    *overlays: Path,
    settings: Annotated[list[Path], Parameter(negative="")] | None = None,
    json: Annotated[bool, Parameter(negative="")] = False,
) -> ExitCode:
    """Lists all faults of a base with its overlays, or of hosts' settings.

    Warnings are listed too, but only errors make the exit code 1.

    Args:
        base: The base file.
        overlays: Overlays of the base, one a site.
        settings: A host's settings file; may be given several times. Checked
            against the base if there is one.
        json: Print JSON.
    """
    if base is None and not settings:
        raise CommandError(
            ExitCode.USAGE, "nothing to check", "name a base file, or --settings"
        )
    messages = check_files(base, overlays, settings or [])
    if json:
        print(msgspec.json.encode(report_messages(messages)).decode())
    else:
        print_messages(messages)
    return ExitCode.FAULTS_FOUND if has_errors(messages) else ExitCode.OK


def report_messages(messages: Sequence[CheckMessage]) -> list[MessageReport]:
    """Makes the form of messages that `--json` prints."""
    return [
        MessageReport(
            id=message.id,
            level=message.level.name.lower(),
            file=str(message.file),
            line=message.line,
            text=message.text,
            hint=message.hint,
        )
        for message in messages
    ]


def print_messages(messages: Sequence[CheckMessage]) -> None:
    """Prints messages one a line, and their counts."""
    for message in messages:
        print(message)
    errors = sum(message.level is Level.ERROR for message in messages)
    warnings = len(messages) - errors
    print(f"{_count(errors, 'error')}, {_count(warnings, 'warning')}")


def _count(number: int, word: str) -> str:
    return f"{number} {word}" if number == 1 else f"{number} {word}s"
