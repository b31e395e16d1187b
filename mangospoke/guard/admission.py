"""Admission to the upstream: who runs, who waits and who is refused."""

import enum
import math
from collections.abc import Callable

import trio

from mangospoke.calls import Call
from mangospoke.guard.concurrency import ConcurrencyLimit
from mangospoke.guard.fair_queue import FairQueue, Place, Waiter
from mangospoke.guard.service_times import ServiceTimes
from mangospoke.peers.messages import Load
from mangospoke.verdicts import RefusalReason, Refused

LONGEST_WAIT_S = 0.5
"""Time that a call may wait in a queue that is emptied now and then."""

_LEAST_STANDING_WAIT_S = 0.02
_LONGEST_STANDING_WAIT_S = 0.25
"""Bounds on the wait in a standing queue, which is one service time."""

_LOW_LOAD_SHARE = 4
"""Load is low while less than one place in this many is taken."""

_DOUBTFUL_SHARE = 16
"""One place in this many may run calls that hardly can finish in time.

Their times show when an upstream has become fast again.
"""

_WAIT_WEIGHT = 0.1
"""Weight of a new sample in the mean wait."""


class Completion(enum.Enum):
    """How an admitted call left the upstream, for what can be learned from it.

    `HELD` says that it has not left yet: its answer is still being streamed.
    """

    WHOLE = "whole"
    SHED = "shed"
    CUT_OFF = "cut-off"
    NO_SAMPLE = "no-sample"
    HELD = "held"


class Admission:
    """Admits calls within the learned limit; the rest wait a short time or not at all.

    Attributes:
        concurrency: The learned limit.
        in_flight: Calls that hold a place.
        hint_ceiling: Upper bound that the upstream's own reports suggest.
        on_shed: Called with each call that is refused for lack of places.
    """

    def __init__(self, learns_limit: bool = True) -> None:
        self.concurrency = ConcurrencyLimit(learns_limit)
        self.in_flight = 0
        self.hint_ceiling = math.inf
        self.on_shed: Callable[[Call, Refused], None] = _ignore_shed
        self._queue = FairQueue()
        self._times = ServiceTimes()
        self._doubtful = 0
        self._mean_wait_s = 0.0

    def limit(self, now: float) -> int:
        """Calls that may hold a place now."""
        limit = self.concurrency.current(now)
        if limit > self.hint_ceiling:
            return int(self.hint_ceiling)
        return limit

    async def enter(self, call: Call, weight: int = 1) -> Place | Refused:
        """Waits for a place.

        Args:
            call: The call.
            weight: Weight of its account.
        """
        now = trio.current_time()
        if self._is_hopeless(call, now):
            return _hopeless()
        if not self._queue.live and self.in_flight < self.limit(now):
            return self._take_place(call, weight, now, 0.0)
        waiter = Waiter(call, weight, now)
        refused = self._queue.add(waiter)
        if refused is not None:
            self.on_shed(call, refused)
            return refused
        return await self._wait(waiter)

    async def _wait(self, waiter: Waiter) -> Place | Refused:
        call = waiter.call
        latest = call.deadline - self._times.least_s(call.route)
        until = latest
        if not call.is_sub_call:
            until = min(latest, waiter.enqueued_at + LONGEST_WAIT_S)
        try:
            with trio.move_on_at(until):
                await waiter.event.wait()
        except trio.Cancelled:
            self._abandon(waiter)
            raise
        if not waiter.is_settled:
            self._settle_gone(waiter)
            if until == latest:
                return _hopeless()
            refused = Refused(RefusalReason.QUEUE_FULL, "no place became free in time")
            self.on_shed(call, refused)
            return refused
        if waiter.refused is not None:
            if waiter.refused.reason is not RefusalReason.KEY_WITHDRAWN:
                self.on_shed(call, waiter.refused)
            return waiter.refused
        assert waiter.place is not None
        return waiter.place

    def _settle_gone(self, waiter: Waiter) -> None:
        waiter.is_settled = True
        self._queue.remove(waiter)

    def _abandon(self, waiter: Waiter) -> None:
        if not waiter.is_settled:
            self._settle_gone(waiter)
        elif waiter.place is not None:
            self.leave(waiter.place, Completion.NO_SAMPLE)

    def _is_hopeless(self, call: Call, now: float) -> bool:
        """Whether a call can't finish in time; a few are let run all the same."""
        if call.deadline - now >= self._times.least_s(call.route):
            return False
        allowed = max(1, self.concurrency.ceiling // _DOUBTFUL_SHARE)
        return call.deadline <= now or self._doubtful >= allowed

    def _take_place(
        self, call: Call, weight: int, now: float, waited_s: float
    ) -> Place:
        place = Place(call, weight)
        place.admitted_at = now
        place.expected_s = self._times.expected_s(call.route)
        place.low_load = self.in_flight * _LOW_LOAD_SHARE < self.concurrency.ceiling
        if call.deadline - now < self._times.least_s(call.route):
            place.doubtful = True
            self._doubtful += 1
        self._queue.charge(call.account_id, place.expected_s, weight)
        self._mean_wait_s += _WAIT_WEIGHT * (waited_s - self._mean_wait_s)
        self.in_flight += 1
        return place

    def leave(self, place: Place, completion: Completion) -> None:
        """Gives an admitted call's place to the next.

        Args:
            place: The place.
            completion: How the call left the upstream.
        """
        now = trio.current_time()
        elapsed_s = now - place.admitted_at
        self._learn(place, completion, elapsed_s, now)
        self.in_flight -= 1
        if place.doubtful:
            self._doubtful -= 1
        used_s = elapsed_s - place.expected_s
        self._queue.correct(place.call.account_id, used_s, place.weight)
        if self._queue.live:
            self._admit_waiting(now)

    def _learn(
        self, place: Place, completion: Completion, elapsed_s: float, now: float
    ) -> None:
        route = place.call.route
        if completion is Completion.WHOLE:
            inflation = self._times.add(route, elapsed_s, place.low_load)
            is_full = self.in_flight >= self.limit(now)
            self.concurrency.add_sample(inflation, is_full)
        elif completion is Completion.SHED:
            self.concurrency.add_shed()
        elif completion is Completion.CUT_OFF:
            self._times.add_unfinished(route, elapsed_s)
        factor = self.concurrency.close_window(now)
        if factor != 1.0:
            self._times.scale_no_load(factor)

    def _admit_waiting(self, now: float) -> None:
        limit = self.limit(now)
        standing_s = min(
            max(_LEAST_STANDING_WAIT_S, self._times.mean_s), _LONGEST_STANDING_WAIT_S
        )
        while self._queue.live and self.in_flight < limit:
            waiter = self._queue.pop(now, standing_s)
            if waiter is None:
                return
            if self._is_hopeless(waiter.call, now):
                waiter.refuse(_hopeless())
                continue
            waited_s = now - waiter.enqueued_at
            place = self._take_place(waiter.call, waiter.weight, now, waited_s)
            waiter.admit(place)

    def admit_waiting(self) -> None:
        """Admits what a raised limit makes room for."""
        self._admit_waiting(trio.current_time())

    def refuse_queued(self, condemned: Callable[[Call], bool], refused: Refused) -> int:
        """Refuses all queued calls of a kind and returns how many there were."""
        return self._queue.refuse_where(condemned, refused)

    def load(self) -> Load:
        """How loaded the upstream is now."""
        now = trio.current_time()
        limit = self.limit(now)
        queued = self._queue.live
        if queued == 0 and self.in_flight < limit:
            return Load(self.in_flight, 0, limit, 0.0)
        wait_s = max(self._mean_wait_s, self._queue.oldest_wait_s(now))
        return Load(self.in_flight, queued, limit, wait_s * 1000)


def _hopeless() -> Refused:
    detail = "it could not have ended by its deadline"
    return Refused(RefusalReason.DEADLINE_EXCEEDED, detail)


def _ignore_shed(call: Call, refused: Refused) -> None:
    """Does nothing."""
