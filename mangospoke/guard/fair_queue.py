"""The guard's queue: strict importance, then weighted fairness by work done.

Accounts are ordered by start-time fair queueing: each has a virtual time that moves
by the slot-seconds it used over its weight, and the account that is furthest behind
goes first. An account's own queue is served oldest first until it has been standing
for some time; from then on only the newest calls can still be answered in time, so
they go first and old ones are dropped.
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

QUEUE_LENGTH = 256
ACCOUNT_QUEUE_LENGTH = 128
_STANDING_AFTER_S = 0.1
"""Time without a moment of emptiness after which a queue is taken for standing."""

_IDLE_ACCOUNTS = 1_024
"""Accounts without calls whose virtual time is remembered at most."""


class Waiter:
    """A call in the queue; settled exactly once: admitted, refused or gone.

    Attributes:
        place: The place that it got, once it is admitted.
        refused: Why it was refused, or None.
    """

    __slots__ = (
        "call",
        "enqueued_at",
        "event",
        "is_settled",
        "place",
        "refused",
        "weight",
    )

    def __init__(self, call: Call, weight: int, now: float) -> None:
        self.call = call
        self.weight = weight
        self.enqueued_at = now
        self.event = trio.Event()
        self.is_settled = False
        self.place: Place | None = None
        self.refused: Refused | None = None

    def admit(self, place: "Place") -> None:
        """Gives the call its place."""
        self.is_settled = True
        self.place = place
        self.event.set()

    def refuse(self, refused: Refused) -> None:
        """Refuses the call."""
        self.is_settled = True
        self.refused = refused
        self.event.set()


class Place:
    """A place in the upstream, held by one admitted call."""

    __slots__ = ("admitted_at", "call", "doubtful", "expected_s", "low_load", "weight")

    def __init__(self, call: Call, weight: int) -> None:
        self.call = call
        self.weight = weight
        self.admitted_at = 0.0
        self.expected_s = 0.0
        self.low_load = False
        self.doubtful = False


class _AccountQueue:
    """Calls of one account and one importance.

    Attributes:
        is_patient: Whether its calls wait as long as they can, oldest first, since
            the requests that they belong to run already.
    """

    __slots__ = ("account_id", "busy_since", "entry", "is_patient", "live", "waiters")

    def __init__(self, account_id: ClientAccountId, is_patient: bool) -> None:
        self.account_id = account_id
        self.is_patient = is_patient
        self.waiters: deque[Waiter] = deque()
        self.live = 0
        self.busy_since = 0.0
        self.entry = -1

    def is_standing(self, now: float) -> bool:
        if self.is_patient or self.live == 0:
            return False
        return now - self.busy_since > _STANDING_AFTER_S

    def skip_settled(self) -> None:
        while self.waiters and self.waiters[0].is_settled:
            self.waiters.popleft()
        while self.waiters and self.waiters[-1].is_settled:
            self.waiters.pop()


class _ImportanceQueue:
    """Queues of the accounts that wait with one importance."""

    def __init__(self) -> None:
        self.live = 0
        self.queues_by_account: dict[ClientAccountId, _AccountQueue] = {}
        self.heap: list[tuple[float, int, _AccountQueue]] = []


class FairQueue:
    """Waiting calls in the order in which they are to run.

    Attributes:
        live: Calls that wait now.
    """

    def __init__(self) -> None:
        self.live = 0
        self._virtual_time = 0.0
        self._virtual_time_by_account: dict[ClientAccountId, float] = {}
        self._entries = itertools.count()
        self._queues_by_importance = {
            importance: _ImportanceQueue() for importance in Importance
        }

    def charge(self, account_id: ClientAccountId, work_s: float, weight: int) -> None:
        """Charges an account for work that it is about to have done.

        Args:
            account_id: The account.
            work_s: Slot-seconds expected.
            weight: The account's weight.
        """
        start = self._virtual_time_by_account.get(account_id, 0.0)
        if start < self._virtual_time:
            start = self._virtual_time
        self._virtual_time = start
        self._virtual_time_by_account[account_id] = start + work_s / weight
        if len(self._virtual_time_by_account) > _IDLE_ACCOUNTS:
            self._forget_idle()

    def correct(self, account_id: ClientAccountId, work_s: float, weight: int) -> None:
        """Adds the difference between the work done and the work expected."""
        known = self._virtual_time_by_account.get(account_id)
        if known is None:
            return
        self._virtual_time_by_account[account_id] = known + work_s / weight
        if work_s < 0 and self.live:
            self._requeue(account_id)

    def _requeue(self, account_id: ClientAccountId) -> None:
        for queues in self._queues_by_importance.values():
            queue = queues.queues_by_account.get(account_id)
            if queue is not None:
                self._push(queues, queue)

    def _forget_idle(self) -> None:
        self._virtual_time_by_account = {
            account_id: virtual_time
            for account_id, virtual_time in self._virtual_time_by_account.items()
            if virtual_time > self._virtual_time
        }

    def _push(self, queues: _ImportanceQueue, queue: _AccountQueue) -> None:
        virtual_time = self._virtual_time_by_account.get(queue.account_id, 0.0)
        queue.entry = next(self._entries)
        heapq.heappush(queues.heap, (virtual_time, queue.entry, queue))
        if len(queues.heap) > 4 * len(queues.queues_by_account) + 64:
            queues.heap = [e for e in queues.heap if e[1] == e[2].entry]
            heapq.heapify(queues.heap)

    def add(self, waiter: Waiter) -> Refused | None:
        """Queues a call, or says why there is no room for it.

        A full queue makes room by refusing a less important call, or one of the
        account that has most calls in the queue.
        """
        call = waiter.call
        queues = self._queues_by_importance[call.importance]
        queue = queues.queues_by_account.get(call.account_id)
        length = queue.live if queue is not None else 0
        if length >= ACCOUNT_QUEUE_LENGTH:
            return Refused(RefusalReason.QUEUE_FULL, "the account's queue is full")
        if self.live >= QUEUE_LENGTH and not self._make_room(call.importance, length):
            return Refused(RefusalReason.QUEUE_FULL, "the queue is full")
        if queue is None:
            queue = _AccountQueue(call.account_id, call.is_sub_call)
            queues.queues_by_account[call.account_id] = queue
        if queue.live == 0:
            queue.busy_since = waiter.enqueued_at
            self._catch_up(call.account_id)
            self._push(queues, queue)
        queue.waiters.append(waiter)
        queue.live += 1
        queues.live += 1
        self.live += 1
        return None

    def _catch_up(self, account_id: ClientAccountId) -> None:
        """Gives no credit for the time in which an account asked for nothing."""
        known = self._virtual_time_by_account.get(account_id, 0.0)
        if known < self._virtual_time:
            self._virtual_time_by_account[account_id] = self._virtual_time

    def _make_room(self, importance: Importance, length: int) -> bool:
        for other in reversed(Importance):
            queues = self._queues_by_importance[other]
            if other < importance or queues.live == 0:
                continue
            longest = max(queues.queues_by_account.values(), key=lambda q: q.live)
            if other > importance:
                detail = "a more important request took its place"
                refused = Refused(RefusalReason.SHED_FOR_IMPORTANCE, detail)
            elif longest.live > length + 1:
                detail = "another account's request took its place"
                refused = Refused(RefusalReason.QUEUE_FULL, detail)
            else:
                continue
            self._refuse_one(longest, refused)
            return True
        return False

    def _refuse_one(self, queue: _AccountQueue, refused: Refused) -> None:
        queue.skip_settled()
        # The newest has waited least for nothing, unless the newest go first.
        now = trio.current_time()
        oldest_first = not queue.is_standing(now)
        waiter = queue.waiters[-1] if oldest_first else queue.waiters[0]
        waiter.refuse(refused)
        self.remove(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Takes a settled call out of the counts."""
        queues = self._queues_by_importance[waiter.call.importance]
        queue = queues.queues_by_account[waiter.call.account_id]
        self.live -= 1
        queues.live -= 1
        queue.live -= 1
        if queue.live == 0:
            queue.waiters.clear()
            queue.entry = -1
            del queues.queues_by_account[waiter.call.account_id]

    def pop(self, now: float, standing_s: float) -> Waiter | None:
        """Takes out the call that is to run next, not yet settled.

        Args:
            now: Time on trio's clock.
            standing_s: Seconds that a call may wait in a standing queue.
        """
        for queues in self._queues_by_importance.values():
            while queues.live:
                waiter = self._pop_from(queues, now, standing_s)
                if waiter is not None:
                    return waiter
        return None

    def _pop_from(
        self, queues: _ImportanceQueue, now: float, standing_s: float
    ) -> Waiter | None:
        virtual_time, entry, queue = heapq.heappop(queues.heap)
        if entry != queue.entry:
            return None
        if virtual_time < self._virtual_time_by_account.get(queue.account_id, 0.0):
            # The account was served elsewhere since it was put in order.
            self._push(queues, queue)
            return None
        waiter = self._next_of(queue, now, standing_s)
        if queue.live:
            self._push(queues, queue)
        return waiter

    def _next_of(self, queue: _AccountQueue, now: float, standing_s: float) -> Waiter:
        queue.skip_settled()
        if not queue.is_standing(now):
            waiter = queue.waiters.popleft()
            self.remove(waiter)
            return waiter
        # One is kept however old it is: a free place is never left empty.
        while queue.live > 1 and now - queue.waiters[0].enqueued_at > standing_s:
            waiter = queue.waiters.popleft()
            waiter.refuse(
                Refused(RefusalReason.QUEUE_FULL, "it waited in a standing queue")
            )
            self.remove(waiter)
            queue.skip_settled()
        waiter = queue.waiters.pop()
        self.remove(waiter)
        return waiter

    def oldest_wait_s(self, now: float) -> float:
        """Seconds that the next call of the most important queue has waited."""
        for queues in self._queues_by_importance.values():
            for queue in queues.queues_by_account.values():
                queue.skip_settled()
                return now - queue.waiters[0].enqueued_at
        return 0.0

    def refuse_where(self, condemned: Callable[[Call], bool], refused: Refused) -> int:
        """Refuses all queued calls of a kind and returns how many there were."""
        waiters = [waiter for waiter in self._unsettled() if condemned(waiter.call)]
        for waiter in waiters:
            waiter.refuse(refused)
            self.remove(waiter)
        return len(waiters)

    def _unsettled(self) -> Iterator[Waiter]:
        for queues in self._queues_by_importance.values():
            for queue in queues.queues_by_account.values():
                yield from (w for w in queue.waiters if not w.is_settled)
