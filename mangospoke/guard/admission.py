"""Admission control for the upstream: runs, queues or refuses each call."""

import enum
import math
import random
from collections.abc import Callable

import msgspec
import trio

from mangospoke.calls import Call
from mangospoke.guard.concurrency import AdaptiveConcurrencyLimit
from mangospoke.guard.fair_queue import FairQueue, Slot, Waiter
from mangospoke.guard.rate_limit import UpstreamRateLimit
from mangospoke.guard.service_times import ServiceTimes
from mangospoke.peers.messages import Load
from mangospoke.retry_delays import retry_delay_s
from mangospoke.verdicts import RefusalReason, Refused

MAX_QUEUE_WAIT_S = 0.5
"""Maximum wait in a queue that drains from time to time."""

_MIN_STANDING_WAIT_S = 0.02
_MAX_STANDING_WAIT_S = 0.25
"""Bounds on the maximum wait in a standing queue, which is one mean service time."""

_LOW_LOAD_DIVISOR = 4
"""Load is low while fewer than 1/N of the slots are in use."""

_LIKELY_LATE_DIVISOR = 16
"""1/N of the slots may run calls that are unlikely to meet their deadline.

Their service times show when a slow upstream has become fast again.
"""

_MAX_TURN_WAIT_RATIO = 0.5
"""Part of the time for which a call could wait that it may wait for the rate limit.

A turn is scarce, so that it goes to a call that has time left to run.
"""

_WAIT_SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in the moving average of the queue wait."""


class Completion(enum.Enum):
    """How an admitted call ended, which decides what its duration is used for.

    `SHED` means that the upstream refused it without running it, `NO_SAMPLE` that
    its duration says nothing about service times, and `STREAMING` that it still
    holds its slot because its response body is being streamed.
    """

    COMPLETE = "whole"
    SHED = "shed"
    ABORTED = "cut-off"
    NO_SAMPLE = "no-sample"
    STREAMING = "held"


class AdmissionController:
    """Admits calls up to a concurrency limit; others are queued briefly or refused.

    Attributes:
        concurrency: The adaptive concurrency limit.
        rate_limit: The rate limit that the upstream names.
        in_flight: Number of calls that hold a slot.
        hint_ceiling: Upper bound on the limit from the upstream's own reports.
        on_shed: Called with each call that is refused because no slot is free.
    """

    def __init__(self, adapts_limit: bool = True) -> None:
        self.concurrency = AdaptiveConcurrencyLimit(adapts_limit)
        self.rate_limit = UpstreamRateLimit()
        self.in_flight = 0
        self.hint_ceiling = math.inf
        self.on_shed: Callable[[Call, Refused], None] = _ignore_shed
        self._queue = FairQueue()
        self._service_times = ServiceTimes()
        self._likely_late_count = 0
        self._mean_wait_s = 0.0
        self._turns_changed = trio.Event()

    def limit(self, now: float) -> int:
        """Returns the number of calls that may hold a slot now."""
        return self._below_ceiling(self.concurrency.limit_at(now))

    def _below_ceiling(self, limit: int) -> int:
        return int(self.hint_ceiling) if limit > self.hint_ceiling else limit

    async def acquire(self, call: Call, weight: int = 1) -> Slot | Refused:
        """Waits for a slot.

        Args:
            call: The call.
            weight: Fair-queueing weight of its account.
        """
        now = trio.current_time()
        if self._should_refuse_as_late(call, now):
            return _refused_as_late()
        has_slot = not self._queue.waiting_count and self.in_flight < self.limit(now)
        if has_slot and self.rate_limit.take(now):
            return self._acquire_slot(call, weight, now, 0.0)
        over_limit = self._refuse_over_rate_limit(call, now)
        if over_limit is not None:
            self.on_shed(call, over_limit)
            return over_limit
        waiter = Waiter(call, weight, now)
        refused = self._queue.add(waiter)
        if refused is not None:
            self.on_shed(call, refused)
            return refused
        self._update_turns()
        return await self._wait(waiter)

    def _refuse_over_rate_limit(self, call: Call, now: float) -> Refused | None:
        """Refuses a call that the rate limit wouldn't let through in time."""
        ahead_count = self._queue.count_ahead(call.importance)
        wait_s = self.rate_limit.wait_s(ahead_count, now)
        if wait_s == 0:
            return None
        max_wait_s = (self._wait_until(call, now) - now) * _MAX_TURN_WAIT_RATIO
        if call.may_wait and wait_s <= max_wait_s:
            return None
        self.rate_limit.refused_count += 1
        retry_after_s = wait_s + retry_delay_s(call.importance, random.random())
        detail = (
            f"the upstream takes {self.rate_limit.rate_per_s} requests a second, and "
            f"its next turn for this one is in {wait_s * 1000:.0f} ms"
        )
        return Refused(RefusalReason.QUEUE_FULL, detail, retry_after_s)

    def _latest_start_at(self, call: Call) -> float:
        return call.deadline - self._service_times.likely_min_s(call.route)

    def _wait_until(self, call: Call, enqueued_at: float) -> float:
        """Returns the time until which a call that was queued may wait."""
        latest_start_at = self._latest_start_at(call)
        if call.is_sub_call:
            return latest_start_at
        return min(latest_start_at, enqueued_at + MAX_QUEUE_WAIT_S)

    async def _wait(self, waiter: Waiter) -> Slot | Refused:
        call = waiter.call
        wait_until = self._wait_until(call, waiter.enqueued_at)
        try:
            with trio.move_on_at(wait_until):
                await waiter.event.wait()
        except trio.Cancelled:
            self._handle_cancellation(waiter)
            raise
        if not waiter.is_settled:
            self._remove_unadmitted(waiter)
            if wait_until == self._latest_start_at(call):
                return _refused_as_late()
            refused = self._refused_in_queue(call)
            self.on_shed(call, refused)
            return refused
        if waiter.refused is not None:
            if waiter.refused.reason is not RefusalReason.KEY_WITHDRAWN:
                self.on_shed(call, waiter.refused)
            return waiter.refused
        assert waiter.slot is not None
        return waiter.slot

    def _refused_in_queue(self, call: Call) -> Refused:
        """Returns the refusal of a call that waited in vain."""
        detail = "no place became free in time"
        if self.rate_limit.rate_per_s is None:
            return Refused(RefusalReason.QUEUE_FULL, detail)
        self.rate_limit.refused_count += 1
        retry_after_s = retry_delay_s(call.importance, random.random())
        return Refused(RefusalReason.QUEUE_FULL, detail, retry_after_s)

    def _remove_unadmitted(self, waiter: Waiter) -> None:
        waiter.is_settled = True
        self._queue.remove(waiter)

    def _handle_cancellation(self, waiter: Waiter) -> None:
        if not waiter.is_settled:
            self._remove_unadmitted(waiter)
        elif waiter.slot is not None:
            self.release(waiter.slot, Completion.NO_SAMPLE)

    def _should_refuse_as_late(self, call: Call, now: float) -> bool:
        """Whether to refuse a call as unlikely to meet its deadline.

        A bounded number of such calls is admitted to detect a faster upstream.
        """
        if call.deadline - now >= self._service_times.likely_min_s(call.route):
            return False
        allowed = max(1, self.concurrency.ceiling // _LIKELY_LATE_DIVISOR)
        return call.deadline <= now or self._likely_late_count >= allowed

    def _acquire_slot(
        self, call: Call, weight: int, now: float, waited_s: float
    ) -> Slot:
        slot = Slot(call, weight)
        slot.admitted_at = now
        slot.expected_s = self._service_times.expected_s(call.route)
        slot.low_load = self.in_flight * _LOW_LOAD_DIVISOR < self.concurrency.ceiling
        if call.deadline - now < self._service_times.likely_min_s(call.route):
            slot.likely_late = True
            self._likely_late_count += 1
        self._queue.charge(call.account_id, slot.expected_s, weight)
        self._mean_wait_s += _WAIT_SAMPLE_WEIGHT * (waited_s - self._mean_wait_s)
        self.in_flight += 1
        return slot

    def release(self, slot: Slot, completion: Completion) -> None:
        """Frees an admitted call's slot and admits queued calls.

        Args:
            slot: The slot.
            completion: How the call ended.
        """
        now = trio.current_time()
        elapsed_s = now - slot.admitted_at
        self._record_completion(slot, completion, elapsed_s, now)
        self.in_flight -= 1
        if slot.likely_late:
            self._likely_late_count -= 1
        excess_s = elapsed_s - slot.expected_s
        self._queue.adjust_charge(slot.call.account_id, excess_s, slot.weight)
        if self._queue.waiting_count:
            self._admit_waiting(now)

    def _record_completion(
        self, slot: Slot, completion: Completion, elapsed_s: float, now: float
    ) -> None:
        route = slot.call.route
        if completion is Completion.COMPLETE:
            latency_ratio = self._service_times.add_completed(
                route, elapsed_s, slot.low_load
            )
            at_limit = self.in_flight >= self.limit(now)
            self.concurrency.add_sample(latency_ratio, at_limit)
        elif completion is Completion.SHED:
            self.concurrency.add_shed()
        elif completion is Completion.ABORTED:
            self._service_times.add_aborted(route, elapsed_s)
        factor = self.concurrency.close_window(now)
        if factor != 1.0:
            self._service_times.scale_no_load(factor)

    def _admit_waiting(self, now: float) -> None:
        limit = self.limit(now)
        max_standing_wait_s = min(
            max(_MIN_STANDING_WAIT_S, self._service_times.mean_s), _MAX_STANDING_WAIT_S
        )
        while (
            self._queue.waiting_count
            and self.in_flight < limit
            and self.rate_limit.may_take(now)
        ):
            waiter = self._queue.pop(now, max_standing_wait_s)
            if waiter is None:
                return
            if self._should_refuse_as_late(waiter.call, now):
                waiter.refuse(_refused_as_late())
                continue
            self.rate_limit.take(now)
            waited_s = now - waiter.enqueued_at
            slot = self._acquire_slot(waiter.call, waiter.weight, now, waited_s)
            waiter.admit(slot)

        self._update_turns()

    def _update_turns(self) -> None:
        """Has the time of the next turn computed again."""
        if self.rate_limit.rate_per_s is not None:
            self._turns_changed.set()

    def admit_waiting(self) -> None:
        """Admits queued calls after the limit was raised."""
        self._admit_waiting(trio.current_time())

    def apply_rate_limit(self) -> None:
        """Applies a changed rate limit to the calls in the queue.

        Those whose turn wouldn't come in time are refused at once, so that they can be
        sent elsewhere.
        """
        now = trio.current_time()
        ahead_count = 0

        def is_too_late(call: Call) -> bool:
            nonlocal ahead_count
            wait_s = self.rate_limit.wait_s(ahead_count, now)
            if wait_s <= self._wait_until(call, now) - now:
                ahead_count += 1
                return False
            return True

        if self._queue.waiting_count and self.rate_limit.rate_per_s is not None:
            detail = (
                f"the upstream takes {self.rate_limit.rate_per_s} requests a second"
            )
            refused = Refused(RefusalReason.QUEUE_FULL, detail)
            self.rate_limit.refused_count += self.refuse_queued(is_too_late, refused)
        self.admit_waiting()

    async def run(self) -> None:
        """Admits queued calls whenever the rate limit lets one through."""
        while True:
            self._turns_changed = trio.Event()
            with trio.move_on_after(self._next_turn_s()):
                await self._turns_changed.wait()
                continue
            self.admit_waiting()

    def _next_turn_s(self) -> float:
        """Returns the seconds until a queued call may be admitted by the rate limit."""
        now = trio.current_time()
        if not self._queue.waiting_count or self.in_flight >= self.limit(now):
            return math.inf
        return self.rate_limit.wait_s(0, now)

    def refuse_queued(self, predicate: Callable[[Call], bool], refused: Refused) -> int:
        """Refuses all queued calls that match and returns their number."""
        return self._queue.refuse_where(predicate, refused)

    def load(self) -> Load:
        """Returns the current load of the upstream.

        Its limit is the preferred one, so that others choose warm upstreams first.
        """
        now = trio.current_time()
        preferred = self._below_ceiling(self.concurrency.preferred_limit_at(now))
        queued = self._queue.waiting_count
        if queued == 0 and self.in_flight < self.limit(now):
            return Load(self.in_flight, 0, preferred, 0.0)
        wait_s = max(self._mean_wait_s, self._queue.oldest_wait_s(now))
        return Load(self.in_flight, queued, preferred, wait_s * 1000)

    def advertised_load(self) -> Load:
        """Returns the load as told to those who choose an upstream.

        It shows how much room the scarcer of both limits leaves.
        """
        load = self.load()
        if self.rate_limit.rate_per_s is None:
            return load
        now = trio.current_time()
        burst = self.rate_limit.burst
        turns = 0 if load.queued else self.rate_limit.free_count(now)
        free = load.limit - load.in_flight
        if turns >= free:
            return load
        return Load(
            in_flight=burst - turns,
            queued=load.queued,
            limit=burst,
            queue_delay_ms=load.queue_delay_ms,
        )

    def offer_load(self) -> Load:
        """Returns the load as told to a peer, with its turn if there is no room now."""
        load = self.advertised_load()
        if self.rate_limit.rate_per_s is None or load.in_flight < load.limit:
            return load
        turn_s = self.rate_limit.offer_turn_s(load.queued, trio.current_time())
        return msgspec.structs.replace(load, next_turn_ms=turn_s * 1000)


def _refused_as_late() -> Refused:
    detail = "it could not have ended by its deadline"
    return Refused(RefusalReason.DEADLINE_EXCEEDED, detail)


def _ignore_shed(call: Call, refused: Refused) -> None:
    """Does nothing."""
