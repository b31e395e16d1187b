"""The rates of a daemon: its parts, and the tasks that run them."""

import random
from collections.abc import Callable

import trio
from loguru import logger

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.conf.settings import Settings
from mangospoke.control.interface import ControlError
from mangospoke.control.messages import Message
from mangospoke.control.transport import ControlPlane
from mangospoke.ids import ClientAccountId, FailureDomainId, Incarnation
from mangospoke.logservice.client import LogClient
from mangospoke.rates.asking import GrantAsker
from mangospoke.rates.declaring import (
    declare_accounts,
    free_lost_domains,
    living_domains,
)
from mangospoke.rates.following import SharesFollower
from mangospoke.rates.grantor import Grantor, GrantorState
from mangospoke.rates.holder import Holder
from mangospoke.rates.messages import (
    AccountWant,
    Nudge,
    Nudged,
    RequestGrants,
    RequestShares,
    SharesPromised,
    Supersede,
)
from mangospoke.rates.mover import Mover
from mangospoke.rates.records import (
    Appointee,
    DomainFreed,
    SharesDeclared,
    SharesMoved,
    SharesRecord,
)
from mangospoke.rates.shares import ShareTable
from mangospoke.rates.succession import Succession
from mangospoke.rates.timing import read_clock
from mangospoke.rates.units import NOTHING
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import Refused

_UNNEEDED_S = 5.0
"""Time for which the table is kept up to date after it was needed last."""

_TICK_S = 0.05
_IDLE_TICK_S = 0.5
"""Time between two looks of a daemon that is no grantor."""

_NUDGE_TIMEOUT_S = 1.0
_NUDGES_AT_ONCE = 16
_SHARES_TIMEOUT_S = 1.0
_FIRST_ASK_S = 0.1
_LONGEST_ASK_S = 0.5
_DOMAINS_ASKED = 6
_APPEND_RETRY_S = 0.25
_DECLARE_S = 0.25
_GRANTORS_WAIT_S = 1.0
_RANK_DELAY_S = 0.2


class Rates:
    """All that a daemon does about rates.

    Attributes:
        asker: The host's part: what it holds and admits.
        grantor: Its part as its domain's grantor.
        table: The share table, folded only at candidates.
    """

    def __init__(
        self,
        fleet: Fleet,
        domain: FailureDomainId,
        identity: Appointee,
        control: ControlPlane,
        client: LogClient,
        clock: Callable[[], int] = read_clock,
    ) -> None:
        now = clock()
        self.table = ShareTable()
        self.grantor = Grantor(
            domain, identity.host_id, identity.incarnation, self.table, now
        )
        self.mover = Mover(self.grantor)
        self.holder = Holder(
            identity.host_id, identity.incarnation, identity.control_address, now
        )
        self.follower = SharesFollower(client, self.table, self._folded)
        self.asker = GrantAsker(
            fleet, domain, identity.host_id, control, self.holder, self.grantor, clock
        )
        self.succession = Succession(
            fleet,
            domain,
            identity,
            control,
            self.grantor,
            self.follower,
            lambda: self.asker.heard_at,
            clock,
        )
        self._fleet = fleet
        self._domain = domain
        self._control = control
        self._clock = clock
        self._nudging: set[str] = set()
        self._add_handlers()

    async def admit(self, account: EffectiveAccount) -> Refused | None:
        """Takes one request out of an account's rate, or refuses it."""
        return await self.asker.admission.admit(account)

    def granted_rate(self, account_id: ClientAccountId) -> int:
        """Milli-requests a second of an account that this host may admit now."""
        account = self.holder.accounts_by_id.get(account_id)
        if account is None or self._clock() >= self.holder.expires_at:
            return 0
        return account.bucket.rate

    def _add_handlers(self) -> None:
        async def answer_request(request: RequestGrants) -> Message:
            return self.grantor.grant(request, self._clock())

        async def answer_supersede(question: Supersede) -> Message:
            return self.grantor.supersede(question)

        async def answer_nudge(_: Nudge) -> Message:
            self.asker.ask_soon()
            return Nudged()

        async def answer_shares(request: RequestShares) -> Message:
            return self.mover.promise(request, self._clock())

        handlers = self._control.handlers_by_type
        handlers[RequestGrants] = answer_request
        handlers[Supersede] = answer_supersede
        handlers[Nudge] = answer_nudge
        handlers[RequestShares] = answer_shares

    def _folded(self, record: SharesRecord) -> None:
        now = self._clock()
        self.mover.folded(now)
        self.grantor.folded(record, now)
        self.asker.ask_soon()
        if isinstance(record, SharesMoved):
            logger.bind(
                event="shares_moved", domain=record.domain, epoch=record.epoch
            ).info("{} moves, {} taken", len(record.moves), len(record.taken))

    async def run(self) -> None:
        """Runs all tasks until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._tick)
            nursery.start_soon(self.asker.run)
            nursery.start_soon(self.succession.run)
            nursery.start_soon(self._append_moves)
            nursery.start_soon(self._ask_domains)
            nursery.start_soon(self._declare)

    async def _follow(self) -> None:
        """Follows the stream while this daemon is a candidate or the grantor.

        All daemons of a domain are candidates until its upstreams are known, so that
        following has to end too: the log service can't have every host poll it.
        """
        while True:
            if self._needs_table():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.follower.run)
                    await self._wait_until_unneeded()
                    nursery.cancel_scope.cancel()
            await trio.sleep(_IDLE_TICK_S)

    def _needs_table(self) -> bool:
        is_appointed = self.grantor.state is not GrantorState.NOT_APPOINTED
        return is_appointed or self.succession.is_candidate()

    async def _wait_until_unneeded(self) -> None:
        needed_at = trio.current_time()
        while trio.current_time() - needed_at < _UNNEEDED_S:
            await trio.sleep(_IDLE_TICK_S)
            if self._needs_table():
                needed_at = trio.current_time()

    async def _tick(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                self.grantor.tick(self._clock())
                self._send_nudges(nursery)
                await trio.sleep(self._tick_s())

    def _tick_s(self) -> float:
        """Time to the next tick: only a grantor has something to take back soon."""
        if self.grantor.state is GrantorState.NOT_APPOINTED:
            return _IDLE_TICK_S
        return _TICK_S

    def _send_nudges(self, nursery: trio.Nursery) -> None:
        while self.grantor.nudged and len(self._nudging) < _NUDGES_AT_ONCE:
            address = self.grantor.address_of(self.grantor.nudged.pop())
            if address is not None and address not in self._nudging:
                nursery.start_soon(self._nudge, address)

    async def _nudge(self, address: str) -> None:
        self._nudging.add(address)
        try:
            await self._control.ask(address, Nudge(), Nudged, _NUDGE_TIMEOUT_S)
        except ControlError as error:
            logger.bind(event="nudge_unanswered").debug("{}", error)
        finally:
            self._nudging.discard(address)

    async def _append_moves(self) -> None:
        while True:
            self.mover.give_back_excess(self._clock())
            record = self.mover.next_record(self._clock())
            if record is None:
                await trio.sleep(max(_FIRST_ASK_S / 2, self._tick_s()))
                continue
            appended = await self.follower.append(record)
            if appended:
                with trio.move_on_after(_APPEND_RETRY_S):
                    await self.follower.catch_up()
            if self.mover.pending is record:
                await trio.sleep(_APPEND_RETRY_S)

    async def _ask_domains(self) -> None:
        """Asks other domains for shares, the longer apart the less comes of it."""
        interval_s = _FIRST_ASK_S
        while True:
            await trio.sleep(interval_s * random.uniform(0.8, 1.0))
            wants = self.mover.wants(self._clock())
            if not wants:
                interval_s = _FIRST_ASK_S
                continue
            request = RequestShares(self._domain, self.grantor.epoch, wants)
            answers: list[SharesPromised] = []
            async with trio.open_nursery() as nursery:
                for address in self._domains_to_ask(wants):
                    nursery.start_soon(self._ask_domain, address, request, answers)
            promised = any(answer.shares or answer.vouchers for answer in answers)
            interval_s = (
                _FIRST_ASK_S if promised else min(_LONGEST_ASK_S, 1.5 * interval_s)
            )

    def _domains_to_ask(self, wants: tuple[AccountWant, ...]) -> list[str]:
        """Addresses of a few grantors whose domains have some of what is wanted."""
        addresses = [
            grantor.appointee.control_address
            for domain, grantor in self.table.grantors_by_domain.items()
            if domain != self._domain
            and grantor.appointee is not None
            and any(self._has_share(want.account_id, domain) for want in wants)
        ]
        return random.sample(addresses, min(_DOMAINS_ASKED, len(addresses)))

    def _has_share(self, account_id: ClientAccountId, domain: FailureDomainId) -> bool:
        return self.table.share_of(account_id, domain) != NOTHING

    async def _ask_domain(
        self, address: str, request: RequestShares, answers: list[SharesPromised]
    ) -> None:
        sent_at = self._clock()
        try:
            answer = await self._control.ask(
                address, request, SharesPromised, _SHARES_TIMEOUT_S
            )
        except ControlError as error:
            logger.bind(event="shares_unanswered").debug("{}", error)
        else:
            answers.append(answer)
            self.mover.borrowed(answer.vouchers, sent_at)

    async def _declare(self) -> None:
        """Brings the table to the configuration, while it is the grantor."""
        while True:
            await trio.sleep(_DECLARE_S * random.uniform(0.8, 1.0))
            if not self.grantor.is_active(self._clock()) or not self._due():
                if self.follower.snapshot_is_due():
                    await self._append_snapshot()
                continue
            await self._wait_for_turn()
            if not await self.follower.catch_up():
                continue
            for record in self._due():
                await self.follower.append(record)
            await self.follower.catch_up()

    def _due(self) -> list[DomainFreed | SharesDeclared]:
        configuration = self._fleet.configuration
        return [
            *free_lost_domains(configuration, self.table),
            *declare_accounts(configuration, self.table),
        ]

    async def _wait_for_turn(self) -> None:
        """Lets the grantors of other domains be appointed, and the first one write.

        A domain without a grantor when an account is created starts it empty.
        """
        domains = living_domains(self._fleet.configuration)
        with trio.move_on_after(_GRANTORS_WAIT_S):
            while not all(self.table.grantor_of(each).epoch for each in domains):  # noqa: ASYNC110
                await trio.sleep(_TICK_S)
        if self._domain in domains:
            await trio.sleep(_RANK_DELAY_S * domains.index(self._domain))

    async def _append_snapshot(self) -> None:
        await trio.sleep(random.uniform(0, 2))
        if self.follower.snapshot_is_due():
            await self.follower.append_snapshot()


def open_rates(
    settings: Settings,
    incarnation: Incarnation,
    fleet: Fleet,
    control: ControlPlane,
    client: LogClient,
) -> Rates:
    """Makes the rates of a daemon."""
    identity = Appointee(settings.host.id, incarnation, settings.listen.control)
    return Rates(fleet, settings.host.failure_domain, identity, control, client)
