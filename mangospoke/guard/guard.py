"""The guard: the only writer to its upstream, and what it decides beside it."""

import math
from collections.abc import Callable

import msgspec
import trio

from mangospoke.announcements import Announcement
from mangospoke.calls import Call, Progress
from mangospoke.conf.settings import Limits
from mangospoke.guard.admission import Admission, Completion
from mangospoke.guard.dialect import OWN_DIALECT, UpstreamDialect
from mangospoke.guard.executions import Executions
from mangospoke.guard.fair_queue import Place
from mangospoke.guard.hints import POLL_INTERVAL_S, poll_hints
from mangospoke.guard.poison import PoisonControl
from mangospoke.guard.upstream import UpstreamConnections, hold_until_closed
from mangospoke.http.client import ConnectError, open_connection
from mangospoke.observability.decisions import DecisionLog
from mangospoke.peers.messages import Load
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Unanswered,
)

DRAIN_NOTICE_S = 2.0
"""Time in which the fleet hears of a drain; what it sends meanwhile still runs."""


_FIRST_FAILURE_STATUS = 500
_REACH_TIMEOUT_S = 0.5


class Guard:
    """Runs calls in this host's upstream.

    Attributes:
        announcement: What the upstream last announced, or None.
        draining: Whether the upstream is leaving; it takes what peers still send
            for a short notice, then nothing.
        read_deep_delay_s: Reads the highest queue delay of the services below.
    """

    def __init__(
        self,
        fleet: Fleet,
        limits: Limits,
        decisions: DecisionLog,
        dialect: UpstreamDialect = OWN_DIALECT,
        drain_notice_s: float = DRAIN_NOTICE_S,
        learns_limit: bool = True,
    ) -> None:
        self.executions = Executions()
        self.announcement: Announcement | None = None
        self.draining = False
        self.admission = Admission(learns_limit)
        self.poison: PoisonControl | None = None
        self.read_deep_delay_s: Callable[[], float] = _no_delay
        self._refuses_from = math.inf
        self._fleet = fleet
        self._limits = limits
        self._decisions = decisions
        self._dialect = dialect
        self._drain_notice_s = drain_notice_s
        self._connections: UpstreamConnections | None = None
        self._unreachable = False
        fleet.configuration_listeners.append(self._take_configuration)

    def attach(self, announcement: Announcement) -> None:
        """Takes an upstream's announcement."""
        known = self.announcement
        is_fresh = (
            known is None
            or self._connections is None
            or known.address != announcement.address
            or known.instance != announcement.instance
        )
        if is_fresh:
            self._connections = UpstreamConnections(
                announcement.address, self._limits, self._dialect
            )
        self.announcement = announcement
        self.draining = False
        self._refuses_from = math.inf
        if is_fresh:
            self._start_cold()
        else:
            self._apply_ceiling()

    def _apply_ceiling(self) -> None:
        ceiling = self._ceiling()
        self.admission.concurrency.set_ceiling(ceiling)
        if self._connections is not None:
            self._connections.maximum = ceiling

    def _start_cold(self) -> None:
        self.admission.hint_ceiling = math.inf
        self.admission.concurrency.start_cold(
            self._ceiling(), trio.current_time(), self._cold_start_s()
        )

    def _ceiling(self) -> int:
        """Calls that the upstream may have at once; polls need one connection more."""
        announcement = self.announcement
        if announcement is None:
            return 0
        slots = announcement.slots
        connections = announcement.connections
        service = self._fleet.configuration.services_by_name.get(announcement.service)
        if service is not None:
            slots = min(slots, service.slots)
            connections = min(connections, service.connections)
        return min(slots, max(1, connections - 1))

    def _cold_start_s(self) -> float:
        announcement = self.announcement
        assert announcement is not None
        if announcement.cold_left_ms is not None:
            return announcement.cold_left_ms / 1000
        service = self._fleet.configuration.services_by_name.get(announcement.service)
        return 0.0 if service is None else service.cold_start_s

    def _take_configuration(self) -> None:
        """Puts a new version in force on what waits already."""
        self._apply_ceiling()
        refused = Refused(RefusalReason.KEY_WITHDRAWN, "the key was withdrawn")
        self.admission.refuse_queued(self._is_key_withdrawn, refused)
        self.admission.admit_waiting()

    def _is_key_withdrawn(self, call: Call) -> bool:
        configuration = self._fleet.configuration
        # Whoever authenticated it by a newer version may know keys unknown here.
        if call.key_id is None or call.version >= configuration.version:
            return False
        key = configuration.keys_by_id.get(call.key_id)
        return key is None or key.withdrawn

    async def accepts_connections(self) -> bool:
        """Whether the upstream still listens."""
        if self.announcement is None:
            return False
        try:
            connection = await open_connection(
                self.announcement.address, self._limits.head_bytes, _REACH_TIMEOUT_S
            )
        except ConnectError:
            return False
        await connection.aclose()
        return True

    async def run(self) -> None:
        """Polls the upstream's hints until it is cancelled."""
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            announcement = self.announcement
            if announcement is None:
                continue
            hint = await poll_hints(announcement, self.admission.concurrency.ceiling)
            if self.announcement is announcement:
                self.admission.hint_ceiling = hint
                self.admission.admit_waiting()

    def drain(self) -> None:
        """Starts the notice after which no new work is taken."""
        if not self.draining:
            self.draining = True
            self._refuses_from = trio.current_time() + self._drain_notice_s

    def detach(self) -> None:
        """Forgets an upstream that left."""
        self.announcement = None
        self._connections = None

    def load(self) -> Load:
        """How loaded the upstream is now, and what it calls."""
        load = self.admission.load()
        delay_s = self.read_deep_delay_s()
        if delay_s == 0:
            return load
        return msgspec.structs.replace(load, deep_delay_ms=delay_s * 1000)

    async def execute(self, call: Call) -> Outcome:
        """Admits a call, runs it in the upstream and returns what became of it."""
        arrived_at = trio.current_time()
        outcome: Outcome | None = None
        with trio.move_on_at(call.deadline):
            outcome = await self._execute(call)
        if outcome is None:
            outcome = _deadline_exceeded(call)
        self._record(call, outcome, arrived_at)
        return outcome

    async def _execute(self, call: Call) -> Outcome:
        refused = self._refusal_before_queue(call)
        if refused is not None:
            return refused
        account = self._fleet.configuration.accounts_by_id.get(call.account_id)
        trial = None
        if self.poison is not None:
            trial = await self.poison.admit(call)
        if isinstance(trial, Refused):
            return trial
        try:
            outcome = await self._run_in_turn(call, account.weight if account else 1)
            if self.poison is not None:
                await self.poison.ended(call, trial, outcome)
            return outcome
        finally:
            if trial is not None and self.poison is not None:
                await self.poison.end_trial(trial)

    async def _run_in_turn(self, call: Call, weight: int) -> Outcome:
        place = await self.admission.enter(call, weight)
        if isinstance(place, Refused):
            return place
        call.admitted_at = place.admitted_at
        # A call that is cancelled meanwhile has taken at least this long.
        completion = Completion.CUT_OFF
        try:
            outcome = await self._run_admitted(call)
            completion = _completion_of(outcome)
            if isinstance(outcome, Answered) and outcome.body.content is None:
                completion = Completion.HELD
                outcome.body = hold_until_closed(outcome.body, self._releaser(place))
            return outcome
        finally:
            if completion is not Completion.HELD:
                self.admission.leave(place, completion)

    def _releaser(self, place: Place) -> Callable[[], None]:
        def release() -> None:
            # How fast a streamed answer goes is up to the caller that reads it.
            self.admission.leave(place, Completion.NO_SAMPLE)

        return release

    def _refusal_before_queue(self, call: Call) -> Refused | None:
        if self.announcement is None or self.announcement.service != call.service:
            detail = "no such upstream on this host"
            return Refused(RefusalReason.UPSTREAM_UNREACHABLE, detail)
        if trio.current_time() >= self._refuses_from:
            return Refused(RefusalReason.DRAINING, "the upstream is draining")
        return None

    async def _run_admitted(self, call: Call) -> Outcome:
        if self._is_key_withdrawn(call):
            return Refused(RefusalReason.KEY_WITHDRAWN, "the key was withdrawn")
        # It may have waited for its place while the upstream left.
        refused = self._refusal_before_queue(call)
        if refused is not None:
            return refused
        connections = self._connections
        announcement = self.announcement
        assert connections is not None and announcement is not None
        service = self._fleet.configuration.services_by_name.get(call.service)
        echoes = service is None or service.echoes_request_id
        with self.executions.register(call) as token:
            outcome = await connections.execute(
                call, token, echoes, announcement.instance
            )
        self._notice_restart(outcome)
        return outcome

    def _notice_restart(self, outcome: Outcome) -> None:
        """Ramps up an upstream that answers again after it couldn't be reached."""
        if isinstance(outcome, Refused):
            if outcome.reason is RefusalReason.UPSTREAM_UNREACHABLE:
                self._unreachable = True
        elif isinstance(outcome, Answered) and self._unreachable:
            self._unreachable = False
            self._start_cold()

    def _record(self, call: Call, outcome: Outcome, arrived_at: float) -> None:
        announcement = self.announcement
        instance = announcement.instance if announcement is not None else None
        self._decisions.guarded(
            call, outcome, arrived_at, instance or "", self.admission.load
        )


def _no_delay() -> float:
    return 0.0


def _deadline_exceeded(call: Call) -> Outcome:
    if call.progress is Progress.SENT:
        return Unanswered(FailureReason.DEADLINE_EXCEEDED, "no answer in time")
    return Refused(RefusalReason.DEADLINE_EXCEEDED, "it expired in the queue")


def _completion_of(outcome: Outcome) -> Completion:
    if isinstance(outcome, Answered):
        # Failures are fast for reasons that say nothing about service times.
        failed = outcome.status >= _FIRST_FAILURE_STATUS
        return Completion.NO_SAMPLE if failed else Completion.WHOLE
    if outcome.reason is RefusalReason.SHED_BY_UPSTREAM:
        return Completion.SHED
    return Completion.NO_SAMPLE
