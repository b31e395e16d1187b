"""Log lines: JSON or text on standard output, within a budget, never blocking."""

import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import UTC, datetime
from typing import Any

import msgspec
from loguru import logger

from mangospoke.conf.settings import LogFormat, Logging
from mangospoke.observability.events import Event, LinesLeftOut, Retention
from mangospoke.observability.sink import LineSink

_RARE_LEVELS = frozenset({"ERROR", "CRITICAL"})


class EventLog:
    """Writes events and all other lines of one process.

    Attributes:
        sink: Where lines go; it has to be run.
    """

    def __init__(
        self,
        settings: Logging,
        host_id: str,
        file_number: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.sink = LineSink(file_number, self._left_out_line, clock)
        self._is_text = settings.format is LogFormat.TEXT
        self._head = b',"host_id":' + msgspec.json.encode(host_id)

    def write(self, event: Event, retention: Retention) -> None:
        """Writes an event that `may_write` let pass."""
        self.sink.put(retention, self._line_of(event))

    def may_write(self, retention: Retention, kind: str) -> bool:
        """Whether a line is within the budget; counts it if it isn't."""
        return self.sink.may_write(retention, kind)

    def _left_out_line(self, counts: dict[str, int]) -> bytes:
        return self._line_of(LinesLeftOut(counts=counts))

    def _line_of(self, event: Event) -> bytes:
        now = datetime.now(UTC).isoformat(timespec="milliseconds")
        if self._is_text:
            return _text_line(now, msgspec.to_builtins(event))
        content = msgspec.json.encode(event)
        return b'{"time":"%s"%s,%s' % (now.encode(), self._head, content[1:])

    def take_message(self, message: Any) -> None:
        """Takes a line of the logging library.

        Args:
            message: As loguru hands it to a sink.
        """
        record = message.record
        level = record["level"].name
        fields = {"level": level, "message": record["message"], **record["extra"]}
        retention = Retention.LOSS if level in _RARE_LEVELS else Retention.BELIEF
        if not self.may_write(retention, str(fields.get("event", level))):
            return
        if record["exception"] is not None:
            fields["exception"] = str(message)
        now = record["time"].astimezone(UTC).isoformat(timespec="milliseconds")
        if self._is_text:
            self.sink.put(retention, _text_line(now, fields))
            return
        line = {"time": now, **fields}
        self.sink.put(retention, msgspec.json.encode(line, enc_hook=str))


def _text_line(now: str, fields: dict[str, Any]) -> bytes:
    """A line for people: the time, then the fields."""
    values = [f"{name}={value}" for name, value in fields.items()]
    return " ".join([now[11:23], *values]).encode()


@contextmanager
def open_logs(settings: Logging, host_id: str) -> Iterator[EventLog]:
    """Sends all lines of this process to standard output, until the context ends."""
    log = EventLog(settings, host_id, sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={"host_id": host_id})
    # Values of variables in tracebacks could be keys or secrets.
    logger.add(
        log.take_message, level=settings.level, diagnose=False, format="{message}"
    )
    try:
        yield log
    finally:
        log.sink.flush()
