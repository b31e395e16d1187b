"""Writes log lines from a bounded buffer without blocking.

A stalled reader of the output delays no request: lines are buffered up to a limit, and
lines beyond it are dropped, counted and reported later. Lines that explain a failure
have the largest budget, lines about successes the smallest.
"""

import os
import select
import time
from collections import Counter, deque
from collections.abc import Callable

import trio

from mangospoke.observability.events import LogPriority

_BATCH_INTERVAL_S = 0.05
"""Time for which lines are collected, so that one write covers several."""

_CHUNK_BYTES = 4_096
"""A pipe that polls as writable accepts this much without blocking (PIPE_BUF)."""

_CHUNKS_PER_BATCH = 8
_STALLED_INTERVAL_S = 0.25
_FLUSH_TIMEOUT_MS = 500
"""Maximum wait for a stalled reader at process exit."""

MAX_LINES_PER_S = {
    LogPriority.LOSS: 200,
    LogPriority.STATE_CHANGE: 100,
    LogPriority.NOTABLE: 50,
    LogPriority.REFUSAL: 50,
    LogPriority.ROUTINE: 50,
}
"""Maximum number of lines per second, by priority."""

MAX_BUFFERED_BYTES = {
    LogPriority.LOSS: 524_288,
    LogPriority.STATE_CHANGE: 131_072,
    LogPriority.NOTABLE: 65_536,
    LogPriority.REFUSAL: 65_536,
    LogPriority.ROUTINE: 65_536,
}
"""Limits of buffered bytes, by priority; a line may exceed them by its length."""

DroppedLinesFormatter = Callable[[dict[str, int]], bytes]
"""Formats the line that reports the number of dropped lines by event and reason."""


class LineSink:
    """Writes lines to a file, terminal, pipe or socket.

    Attributes:
        dropped_lines: Number of lines dropped since the start, by event and reason.
    """

    def __init__(
        self,
        file_descriptor: int,
        format_dropped_lines: DroppedLinesFormatter,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.dropped_lines: Counter[str] = Counter()
        self._format_dropped_lines = format_dropped_lines
        self._file_descriptor = file_descriptor
        self._clock = clock
        self._poller = select.poll()
        self._poller.register(file_descriptor, select.POLLOUT)
        self._current_second = int(clock())
        self._lines_this_second: Counter[LogPriority] = Counter()
        self._queued_bytes: Counter[LogPriority] = Counter()
        self._queued_lines: deque[tuple[LogPriority, bytes]] = deque()
        self._write_buffer = bytearray()
        self._unreported: Counter[str] = Counter()
        self._line_queued = trio.Event()
        self._is_broken = False

    def may_write(self, priority: LogPriority, kind: str) -> bool:
        """Charges a line to the budget; if that is used up, counts it as dropped.

        Args:
            priority: Priority of the line.
            kind: Event and reason of the line, for the count of dropped lines.

        Returns:
            Whether the line may be passed to `put`.
        """
        self._advance_second()
        within_rate = self._lines_this_second[priority] < MAX_LINES_PER_S[priority]
        if within_rate and self._has_room(priority) and not self._is_broken:
            self._lines_this_second[priority] += 1
            return True
        self.dropped_lines[kind] += 1
        self._unreported[kind] += 1
        return False

    def _advance_second(self) -> None:
        second = int(self._clock())
        if second == self._current_second:
            return
        self._current_second = second
        self._lines_this_second.clear()
        if self._has_room(LogPriority.LOSS):
            self._report_unreported_lines()

    def _has_room(self, priority: LogPriority) -> bool:
        return self._queued_bytes[priority] < MAX_BUFFERED_BYTES[priority]

    def _report_unreported_lines(self) -> None:
        if self._unreported:
            unreported, self._unreported = self._unreported, Counter()
            self.put(LogPriority.LOSS, self._format_dropped_lines(dict(unreported)))

    def put(self, priority: LogPriority, line: bytes) -> None:
        """Buffers a line for which `may_write` returned True.

        Args:
            priority: Priority of the line.
            line: The line without the newline.
        """
        if not self._queued_lines:
            self._line_queued.set()
        self._queued_lines.append((priority, line + b"\n"))
        self._queued_bytes[priority] += len(line) + 1

    async def run(self) -> None:
        """Writes buffered lines until cancelled."""
        while True:
            if not self._queued_lines and not self._write_buffer:
                self._line_queued = trio.Event()
                with trio.move_on_after(1):
                    await self._line_queued.wait()
                self._advance_second()
            await trio.sleep(_BATCH_INTERVAL_S)
            for _ in range(_CHUNKS_PER_BATCH):
                if not self._write_chunk(0):
                    break
            if self._write_buffer:
                await trio.sleep(_STALLED_INTERVAL_S)

    def flush(self) -> None:
        """Writes all buffered lines, unless the reader is stalled."""
        self._report_unreported_lines()
        while self._write_chunk(_FLUSH_TIMEOUT_MS):
            pass

    def _write_chunk(self, timeout_ms: int) -> bool:
        """Writes a chunk; returns False if there is none or the output isn't ready."""
        self._fill_buffer()
        if not self._write_buffer or not self._is_writable(timeout_ms):
            return False
        try:
            written = os.write(self._file_descriptor, self._write_buffer[:_CHUNK_BYTES])
        except BlockingIOError:
            return False
        except OSError:
            self._mark_broken()
            return False
        del self._write_buffer[:written]
        return True

    def _fill_buffer(self) -> None:
        while self._queued_lines and len(self._write_buffer) < _CHUNK_BYTES:
            priority, line = self._queued_lines.popleft()
            self._queued_bytes[priority] -= len(line)
            self._write_buffer += line

    def _mark_broken(self) -> None:
        """Discards all lines after a write error: the output is closed."""
        self._is_broken = True
        self._queued_lines.clear()
        self._queued_bytes.clear()
        self._write_buffer.clear()

    def _is_writable(self, timeout_ms: int) -> bool:
        return bool(self._poller.poll(timeout_ms))
