"""The faults in force at a stand-in upstream, and when each strikes."""

import random
import time

from mangospoke.standin.service_time import slow_factor
from mangospoke.standin.upstream_settings import Chance, UpstreamFaults


class FaultDice:
    """Decides which requests the faults strike.

    Attributes:
        faults: The faults in force.
    """

    def __init__(self, seed: int) -> None:
        self.faults = UpstreamFaults()
        self._set_at = 0.0
        self._random = random.Random(seed)
        self._struck_by_name: dict[str, int] = {}

    def set(self, faults: UpstreamFaults) -> None:
        """Puts other faults in force; their counts begin anew."""
        self.faults = faults
        self._set_at = time.monotonic()
        self._struck_by_name.clear()

    def strikes(self, name: str) -> bool:
        """Whether the fault of that name strikes the request at hand."""
        chance: Chance = getattr(self.faults, name)
        struck = self._struck_by_name.get(name, 0)
        if struck < chance.count:
            self._struck_by_name[name] = struck + 1
            return True
        return chance.probability > 0 and self._random.random() < chance.probability

    @property
    def slow_factor(self) -> float:
        """Factor on service times now."""
        return slow_factor(self.faults, self._set_at)
