"""One budget for the memory that callers' connections hold in a process.

It answers crowds of callers that make the daemon hold bytes without moving on: bodies
that stop short of their end, answers that aren't read, connections that stay silent.

Everything that a connection holds draws on the budget. Beyond `limit`, requests of
connections that hold much are refused, and the connections that hold most for longest
are closed. What lies between `limit` and `total` is kept back for ordinary callers,
whose requests are small. A connection whose request has been handed on is never closed.
"""

import enum
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import trio
from loguru import logger

from mangospoke.observability.status import CallersStatus

CONNECTION_BYTES = 8_192
"""What an open connection costs without a request: its task, parser and socket."""

FIELD_BYTES = 250
"""What a header field costs besides its bytes: it is held as several objects."""

MANY_FIELDS = 200
"""A head with more fields takes milliseconds to parse, and waits for its turn."""

_MAX_WAITING_HEADS = 8

_COPIES = 2
"""A body is held in parts and joined, so that both exist for a moment."""

_CALLERS_RATIO = 0.5
"""Part of the process's memory that callers may hold."""

_KEPT_BACK_RATIO = 0.25
"""Part of the budget that is kept back for small requests."""

SMALL_BYTES = 131_072
"""A connection that holds no more than this draws on what is kept back."""

_MIN_STALL_S = 1.0
"""A connection that has moved more recently isn't closed."""

_MIN_PROGRESS_BYTES = 4_096
"""Bytes that count as progress; fewer are those of a caller that trickles."""

_MIN_SEARCH_INTERVAL_S = 0.1
"""After a search that found no connection to close."""

_FILE_DESCRIPTORS = 200
_CONNECTIONS_RATIO = 0.385
"""Part of the other descriptors for callers, and as much for peers. The rest is for
connections that the daemon opens: to its upstream, to peers and to the log."""

_MIN_CONNECTIONS = 16

MAX_CONNECTIONS = 1_500
"""Connections of callers that are open at once, and of peers."""

_SERVICE_CONNECTIONS = 100
_SERVICE_BYTES = 8_000_000
"""Kept apart for heartbeats, readiness probes and operators, on their own listeners."""

SERVICE_BODY_BYTES = 65_536
"""Largest body on these listeners."""

_BYTES_PER_MB = 1_000_000


class Kind(enum.IntEnum):
    """What bytes are held for."""

    CONNECTION = 0
    REQUEST = 1
    RESPONSE = 2


class Cause(enum.Enum):
    """Why a connection was closed or a request refused."""

    CLOSED_FOR_BYTES = "closed-for-bytes"
    CLOSED_FOR_CONNECTIONS = "closed-for-connections"
    REQUEST_REFUSED = "request-refused"
    CONNECTION_REFUSED = "connection-refused"


@dataclass(frozen=True, slots=True)
class Capacity:
    """What the connections of some listeners may use.

    Attributes:
        held_bytes: Bytes that they may hold.
        connections: Connections that may be open at once.
    """

    held_bytes: float = math.inf
    connections: float = math.inf


def callers_capacity(memory_mb: float, max_descriptors: float) -> Capacity:
    """Returns what callers may use of a process's memory, in MB, and descriptors."""
    return Capacity(
        memory_mb * _BYTES_PER_MB * _CALLERS_RATIO / _COPIES,
        max_connections(max_descriptors),
    )


def service_capacity() -> Capacity:
    """Returns what heartbeats, readiness probes and operators may use."""
    return Capacity(_SERVICE_BYTES, _SERVICE_CONNECTIONS)


def max_connections(max_descriptors: float) -> int:
    """Returns the connections that callers, and peers, may have open."""
    ours = (max_descriptors - _FILE_DESCRIPTORS) * _CONNECTIONS_RATIO
    return int(min(MAX_CONNECTIONS, max(_MIN_CONNECTIONS, ours)))


UNLIMITED = Capacity()


class Holder:
    """What one connection holds; a context manager that gives it back.

    Attributes:
        held: Bytes held.
        handed_on: Number of requests in progress that have been handed on.
        held_by_kind: The same by what they are held for.
        budget: What all connections share.
    """

    __slots__ = (
        "_close",
        "_moved",
        "_moved_at",
        "budget",
        "handed_on",
        "held",
        "held_by_kind",
    )

    def __init__(self, budget: "HeldBytes", close: Callable[[], None]) -> None:
        self.held = 0
        self.held_by_kind = [0] * len(Kind)
        self.handed_on = 0
        self.budget = budget
        self._close = close
        self._moved = 0
        self._moved_at = trio.current_time()

    def draw(self, kind: Kind, size: int) -> None:
        """Counts bytes that are held from now on."""
        self.held += size
        self.held_by_kind[kind] += size
        self.budget.held += size
        self.note_progress(size)

    def give_back(self, kind: Kind, size: int) -> None:
        """Counts bytes that are no longer held."""
        self.held -= size
        self.held_by_kind[kind] -= size
        self.budget.held -= size

    def note_progress(self, size: int) -> None:
        """Notes that bytes have moved in either direction."""
        self._moved += size
        if self._moved >= _MIN_PROGRESS_BYTES:
            self.mark_progress()

    def mark_progress(self) -> None:
        """Notes that the connection has moved on."""
        self._moved = 0
        self._moved_at = trio.current_time()

    def may_hold_more(self) -> bool:
        """Returns whether a request may be read on; makes room if it is short."""
        budget = self.budget
        return budget.held <= budget.limit or budget.has_room_for(self)

    def stalled_s(self, now: float) -> float:
        """Returns the seconds since the connection moved on last."""
        return now - self._moved_at

    def close(self) -> None:
        """Closes the connection, whatever it is doing."""
        self._close()

    def __enter__(self) -> "Holder":
        self.budget.open(self)
        return self

    def __exit__(self, *exc_info: object) -> None:
        for kind in Kind:
            self.give_back(kind, self.held_by_kind[kind])
        self.budget.discard(self)


class HeldBytes:
    """The bytes that all connections of a process hold.

    Attributes:
        held: Bytes held.
        limit: Bytes beyond which room is made.
        counts_by_cause: Connections closed and requests refused.
    """

    def __init__(self, capacity: Capacity = UNLIMITED) -> None:
        self.held = 0
        self.counts_by_cause: Counter[Cause] = Counter()
        self._capacity = capacity
        self.limit = capacity.held_bytes * (1 - _KEPT_BACK_RATIO)
        self._holders: set[Holder] = set()
        self._closing_by_holder: dict[Holder, int] = {}
        self._closing_bytes = 0
        self._search_at = -math.inf
        self._parsing = trio.Lock()

    def __len__(self) -> int:
        return len(self._holders)

    def status(self) -> CallersStatus:
        """Returns what is held, and what was turned away, for operators."""
        held_by_kind = self.held_by_kind()
        return CallersStatus(
            len(self),
            {kind.name.lower(): held_by_kind[kind] for kind in Kind},
            {cause.value: self.counts_by_cause[cause] for cause in Cause},
        )

    def open(self, holder: Holder) -> None:
        """Adds a connection."""
        self._holders.add(holder)
        holder.draw(Kind.CONNECTION, CONNECTION_BYTES)

    def discard(self, holder: Holder) -> None:
        """Removes a connection that has given back all that it held."""
        self._holders.discard(holder)
        self._closing_bytes -= self._closing_by_holder.pop(holder, 0)

    def held_by_kind(self) -> list[int]:
        """Returns the bytes held by open connections, by what they are held for."""
        return [sum(each.held_by_kind[kind] for each in self._holders) for kind in Kind]

    def accepts_connection(self) -> bool:
        """Returns whether one more may be opened; closes another to make room."""
        is_full = len(self._holders) >= self._capacity.connections
        if is_full and not self._close_worst(Cause.CLOSED_FOR_CONNECTIONS):
            self.counts_by_cause[Cause.CONNECTION_REFUSED] += 1
            return False
        if not self._is_over(self.limit):
            return True
        self._make_room()
        if not self._is_over(self._capacity.held_bytes):
            return True
        self.counts_by_cause[Cause.CONNECTION_REFUSED] += 1
        return False

    def _is_over(self, limit: float) -> bool:
        return self.held - self._closing_bytes > limit

    def has_room_for(self, holder: Holder) -> bool:
        """Returns whether a connection may hold what it has drawn."""
        if not self._is_over(self.limit):
            return True
        self._make_room()
        is_small = holder.held <= CONNECTION_BYTES + SMALL_BYTES
        limit = self._capacity.held_bytes if is_small else self.limit
        if not self._is_over(limit):
            return True
        self.counts_by_cause[Cause.REQUEST_REFUSED] += 1
        return False

    async def wait_to_parse(self) -> None:
        """Waits for the turn to parse input that takes long for its size.

        In one round of the event loop a single connection gets its turn, so that
        others are served between.
        """
        async with self._parsing:
            await trio.lowlevel.checkpoint()

    def can_wait_to_parse(self) -> bool:
        """Returns whether one more request may wait to be parsed."""
        if self._parsing.statistics().tasks_waiting < _MAX_WAITING_HEADS:
            return True
        self.counts_by_cause[Cause.REQUEST_REFUSED] += 1
        return False

    def _make_room(self) -> None:
        now = trio.current_time()
        if now < self._search_at:
            return
        while self._is_over(self.limit):
            if not self._close_worst(Cause.CLOSED_FOR_BYTES):
                break
        if self._is_over(self.limit):
            self._search_at = now + _MIN_SEARCH_INTERVAL_S

    def _close_worst(self, cause: Cause) -> bool:
        """Closes the connection that holds most for longest; False if none may be."""
        now = trio.current_time()
        worst, worst_score = None, 0.0
        for holder in self._holders:
            stalled_s = holder.stalled_s(now)
            if holder.handed_on or stalled_s < _MIN_STALL_S:
                continue
            score = holder.held * stalled_s
            if score > worst_score:
                worst, worst_score = holder, score
        if worst is None:
            return False
        self._holders.discard(worst)
        self._closing_by_holder[worst] = worst.held
        self._closing_bytes += worst.held
        self.counts_by_cause[cause] += 1
        _log_closed(cause, worst, now)
        worst.close()
        return True


def _log_closed(cause: Cause, holder: Holder, now: float) -> None:
    logger.bind(
        event="connection_closed_for_room",
        cause=cause.value,
        held_bytes=holder.held,
        stalled_s=round(holder.stalled_s(now), 1),
    ).warning("closed a connection of a caller to make room: {}", cause.value)
