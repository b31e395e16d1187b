"""Election of a failure domain's grantor, and takeover from its predecessors."""

import random
import secrets
from collections.abc import Callable

import trio
from loguru import logger

from mangospoke.control.interface import ControlError
from mangospoke.control.transport import NngControlChannel
from mangospoke.ids import FailureDomainId
from mangospoke.rates.candidates import (
    candidate_rank,
    is_draining_or_left,
    rank_candidates,
)
from mangospoke.rates.grantor import Grantor, GrantorState
from mangospoke.rates.messages import Supersede, Superseded
from mangospoke.rates.records import (
    DaemonIdentity,
    GrantorActivated,
    GrantorAppointed,
)
from mangospoke.rates.shares_follower import SharesFollower
from mangospoke.rates.takeover import Takeover
from mangospoke.rates.timing import NS_PER_S, SILENCE_NS
from mangospoke.state.fleet import Fleet

_POLL_INTERVAL_S = 0.2
_RANK_DELAY_NS = NS_PER_S // 2
"""Extra wait per rank, so that candidates don't all request the appointment at once."""
_SUPERSEDE_TIMEOUT_S = 1.0
_SUPERSEDE_RETRY_S = 0.2


class GrantorElection:
    """Keeps one daemon of the domain, and only one, active as grantor.

    A candidate requests its own appointment in the shares stream if there is no
    grantor, the grantor is leaving, or it has not answered for `SILENCE_NS`. Of
    concurrent appointments, readers accept the first.
    """

    def __init__(
        self,
        fleet: Fleet,
        domain: FailureDomainId,
        identity: DaemonIdentity,
        control: NngControlChannel,
        grantor: Grantor,
        follower: SharesFollower,
        grantor_heard_at: Callable[[], int],
        read_clock: Callable[[], int],
    ) -> None:
        self._fleet = fleet
        self._domain = domain
        self._identity = identity
        self._control = control
        self._grantor = grantor
        self._follower = follower
        self._grantor_heard_at = grantor_heard_at
        self._read_clock = read_clock
        self._first_poll_at: int | None = None

    def is_candidate(self) -> bool:
        """Returns whether this daemon may become grantor, and so follows the stream."""
        return self._rank() is not None

    def _rank(self) -> int | None:
        candidates = rank_candidates(self._fleet, self._domain)
        return candidate_rank(candidates, self._identity.host_id)

    async def run(self) -> None:
        """Requests appointments and performs takeovers until cancelled."""
        while True:
            await trio.sleep(_POLL_INTERVAL_S * random.uniform(0.5, 1.0))
            if not self._follower.is_complete or self._is_domain_lost():
                continue
            state = self._grantor.state
            if state is GrantorState.TAKING_OVER:
                await self._take_over()
            elif state is GrantorState.UNCONFIRMED:
                await self._confirm_after_pause()
            elif state is GrantorState.NOT_APPOINTED and self._is_appointment_due():
                await self._request_appointment()

    def _is_domain_lost(self) -> bool:
        domain = self._fleet.configuration.domains_by_id.get(self._domain)
        return domain is None or domain.lost

    def _is_appointment_due(self) -> bool:
        """Returns whether this daemon should request the appointment now.

        A daemon that restarted on the grantor's host does so at once. Others wait
        according to rank and, unless there is no grantor or it is leaving, until it
        has not answered for `SILENCE_NS`.
        """
        rank = self._rank()
        if rank is None:
            return False
        now = self._read_clock()
        if self._first_poll_at is None:
            self._first_poll_at = now
        appointee = self._grantor.table.grantor_of(self._domain).appointee
        if appointee is not None and appointee.host_id == self._identity.host_id:
            return not is_draining_or_left(self._fleet, self._identity.host_id)
        wait_started_at = self._first_poll_at
        required_wait_ns = rank * _RANK_DELAY_NS
        if appointee is not None and not is_draining_or_left(
            self._fleet, appointee.host_id
        ):
            wait_started_at = max(wait_started_at, self._grantor_heard_at())
            required_wait_ns += SILENCE_NS
        return now - wait_started_at >= required_wait_ns

    async def _request_appointment(self) -> None:
        """Appends its own appointment; readers accept the first one for each epoch."""
        if not await self._follower.catch_up():
            return
        if self._grantor.state is not GrantorState.NOT_APPOINTED:
            return
        if not self._is_appointment_due():
            return
        current = self._grantor.table.grantor_of(self._domain)
        record = GrantorAppointed(
            record_id=secrets.token_hex(8),
            domain=self._domain,
            builds_on=current.epoch,
            configuration_version=self._fleet.configuration.version,
            host_id=self._identity.host_id,
            incarnation=self._identity.incarnation,
            control_address=self._identity.control_address,
        )
        logger.bind(event="grantor_appointing", epoch=current.epoch + 1).info(
            "requesting appointment as grantor"
        )
        if await self._follower.append(record):
            await self._follower.catch_up()

    async def _take_over(self) -> None:
        """Stops the predecessors, waits for their grants to expire, starts granting."""
        appointed = self._grantor.table.grantor_of(self._domain)
        takeover = Takeover(appointed, self._identity.host_id, self._read_clock())
        async with trio.open_nursery() as nursery:
            for predecessor in list(takeover.unconfirmed_predecessors):
                nursery.start_soon(self._supersede_predecessor, takeover, predecessor)
        while self._read_clock() < takeover.earliest_grant_at():
            remaining_ns = takeover.earliest_grant_at() - self._read_clock()
            await trio.sleep(max(0, remaining_ns) / NS_PER_S)
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

    async def _supersede_predecessor(
        self, takeover: Takeover, predecessor: DaemonIdentity
    ) -> None:
        """Repeatedly tells a predecessor to stop, until it answers or time runs out."""
        request = Supersede(self._domain, takeover.epoch)
        while self._read_clock() < takeover.supersede_deadline():
            try:
                await self._control.send_request(
                    predecessor.control_address,
                    request,
                    Superseded,
                    _SUPERSEDE_TIMEOUT_S,
                )
            except ControlError:
                await trio.sleep(_SUPERSEDE_RETRY_S)
            else:
                takeover.mark_stopped(predecessor, self._read_clock())
                return

    async def _confirm_after_pause(self) -> None:
        """Resumes granting after a pause, once the log has been read up to its end.

        If the log names another grantor by then, reading it ended the appointment.
        """
        epoch = self._grantor.epoch
        if await self._follower.catch_up():
            self._grantor.resume_after_pause(epoch, self._read_clock())
