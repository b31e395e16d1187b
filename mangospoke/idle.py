"""Counter of work in progress, to wait until all of it has finished."""

from types import TracebackType

import trio


class WorkCounter:
    """Counts work in progress; each unit of work enters it as a context manager."""

    def __init__(self) -> None:
        self.count = 0
        self._idle = trio.Event()
        self._idle.set()

    def __enter__(self) -> None:
        if self.count == 0:
            self._idle = trio.Event()
        self.count += 1

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.count -= 1
        if self.count == 0:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Waits until no work is in progress."""
        while self.count:
            await self._idle.wait()
