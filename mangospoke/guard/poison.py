"""Quarantines poison requests, which crash upstreams, after a trial.

When an upstream crashes, all requests that it was running become suspects, and every
daemon of the service is notified before any of these calls is answered. A suspect runs
only as a trial: once at a time in the whole fleet, and without other suspects in the
same upstream. A complete response clears it, a crash during its trial quarantines it.
"""

import secrets
import time
from collections.abc import Callable

import trio
from loguru import logger

from mangospoke.calls import Call
from mangospoke.control.interface import ControlChannel, ControlError
from mangospoke.control.messages import (
    Acknowledgment,
    ClearSuspect,
    EndTrial,
    ReportCrash,
    StartTrial,
    StartTrialResponse,
)
from mangospoke.guard.crash_detection import (
    ConnectionLoss,
    CrashDetector,
    ReachabilityCheck,
)
from mangospoke.guard.recorded_crashes import RecordedCrashes
from mangospoke.guard.suspect_exchange import ServiceReader, SuspectExchange
from mangospoke.guard.suspects import (
    SuspectRegistry,
    TrialRegistry,
    poison_fingerprint,
)
from mangospoke.ids import FailureDomainId, HostId, ServiceName
from mangospoke.logservice.records import RecordedCrash, UpstreamAnnounced
from mangospoke.observability.status import QuarantineStatus
from mangospoke.rendezvous import rendezvous_rank
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Unanswered,
)

_RECORD_INTERVAL_S = 1.0
"""Time after which many suspects are recorded. Most are cleared by then."""

_MAX_SUSPECTS_RECORDED_AT_ONCE = 8

_CONTROL_TIMEOUT_S = 1.0
_TRIAL_POLL_S = 0.02
_TRIAL_GRACE_S = 3.0
"""Time after the deadline of a trial until its lease expires."""

_POSSIBLE_CRASH_REASONS = frozenset(
    {FailureReason.UPSTREAM_CONNECTION_LOST, FailureReason.TRUNCATED_ANSWER}
)


class Trial:
    """A run of a suspect, of which the fleet allows one at a time."""

    __slots__ = ("fingerprint", "service")

    def __init__(self, fingerprint: str, service: ServiceName) -> None:
        self.fingerprint = fingerprint
        self.service = service


class QuarantineController:
    """Detects poison requests, and admits their trials, in one daemon.

    Attributes:
        record_crashes: Called with the crashes that this host's record is to hold,
            again and again.
    """

    def __init__(
        self,
        host_id: HostId,
        failure_domain: FailureDomainId,
        fleet: Fleet,
        control: ControlChannel,
        is_reachable: ReachabilityCheck,
        read_service: ServiceReader,
    ) -> None:
        self._host_id = host_id
        self._fleet = fleet
        self._control = control
        self._crashes = CrashDetector(is_reachable, self._report_crash)
        self.record_crashes: Callable[[tuple[RecordedCrash, ...]], None]
        self.record_crashes = lambda crashes: None
        self._suspects = SuspectRegistry()
        self._recorded = RecordedCrashes(host_id, self._suspects)
        fleet.membership_listeners.append(self._learn_recorded)
        self._learn_recorded()
        self._exchange = SuspectExchange(
            host_id, failure_domain, fleet, control, self._suspects, read_service
        )
        self._trials = TrialRegistry()
        self._local_trial: Trial | None = None
        handlers = control.handlers_by_type
        handlers[ReportCrash] = self._handle_report
        handlers[StartTrial] = self._handle_start_trial
        handlers[EndTrial] = self._handle_end_trial
        handlers[ClearSuspect] = self._handle_clear

    async def run(self) -> None:
        """Exchanges suspects with the service's other daemons until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._exchange.run)
            nursery.start_soon(self._keep_recorded)

    async def _keep_recorded(self) -> None:
        while True:
            await trio.sleep(_RECORD_INTERVAL_S)
            self._record()

    def _record(self) -> None:
        now_ms = time.time_ns() // 1_000_000
        self.record_crashes(self._recorded.own(trio.current_time(), now_ms))

    def _learn_recorded(self) -> None:
        now_ms = time.time_ns() // 1_000_000
        upstreams = self._fleet.upstreams_by_host.values()
        self._recorded.learn(upstreams, trio.current_time(), now_ms)

    async def admit(self, call: Call) -> Trial | Refused | None:
        """Decides whether a call may run.

        Waits after a start until the service's other daemons were asked for their
        suspects, and while another trial is running.

        Returns:
            None for a call that isn't suspect, the trial of a suspect, or a refusal.
        """
        await self._exchange.wait_until_served(call.service)
        if not len(self._suspects):
            return None
        fingerprint = poison_fingerprint(call)
        while True:
            suspect = self._suspects.find(fingerprint, trio.current_time())
            if suspect is None:
                return None
            if suspect.is_quarantined:
                detail = f"upstreams died while they ran it; {fingerprint}"
                return Refused(RefusalReason.QUARANTINED, detail)
            if self._local_trial is None:
                trial = self._local_trial = Trial(fingerprint, call.service)
                if await self._request_trial(trial, call):
                    return trial
            if trio.current_time() + _TRIAL_POLL_S >= call.deadline:
                detail = f"it is suspected and being tried elsewhere; {fingerprint}"
                return Refused(RefusalReason.QUARANTINED, detail, retry_after_s=1)
            await trio.sleep(_TRIAL_POLL_S)

    async def _request_trial(self, trial: Trial, call: Call) -> bool:
        granted = False
        try:
            remaining_s = call.deadline - trio.current_time()
            granted = await self._ask_coordinator(trial, remaining_s)
            return granted
        finally:
            if not granted:
                self._local_trial = None

    async def _ask_coordinator(self, trial: Trial, remaining_s: float) -> bool:
        coordinator = self._trial_coordinator(trial)
        request = StartTrial(
            fingerprint=trial.fingerprint,
            host_id=self._host_id,
            remaining_ms=remaining_s * 1000,
        )
        if coordinator is None:
            return False
        if coordinator.host_id == self._host_id:
            response = await self._handle_start_trial(request)
        else:
            try:
                response = await self._control.send_request(
                    coordinator.control_address,
                    request,
                    StartTrialResponse,
                    _CONTROL_TIMEOUT_S,
                )
            except ControlError:
                return False
        now = trio.current_time()
        for crash_id in response.death_ids:
            self._suspects.record_crash(
                trial.service,
                [trial.fingerprint],
                crash_id,
                now,
                is_trial=crash_id in response.trial_death_ids,
            )
        return response.granted

    def _trial_coordinator(self, trial: Trial) -> UpstreamAnnounced | None:
        upstreams = self._fleet.upstreams_by_service.get(trial.service, {})
        ranked_hosts = rendezvous_rank(upstreams, trial.fingerprint)
        return upstreams[HostId(ranked_hosts[0])] if ranked_hosts else None

    async def handle_outcome(
        self, call: Call, trial: Trial | None, outcome: Outcome
    ) -> None:
        """Updates suspects by the outcome of a call, before the call is answered."""
        is_possible_crash = (
            isinstance(outcome, Unanswered)
            and outcome.reason in _POSSIBLE_CRASH_REASONS
        )
        if is_possible_crash:
            await self._crashes.handle_loss(
                call, trial.fingerprint if trial is not None else None
            )
        elif trial is not None and isinstance(outcome, Answered):
            await self.clear(trial.fingerprint)

    async def end_trial(self, trial: Trial) -> None:
        """Ends a trial, so that the suspect may run again unless it is quarantined."""
        self._local_trial = None
        coordinator = self._trial_coordinator(trial)
        if coordinator is None:
            return
        message = EndTrial(fingerprint=trial.fingerprint, host_id=self._host_id)
        if coordinator.host_id == self._host_id:
            await self._handle_end_trial(message)
            return
        # Without this message, the coordinator holds the lease until it expires.
        with trio.CancelScope(shield=True):
            await self._exchange.send(coordinator, message)

    async def _report_crash(self, service: ServiceName, loss: ConnectionLoss) -> None:
        # If trials were running, they are assumed to have caused the crash.
        suspect_fingerprints = tuple(loss.trial_fingerprints or loss.fingerprints)
        report = ReportCrash(
            service=service,
            fingerprints=suspect_fingerprints,
            death_id=f"{self._host_id}/{secrets.token_hex(4)}",
            is_trial=bool(loss.trial_fingerprints),
        )
        for fingerprint in suspect_fingerprints:
            logger.bind(
                event="suspected", service=service, fingerprint=fingerprint
            ).warning("upstream crashed while running request {}", fingerprint)
        await self._handle_report(report)
        if len(suspect_fingerprints) <= _MAX_SUSPECTS_RECORDED_AT_ONCE:
            self._record()
        await self._exchange.broadcast(service, report)

    async def clear(self, fingerprint: str) -> bool:
        """Clears a suspect or quarantined request fleet-wide; False if unknown."""
        now = trio.current_time()
        suspect = self._suspects.find(fingerprint, now)
        if suspect is None:
            return False
        message = ClearSuspect(
            fingerprint=fingerprint, death_ids=self._suspects.clear(fingerprint, now)
        )
        await self._exchange.broadcast(suspect.service, message)
        return True

    async def _handle_report(self, report: ReportCrash) -> Acknowledgment:
        now = trio.current_time()
        self._suspects.record_crash(
            report.service,
            report.fingerprints,
            report.death_id,
            now,
            is_trial=report.is_trial,
        )
        return Acknowledgment()

    async def _handle_start_trial(self, request: StartTrial) -> StartTrialResponse:
        now = trio.current_time()
        suspect = self._suspects.find(request.fingerprint, now)
        crash_ids: tuple[str, ...] = ()
        trial_crash_ids: tuple[str, ...] = ()
        if suspect is not None:
            crash_ids = tuple(suspect.blamed_crash_ids)
            trial_crash_ids = tuple(suspect.trial_crash_ids)
        if suspect is not None and suspect.is_quarantined:
            return StartTrialResponse(
                granted=False, death_ids=crash_ids, trial_death_ids=trial_crash_ids
            )
        expires_at = now + request.remaining_ms / 1000 + _TRIAL_GRACE_S
        granted = self._trials.start(
            request.fingerprint, request.host_id, expires_at, now
        )
        return StartTrialResponse(
            granted=granted, death_ids=crash_ids, trial_death_ids=trial_crash_ids
        )

    async def _handle_end_trial(self, message: EndTrial) -> Acknowledgment:
        self._trials.end(message.fingerprint, message.host_id)
        return Acknowledgment()

    async def _handle_clear(self, message: ClearSuspect) -> Acknowledgment:
        now = trio.current_time()
        self._suspects.clear(message.fingerprint, now, message.death_ids)
        return Acknowledgment()

    def statuses(self) -> tuple[QuarantineStatus, ...]:
        """Returns quarantined and suspect requests for the status page."""
        now = trio.current_time()
        return tuple(
            QuarantineStatus(
                service=suspect.service,
                fingerprint=fingerprint,
                deaths=len(suspect.blamed_crash_ids),
                remaining_s=max(0.0, suspect.expires_at - now),
            )
            for fingerprint, suspect in self._suspects.current(now)
        )
