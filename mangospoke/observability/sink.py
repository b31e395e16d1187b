"""Where log lines go: a bounded buffer that is written without ever blocking.

A reader of the output that stands still holds up no request: lines wait up to a
bound, and what doesn't fit is counted and said later. Lines that explain a loss have
the largest share of the budget, those of successes the smallest.
"""

import os
import select
import time
from collections import Counter, deque
from collections.abc import Callable

import trio

from mangospoke.observability.events import Retention

_WRITE_INTERVAL_S = 0.05
"""Time for which lines gather, so that one write takes several."""

_PIECE_BYTES = 4_096
"""A pipe that polls as writable takes so much at once (POSIX calls it PIPE_BUF)."""

_PIECES_PER_TURN = 8
_STUCK_INTERVAL_S = 0.25
_FLUSH_WAIT_MS = 500
"""Longest wait for a reader when the process ends."""

LINES_PER_S = {
    Retention.LOSS: 200,
    Retention.BELIEF: 100,
    Retention.NOTABLE: 50,
    Retention.REFUSAL: 50,
    Retention.ROUTINE: 50,
}
"""Lines written in a second at most."""

WAITING_BYTES = {
    Retention.LOSS: 524_288,
    Retention.BELIEF: 131_072,
    Retention.NOTABLE: 65_536,
    Retention.REFUSAL: 65_536,
    Retention.ROUTINE: 65_536,
}
"""Bytes that wait for a reader at most."""

LeftOutReporter = Callable[[dict[str, int]], bytes]
"""Makes the line that says how many lines were left out, by what they tell of."""


class LineSink:
    """Writes lines to a file, a terminal, a pipe or a socket.

    Attributes:
        left_out: Lines left out since the start, by what they tell of.
    """

    def __init__(
        self,
        file_number: int,
        report_left_out: LeftOutReporter,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.left_out: Counter[str] = Counter()
        self._report_left_out = report_left_out
        self._file_number = file_number
        self._clock = clock
        self._poll = select.poll()
        self._poll.register(file_number, select.POLLOUT)
        self._second = int(clock())
        self._lines: Counter[Retention] = Counter()
        self._waiting_bytes: Counter[Retention] = Counter()
        self._waiting: deque[tuple[Retention, bytes]] = deque()
        self._buffer = bytearray()
        self._unsaid: Counter[str] = Counter()
        self._wake = trio.Event()
        self._broken = False

    def may_write(self, retention: Retention, kind: str) -> bool:
        """Takes a line out of the budget, or counts it as left out.

        Args:
            retention: How much the line matters.
            kind: What it tells of, for the count.
        """
        self._turn_second()
        within_rate = self._lines[retention] < LINES_PER_S[retention]
        if within_rate and self._has_room(retention) and not self._broken:
            self._lines[retention] += 1
            return True
        self.left_out[kind] += 1
        self._unsaid[kind] += 1
        return False

    def _turn_second(self) -> None:
        second = int(self._clock())
        if second == self._second:
            return
        self._second = second
        self._lines.clear()
        if self._has_room(Retention.LOSS):
            self._say_left_out()

    def _has_room(self, retention: Retention) -> bool:
        return self._waiting_bytes[retention] < WAITING_BYTES[retention]

    def _say_left_out(self) -> None:
        if self._unsaid:
            unsaid, self._unsaid = self._unsaid, Counter()
            self.put(Retention.LOSS, self._report_left_out(dict(unsaid)))

    def put(self, retention: Retention, line: bytes) -> None:
        """Has a line written that the budget allows.

        Args:
            retention: How much the line matters.
            line: The line, without its end.
        """
        if not self._waiting:
            self._wake.set()
        self._waiting.append((retention, line + b"\n"))
        self._waiting_bytes[retention] += len(line) + 1

    async def run(self) -> None:
        """Writes lines until it is cancelled."""
        while True:
            if not self._waiting and not self._buffer:
                self._wake = trio.Event()
                with trio.move_on_after(1):
                    await self._wake.wait()
                self._turn_second()
            await trio.sleep(_WRITE_INTERVAL_S)
            for _ in range(_PIECES_PER_TURN):
                if not self._write_piece(0):
                    break
            if self._buffer:
                await trio.sleep(_STUCK_INTERVAL_S)

    def flush(self) -> None:
        """Writes what is left, unless its reader stands still."""
        self._say_left_out()
        while self._write_piece(_FLUSH_WAIT_MS):
            pass

    def _write_piece(self, wait_ms: int) -> bool:
        """Writes a piece and returns whether it could."""
        self._fill_buffer()
        if not self._buffer or not self._is_writable(wait_ms):
            return False
        try:
            written = os.write(self._file_number, self._buffer[:_PIECE_BYTES])
        except BlockingIOError:
            return False
        except OSError:
            self._give_up()
            return False
        del self._buffer[:written]
        return True

    def _fill_buffer(self) -> None:
        while self._waiting and len(self._buffer) < _PIECE_BYTES:
            retention, line = self._waiting.popleft()
            self._waiting_bytes[retention] -= len(line)
            self._buffer += line

    def _give_up(self) -> None:
        """Drops all lines: the output itself is gone, so that nobody can be told."""
        self._broken = True
        self._waiting.clear()
        self._waiting_bytes.clear()
        self._buffer.clear()

    def _is_writable(self, wait_ms: int) -> bool:
        return bool(self._poll.poll(wait_ms))
