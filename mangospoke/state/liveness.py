"""Finding of dead daemons by their neighbours in the failure domain.

Each daemon probes the next few on the ring of its domain, one a second. One that
stays silent is declared gone only if another daemon, too, can't reach it; so a host
whose own network is broken declares nobody, and a domain that is cut off from the
others is declared dead by no one, as only its own daemons probe it.
"""

import random

import trio
from loguru import logger

from mangospoke.control.interface import ControlError
from mangospoke.control.messages import (
    ConfirmUnreachable,
    Probe,
    ProbeAnswer,
    Reachability,
)
from mangospoke.control.transport import ControlPlane
from mangospoke.ids import HostId
from mangospoke.logservice.records import UpstreamAnnounced, UpstreamLeft
from mangospoke.state.neighbourhood import Neighbourhood
from mangospoke.state.writer import MembershipWriter

_NEIGHBOURS = 3
_INTERVAL_S = 1.0
_PROBE_TIMEOUT_S = 1.0
_ATTEMPTS = 3
_ATTEMPTS_ALONE = 8
"""Attempts before a daemon with a single neighbour declares it gone by itself."""

_ATTEMPT_PAUSE_S = 0.3
_CONFIRMERS = 3
_CONFIRM_TIMEOUT_S = 4.0
_MISMATCHES = 3
"""Probes answered by another life than the announced one before that is believed."""


class LivenessProber:
    """Probes neighbours and declares the dead."""

    def __init__(
        self,
        host_id: HostId,
        control: ControlPlane,
        neighbourhood: Neighbourhood,
        writer: MembershipWriter,
        random_source: random.Random,
    ) -> None:
        self._host_id = host_id
        self._control = control
        self._neighbourhood = neighbourhood
        self._writer = writer
        self._random = random_source
        self._mismatches_by_host: dict[HostId, tuple[int, int]] = {}

    async def run(self) -> None:
        """Probes until it is cancelled."""
        turn = 0
        while True:
            await trio.sleep(self._random.uniform(0.8, 1.2) * _INTERVAL_S)
            neighbours = self._neighbourhood.neighbours(_NEIGHBOURS)
            if neighbours:
                turn += 1
                await self._check(neighbours[turn % len(neighbours)])

    async def _check(self, target: UpstreamAnnounced) -> None:
        answer = await self._probe(target.control_address)
        if answer is not None:
            self._check_life(target, answer)
            return
        alone = len(self._neighbourhood.peers()) < 2
        for _ in range((_ATTEMPTS_ALONE if alone else _ATTEMPTS) - 1):
            await trio.sleep(_ATTEMPT_PAUSE_S)
            if await self._probe(target.control_address) is not None:
                return
        if alone or await self._is_confirmed(target):
            self._declare(target, "silent")

    async def _probe(self, address: str) -> ProbeAnswer | None:
        try:
            return await self._control.ask(
                address, Probe(), ProbeAnswer, _PROBE_TIMEOUT_S
            )
        except ControlError:
            return None

    def _check_life(self, target: UpstreamAnnounced, answer: ProbeAnswer) -> None:
        """Declares a life gone in whose place another one answers."""
        same_host = answer.host_id == target.host_id
        if same_host and answer.incarnation == target.incarnation:
            self._mismatches_by_host.pop(target.host_id, None)
            # It was paused, and the log service hasn't heard that it is gone.
            self._writer.withdraw(target.host_id)
            return
        life, seen = self._mismatches_by_host.get(target.host_id, (0, 0))
        seen = seen + 1 if life == target.incarnation else 1
        self._mismatches_by_host[target.host_id] = (target.incarnation, seen)
        if seen >= _MISMATCHES:
            del self._mismatches_by_host[target.host_id]
            self._declare(target, "replaced")

    async def _is_confirmed(self, target: UpstreamAnnounced) -> bool:
        """Whether another daemon can't reach the target, and none can."""
        others = [
            address
            for address in self._neighbourhood.peers()
            if address != target.control_address
        ]
        chosen = self._random.sample(others, min(_CONFIRMERS, len(others)))
        findings: list[bool] = []

        async def ask(address: str) -> None:
            question = ConfirmUnreachable(target.control_address)
            try:
                answer = await self._control.ask(
                    address, question, Reachability, _CONFIRM_TIMEOUT_S
                )
            except ControlError:
                return
            findings.append(answer.reachable)

        async with trio.open_nursery() as nursery:
            for address in chosen:
                nursery.start_soon(ask, address)
        return bool(findings) and not any(findings)

    def _declare(self, target: UpstreamAnnounced, reason: str) -> None:
        logger.bind(
            event="declared_dead",
            upstream_host=target.host_id,
            incarnation=target.incarnation,
            reason=reason,
        ).warning("{} is declared gone: {}", target.host_id, reason)
        self._writer.want(
            UpstreamLeft(
                record_id=f"{self._host_id}-{target.incarnation}",
                host_id=target.host_id,
                incarnation=target.incarnation,
                declared_by=self._host_id,
            )
        )

    async def answer(self, question: ConfirmUnreachable) -> Reachability:
        """Probes a daemon for another one that can't reach it."""
        for _ in range(2):
            if await self._probe(question.control_address) is not None:
                return Reachability(True)
        return Reachability(False)
