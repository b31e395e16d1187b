"""Rate limiting of a daemon: assembles its parts and runs their tasks."""

import random
from collections.abc import Callable

import trio
from loguru import logger

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.conf.settings import Settings
from mangospoke.control.interface import ControlError
from mangospoke.control.messages import Message
from mangospoke.control.transport import NngControlChannel
from mangospoke.ids import ClientAccountId, FailureDomainId, Incarnation
from mangospoke.logservice.client import LogClient
from mangospoke.rates.asking import GrantClient
from mangospoke.rates.election import GrantorElection
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
from mangospoke.rates.rebalancer import ShareRebalancer
from mangospoke.rates.records import (
    DaemonIdentity,
    DomainFreed,
    SharesDeclared,
    SharesMoved,
    SharesRecord,
)
from mangospoke.rates.share_declarations import (
    build_domain_freed_records,
    build_share_declarations,
    domains_not_lost,
)
from mangospoke.rates.share_table import ShareTable
from mangospoke.rates.shares_follower import SharesFollower
from mangospoke.rates.timing import read_clock
from mangospoke.rates.units import NOTHING
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import Refused

_FOLLOW_LINGER_S = 5.0
"""How long the shares stream is still followed once the table is no longer needed."""

_TICK_INTERVAL_S = 0.05
_IDLE_TICK_INTERVAL_S = 0.5
"""Tick interval of a daemon that isn't appointed grantor."""

_NUDGE_TIMEOUT_S = 1.0
_MAX_CONCURRENT_NUDGES = 16
_SHARES_TIMEOUT_S = 1.0
_MIN_SHARES_INTERVAL_S = 0.1
_MAX_SHARES_INTERVAL_S = 0.5
_MAX_DOMAINS_ASKED = 6
_APPEND_RETRY_S = 0.25
_DECLARE_INTERVAL_S = 0.25
_MAX_GRANTORS_WAIT_S = 1.0
_DOMAIN_STAGGER_S = 0.2
"""Delay between the grantors of successive domains, so that the first writes alone."""


class Rates:
    """Limits client accounts to their rates across the fleet.

    Each failure domain has a share of an account's rate, recorded in the shares stream
    of the log. The domain's grantor, one of its daemons, grants parts of that share to
    the domain's hosts, and requests shares from other domains' grantors on demand.

    Attributes:
        table: The share table; kept up to date only at candidates and grantors.
        grantor: This daemon as its domain's grantor, appointed or not.
        rebalancer: Transfers shares between domains while this daemon is the grantor.
        holder: The grants that this host holds.
        follower: Follows the shares stream and keeps the table up to date.
        grant_client: Requests grants for this host and admits its requests.
        election: Makes sure that the domain has one grantor.
    """

    def __init__(
        self,
        fleet: Fleet,
        domain: FailureDomainId,
        identity: DaemonIdentity,
        control: NngControlChannel,
        client: LogClient,
        clock: Callable[[], int] = read_clock,
    ) -> None:
        now = clock()
        self.table = ShareTable()
        self.grantor = Grantor(
            domain, identity.host_id, identity.incarnation, self.table, now
        )
        self.rebalancer = ShareRebalancer(self.grantor)
        self.holder = Holder(
            identity.host_id, identity.incarnation, identity.control_address, now
        )
        self.follower = SharesFollower(client, self.table, self._handle_accepted_record)
        self.grant_client = GrantClient(
            fleet, domain, identity.host_id, control, self.holder, self.grantor, clock
        )
        self.election = GrantorElection(
            fleet,
            domain,
            identity,
            control,
            self.grantor,
            self.follower,
            lambda: self.grant_client.last_answer_at,
            clock,
        )
        self._fleet = fleet
        self._domain = domain
        self._control = control
        self._clock = clock
        self._pending_nudge_addresses: set[str] = set()
        self._register_handlers()

    async def admit(self, account: EffectiveAccount) -> Refused | None:
        """Takes one token of an account's rate, or refuses the request."""
        return await self.grant_client.admission.admit(account)

    def granted_rate(self, account_id: ClientAccountId) -> int:
        """Returns the rate that this host may admit now, in millitokens per second."""
        account = self.holder.accounts_by_id.get(account_id)
        if account is None or self._clock() >= self.holder.expires_at:
            return 0
        return account.bucket.rate

    def _register_handlers(self) -> None:
        async def handle_grant_request(request: RequestGrants) -> Message:
            return self.grantor.grant(request, self._clock())

        async def handle_supersede(question: Supersede) -> Message:
            return self.grantor.supersede(question)

        async def handle_nudge(_: Nudge) -> Message:
            self.grant_client.request_soon()
            return Nudged()

        async def handle_share_request(request: RequestShares) -> Message:
            return self.rebalancer.promise_shares(request, self._clock())

        handlers = self._control.handlers_by_type
        handlers[RequestGrants] = handle_grant_request
        handlers[Supersede] = handle_supersede
        handlers[Nudge] = handle_nudge
        handlers[RequestShares] = handle_share_request

    def _handle_accepted_record(self, record: SharesRecord) -> None:
        now = self._clock()
        self.rebalancer.on_record_applied(now)
        self.grantor.on_record_applied(record, now)
        self.grant_client.request_soon()
        if isinstance(record, SharesMoved):
            logger.bind(
                event="shares_moved", domain=record.domain, epoch=record.epoch
            ).info(
                "moved shares: {} given up, {} taken of the unassigned",
                len(record.moves),
                len(record.taken),
            )

    async def run(self) -> None:
        """Runs all tasks until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_following)
            nursery.start_soon(self._run_ticking)
            nursery.start_soon(self.grant_client.run)
            nursery.start_soon(self.election.run)
            nursery.start_soon(self._run_appending_moves)
            nursery.start_soon(self._run_requesting_shares)
            nursery.start_soon(self._run_declaring)

    async def _run_following(self) -> None:
        """Follows the shares stream while this daemon is a candidate or the grantor.

        All daemons of a domain are candidates until its upstreams are known. Following
        must therefore end again, or every host would keep polling the log service.
        """
        while True:
            if self._needs_table():
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.follower.run)
                    await self._wait_until_table_unneeded()
                    nursery.cancel_scope.cancel()
            await trio.sleep(_IDLE_TICK_INTERVAL_S)

    def _needs_table(self) -> bool:
        is_appointed = self.grantor.state is not GrantorState.NOT_APPOINTED
        return is_appointed or self.election.is_candidate()

    async def _wait_until_table_unneeded(self) -> None:
        needed_at = trio.current_time()
        while trio.current_time() - needed_at < _FOLLOW_LINGER_S:
            await trio.sleep(_IDLE_TICK_INTERVAL_S)
            if self._needs_table():
                needed_at = trio.current_time()

    async def _run_ticking(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                self.grantor.tick(self._clock())
                self._start_nudges(nursery)
                await trio.sleep(self._tick_interval_s())

    def _tick_interval_s(self) -> float:
        """Returns the time to the next tick; only a grantor has grants to expire."""
        if self.grantor.state is GrantorState.NOT_APPOINTED:
            return _IDLE_TICK_INTERVAL_S
        return _TICK_INTERVAL_S

    def _start_nudges(self, nursery: trio.Nursery) -> None:
        while (
            self.grantor.holders_to_nudge
            and len(self._pending_nudge_addresses) < _MAX_CONCURRENT_NUDGES
        ):
            address = self.grantor.control_address_of(
                self.grantor.holders_to_nudge.pop()
            )
            if address is not None and address not in self._pending_nudge_addresses:
                nursery.start_soon(self._send_nudge, address)

    async def _send_nudge(self, address: str) -> None:
        self._pending_nudge_addresses.add(address)
        try:
            await self._control.send_request(address, Nudge(), Nudged, _NUDGE_TIMEOUT_S)
        except ControlError as error:
            logger.bind(event="nudge_unanswered").debug("{}", error)
        finally:
            self._pending_nudge_addresses.discard(address)

    async def _run_appending_moves(self) -> None:
        while True:
            self.rebalancer.return_excess(self._clock())
            record = self.rebalancer.next_record(self._clock())
            if record is None:
                await trio.sleep(
                    max(_MIN_SHARES_INTERVAL_S / 2, self._tick_interval_s())
                )
                continue
            appended = await self.follower.append(record)
            if appended:
                with trio.move_on_after(_APPEND_RETRY_S):
                    await self.follower.catch_up()
            if self.rebalancer.pending_record is record:
                await trio.sleep(_APPEND_RETRY_S)

    async def _run_requesting_shares(self) -> None:
        """Requests shares from other domains, with backoff while they give nothing."""
        interval_s = _MIN_SHARES_INTERVAL_S
        while True:
            await trio.sleep(interval_s * random.uniform(0.8, 1.0))
            wants = self.rebalancer.collect_wants(self._clock())
            if not wants:
                interval_s = _MIN_SHARES_INTERVAL_S
                continue
            request = RequestShares(self._domain, self.grantor.epoch, wants)
            answers: list[SharesPromised] = []
            async with trio.open_nursery() as nursery:
                for address in self._choose_addresses(wants):
                    nursery.start_soon(self._request_shares, address, request, answers)
            got_any = any(answer.shares or answer.vouchers for answer in answers)
            interval_s = (
                _MIN_SHARES_INTERVAL_S
                if got_any
                else min(_MAX_SHARES_INTERVAL_S, 1.5 * interval_s)
            )

    def _choose_addresses(self, wants: tuple[AccountWant, ...]) -> list[str]:
        """Picks a few grantors at random whose domains have some of what is wanted."""
        addresses = [
            grantor.appointee.control_address
            for domain, grantor in self.table.grantors_by_domain.items()
            if domain != self._domain
            and grantor.appointee is not None
            and any(self._has_share(want.account_id, domain) for want in wants)
        ]
        return random.sample(addresses, min(_MAX_DOMAINS_ASKED, len(addresses)))

    def _has_share(self, account_id: ClientAccountId, domain: FailureDomainId) -> bool:
        return self.table.share_of(account_id, domain) != NOTHING

    async def _request_shares(
        self, address: str, request: RequestShares, answers: list[SharesPromised]
    ) -> None:
        sent_at = self._clock()
        try:
            answer = await self._control.send_request(
                address, request, SharesPromised, _SHARES_TIMEOUT_S
            )
        except ControlError as error:
            logger.bind(event="shares_unanswered").debug("{}", error)
        else:
            answers.append(answer)
            self.rebalancer.add_foreign_vouchers(answer.vouchers, sent_at)

    async def _run_declaring(self) -> None:
        """Appends the records that bring the table in line with the configuration.

        Only an active grantor does so. Any follower appends a snapshot when one is due.
        """
        while True:
            await trio.sleep(_DECLARE_INTERVAL_S * random.uniform(0.8, 1.0))
            if (
                not self.grantor.is_active(self._clock())
                or not self._undeclared_records()
            ):
                if self.follower.is_snapshot_due():
                    await self._append_snapshot()
                continue
            await self._wait_for_domain_turn()
            if not await self.follower.catch_up():
                continue
            for record in self._undeclared_records():
                await self.follower.append(record)
            await self.follower.catch_up()

    def _undeclared_records(self) -> list[DomainFreed | SharesDeclared]:
        configuration = self._fleet.configuration
        return [
            *build_domain_freed_records(configuration, self.table),
            *build_share_declarations(configuration, self.table),
        ]

    async def _wait_for_domain_turn(self) -> None:
        """Waits until all domains have a grantor, then for this domain's turn to write.

        When an account is created, a domain gets full buckets for it only if it already
        has a grantor. The turns let the first domain's grantor write the records, so
        that the others find nothing left to append.
        """
        domains = domains_not_lost(self._fleet.configuration)
        with trio.move_on_after(_MAX_GRANTORS_WAIT_S):
            while not all(self.table.grantor_of(domain).epoch for domain in domains):  # noqa: ASYNC110
                await trio.sleep(_TICK_INTERVAL_S)
        if self._domain in domains:
            await trio.sleep(_DOMAIN_STAGGER_S * domains.index(self._domain))

    async def _append_snapshot(self) -> None:
        await trio.sleep(random.uniform(0, 2))
        if self.follower.is_snapshot_due():
            await self.follower.append_snapshot()


def open_rates(
    settings: Settings,
    incarnation: Incarnation,
    fleet: Fleet,
    control: NngControlChannel,
    client: LogClient,
) -> Rates:
    """Creates the rate limiting of a daemon from its settings."""
    identity = DaemonIdentity(settings.host.id, incarnation, settings.listen.control)
    return Rates(fleet, settings.host.failure_domain, identity, control, client)
