"""Detects dead daemons by probes within the failure domain.

Each daemon sends one probe a second, in turn to its next few successors on the ring
of its failure domain. A daemon that doesn't answer is declared dead only if another
daemon can't reach it either. So a host whose own network is broken declares no other
host dead. A failure domain that is cut off from the others isn't declared dead by
them, as only its own daemons probe it.
"""

import random

import trio
from loguru import logger

from mangospoke.control.interface import ControlError
from mangospoke.control.messages import (
    IndirectProbe,
    IndirectProbeResponse,
    Probe,
    ProbeResponse,
)
from mangospoke.control.transport import NngControlChannel
from mangospoke.ids import HostId
from mangospoke.logservice.records import UpstreamAnnounced, UpstreamLeft
from mangospoke.state.topology import DomainTopology
from mangospoke.state.writer import MembershipWriter

_PROBED_SUCCESSORS = 3
_PROBE_INTERVAL_S = 1.0
_PROBE_TIMEOUT_S = 1.0
_PROBE_ATTEMPTS = 3
_PROBE_ATTEMPTS_WITHOUT_CONFIRMATION = 8
"""Attempts before a daemon declares its only peer dead without confirmation."""

_RETRY_DELAY_S = 0.3
_CONFIRMING_PEERS = 3
_CONFIRM_TIMEOUT_S = 4.0
_MISMATCHES_BEFORE_DEAD = 3
"""Probe answers with another incarnation before the announced one is declared dead."""


class LivenessProber:
    """Probes the ring successors and declares unreachable ones dead."""

    def __init__(
        self,
        host_id: HostId,
        control: NngControlChannel,
        topology: DomainTopology,
        writer: MembershipWriter,
        random_source: random.Random,
    ) -> None:
        self._host_id = host_id
        self._control = control
        self._topology = topology
        self._writer = writer
        self._random = random_source
        self._mismatches_by_host: dict[HostId, tuple[int, int]] = {}

    async def run(self) -> None:
        """Probes until it is cancelled."""
        turn = 0
        while True:
            await trio.sleep(self._random.uniform(0.8, 1.2) * _PROBE_INTERVAL_S)
            successors = self._topology.ring_successors(_PROBED_SUCCESSORS)
            if successors:
                turn += 1
                await self._check(successors[turn % len(successors)])

    async def _check(self, target: UpstreamAnnounced) -> None:
        answer = await self._probe(target.control_address)
        if answer is not None:
            self._check_incarnation(target, answer)
            return
        is_only_peer = len(self._topology.peers()) < 2
        for _ in range(
            (_PROBE_ATTEMPTS_WITHOUT_CONFIRMATION if is_only_peer else _PROBE_ATTEMPTS)
            - 1
        ):
            await trio.sleep(_RETRY_DELAY_S)
            if await self._probe(target.control_address) is not None:
                return
        if is_only_peer or await self._is_confirmed_unreachable(target):
            self._declare_dead(target, "silent")

    async def _probe(self, address: str) -> ProbeResponse | None:
        try:
            return await self._control.send_request(
                address, Probe(), ProbeResponse, _PROBE_TIMEOUT_S
            )
        except ControlError:
            return None

    def _check_incarnation(
        self, target: UpstreamAnnounced, answer: ProbeResponse
    ) -> None:
        """Declares the announced incarnation dead if another one keeps answering."""
        same_host = answer.host_id == target.host_id
        if same_host and answer.incarnation == target.incarnation:
            self._mismatches_by_host.pop(target.host_id, None)
            # The daemon was only paused: withdraw a declaration of its death that
            # the log service hasn't accepted yet.
            self._writer.withdraw(target.host_id)
            return
        life, seen = self._mismatches_by_host.get(target.host_id, (0, 0))
        seen = seen + 1 if life == target.incarnation else 1
        self._mismatches_by_host[target.host_id] = (target.incarnation, seen)
        if seen >= _MISMATCHES_BEFORE_DEAD:
            del self._mismatches_by_host[target.host_id]
            self._declare_dead(target, "replaced")

    async def _is_confirmed_unreachable(self, target: UpstreamAnnounced) -> bool:
        """Whether at least one other daemon answers, and none reaches the target."""
        others = [
            address
            for address in self._topology.peers()
            if address != target.control_address
        ]
        chosen = self._random.sample(others, min(_CONFIRMING_PEERS, len(others)))
        findings: list[bool] = []

        async def ask(address: str) -> None:
            question = IndirectProbe(target.control_address)
            try:
                answer = await self._control.send_request(
                    address, question, IndirectProbeResponse, _CONFIRM_TIMEOUT_S
                )
            except ControlError:
                return
            findings.append(answer.reachable)

        async with trio.open_nursery() as nursery:
            for address in chosen:
                nursery.start_soon(ask, address)
        return bool(findings) and not any(findings)

    def _declare_dead(self, target: UpstreamAnnounced, reason: str) -> None:
        logger.bind(
            event="declared_dead",
            upstream_host=target.host_id,
            incarnation=target.incarnation,
            reason=reason,
        ).warning("declaring {} dead: {}", target.host_id, reason)
        self._writer.want(
            UpstreamLeft(
                record_id=f"{self._host_id}-{target.incarnation}",
                host_id=target.host_id,
                incarnation=target.incarnation,
                declared_by=self._host_id,
            )
        )

    async def answer(self, question: IndirectProbe) -> IndirectProbeResponse:
        """Probes a daemon on behalf of another one that can't reach it."""
        for _ in range(2):
            if await self._probe(question.control_address) is not None:
                return IndirectProbeResponse(True)
        return IndirectProbeResponse(False)
