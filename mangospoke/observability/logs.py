"""Logs JSON or text lines to standard output, rate-limited and without blocking."""

import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import UTC, datetime
from typing import Any

import msgspec
from loguru import logger

from mangospoke.conf.settings import LogFormat, Logging
from mangospoke.observability.events import Event, LinesDropped, LogPriority
from mangospoke.observability.sink import LineSink

_ERROR_LEVELS = frozenset({"ERROR", "CRITICAL"})


class EventLog:
    """Formats and writes the log lines of a process.

    Attributes:
        sink: Writes the lines to the output; its `run` has to be running.
    """

    def __init__(
        self,
        settings: Logging,
        host_id: str,
        file_descriptor: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.sink = LineSink(file_descriptor, self._format_dropped_lines, clock)
        self._is_text = settings.format is LogFormat.TEXT
        self._host_id_json = b',"host_id":' + msgspec.json.encode(host_id)

    def write(self, event: Event, priority: LogPriority) -> None:
        """Writes an event for which `may_write` returned True."""
        self.sink.put(priority, self._format_event(event))

    def may_write(self, priority: LogPriority, kind: str) -> bool:
        """Returns whether the budget allows a line; if not, counts it as dropped."""
        return self.sink.may_write(priority, kind)

    def _format_dropped_lines(self, counts: dict[str, int]) -> bytes:
        return self._format_event(LinesDropped(counts=counts))

    def _format_event(self, event: Event) -> bytes:
        now = datetime.now(UTC).isoformat(timespec="milliseconds")
        if self._is_text:
            return _format_text_line(now, msgspec.to_builtins(event))
        content = msgspec.json.encode(event)
        return b'{"time":"%s"%s,%s' % (now.encode(), self._host_id_json, content[1:])

    def write_message(self, message: Any) -> None:
        """Writes a message of the logging library, if the budget allows it.

        Args:
            message: Message as loguru passes it to a sink.
        """
        record = message.record
        level = record["level"].name
        fields = {"level": level, "message": record["message"], **record["extra"]}
        priority = (
            LogPriority.LOSS if level in _ERROR_LEVELS else LogPriority.STATE_CHANGE
        )
        if not self.may_write(priority, str(fields.get("event", level))):
            return
        if record["exception"] is not None:
            fields["exception"] = str(message)
        now = record["time"].astimezone(UTC).isoformat(timespec="milliseconds")
        if self._is_text:
            self.sink.put(priority, _format_text_line(now, fields))
            return
        line = {"time": now, **fields}
        self.sink.put(priority, msgspec.json.encode(line, enc_hook=str))


def _format_text_line(now: str, fields: dict[str, Any]) -> bytes:
    """Formats a human-readable line: the time, then the fields."""
    values = [f"{name}={value}" for name, value in fields.items()]
    return " ".join([now[11:23], *values]).encode()


@contextmanager
def open_logs(settings: Logging, host_id: str) -> Iterator[EventLog]:
    """Sends all log lines of this process to standard output within the context."""
    log = EventLog(settings, host_id, sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={"host_id": host_id})
    # diagnose=False: values of variables in tracebacks could be keys or secrets.
    logger.add(
        log.write_message, level=settings.level, diagnose=False, format="{message}"
    )
    try:
        yield log
    finally:
        log.sink.flush()
