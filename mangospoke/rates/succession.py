"""Appointment of a domain's grantor, and its taking over from those before it."""

import random
import secrets
from collections.abc import Callable

import trio
from loguru import logger

from mangospoke.control.interface import ControlError
from mangospoke.control.transport import ControlPlane
from mangospoke.ids import FailureDomainId
from mangospoke.rates.candidates import is_leaving, rank_candidates, rank_of
from mangospoke.rates.following import SharesFollower
from mangospoke.rates.grantor import Grantor, GrantorState
from mangospoke.rates.messages import Supersede, Superseded
from mangospoke.rates.records import (
    Appointee,
    GrantorActivated,
    GrantorAppointed,
)
from mangospoke.rates.takeover import Takeover
from mangospoke.rates.timing import NS_PER_S, SILENCE_NS
from mangospoke.state.fleet import Fleet

_LOOK_S = 0.2
_RANK_DELAY_NS = NS_PER_S // 2
_ASK_TIMEOUT_S = 1.0
_ASK_PAUSE_S = 0.2


class Succession:
    """Sees to it that the domain has a grantor, and that it is only one."""

    def __init__(
        self,
        fleet: Fleet,
        domain: FailureDomainId,
        identity: Appointee,
        control: ControlPlane,
        grantor: Grantor,
        follower: SharesFollower,
        heard_at: Callable[[], int],
        read_clock: Callable[[], int],
    ) -> None:
        self._fleet = fleet
        self._domain = domain
        self._identity = identity
        self._control = control
        self._grantor = grantor
        self._follower = follower
        self._heard_at = heard_at
        self._read_clock = read_clock
        self._first_look: int | None = None

    def is_candidate(self) -> bool:
        """Whether this daemon may become grantor, and so follows the stream."""
        return self._rank() is not None

    def _rank(self) -> int | None:
        candidates = rank_candidates(self._fleet, self._domain)
        return rank_of(candidates, self._identity.host_id)

    async def run(self) -> None:
        """Appoints and takes over, until it is cancelled."""
        while True:
            await trio.sleep(_LOOK_S * random.uniform(0.5, 1.0))
            if not self._follower.whole or self._is_lost():
                continue
            state = self._grantor.state
            if state is GrantorState.TAKING_OVER:
                await self._take_over()
            elif state is GrantorState.UNSURE:
                await self._confirm()
            elif state is GrantorState.NOT_APPOINTED and self._should_be_appointed():
                await self._appoint()

    def _is_lost(self) -> bool:
        domain = self._fleet.configuration.domains_by_id.get(self._domain)
        return domain is None or domain.lost

    def _should_be_appointed(self) -> bool:
        rank = self._rank()
        if rank is None:
            return False
        now = self._read_clock()
        if self._first_look is None:
            self._first_look = now
        appointee = self._grantor.table.grantor_of(self._domain).appointee
        if appointee is not None and appointee.host_id == self._identity.host_id:
            return not is_leaving(self._fleet, self._identity.host_id)
        waited_from = self._first_look
        patience = rank * _RANK_DELAY_NS
        if appointee is not None and not is_leaving(self._fleet, appointee.host_id):
            waited_from = max(waited_from, self._heard_at())
            patience += SILENCE_NS
        return now - waited_from >= patience

    async def _appoint(self) -> None:
        """Appends its own appointment; the first one that builds on an epoch counts."""
        if not await self._follower.catch_up():
            return
        if self._grantor.state is not GrantorState.NOT_APPOINTED:
            return
        if not self._should_be_appointed():
            return
        known = self._grantor.table.grantor_of(self._domain)
        record = GrantorAppointed(
            record_id=secrets.token_hex(8),
            domain=self._domain,
            builds_on=known.epoch,
            configuration_version=self._fleet.configuration.version,
            host_id=self._identity.host_id,
            incarnation=self._identity.incarnation,
            control_address=self._identity.control_address,
        )
        logger.bind(event="grantor_appointing", epoch=known.epoch + 1).info(
            "asking to be grantor"
        )
        if await self._follower.append(record):
            await self._follower.catch_up()

    async def _take_over(self) -> None:
        """Waits until no earlier grant can be in use, then starts granting."""
        appointed = self._grantor.table.grantor_of(self._domain)
        takeover = Takeover(appointed, self._identity.host_id, self._read_clock())
        async with trio.open_nursery() as nursery:
            for predecessor in list(takeover.unanswered):
                nursery.start_soon(self._stop_one, takeover, predecessor)
        while self._read_clock() < takeover.starts_at():
            left_ns = takeover.starts_at() - self._read_clock()
            await trio.sleep(max(0, left_ns) / NS_PER_S)
        self._grantor.activate(takeover.epoch, self._read_clock())
        if self._grantor.state is not GrantorState.ACTIVE:
            return
        logger.bind(event="grantor_active", epoch=takeover.epoch).info("granting")
        if appointed.predecessors:
            record = GrantorActivated(
                record_id=secrets.token_hex(8),
                domain=self._domain,
                epoch=takeover.epoch,
            )
            await self._follower.append(record)

    async def _stop_one(self, takeover: Takeover, predecessor: Appointee) -> None:
        """Tells a predecessor to stop until it answers, or must know by itself."""
        question = Supersede(self._domain, takeover.epoch)
        while self._read_clock() < takeover.tells_until():
            try:
                await self._control.ask(
                    predecessor.control_address, question, Superseded, _ASK_TIMEOUT_S
                )
            except ControlError:
                await trio.sleep(_ASK_PAUSE_S)
            else:
                takeover.stopped(predecessor, self._read_clock())
                return

    async def _confirm(self) -> None:
        """After a pause: goes on only if the log, read anew, names no other."""
        epoch = self._grantor.epoch
        if await self._follower.catch_up():
            self._grantor.confirm(epoch, self._read_clock())
