"""Exchange of suspects among the daemons of a service.

A crash is reported to all of them at once. What a report misses is made up for: a
daemon that starts asks others before its calls run, a host that a report didn't reach
is told until it answers, and each daemon asks another from time to time.
"""

import random
from collections.abc import Callable

import trio
from loguru import logger

from mangospoke.control.interface import ControlChannel, ControlError
from mangospoke.control.messages import (
    Acknowledgment,
    ClearSuspect,
    EndTrial,
    ReadSuspects,
    ReadSuspectsResponse,
    ReportCrash,
    ShareSuspects,
)
from mangospoke.guard.suspect_learning import LearningPhase, SuspectLearning
from mangospoke.guard.suspects import SuspectRegistry, records_digest
from mangospoke.ids import FailureDomainId, HostId, ServiceName
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.state.fleet import Fleet

_TELL_TIMEOUT_S = 1.0
_ASK_TIMEOUT_S = 0.5
_ROUND_TIMEOUT_S = 1.0
"""Time limit for reading all suspects of the hosts that are asked in one round."""

_MAX_HOLD_S = 1.0
"""Time for which calls wait if no host of the service is known after a start."""

_VIEW_POLL_S = 0.05
_RETRY_INTERVAL_S = 1.0
"""Time between attempts to tell hosts that a report didn't reach."""

_MAX_TOLD_PER_RETRY = 64
_RECORDS_PER_MESSAGE = 256

ServiceReader = Callable[[], ServiceName | None]
"""Returns the service of the local upstream; None while it isn't known."""


class SuspectExchange:
    """Tells the daemons of a service of suspects, and learns of theirs.

    Attributes:
        learning: Whom it asks, and how much it knows.
    """

    def __init__(
        self,
        host_id: HostId,
        failure_domain: FailureDomainId,
        fleet: Fleet,
        control: ControlChannel,
        suspects: SuspectRegistry,
        read_service: ServiceReader,
        random_source: random.Random | None = None,
    ) -> None:
        self._host_id = host_id
        self._domain = failure_domain
        self._fleet = fleet
        self._control = control
        self._suspects = suspects
        self._read_service = read_service
        self._random = random_source or random.Random()
        self._service: ServiceName | None = None
        self._uninformed_ids: set[HostId] = set()
        self._served = trio.Event()
        self._began_at = 0.0
        self._began_anew = trio.Event()
        self.learning = self._make_learning()
        control.handlers_by_type[ReadSuspects] = self._handle_read
        control.handlers_by_type[ShareSuspects] = self._handle_share

    def _make_learning(self) -> SuspectLearning:
        return SuspectLearning(self._host_id, self._domain, self._random)

    async def wait_until_served(self, service: ServiceName) -> None:
        """Waits until calls of a service may run, after a start."""
        self._follow_service(service)
        if self.learning.phase is LearningPhase.ASKING:
            with trio.move_on_after(_MAX_HOLD_S + _ROUND_TIMEOUT_S):
                await self._served.wait()

    async def run(self) -> None:
        """Learns of other daemons' suspects, and repeats reports, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._learn)
            nursery.start_soon(self._repeat_reports)

    async def broadcast(
        self, service: ServiceName, message: ReportCrash | ClearSuspect
    ) -> None:
        """Sends a message to all other daemons of a service."""
        async with trio.open_nursery() as nursery:
            for upstream in self._upstreams_of(service):
                if upstream.host_id != self._host_id:
                    nursery.start_soon(self._report, upstream, message)

    async def _report(
        self, upstream: UpstreamAnnounced, message: ReportCrash | ClearSuspect
    ) -> None:
        if not await self.send(upstream, message):
            self._uninformed_ids.add(upstream.host_id)

    async def send(
        self,
        upstream: UpstreamAnnounced,
        message: ReportCrash | ClearSuspect | EndTrial | ShareSuspects,
    ) -> bool:
        """Sends a notification; returns whether it was acknowledged."""
        try:
            await self._control.send_request(
                upstream.control_address, message, Acknowledgment, _TELL_TIMEOUT_S
            )
        except ControlError as error:
            logger.bind(event="poison_untold", host=upstream.host_id).warning(
                "could not notify host {} about a suspect: {}", upstream.host_id, error
            )
            return False
        return True

    def _upstreams_of(self, service: ServiceName | None) -> list[UpstreamAnnounced]:
        if service is None:
            return []
        return list(self._fleet.upstreams_by_service.get(service, {}).values())

    async def _learn(self) -> None:
        while True:
            self._follow_service(self._read_service())
            upstreams = self._upstreams_of(self._service)
            if upstreams:
                await self._run_round(upstreams)
                pause_s = self.learning.pause_s()
            else:
                if trio.current_time() - self._began_at >= _MAX_HOLD_S:
                    self._end_round(self.learning.serve)
                pause_s = _VIEW_POLL_S
            with trio.move_on_after(pause_s):
                await self._began_anew.wait()

    def _follow_service(self, service: ServiceName | None) -> None:
        """Begins anew if the upstream is of another service than before."""
        if service is None or service == self._service:
            return
        self._service = service
        self._began_at = trio.current_time()
        self.learning = self._make_learning()
        began_anew, self._began_anew = self._began_anew, trio.Event()
        began_anew.set()

    async def _run_round(self, upstreams: list[UpstreamAnnounced]) -> None:
        learning = self.learning
        sources = learning.choose_sources(upstreams)
        has_learned_by_id: dict[HostId, bool] = {}

        async def ask(source: UpstreamAnnounced) -> None:
            try:
                has_learned_by_id[source.host_id] = await self._read_from(source)
            except ControlError as error:
                logger.bind(event="suspects_unread", host=source.host_id).info(
                    "could not read the suspects of host {}: {}", source.host_id, error
                )

        with trio.move_on_after(_ROUND_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for source in sources:
                    nursery.start_soon(ask, source)
        if learning is self.learning:
            self._end_round(
                lambda: learning.record_round(
                    has_learned_by_id, len(sources), upstreams
                )
            )

    def _end_round(self, change_phase: Callable[[], None]) -> None:
        previous = self.learning.phase
        change_phase()
        phase = self.learning.phase
        if phase is previous:
            return
        logger.bind(
            event="suspects_learned", phase=phase.value, suspects=len(self._suspects)
        ).info("{} suspects are known; phase {}", len(self._suspects), phase.value)
        served, self._served = self._served, trio.Event()
        served.set()

    async def _read_from(self, source: UpstreamAnnounced) -> bool:
        """Reads a host's suspects; returns whether it has learned of earlier ones.

        Raises:
            ControlError: If it doesn't answer.
        """
        service = source.service
        own_records = self._suspects.records(service, trio.current_time())
        digest = records_digest(own_records)
        after = ""
        while True:
            response = await self._control.send_request(
                source.control_address,
                ReadSuspects(service=service, digest=digest, after=after),
                ReadSuspectsResponse,
                _ASK_TIMEOUT_S,
            )
            self._suspects.merge(service, response.records, trio.current_time())
            if response.is_last or not response.records:
                return response.has_learned
            after = response.records[-1].fingerprint
            digest = 0

    async def _repeat_reports(self) -> None:
        while True:
            await trio.sleep(_RETRY_INTERVAL_S)
            service = self._service
            upstreams = [
                each
                for each in self._upstreams_of(service)
                if each.host_id in self._uninformed_ids
            ]
            self._uninformed_ids.intersection_update(each.host_id for each in upstreams)
            if service is None or not upstreams:
                continue
            count = min(len(upstreams), _MAX_TOLD_PER_RETRY)
            async with trio.open_nursery() as nursery:
                for upstream in self._random.sample(upstreams, count):
                    nursery.start_soon(self._share_all, service, upstream)

    async def _share_all(
        self, service: ServiceName, upstream: UpstreamAnnounced
    ) -> None:
        records = tuple(self._suspects.records(service, trio.current_time()))
        for start in range(0, len(records), _RECORDS_PER_MESSAGE):
            part = records[start : start + _RECORDS_PER_MESSAGE]
            message = ShareSuspects(service=service, records=part)
            if not await self.send(upstream, message):
                return
        self._uninformed_ids.discard(upstream.host_id)

    async def _handle_read(self, request: ReadSuspects) -> ReadSuspectsResponse:
        has_learned = (
            request.service == self._service
            and self.learning.phase is LearningPhase.LEARNED
        )
        now = trio.current_time()
        records = self._suspects.records(request.service, now, request.after)
        if not request.after and records_digest(records) == request.digest:
            return ReadSuspectsResponse(has_learned=has_learned)
        return ReadSuspectsResponse(
            has_learned=has_learned,
            records=tuple(records[:_RECORDS_PER_MESSAGE]),
            is_last=len(records) <= _RECORDS_PER_MESSAGE,
        )

    async def _handle_share(self, message: ShareSuspects) -> Acknowledgment:
        self._suspects.merge(message.service, message.records, trio.current_time())
        return Acknowledgment()
