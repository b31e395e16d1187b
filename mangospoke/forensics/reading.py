"""Reading of log files, whatever stands before the lines in them."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from mangospoke.observability.events import (
    LinesLeftOut,
    RequestEnded,
    RequestGuarded,
    UpstreamEjected,
)

KnownEvent = RequestEnded | RequestGuarded | UpstreamEjected | LinesLeftOut


class _Envelope(Struct, frozen=True):
    """What each line has."""

    time: datetime
    host_id: str
    event: str = ""
    message: str = ""


@dataclass(frozen=True, slots=True)
class Line:
    """A line of a log.

    Attributes:
        time: By the clock of the host that wrote it.
        event: Its kind; empty if it has none.
        message: Its text; empty for typed events.
        known: The typed event, or None for other lines.
    """

    time: datetime
    host: str
    event: str
    message: str
    known: KnownEvent | None


def read_logs(paths: Iterable[Path]) -> list[Line]:
    """Reads the lines of files, in the order of time.

    Collectors put a host's name, a time or more before a line; that is passed over.

    Raises:
        OSError: If a file can't be read.
    """
    lines = [line for path in paths for line in _read_file(path)]
    lines.sort(key=lambda line: line.time)
    return lines


def _read_file(path: Path) -> Iterator[Line]:
    with path.open("rb") as file:
        for text in file:
            line = read_line(text)
            if line is not None:
                yield line


def read_line(text: bytes) -> Line | None:
    """Reads one line; None if it is none of a daemon's JSON lines."""
    start = text.find(b"{")
    if start < 0:
        return None
    content = text[start:].strip()
    try:
        envelope = msgspec.json.decode(content, type=_Envelope)
    except msgspec.MsgspecError:
        return None
    return Line(
        envelope.time,
        envelope.host_id,
        envelope.event,
        envelope.message,
        _read_known(content),
    )


def _read_known(content: bytes) -> KnownEvent | None:
    known: Any = KnownEvent
    try:
        return msgspec.json.decode(content, type=known)
    except msgspec.MsgspecError:
        return None
