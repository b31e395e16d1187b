"""Eras of the log service.

The log service may come back from an older copy of itself. What was appended since is
then gone, and its offsets are given out again. Each response names an era, which rises
each time: offsets and sequence numbers mean something only within their era.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import trio
from loguru import logger


class LogEra:
    """The era that the log service's responses name.

    Attributes:
        current: The latest era that a response named; None while none did.
        change_count: Number of times that it rose since the daemon's start.
    """

    def __init__(self) -> None:
        self.current: int | None = None
        self.change_count = 0
        self._scopes: set[trio.CancelScope] = set()

    def observe(self, era: int | None) -> bool:
        """Processes the era that a response names, or None if it names none.

        Returns:
            Whether the response is of the present era. A late one of an earlier era
            tells nothing of what the log service holds now.
        """
        if era is None or era == self.current:
            return True
        if self.current is not None and era < self.current:
            return False
        previous, self.current = self.current, era
        if previous is None:
            return True
        self.change_count += 1
        logger.bind(event="log_era", era=era, previous_era=previous).warning(
            "the log service came back from an older copy; it is in era {}", era
        )
        for scope in self._scopes:
            scope.cancel()
        return True

    @contextmanager
    def cancel_at_end(self) -> Iterator[None]:
        """Cancels the block when the era rises: it waits for what may never come."""
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)
