"""Keeping requests that crash upstreams from crashing more than two.

When an upstream dies, all that it was running is suspected, and every daemon of the
service is told before any of these calls is answered. A suspect runs once at a time
in the whole fleet and alone among suspects in its upstream; a whole answer clears it,
a second death quarantines it.
"""

import secrets
from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from mangospoke.calls import Call
from mangospoke.control.interface import Control, ControlError
from mangospoke.control.messages import (
    ClearSuspect,
    Done,
    EndTrial,
    ReportDeath,
    StartTrial,
    TrialAnswer,
)
from mangospoke.guard.home_groups import rank
from mangospoke.guard.suspects import (
    DEATHS_TO_QUARANTINE,
    DECAY_S,
    Suspects,
    Trials,
    poison_fingerprint,
)
from mangospoke.ids import HostId, ServiceName
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.observability.status import QuarantineStatus
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Unanswered,
)

_GATHER_S = 0.02
"""Time in which all calls that one death broke off are gathered."""

_PROBES_S = (0.0, 0.05, 0.15)
"""Pauses before the attempts to connect, any of which shows a death."""

_TELL_TIMEOUT_S = 1.0
_TRIAL_POLL_S = 0.02
_TRIAL_GRACE_S = 3.0
"""Time after a trial's deadline in which its end is still awaited."""

_LOST = frozenset(
    {FailureReason.UPSTREAM_CONNECTION_LOST, FailureReason.TRUNCATED_ANSWER}
)

Reach = Callable[[], Awaitable[bool]]
"""Says whether this host's upstream accepts connections."""


class Trial:
    """A suspect's run, of which there is one at a time."""

    __slots__ = ("fingerprint", "service")

    def __init__(self, fingerprint: str, service: ServiceName) -> None:
        self.fingerprint = fingerprint
        self.service = service


class _Incident:
    """Calls that were broken off at the same time."""

    def __init__(self) -> None:
        self.fingerprints: set[str] = set()
        self.tried: set[str] = set()
        self.settled = trio.Event()


class PoisonControl:
    """Suspects, trials and quarantine, as one daemon sees them."""

    def __init__(
        self, host_id: HostId, fleet: Fleet, control: Control, reach: Reach
    ) -> None:
        self._host_id = host_id
        self._fleet = fleet
        self._control = control
        self._reach = reach
        self._suspects = Suspects()
        self._trials = Trials()
        self._incident: _Incident | None = None
        self._own_trial: Trial | None = None
        handlers = control.handlers_by_type
        handlers[ReportDeath] = self._take_report
        handlers[StartTrial] = self._answer_trial
        handlers[EndTrial] = self._take_end
        handlers[ClearSuspect] = self._take_clearance

    async def admit(self, call: Call) -> Trial | Refused | None:
        """Lets a call run: as it is, as a suspect on trial, or not at all."""
        if not len(self._suspects):
            return None
        fingerprint = poison_fingerprint(call)
        while True:
            now = trio.current_time()
            deaths = self._suspects.deaths(fingerprint, now)
            if deaths == 0:
                return None
            if deaths >= DEATHS_TO_QUARANTINE:
                detail = f"upstreams died while they ran it; {fingerprint}"
                return Refused(RefusalReason.QUARANTINED, detail)
            if self._own_trial is None:
                trial = self._own_trial = Trial(fingerprint, call.service)
                if await self._start(trial, call):
                    return trial
            if trio.current_time() + _TRIAL_POLL_S >= call.deadline:
                detail = f"it is suspected and being tried elsewhere; {fingerprint}"
                return Refused(RefusalReason.QUARANTINED, detail, retry_after_s=1)
            await trio.sleep(_TRIAL_POLL_S)

    async def _start(self, trial: Trial, call: Call) -> bool:
        granted = False
        try:
            remaining_s = call.deadline - trio.current_time()
            granted = await self._ask_warden(trial, remaining_s)
            return granted
        finally:
            if not granted:
                self._own_trial = None

    async def _ask_warden(self, trial: Trial, remaining_s: float) -> bool:
        warden = self._warden(trial)
        question = StartTrial(
            fingerprint=trial.fingerprint,
            host_id=self._host_id,
            remaining_ms=remaining_s * 1000,
        )
        if warden is None:
            return False
        if warden.host_id == self._host_id:
            answer = await self._answer_trial(question)
        else:
            try:
                answer = await self._control.ask(
                    warden.control_address, question, TrialAnswer, _TELL_TIMEOUT_S
                )
            except ControlError:
                return False
        now = trio.current_time()
        for death_id in answer.death_ids:
            self._suspects.blame(trial.service, [trial.fingerprint], death_id, now)
        return answer.granted

    def _warden(self, trial: Trial) -> UpstreamAnnounced | None:
        upstreams = self._fleet.upstreams_by_service.get(trial.service, {})
        ranked = rank(upstreams, trial.fingerprint)
        return upstreams[HostId(ranked[0])] if ranked else None

    async def ended(self, call: Call, trial: Trial | None, outcome: Outcome) -> None:
        """Draws the conclusions from how a call ended, before anybody is told."""
        lost = isinstance(outcome, Unanswered) and outcome.reason in _LOST
        if lost:
            await self._take_loss(call, trial)
        elif trial is not None and isinstance(outcome, Answered):
            await self.clear(trial.fingerprint)

    async def end_trial(self, trial: Trial) -> None:
        """Lets the suspect be tried again, should it still be allowed to run."""
        self._own_trial = None
        warden = self._warden(trial)
        if warden is None:
            return
        message = EndTrial(fingerprint=trial.fingerprint, host_id=self._host_id)
        if warden.host_id == self._host_id:
            await self._take_end(message)
            return
        # Without this the warden waits until the trial's time is over.
        with trio.CancelScope(shield=True):
            await self._tell(warden, message)

    async def _take_loss(self, call: Call, trial: Trial | None) -> None:
        incident = self._incident
        leads = incident is None
        if incident is None:
            incident = self._incident = _Incident()
        incident.fingerprints.add(poison_fingerprint(call))
        if trial is not None:
            incident.tried.add(trial.fingerprint)
        if not leads:
            await incident.settled.wait()
            return
        try:
            with trio.CancelScope(shield=True):
                await self._settle(call.service, incident)
        finally:
            incident.settled.set()

    async def _settle(self, service: ServiceName, incident: _Incident) -> None:
        await trio.sleep(_GATHER_S)
        self._incident = None
        if not await self._has_died():
            return
        # A suspect that was on trial is enough to explain the death.
        blamed = tuple(incident.tried or incident.fingerprints)
        report = ReportDeath(
            service=service,
            fingerprints=blamed,
            death_id=f"{self._host_id}/{secrets.token_hex(4)}",
        )
        for fingerprint in blamed:
            logger.bind(
                event="suspected", service=service, fingerprint=fingerprint
            ).warning("the upstream died while it ran {}", fingerprint)
        await self._take_report(report)
        await self._tell_all(service, report)

    async def _has_died(self) -> bool:
        for pause_s in _PROBES_S:
            await trio.sleep(pause_s)
            if not await self._reach():
                return True
        return False

    async def clear(self, fingerprint: str) -> bool:
        """Lifts suspicion or quarantine in the whole fleet; False if there was none."""
        services = [s.service for f, s in self._listed() if f == fingerprint]
        message = ClearSuspect(fingerprint=fingerprint)
        await self._take_clearance(message)
        for service in services:
            await self._tell_all(service, message)
        return bool(services)

    async def _tell_all(
        self, service: ServiceName, message: ReportDeath | ClearSuspect
    ) -> None:
        upstreams = self._fleet.upstreams_by_service.get(service, {})
        async with trio.open_nursery() as nursery:
            for upstream in upstreams.values():
                if upstream.host_id != self._host_id:
                    nursery.start_soon(self._tell, upstream, message)

    async def _tell(
        self,
        upstream: UpstreamAnnounced,
        message: ReportDeath | ClearSuspect | EndTrial,
    ) -> None:
        try:
            await self._control.ask(
                upstream.control_address, message, Done, _TELL_TIMEOUT_S
            )
        except ControlError as error:
            logger.bind(event="poison_untold", host=upstream.host_id).warning(
                "{} did not hear of a suspect: {}", upstream.host_id, error
            )

    async def _take_report(self, report: ReportDeath) -> Done:
        now = trio.current_time()
        self._suspects.blame(report.service, report.fingerprints, report.death_id, now)
        return Done()

    async def _answer_trial(self, question: StartTrial) -> TrialAnswer:
        now = trio.current_time()
        deaths = [s for f, s in self._listed() if f == question.fingerprint]
        death_ids = tuple(deaths[0].death_ids) if deaths else ()
        if len(death_ids) >= DEATHS_TO_QUARANTINE:
            return TrialAnswer(granted=False, death_ids=death_ids)
        until = now + question.remaining_ms / 1000 + _TRIAL_GRACE_S
        granted = self._trials.start(question.fingerprint, question.host_id, until, now)
        return TrialAnswer(granted=granted, death_ids=death_ids)

    async def _take_end(self, message: EndTrial) -> Done:
        self._trials.end(message.fingerprint, message.host_id)
        return Done()

    async def _take_clearance(self, message: ClearSuspect) -> Done:
        self._suspects.clear(message.fingerprint)
        return Done()

    def _listed(self) -> list:
        return self._suspects.listed(trio.current_time())

    def statuses(self) -> tuple[QuarantineStatus, ...]:
        """What operators are shown: the quarantined, and suspects with one death."""
        now = trio.current_time()
        return tuple(
            QuarantineStatus(
                service=suspicion.service,
                fingerprint=fingerprint,
                deaths=len(suspicion.death_ids),
                remaining_s=max(0.0, DECAY_S - (now - suspicion.last_at)),
            )
            for fingerprint, suspicion in self._listed()
        )
