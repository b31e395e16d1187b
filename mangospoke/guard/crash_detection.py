"""Tells crashes of an upstream from other lost connections."""

from collections.abc import Awaitable, Callable

import trio

from mangospoke.calls import Call
from mangospoke.guard.suspects import poison_fingerprint
from mangospoke.ids import ServiceName

_COLLECT_S = 0.02
"""Time for which calls interrupted by the same crash are collected."""

_PROBE_DELAYS_S = (0.0, 0.05, 0.15)
"""Delays before the connection attempts; one that fails indicates a crash."""

ReachabilityCheck = Callable[[], Awaitable[bool]]
"""Returns whether the local upstream accepts connections."""


class ConnectionLoss:
    """Calls whose connections were lost at the same time.

    Attributes:
        fingerprints: All of these calls.
        trial_fingerprints: Those that were trials.
        handled: Set once a crash was ruled out or reported.
    """

    def __init__(self) -> None:
        """Initializes a loss without calls."""
        self.fingerprints: set[str] = set()
        self.trial_fingerprints: set[str] = set()
        self.handled = trio.Event()


CrashReport = Callable[[ServiceName, ConnectionLoss], Awaitable[None]]
"""Called with the service of an upstream that crashed, and the calls it was running."""


class CrashDetector:
    """Collects calls whose connections were lost, and reports the crashes."""

    def __init__(self, is_reachable: ReachabilityCheck, report: CrashReport) -> None:
        """Initializes the detector.

        Args:
            is_reachable: Returns whether the upstream accepts connections.
            report: Reports a crash.
        """
        self._is_reachable = is_reachable
        self._report = report
        self._current_loss: ConnectionLoss | None = None

    async def handle_loss(self, call: Call, trial_fingerprint: str | None) -> None:
        """Processes the loss of a call's connection; returns once it was reported.

        Args:
            call: The call.
            trial_fingerprint: Its fingerprint if it was on trial, else None.
        """
        loss = self._current_loss
        is_first = loss is None
        if loss is None:
            loss = self._current_loss = ConnectionLoss()
        loss.fingerprints.add(poison_fingerprint(call))
        if trial_fingerprint is not None:
            loss.trial_fingerprints.add(trial_fingerprint)
        if not is_first:
            await loss.handled.wait()
            return
        try:
            with trio.CancelScope(shield=True):
                await trio.sleep(_COLLECT_S)
                self._current_loss = None
                if await self._has_crashed():
                    await self._report(call.service, loss)
        finally:
            loss.handled.set()

    async def _has_crashed(self) -> bool:
        for delay_s in _PROBE_DELAYS_S:
            await trio.sleep(delay_s)
            if not await self._is_reachable():
                return True
        return False
