"""The guard's queue: strict priority by importance, then weighted fair queueing.

Accounts are ordered by start-time fair queueing: each has a virtual time that
advances by the slot-seconds it used divided by its weight, and the account with the
lowest virtual time is served first. The calls of one account are served FIFO until
their queue has been standing (never empty) for some time. From then on only the newest
calls can still be answered in time, so it is served LIFO and old calls are dropped.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterator

import trio

from mangospoke.calls import Call
from mangospoke.conf.declarations import Importance
from mangospoke.ids import ClientAccountId
from mangospoke.verdicts import RefusalReason, Refused

MAX_QUEUED_CALLS = 256
MAX_QUEUED_CALLS_PER_ACCOUNT = 128
_STANDING_QUEUE_AFTER_S = 0.1
"""Time without being empty after which a queue counts as a standing queue."""

_MAX_TRACKED_ACCOUNTS = 1_024
"""Number of stored virtual times above which those of idle accounts are dropped."""


class Waiter:
    """A queued call; settled exactly once: admitted, refused or withdrawn.

    Attributes:
        event: Set when the call is admitted or refused.
        slot: The slot that it got, once it is admitted.
        refused: Why it was refused, or None.
    """

    __slots__ = (
        "call",
        "enqueued_at",
        "event",
        "is_settled",
        "slot",
        "refused",
        "weight",
    )

    def __init__(self, call: Call, weight: int, now: float) -> None:
        self.call = call
        self.weight = weight
        self.enqueued_at = now
        self.event = trio.Event()
        self.is_settled = False
        self.slot: Slot | None = None
        self.refused: Refused | None = None

    def admit(self, slot: "Slot") -> None:
        """Admits the call with the given slot."""
        self.is_settled = True
        self.slot = slot
        self.event.set()

    def refuse(self, refused: Refused) -> None:
        """Refuses the call."""
        self.is_settled = True
        self.refused = refused
        self.event.set()


class Slot:
    """A unit of the upstream's concurrency, held by one admitted call.

    Attributes:
        admitted_at: Point on trio's clock at which the call was admitted.
        expected_s: Service time that its account was charged in advance.
        low_load: Whether most slots were free when it was admitted.
        likely_late: Whether it is unlikely to meet its deadline.
    """

    __slots__ = (
        "admitted_at",
        "call",
        "likely_late",
        "expected_s",
        "low_load",
        "weight",
    )

    def __init__(self, call: Call, weight: int) -> None:
        self.call = call
        self.weight = weight
        self.admitted_at = 0.0
        self.expected_s = 0.0
        self.low_load = False
        self.likely_late = False


class _AccountQueue:
    """Calls of one account and one importance.

    Attributes:
        always_fifo: Whether its calls wait until their deadline, oldest first, because
            they are sub-calls of requests that are already running.
        nonempty_since: Point on trio's clock at which the queue was last empty.
        heap_entry_id: Id of its valid heap entry, -1 for none; other entries of the
            queue in the heap are outdated.
        waiting_count: Number of unsettled calls in `waiters`.
    """

    __slots__ = (
        "account_id",
        "nonempty_since",
        "heap_entry_id",
        "always_fifo",
        "waiting_count",
        "waiters",
    )

    def __init__(self, account_id: ClientAccountId, always_fifo: bool) -> None:
        self.account_id = account_id
        self.always_fifo = always_fifo
        self.waiters: deque[Waiter] = deque()
        self.waiting_count = 0
        self.nonempty_since = 0.0
        self.heap_entry_id = -1

    def is_standing(self, now: float) -> bool:
        if self.always_fifo or self.waiting_count == 0:
            return False
        return now - self.nonempty_since > _STANDING_QUEUE_AFTER_S

    def skip_settled(self) -> None:
        while self.waiters and self.waiters[0].is_settled:
            self.waiters.popleft()
        while self.waiters and self.waiters[-1].is_settled:
            self.waiters.pop()


class _ImportanceLevel:
    """Account queues of one importance, in a heap ordered by virtual time."""

    def __init__(self) -> None:
        self.waiting_count = 0
        self.queues_by_account: dict[ClientAccountId, _AccountQueue] = {}
        self.heap: list[tuple[float, int, _AccountQueue]] = []


class FairQueue:
    """Queued calls in the order in which they are to run.

    Attributes:
        waiting_count: Number of unsettled calls in the queue.
    """

    def __init__(self) -> None:
        self.waiting_count = 0
        self._virtual_time = 0.0
        self._virtual_time_by_account: dict[ClientAccountId, float] = {}
        self._heap_entry_ids = itertools.count()
        self._levels_by_importance = {
            importance: _ImportanceLevel() for importance in Importance
        }

    def charge(self, account_id: ClientAccountId, work_s: float, weight: int) -> None:
        """Charges an account in advance for the expected work of a call.

        Args:
            account_id: The account.
            work_s: Expected work in slot-seconds.
            weight: The account's weight.
        """
        start = self._virtual_time_by_account.get(account_id, 0.0)
        if start < self._virtual_time:
            start = self._virtual_time
        self._virtual_time = start
        self._virtual_time_by_account[account_id] = start + work_s / weight
        if len(self._virtual_time_by_account) > _MAX_TRACKED_ACCOUNTS:
            self._drop_idle_accounts()

    def adjust_charge(
        self, account_id: ClientAccountId, work_s: float, weight: int
    ) -> None:
        """Charges an account the difference between actual and expected work."""
        virtual_time = self._virtual_time_by_account.get(account_id)
        if virtual_time is None:
            return
        self._virtual_time_by_account[account_id] = virtual_time + work_s / weight
        if work_s < 0 and self.waiting_count:
            self._reorder_account(account_id)

    def _reorder_account(self, account_id: ClientAccountId) -> None:
        for level in self._levels_by_importance.values():
            queue = level.queues_by_account.get(account_id)
            if queue is not None:
                self._push_account(level, queue)

    def _drop_idle_accounts(self) -> None:
        self._virtual_time_by_account = {
            account_id: virtual_time
            for account_id, virtual_time in self._virtual_time_by_account.items()
            if virtual_time > self._virtual_time
        }

    def _push_account(self, level: _ImportanceLevel, queue: _AccountQueue) -> None:
        virtual_time = self._virtual_time_by_account.get(queue.account_id, 0.0)
        queue.heap_entry_id = next(self._heap_entry_ids)
        heapq.heappush(level.heap, (virtual_time, queue.heap_entry_id, queue))
        if len(level.heap) > 4 * len(level.queues_by_account) + 64:
            level.heap = [
                entry for entry in level.heap if entry[1] == entry[2].heap_entry_id
            ]
            heapq.heapify(level.heap)

    def add(self, waiter: Waiter) -> Refused | None:
        """Queues a call, or returns the refusal if the queue is full.

        A full queue makes room by refusing a less important call, or one of the
        account with the most queued calls.
        """
        call = waiter.call
        level = self._levels_by_importance[call.importance]
        queue = level.queues_by_account.get(call.account_id)
        account_length = queue.waiting_count if queue is not None else 0
        if account_length >= MAX_QUEUED_CALLS_PER_ACCOUNT:
            return Refused(RefusalReason.QUEUE_FULL, "the account's queue is full")
        if self.waiting_count >= MAX_QUEUED_CALLS and not self._make_room(
            call.importance, account_length
        ):
            return Refused(RefusalReason.QUEUE_FULL, "the queue is full")
        if queue is None:
            queue = _AccountQueue(call.account_id, call.is_sub_call)
            level.queues_by_account[call.account_id] = queue
        if queue.waiting_count == 0:
            queue.nonempty_since = waiter.enqueued_at
            self._advance_virtual_time(call.account_id)
            self._push_account(level, queue)
        queue.waiters.append(waiter)
        queue.waiting_count += 1
        level.waiting_count += 1
        self.waiting_count += 1
        return None

    def _advance_virtual_time(self, account_id: ClientAccountId) -> None:
        """Raises an account to the global virtual time: idle time earns no credit."""
        virtual_time = self._virtual_time_by_account.get(account_id, 0.0)
        if virtual_time < self._virtual_time:
            self._virtual_time_by_account[account_id] = self._virtual_time

    def _make_room(self, importance: Importance, account_length: int) -> bool:
        for level_importance in reversed(Importance):
            level = self._levels_by_importance[level_importance]
            if level_importance < importance or level.waiting_count == 0:
                continue
            longest_queue = max(
                level.queues_by_account.values(), key=lambda queue: queue.waiting_count
            )
            if level_importance > importance:
                detail = "a more important request took its place"
                refused = Refused(RefusalReason.SHED_FOR_IMPORTANCE, detail)
            elif longest_queue.waiting_count > account_length + 1:
                detail = "another account's request took its place"
                refused = Refused(RefusalReason.QUEUE_FULL, detail)
            else:
                continue
            self._evict_one(longest_queue, refused)
            return True
        return False

    def _evict_one(self, queue: _AccountQueue, refused: Refused) -> None:
        queue.skip_settled()
        # Evict the call that would be served last.
        now = trio.current_time()
        oldest_first = not queue.is_standing(now)
        waiter = queue.waiters[-1] if oldest_first else queue.waiters[0]
        waiter.refuse(refused)
        self.remove(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Removes a settled call from the counts."""
        level = self._levels_by_importance[waiter.call.importance]
        queue = level.queues_by_account[waiter.call.account_id]
        self.waiting_count -= 1
        level.waiting_count -= 1
        queue.waiting_count -= 1
        if queue.waiting_count == 0:
            queue.waiters.clear()
            queue.heap_entry_id = -1
            del level.queues_by_account[waiter.call.account_id]

    def pop(self, now: float, max_standing_wait_s: float) -> Waiter | None:
        """Removes and returns the call to run next, still unsettled; None if empty.

        Args:
            now: Time on trio's clock.
            max_standing_wait_s: Maximum wait in a standing queue.
        """
        for level in self._levels_by_importance.values():
            while level.waiting_count:
                waiter = self._pop_from_level(level, now, max_standing_wait_s)
                if waiter is not None:
                    return waiter
        return None

    def _pop_from_level(
        self, level: _ImportanceLevel, now: float, max_standing_wait_s: float
    ) -> Waiter | None:
        virtual_time, heap_entry_id, queue = heapq.heappop(level.heap)
        if heap_entry_id != queue.heap_entry_id:
            return None
        if virtual_time < self._virtual_time_by_account.get(queue.account_id, 0.0):
            # The account was charged since it was pushed, so its position is outdated.
            self._push_account(level, queue)
            return None
        waiter = self._pop_waiter(queue, now, max_standing_wait_s)
        if queue.waiting_count:
            self._push_account(level, queue)
        return waiter

    def _pop_waiter(
        self, queue: _AccountQueue, now: float, max_standing_wait_s: float
    ) -> Waiter:
        queue.skip_settled()
        if not queue.is_standing(now):
            waiter = queue.waiters.popleft()
            self.remove(waiter)
            return waiter
        # Keep the last call however old it is, so that no free slot stays unused.
        while (
            queue.waiting_count > 1
            and now - queue.waiters[0].enqueued_at > max_standing_wait_s
        ):
            waiter = queue.waiters.popleft()
            waiter.refuse(
                Refused(RefusalReason.QUEUE_FULL, "it waited in a standing queue")
            )
            self.remove(waiter)
            queue.skip_settled()
        waiter = queue.waiters.pop()
        self.remove(waiter)
        return waiter

    def count_ahead(self, importance: Importance) -> int:
        """Returns the calls that run before a new one of an importance, or about."""
        return sum(
            level.waiting_count
            for level_importance, level in self._levels_by_importance.items()
            if level_importance <= importance
        )

    def oldest_wait_s(self, now: float) -> float:
        """Returns the wait of the oldest call of one account at the top importance."""
        for level in self._levels_by_importance.values():
            for queue in level.queues_by_account.values():
                queue.skip_settled()
                return now - queue.waiters[0].enqueued_at
        return 0.0

    def refuse_where(self, predicate: Callable[[Call], bool], refused: Refused) -> int:
        """Refuses all queued calls that match and returns their number."""
        waiters = [waiter for waiter in self._unsettled() if predicate(waiter.call)]
        for waiter in waiters:
            waiter.refuse(refused)
            self.remove(waiter)
        return len(waiters)

    def _unsettled(self) -> Iterator[Waiter]:
        for level in self._levels_by_importance.values():
            for queue in level.queues_by_account.values():
                yield from (waiter for waiter in queue.waiters if not waiter.is_settled)
