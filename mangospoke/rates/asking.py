"""The host's conversation with its domain's grantor."""

import random
from collections.abc import Callable
from typing import Any

import trio
from loguru import logger

from mangospoke.control.interface import ControlError
from mangospoke.control.messages import Message, Rejected
from mangospoke.control.transport import ControlPlane
from mangospoke.ids import FailureDomainId, HostId
from mangospoke.rates.admission import Admission
from mangospoke.rates.bucket import TokenBucket
from mangospoke.rates.candidates import rank_candidates, rank_of
from mangospoke.rates.grantor import Grantor
from mangospoke.rates.holder import Holder
from mangospoke.rates.messages import Grants, NotGrantor, RequestGrants
from mangospoke.rates.timing import NS_PER_S
from mangospoke.rates.units import MILLI
from mangospoke.state.fleet import Fleet

_INTERVAL_S = 1.0
_RETRY_S = 0.2
_TIMEOUT_S = 1.0
_QUESTIONS_PER_S = 8
_QUESTIONS_AT_ONCE = 20


class GrantAsker:
    """Asks for grants at intervals, and at once when requests wait.

    Attributes:
        heard_at: When a grantor last answered, or was about to take over.
    """

    def __init__(
        self,
        fleet: Fleet,
        domain: FailureDomainId,
        host_id: HostId,
        control: ControlPlane,
        holder: Holder,
        grantor: Grantor,
        read_clock: Callable[[], int],
    ) -> None:
        self.holder = holder
        self.admission = Admission(holder, read_clock, self.ask_soon)
        self.heard_at = read_clock()
        self._fleet = fleet
        self._domain = domain
        self._host_id = host_id
        self._control = control
        self._grantor = grantor
        self._read_clock = read_clock
        self._wake = trio.Event()
        self._address = ""
        self._turn = 0
        self._questions = TokenBucket(
            read_clock(), _QUESTIONS_PER_S * MILLI, _QUESTIONS_AT_ONCE * MILLI
        )

    def ask_soon(self) -> None:
        """Sends the next request for grants without waiting for its time."""
        self._wake.set()

    async def run(self) -> None:
        """Asks until it is cancelled."""
        while True:
            self._wake = trio.Event()
            if self._has_reason():
                more = await self._ask_once()
            else:
                more = False
            if more and self._questions.take(self._read_clock()):
                continue
            interval_s = _RETRY_S if self._is_short() else _INTERVAL_S
            with trio.move_on_after(interval_s * random.uniform(0.8, 1.0)):
                await self._wake.wait()
            await self._wait_for_leave()

    def _has_reason(self) -> bool:
        """Whether there is demand, or a candidate that must watch the grantor."""
        if self.holder.accounts_by_id:
            return True
        candidates = rank_candidates(self._fleet, self._domain)
        return rank_of(candidates, self._host_id) is not None

    def _is_short(self) -> bool:
        return any(account.waiting for account in self.holder.accounts_by_id.values())

    async def _wait_for_leave(self) -> None:
        while not self._questions.take(self._read_clock()):
            wait_ns = self._questions.wait_ns(self._read_clock()) or 0
            await trio.sleep(wait_ns / NS_PER_S)

    async def _ask_once(self) -> bool:
        sent_at = self._read_clock()
        request = self.holder.request(sent_at)
        answer = await self._ask(request)
        now = self._read_clock()
        if isinstance(answer, Grants):
            self.heard_at = now
            lessened = self.holder.apply(request, sent_at, answer, now)
            self.admission.granted()
            return lessened
        if isinstance(answer, NotGrantor) and answer.taking_over:
            self.heard_at = now
        self._look_elsewhere(answer)
        return False

    async def _ask(self, request: RequestGrants) -> Message | None:
        now = self._read_clock()
        if self._grantor.is_active(now):
            return self._grantor.grant(request, now)
        address = self._address or self._next_candidate()
        if not address:
            return None
        self._address = address
        try:
            answer_type: Any = Grants | NotGrantor
            return await self._control.ask(address, request, answer_type, _TIMEOUT_S)
        except ControlError as error:
            logger.bind(event="grants_unanswered").debug("{}", error)
            return None

    def _look_elsewhere(self, answer: Message | None) -> None:
        """Follows a reference to the grantor, or tries the next candidate."""
        if isinstance(answer, Rejected):
            return
        referred = answer.control_address if isinstance(answer, NotGrantor) else ""
        if referred and referred != self._address:
            self._address = referred
            self.ask_soon()
        else:
            self._address = ""

    def _next_candidate(self) -> str:
        candidates = rank_candidates(self._fleet, self._domain)
        others = [each for each in candidates if each.host_id != self._host_id]
        if not others:
            return ""
        self._turn += 1
        return others[self._turn % len(others)].control_address
