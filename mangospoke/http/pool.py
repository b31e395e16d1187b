"""Idle connections to one address, kept for further requests."""

import math
from dataclasses import dataclass

import trio

from mangospoke.http.client import HttpConnection


@dataclass(slots=True)
class _Idle:
    """A connection in the pool.

    Attributes:
        usable_until: Point on trio's clock from which on it is not used again.
    """

    connection: HttpConnection
    usable_until: float


class IdleConnections:
    """A pool out of which the connection used last is taken first."""

    def __init__(self) -> None:
        self._idle: list[_Idle] = []

    def __len__(self) -> int:
        return len(self._idle)

    async def take(self) -> HttpConnection | None:
        """Takes out a connection that can be used; closes those that can't."""
        now = trio.current_time()
        while self._idle:
            idle = self._idle.pop()
            if now < idle.usable_until and not idle.connection.is_stale():
                return idle.connection
            await idle.connection.aclose()
        return None

    def put(self, connection: HttpConnection, usable_until: float = math.inf) -> None:
        """Keeps a connection whose last exchange has ended."""
        self._idle.append(_Idle(connection, usable_until))

    async def aclose(self) -> None:
        """Closes the connections."""
        while self._idle:
            await self._idle.pop().connection.aclose()
