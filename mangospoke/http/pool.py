"""Pool of idle connections to one address."""

import math
from collections.abc import Callable
from dataclasses import dataclass

import trio

from mangospoke.http.client import HttpConnection


@dataclass(slots=True, eq=False)
class _IdleConnection:
    """A connection in the pool.

    Attributes:
        connection: The connection.
        expires_at: Time on trio's clock, in seconds, from which it is not reused.
    """

    connection: HttpConnection
    expires_at: float


def _always(connection: HttpConnection) -> bool:
    """Accepts every connection."""
    return True


class IdleConnectionPool:
    """A pool that hands out the most recently used connection first."""

    def __init__(self) -> None:
        self._idle: list[_IdleConnection] = []

    def __len__(self) -> int:
        return len(self._idle)

    async def acquire(
        self, suits: Callable[[HttpConnection], bool] = _always
    ) -> HttpConnection | None:
        """Removes and returns a usable connection; None if there is none.

        Connections that are found stale or expired are closed.

        Args:
            suits: Returns whether a connection suits; others stay in the pool.
        """
        now = trio.current_time()
        for idle in reversed(self._idle.copy()):
            if not suits(idle.connection):
                continue
            self._idle.remove(idle)
            if now < idle.expires_at and not idle.connection.is_stale():
                return idle.connection
            await idle.connection.aclose()
        return None

    def release(self, connection: HttpConnection, expires_at: float = math.inf) -> None:
        """Adds a connection whose last exchange is complete.

        Args:
            connection: The connection.
            expires_at: Time on trio's clock, in seconds, from which it is not reused.
        """
        self._idle.append(_IdleConnection(connection, expires_at))

    async def aclose(self) -> None:
        """Closes all connections in the pool."""
        while self._idle:
            await self._idle.pop().connection.aclose()
