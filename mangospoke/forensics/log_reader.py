"""Parses log files of daemons, also with prefixes added by log collectors."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from mangospoke.decoding import decode_json
from mangospoke.observability.events import (
    LinesDropped,
    RequestEnded,
    RequestGuarded,
    ResponseUndelivered,
    UpstreamEjected,
)

TypedEvent = (
    RequestEnded | ResponseUndelivered | RequestGuarded | UpstreamEjected | LinesDropped
)


class _CommonFields(Struct, frozen=True):
    """Fields common to all log lines."""

    time: datetime
    host_id: str
    event: str = ""
    message: str = ""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed line of a daemon's log.

    Attributes:
        time: Time of the line, by the clock of the host that wrote it.
        host: Id of the host that wrote it.
        event: Name of the event; empty if the line has none.
        message: Message text; empty for typed events.
        typed_event: The decoded event; None if the line is no typed event.
    """

    time: datetime
    host: str
    event: str
    message: str
    typed_event: TypedEvent | None


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Reads the lines of log files, sorted by time.

    Prefixes that log collectors add, such as host name and time, are ignored.

    Raises:
        OSError: If a file can't be read.
    """
    lines = [line for path in paths for line in _read_file(path)]
    lines.sort(key=lambda line: line.time)
    return lines


def _read_file(path: Path) -> Iterator[LogLine]:
    with path.open("rb") as file:
        for raw_line in file:
            line = parse_line(raw_line)
            if line is not None:
                yield line


def parse_line(raw_line: bytes) -> LogLine | None:
    """Parses one line; returns None if it is not a JSON line of a daemon."""
    start = raw_line.find(b"{")
    if start < 0:
        return None
    content = raw_line[start:].strip()
    try:
        common_fields = decode_json(content, _CommonFields)
    except msgspec.MsgspecError:
        return None
    return LogLine(
        common_fields.time,
        common_fields.host_id,
        common_fields.event,
        common_fields.message,
        _decode_typed_event(content),
    )


def _decode_typed_event(content: bytes) -> TypedEvent | None:
    event_type: Any = TypedEvent
    try:
        return decode_json(content, event_type)
    except msgspec.MsgspecError:
        return None
