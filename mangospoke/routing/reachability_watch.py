"""Checks of silent failure domains, and what daemons tell their neighbours of them."""

import random

import trio
from loguru import logger

from mangospoke.control.interface import ControlChannel, ControlError
from mangospoke.control.messages import (
    Acknowledgment,
    Probe,
    ProbeResponse,
    ReportReachability,
)
from mangospoke.ids import FailureDomainId, HostId, Incarnation
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.routing.reachability import (
    DomainCheck,
    DomainReachability,
    ReachabilityChange,
    hosts_in,
)
from mangospoke.state.fleet import Fleet

_POLL_INTERVAL_S = 0.05
_REPORT_TIMEOUT_S = 0.5
_REPORTED_HOSTS = 8
"""Neighbours that a host tells of each change; they tell as many."""


class ReachabilityWatch:
    """Keeps a daemon's view of the other failure domains up to date.

    Attributes:
        changes: Number of changes seen, for the metrics.
    """

    def __init__(
        self,
        host_id: HostId,
        domain: FailureDomainId,
        incarnation: Incarnation,
        fleet: Fleet,
        control: ControlChannel,
        reachability: DomainReachability,
        random_source: random.Random | None = None,
    ) -> None:
        self.changes = 0
        self._host_id = host_id
        self._domain = domain
        self._incarnation = incarnation
        self._fleet = fleet
        self._control = control
        self._reachability = reachability
        self._random = random_source or random.Random()
        self._untold: list[ReachabilityChange] = []
        self._changed = trio.Event()
        control.handlers_by_type.setdefault(Probe, self._handle_probe)
        control.handlers_by_type[ReportReachability] = self._handle_report
        reachability.listeners.append(self._on_change)
        fleet.membership_listeners.append(self._on_membership_change)

    def _on_membership_change(self) -> None:
        self._reachability.set_hosts(self._fleet.upstreams_by_host.values())

    def _on_change(self, change: ReachabilityChange) -> None:
        self.changes += 1
        state = "silent" if change.is_silent else "reachable"
        logger.bind(
            event="domain_reachability",
            domain=change.domain,
            state=state,
            silent_for_ms=round(change.silent_for_s * 1000),
        ).warning("failure domain {} is {} from here", change.domain, state)
        self._untold.append(change)
        self._changed.set()

    async def run(self) -> None:
        """Checks suspected and silent domains until cancelled."""
        self._reachability.forget_checks()
        async with trio.open_nursery() as nursery:
            while True:
                for check in self._reachability.due_checks(trio.current_time()):
                    nursery.start_soon(self._run_check, check)
                untold, self._untold = self._untold, []
                for change in untold:
                    nursery.start_soon(self._tell_neighbours, change)
                self._changed = trio.Event()
                with trio.move_on_after(_POLL_INTERVAL_S):
                    await self._changed.wait()

    async def _run_check(self, check: DomainCheck) -> None:
        following: DomainCheck | None = check
        while following is not None:
            is_answered = await self._is_answered(following)
            following = self._reachability.record_check(
                following, is_answered=is_answered, now=trio.current_time()
            )

    async def _is_answered(self, check: DomainCheck) -> bool:
        """Returns whether any of a check's hosts answers."""
        answered = False
        async with trio.open_nursery() as nursery:

            async def probe(host: UpstreamAnnounced) -> None:
                nonlocal answered
                try:
                    await self._control.send_request(
                        host.control_address, Probe(), ProbeResponse, check.timeout_s
                    )
                except ControlError:
                    return
                answered = True
                nursery.cancel_scope.cancel()

            for host in check.hosts:
                nursery.start_soon(probe, host)
        return answered

    async def _tell_neighbours(self, change: ReachabilityChange) -> None:
        neighbours = [
            each
            for each in hosts_in(self._fleet.upstreams_by_host.values(), self._domain)
            if each.host_id != self._host_id
        ]
        count = min(len(neighbours), _REPORTED_HOSTS)
        message = ReportReachability(
            domain=change.domain,
            is_silent=change.is_silent,
            silent_ms=change.silent_for_s * 1000,
        )
        async with trio.open_nursery() as nursery:
            for neighbour in self._random.sample(neighbours, count):
                nursery.start_soon(self._tell, neighbour, message)

    async def _tell(
        self, neighbour: UpstreamAnnounced, message: ReportReachability
    ) -> None:
        try:
            await self._control.send_request(
                neighbour.control_address, message, Acknowledgment, _REPORT_TIMEOUT_S
            )
        except ControlError as error:
            logger.bind(event="reachability_untold", host=neighbour.host_id).info(
                "could not tell host {} of a silent domain: {}",
                neighbour.host_id,
                error,
            )

    async def _handle_probe(self, request: Probe) -> ProbeResponse:
        return ProbeResponse(
            host_id=self._host_id,
            incarnation=self._incarnation,
            version=self._fleet.configuration.version,
        )

    async def _handle_report(self, report: ReportReachability) -> Acknowledgment:
        self._reachability.handle_report(
            report.domain,
            is_silent=report.is_silent,
            silent_for_s=report.silent_ms / 1000,
            now=trio.current_time(),
        )
        return Acknowledgment()
