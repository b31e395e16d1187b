"""Keeps requests from an upstream whose failure domain is evacuated.

Load pattern: requests that were placed before their sender knew of the evacuation
arrive late, or wait in the queue. For a short notice they still run, as senders learn
of it at slightly different times; after that all that haven't reached the upstream are
refused without having run, so that their senders place them elsewhere.
"""

from collections.abc import Callable

import trio
from loguru import logger

from mangospoke.ids import FailureDomainId
from mangospoke.state.evacuations import Evacuations
from mangospoke.verdicts import RefusalReason, Refused

REFUSED = Refused(RefusalReason.EVACUATED, "the failure domain is evacuated")


class EvacuationGate:
    """Tells whether the upstream of this host may get requests."""

    def __init__(
        self,
        evacuations: Evacuations,
        domain: FailureDomainId,
        notice_s: float,
        refuse_queued: Callable[[Refused], int],
    ) -> None:
        """Initializes the gate.

        Args:
            evacuations: The evacuated failure domains.
            domain: This host's failure domain.
            notice_s: Seconds after it is known in which requests still run.
            refuse_queued: Refuses all queued requests and returns their number.
        """
        self._evacuations = evacuations
        self._domain = domain
        self._notice_s = notice_s
        self._refuse_queued = refuse_queued
        self._changed = trio.Event()
        evacuations.listeners.append(self._wake)

    def is_closed(self) -> bool:
        """Whether no request may reach the upstream now."""
        return self._evacuations.age_s(self._domain) >= self._notice_s

    def _wake(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def run(self) -> None:
        """Refuses what is queued at the end of each notice, until cancelled."""
        while True:
            changed = self._changed
            left_s = self._notice_s - self._evacuations.age_s(self._domain)
            if left_s <= 0:
                self._close()
                await changed.wait()
            else:
                with trio.move_on_after(left_s):
                    await changed.wait()

    def _close(self) -> None:
        count = self._refuse_queued(REFUSED)
        if count:
            logger.bind(event="evacuation_queue_refused", count=count).info(
                "{} queued requests are refused, as the domain is evacuated", count
            )
