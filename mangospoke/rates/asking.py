"""The client side of grants: requests them for this host from its domain's grantor."""

import random
from collections.abc import Callable
from typing import Any

import trio
from loguru import logger

from mangospoke.control.interface import ControlError
from mangospoke.control.messages import Message, Rejected
from mangospoke.control.transport import NngControlChannel
from mangospoke.ids import FailureDomainId, HostId
from mangospoke.rates.admission import Admission
from mangospoke.rates.bucket import TokenBucket
from mangospoke.rates.candidates import candidate_rank, rank_candidates
from mangospoke.rates.grantor import Grantor
from mangospoke.rates.holder import Holder
from mangospoke.rates.messages import Grants, NotGrantor, RequestGrants
from mangospoke.rates.timing import NS_PER_S
from mangospoke.rates.units import MILLI
from mangospoke.state.fleet import Fleet

_REQUEST_INTERVAL_S = 1.0
_WAITING_REQUEST_INTERVAL_S = 0.2
"""Interval between requests for grants while callers' requests wait for tokens."""

_REQUEST_TIMEOUT_S = 1.0
_MAX_REQUESTS_PER_S = 8
_MAX_REQUEST_BURST = 20


class GrantClient:
    """Requests grants at intervals, and at once while callers' requests wait.

    Attributes:
        last_answer_at: When a grantor last answered, or a daemon answered that it is
            taking over; nanoseconds of `read_clock`.
    """

    def __init__(
        self,
        fleet: Fleet,
        domain: FailureDomainId,
        host_id: HostId,
        control: NngControlChannel,
        holder: Holder,
        grantor: Grantor,
        read_clock: Callable[[], int],
    ) -> None:
        self.holder = holder
        self.admission = Admission(holder, read_clock, self.request_soon)
        self.last_answer_at = read_clock()
        self._fleet = fleet
        self._domain = domain
        self._host_id = host_id
        self._control = control
        self._grantor = grantor
        self._read_clock = read_clock
        self._wake = trio.Event()
        self._grantor_address = ""
        self._candidate_index = 0
        self._request_budget = TokenBucket(
            read_clock(), _MAX_REQUESTS_PER_S * MILLI, _MAX_REQUEST_BURST * MILLI
        )

    def request_soon(self) -> None:
        """Sends the next request for grants without waiting for the interval."""
        self._wake.set()

    async def run(self) -> None:
        """Requests grants until it is cancelled."""
        while True:
            self._wake = trio.Event()
            if self._needs_grantor():
                has_shrunk = await self._request_once()
            else:
                has_shrunk = False
            if has_shrunk and self._request_budget.take_token(self._read_clock()):
                continue
            interval_s = (
                _WAITING_REQUEST_INTERVAL_S
                if self._has_waiting_requests()
                else _REQUEST_INTERVAL_S
            )
            with trio.move_on_after(interval_s * random.uniform(0.8, 1.0)):
                await self._wake.wait()
            await self._wait_for_request_budget()

    def _needs_grantor(self) -> bool:
        """Whether there is demand, or this host as a candidate monitors the grantor."""
        if self.holder.accounts_by_id:
            return True
        candidates = rank_candidates(self._fleet, self._domain)
        return candidate_rank(candidates, self._host_id) is not None

    def _has_waiting_requests(self) -> bool:
        return any(account.waiting for account in self.holder.accounts_by_id.values())

    async def _wait_for_request_budget(self) -> None:
        while not self._request_budget.take_token(self._read_clock()):
            wait_ns = self._request_budget.wait_ns(self._read_clock()) or 0
            await trio.sleep(wait_ns / NS_PER_S)

    async def _request_once(self) -> bool:
        """Sends one request, applies its answer, and returns whether a share shrank."""
        sent_at = self._read_clock()
        request = self.holder.request(sent_at)
        answer = await self._send(request)
        now = self._read_clock()
        if isinstance(answer, Grants):
            self.last_answer_at = now
            has_shrunk = self.holder.apply(request, sent_at, answer, now)
            self.admission.notify_grants_changed()
            return has_shrunk
        if isinstance(answer, NotGrantor) and answer.taking_over:
            self.last_answer_at = now
        self._choose_next_address(answer)
        return False

    async def _send(self, request: RequestGrants) -> Message | None:
        now = self._read_clock()
        if self._grantor.is_active(now):
            return self._grantor.grant(request, now)
        address = self._grantor_address or self._next_candidate()
        if not address:
            return None
        self._grantor_address = address
        try:
            answer_type: Any = Grants | NotGrantor
            return await self._control.send_request(
                address, request, answer_type, _REQUEST_TIMEOUT_S
            )
        except ControlError as error:
            logger.bind(event="grants_unanswered").debug("{}", error)
            return None

    def _choose_next_address(self, answer: Message | None) -> None:
        """Follows a redirect to the grantor, or tries the next candidate."""
        if isinstance(answer, Rejected):
            return
        redirect = answer.control_address if isinstance(answer, NotGrantor) else ""
        if redirect and redirect != self._grantor_address:
            self._grantor_address = redirect
            self.request_soon()
        else:
            self._grantor_address = ""

    def _next_candidate(self) -> str:
        candidates = rank_candidates(self._fleet, self._domain)
        others = [
            candidate for candidate in candidates if candidate.host_id != self._host_id
        ]
        if not others:
            return ""
        self._candidate_index += 1
        return others[self._candidate_index % len(others)].control_address
