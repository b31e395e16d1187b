"""The guard: runs calls in the local upstream and is its only client."""

import math
from collections.abc import Callable

import msgspec
import trio

from mangospoke.announcements import Announcement
from mangospoke.calls import Call, SendStatus
from mangospoke.conf.settings import Limits
from mangospoke.guard.admission import AdmissionController, Completion
from mangospoke.guard.cold_starts import ColdStartController
from mangospoke.guard.dialect import (
    NATIVE_DIALECT,
    ResponseMetadata,
    UpstreamDialect,
)
from mangospoke.guard.evacuation import REFUSED as EVACUATED
from mangospoke.guard.execution_results import ExecutionResult, judge_execution
from mangospoke.guard.executions import Execution, ExecutionRegistry
from mangospoke.guard.fair_queue import Slot
from mangospoke.guard.hints import POLL_INTERVAL_S, poll_hints
from mangospoke.guard.performance import UpstreamPerformance
from mangospoke.guard.poison import QuarantineController
from mangospoke.guard.rate_limit import StatementSource
from mangospoke.guard.retry_gate import RetryGate
from mangospoke.guard.statements import UpstreamStatements
from mangospoke.guard.upstream import UpstreamConnectionPool
from mangospoke.http.client import ConnectError, open_connection
from mangospoke.http.messages import HttpResponse
from mangospoke.http.response_streams import bounded_response_body
from mangospoke.ids import NO_ROUTE, InstanceId, RouteName, ServiceName
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
"""Time for a drain to become known to the fleet; calls sent meanwhile still run."""

_MIN_SERVER_ERROR_STATUS = 500
_CONNECT_CHECK_TIMEOUT_S = 0.5


class Guard:
    """Runs calls in this host's upstream.

    Attributes:
        announcement: What the upstream last announced, or None.
        statements: What the upstream says about itself.
        performance: How well the upstream works, as learned from its calls.
        cold_starts: Bounds what the upstream gets while it is cold.
        draining: Whether the upstream is leaving; calls from peers are still accepted
            for a short notice period, then refused.
        leaving_listeners: Called when the upstream says in a response that it leaves.
        read_downstream_delay_s: Reads the highest queue delay of downstream services.
        retry_gate: Bounds the repeated requests that reach the upstream; by default,
            only their senders do.
        is_evacuated: Whether nothing may reach the upstream, as its failure domain is
            evacuated.
    """

    def __init__(
        self,
        fleet: Fleet,
        limits: Limits,
        decisions: DecisionLog,
        dialect: UpstreamDialect = NATIVE_DIALECT,
        drain_notice_s: float = DRAIN_NOTICE_S,
        adapts_limit: bool = True,
    ) -> None:
        self.executions = ExecutionRegistry()
        self.announcement: Announcement | None = None
        self.draining = False
        self.leaving_listeners: list[Callable[[], None]] = []
        self.admission = AdmissionController(adapts_limit)
        self.performance = UpstreamPerformance()
        self.statements = UpstreamStatements(
            self.admission.rate_limit, self.admission.admit_waiting
        )
        self.statements.on_leaving = self._handle_leaving
        self.cold_starts = ColdStartController(
            fleet, self.admission.rate_limit, dialect, self.admission.apply_rate_limit
        )
        self.quarantine: QuarantineController | None = None
        self.read_downstream_delay_s: Callable[[], float] = _zero_delay
        self.retry_gate: RetryGate | None = None
        self.is_evacuated: Callable[[], bool] = _not_evacuated
        self._refuse_from = math.inf
        self._fleet = fleet
        self._limits = limits
        self._decisions = decisions
        self._dialect = dialect
        self._drain_notice_s = drain_notice_s
        self._connections: UpstreamConnectionPool | None = None
        self._was_unreachable = False
        fleet.configuration_listeners.append(self._apply_configuration)

    def attach(self, announcement: Announcement) -> None:
        """Applies an upstream's announcement."""
        previous = self.announcement
        is_new_upstream = (
            previous is None
            or self._connections is None
            or previous.address != announcement.address
            or previous.instance != announcement.instance
            or previous.started_at_ms != announcement.started_at_ms
            # Without an instance, a new run can't be told from one that leaves.
            or (self.statements.is_leaving and announcement.instance is None)
        )
        if is_new_upstream:
            self._connections = self._open_connections(announcement)
            self.statements.attach(announcement)
            self.performance.reset()
            self.cold_starts.start_run(announcement)
        self.announcement = announcement
        if not self.statements.is_leaving:
            self.draining = False
            self._refuse_from = math.inf
        if is_new_upstream:
            self._start_cold()
        else:
            self._apply_ceiling()

    def _open_connections(self, announcement: Announcement) -> UpstreamConnectionPool:
        connections = UpstreamConnectionPool(
            announcement.address, self._limits, self._dialect
        )

        def observe(
            response: HttpResponse, metadata: ResponseMetadata, sent_at: float
        ) -> None:
            # A late response of a previous run says nothing about the present one.
            if connections is self._connections and not metadata.is_other_instance:
                self.statements.process_response(response.status, metadata, sent_at)
                self._record_slowness(metadata)
                self.cold_starts.process_response(metadata, sent_at)

        connections.observe_response = observe
        return connections

    def _record_slowness(self, metadata: ResponseMetadata) -> None:
        if metadata.report is not None:
            now = trio.current_time()
            self.performance.record_slowness(metadata.report.slowness_ratio, now)

    def process_heartbeat(
        self, instance: InstanceId | None, cold_left_ms: int | None
    ) -> None:
        """Processes how long the upstream stays cold, by a heartbeat of this run."""
        announcement = self.announcement
        if announcement is not None and announcement.instance == instance:
            self.cold_starts.process_heartbeat(cold_left_ms)

    def _apply_ceiling(self) -> None:
        ceiling = self._ceiling()
        self.admission.concurrency.set_ceiling(ceiling)
        if self._connections is not None:
            self._connections.max_connections = ceiling

    def _start_cold(self) -> None:
        self.admission.hint_ceiling = math.inf
        self.admission.concurrency.start_cold(
            self._ceiling(), trio.current_time(), self._cold_start_s()
        )

    def _ceiling(self) -> int:
        """Returns the maximum concurrency; one connection is reserved for polls."""
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

    def _apply_configuration(self) -> None:
        """Applies a new configuration version, also to queued calls."""
        self._apply_ceiling()
        self.cold_starts.apply_configuration()
        refused = Refused(RefusalReason.KEY_WITHDRAWN, "the key was withdrawn")
        self.admission.refuse_queued(self._is_key_withdrawn, refused)
        self.admission.admit_waiting()

    def _is_key_withdrawn(self, call: Call) -> bool:
        configuration = self._fleet.configuration
        # A daemon with a newer version may have authenticated it by a newer key.
        if call.key_id is None or call.version >= configuration.version:
            return False
        key = configuration.keys_by_id.get(call.key_id)
        return key is None or key.withdrawn

    async def accepts_connections(self) -> bool:
        """Whether the upstream still accepts connections."""
        if self.announcement is None:
            return False
        try:
            connection = await open_connection(
                self.announcement.address,
                self._limits.head_bytes,
                _CONNECT_CHECK_TIMEOUT_S,
            )
        except ConnectError:
            self.cold_starts.handle_unreachable()
            return False
        await connection.aclose()
        return True

    async def run(self) -> None:
        """Polls the upstream for hints until cancelled."""
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            announcement = self.announcement
            if announcement is None:
                continue
            hinted_ceiling = await poll_hints(
                announcement, self.admission.concurrency.ceiling
            )
            if self.announcement is announcement:
                self.admission.hint_ceiling = hinted_ceiling
                self.admission.admit_waiting()

    def _handle_leaving(self, source: StatementSource) -> None:
        self.drain()
        if source is StatementSource.PEER:
            # The notice period has passed for those who heard it before.
            self._refuse_from = trio.current_time()
        for listener in self.leaving_listeners:
            listener()

    def drain(self) -> None:
        """Starts the notice period after which new calls are refused."""
        if not self.draining:
            self.draining = True
            self._refuse_from = trio.current_time() + self._drain_notice_s

    def refuse_queued(self, refused: Refused) -> int:
        """Refuses all calls that wait for the upstream; returns their number."""
        return self.admission.refuse_queued(lambda call: True, refused)

    def detach(self) -> None:
        """Drops the state of an upstream that left."""
        self.announcement = None
        self._connections = None

    def upstream_service(self) -> ServiceName | None:
        """Returns the upstream's service; None while there is no upstream."""
        return None if self.announcement is None else self.announcement.service

    def load(self, route: RouteName = NO_ROUTE) -> Load:
        """Returns the load of the upstream and the delay of its downstream services.

        Args:
            route: Route whose work is told.
        """
        load = self._add_downstream_delay(self.admission.advertised_load())
        return self._add_performance(load, route)

    def offer_load(self, route: RouteName) -> Load:
        """Returns the load as told to a peer with the response to a call of a route."""
        load = self._add_downstream_delay(self.admission.offer_load())
        load = self._add_performance(load, route)
        notice = self.statements.notice()
        return load if notice is None else msgspec.structs.replace(load, notice=notice)

    def _add_performance(self, load: Load, route: RouteName) -> Load:
        now = trio.current_time()
        return msgspec.structs.replace(
            load,
            work_ms=round(self.performance.work_s(route) * 1000),
            failure_percent=round(self.performance.failure_ratio(now) * 100),
            slowness_percent=round(self.performance.slowness_ratio(now) * 100),
            refuses_retries=self._refuses_retries(),
        )

    def _refuses_retries(self) -> bool:
        return self.retry_gate is not None and not self.retry_gate.is_open()

    def _add_downstream_delay(self, load: Load) -> Load:
        delay_s = self.read_downstream_delay_s()
        if delay_s == 0:
            return load
        return msgspec.structs.replace(load, deep_delay_ms=delay_s * 1000)

    async def execute(self, call: Call) -> Outcome:
        """Admits a call, runs it in the upstream and returns its outcome."""
        arrived_at = trio.current_time()
        if call.notice is not None:
            self.statements.process_notice(call.notice)
        outcome: Outcome | None = None
        with trio.move_on_at(call.deadline):
            outcome = await self._execute(call)
        if outcome is None:
            outcome = _deadline_exceeded(call)
        self._record(call, outcome, arrived_at)
        return outcome

    async def _execute(self, call: Call) -> Outcome:
        refused = self._check_available(call)
        if refused is None and self.retry_gate is not None:
            refused = self.retry_gate.check(call)
        if refused is not None:
            return refused
        account = self._fleet.configuration.accounts_by_id.get(call.account_id)
        trial = None
        if self.quarantine is not None:
            trial = await self.quarantine.admit(call)
        if isinstance(trial, Refused):
            return trial
        outcome: Outcome | None = None
        try:
            outcome = await self._run_when_admitted(
                call, account.weight if account else 1
            )
            if self.quarantine is not None:
                await self.quarantine.handle_outcome(call, trial, outcome)
            return outcome
        except trio.Cancelled:
            if isinstance(outcome, Answered):
                # Nobody else will close it: a streamed body holds a slot.
                await outcome.body.aclose()
            raise
        finally:
            if trial is not None and self.quarantine is not None:
                await self.quarantine.end_trial(trial)

    async def _run_when_admitted(self, call: Call, weight: int) -> Outcome:
        slot = await self.admission.acquire(call, weight)
        if isinstance(slot, Refused):
            return slot
        call.admitted_at = slot.admitted_at
        # Applies if the call is cancelled: its duration so far is a lower bound.
        completion = Completion.ABORTED
        try:
            outcome = await self._run_admitted(call)
            completion = _completion_of(outcome)
            if isinstance(outcome, Answered) and outcome.body.content is None:
                completion = Completion.STREAMING
                outcome.body = bounded_response_body(
                    outcome.body,
                    call.request_id,
                    call.deadline,
                    self._limits.body_bytes,
                    self._make_slot_releaser(slot),
                )
            return outcome
        finally:
            if completion is not Completion.STREAMING:
                self.admission.release(slot, completion)

    def _make_slot_releaser(self, slot: Slot) -> Callable[[], None]:
        def release() -> None:
            # The duration of a streamed response depends on how fast the caller reads.
            self.admission.release(slot, Completion.NO_SAMPLE)

        return release

    def _check_available(self, call: Call) -> Refused | None:
        if self.announcement is None or self.announcement.service != call.service:
            detail = "no such upstream on this host"
            return Refused(RefusalReason.UPSTREAM_UNREACHABLE, detail)
        if trio.current_time() >= self._refuse_from:
            return Refused(RefusalReason.DRAINING, "the upstream is draining")
        if self.is_evacuated():
            return EVACUATED
        return None

    async def _run_admitted(self, call: Call) -> Outcome:
        if self._is_key_withdrawn(call):
            return Refused(RefusalReason.KEY_WITHDRAWN, "the key was withdrawn")
        # The upstream may have left while the call was queued.
        refused = self._check_available(call)
        if refused is not None:
            return refused
        connections = self._connections
        announcement = self.announcement
        assert connections is not None and announcement is not None
        service = self._fleet.configuration.services_by_name.get(call.service)
        echoes_request_id = service is None or service.echoes_request_id
        outcome: Outcome | None = None
        with self.executions.register(call) as execution:
            try:
                outcome = await connections.execute(
                    call, execution.token, echoes_request_id, announcement.instance
                )
            finally:
                self._learn_performance(execution, outcome)
        self._detect_restart(outcome)
        return outcome

    def _learn_performance(self, execution: Execution, outcome: Outcome | None) -> None:
        """Learns from a call that ended; without an outcome it was cancelled."""
        now = trio.current_time()
        result = judge_execution(execution, outcome, now)
        if result is ExecutionResult.SUCCEEDED:
            own_work_s = execution.own_work_s(now)
            self.performance.record_success(execution.call.route, own_work_s, now)
        elif result is ExecutionResult.FAILED:
            self.performance.record_failure(now)

    def _detect_restart(self, outcome: Outcome) -> None:
        """Starts cold when an upstream responds again after it was unreachable."""
        if isinstance(outcome, Refused):
            if outcome.reason is RefusalReason.UPSTREAM_UNREACHABLE:
                self._was_unreachable = True
                self.cold_starts.handle_unreachable()
        elif isinstance(outcome, Answered) and self._was_unreachable:
            self._was_unreachable = False
            self._start_cold()

    def _record(self, call: Call, outcome: Outcome, arrived_at: float) -> None:
        announcement = self.announcement
        instance = announcement.instance if announcement is not None else None
        self._decisions.record_guarded(
            call, outcome, arrived_at, instance or "", self.admission.load
        )


def _not_evacuated() -> bool:
    return False


def _zero_delay() -> float:
    return 0.0


def _deadline_exceeded(call: Call) -> Outcome:
    if call.send_status is SendStatus.SENT:
        return Unanswered(FailureReason.DEADLINE_EXCEEDED, "no answer in time")
    return Refused(RefusalReason.DEADLINE_EXCEEDED, "it expired in the queue")


def _completion_of(outcome: Outcome) -> Completion:
    if isinstance(outcome, Answered):
        # Errors may be fast for reasons that say nothing about service times.
        is_server_error = outcome.status >= _MIN_SERVER_ERROR_STATUS
        return Completion.NO_SAMPLE if is_server_error else Completion.COMPLETE
    if outcome.reason is RefusalReason.SHED_BY_UPSTREAM:
        return Completion.SHED
    return Completion.NO_SAMPLE
