"""Appending of membership records, and sharing them while the log is out of reach."""

import random
from collections.abc import Iterable

import msgspec
import trio
from loguru import logger

from mangospoke.control.interface import ControlError
from mangospoke.control.messages import MembershipShared, ShareMembership
from mangospoke.control.transport import ControlPlane
from mangospoke.ids import FailureDomainId, HostId
from mangospoke.logservice.client import (
    LogClient,
    LogRefusedError,
    LogUnavailableError,
)
from mangospoke.logservice.records import Stream, encode_record
from mangospoke.state.backoff import Backoff
from mangospoke.state.fleet import Fleet
from mangospoke.state.neighbourhood import Neighbourhood
from mangospoke.state.provisional import SHARE_INTERVAL_S, ProvisionalRecord

_FOLD_TIMEOUT_S = 5.0
_SHARE_TIMEOUT_S = 1.0
_SHARES_AT_ONCE = 8
_RECORDS_PER_MESSAGE = 64
_CHECK_INTERVAL_S = 0.5

_DECODER = msgspec.json.Decoder(ProvisionalRecord)


class MembershipWriter:
    """Brings membership records into the log service, one at a time.

    Attributes:
        pending_by_host: Records that the log service hasn't taken yet.
    """

    def __init__(
        self,
        domain: FailureDomainId,
        fleet: Fleet,
        client: LogClient,
        control: ControlPlane,
        neighbourhood: Neighbourhood,
        random_source: random.Random,
    ) -> None:
        self.pending_by_host: dict[HostId, ProvisionalRecord] = {}
        self._domain = domain
        self._fleet = fleet
        self._client = client
        self._control = control
        self._neighbourhood = neighbourhood
        self._random = random_source
        self._wake = trio.Event()
        self._log_failed = False

    def want(self, record: ProvisionalRecord) -> None:
        """Takes a record to append, in place of an older one of the same host."""
        self.pending_by_host[record.host_id] = record
        wake, self._wake = self._wake, trio.Event()
        wake.set()

    def withdraw(self, host_id: HostId) -> None:
        """Forgets a record that turned out to be wrong."""
        self.pending_by_host.pop(host_id, None)

    async def run(self) -> None:
        """Appends and shares until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._append_all)
            nursery.start_soon(self._share_all)

    async def _append_all(self) -> None:
        backoff = Backoff(self._random)
        while True:
            if not self.pending_by_host:
                await self._wake.wait()
                continue
            record = self._random.choice(list(self.pending_by_host.values()))
            try:
                offset = await self._client.append(Stream.MEMBERSHIP, record)
            except (LogUnavailableError, LogRefusedError) as error:
                # A second append changes nothing, so a lost answer is repeated.
                # One that refuses is merely busy; it will take it soon.
                self._log_failed = isinstance(error, LogUnavailableError)
                logger.bind(event="append_failed").warning("membership: {}", error)
                await backoff.sleep()
                continue
            backoff.reset()
            self._log_failed = False
            await self._wait_folded(offset)
            if self.pending_by_host.get(record.host_id) is record:
                del self.pending_by_host[record.host_id]

    async def _wait_folded(self, offset: int) -> None:
        folded = self._fleet.streams[Stream.MEMBERSHIP]
        with trio.move_on_after(_FOLD_TIMEOUT_S):
            while folded.next_offset <= offset:
                await self._fleet.wait_changed()

    async def _share_all(self) -> None:
        shared: tuple[ProvisionalRecord, ...] = ()
        shared_at = float("-inf")
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            self._fleet.use_membership()
            pending = tuple(self.pending_by_host.values())
            if not pending or not self._log_failed:
                continue
            is_due = trio.current_time() - shared_at > SHARE_INTERVAL_S
            if pending != shared or is_due:
                shared, shared_at = pending, trio.current_time()
                self.take(pending)
                await self._share(pending)

    async def _share(self, records: tuple[ProvisionalRecord, ...]) -> None:
        """Tells the domain what the log service can't tell it."""
        encoded = tuple(encode_record(each) for each in records)
        question = ShareMembership(encoded[:_RECORDS_PER_MESSAGE])
        limiter = trio.CapacityLimiter(_SHARES_AT_ONCE)

        async def share_with(address: str) -> None:
            async with limiter:
                try:
                    answer = await self._control.ask(
                        address, question, MembershipShared, _SHARE_TIMEOUT_S
                    )
                except ControlError:
                    return
            self.take(_decode_all(answer.records))

        addresses = {*self._neighbourhood.peers(), *self._neighbourhood.seeds()}
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(share_with, address)

    def take(self, records: Iterable[ProvisionalRecord]) -> None:
        """Counts records of the domain until the log service tells more."""
        for record in records:
            self._fleet.provisional.take(record)
        self._fleet.use_membership()

    async def answer(self, question: ShareMembership) -> MembershipShared:
        """Takes what another daemon shares and tells what this one holds."""
        held = self._fleet.provisional.records()
        self.take(
            record
            for record in _decode_all(question.records)
            if self._is_of_domain(record)
        )
        encoded = tuple(encode_record(each) for each in held[:_RECORDS_PER_MESSAGE])
        return MembershipShared(encoded)

    def _is_of_domain(self, record: ProvisionalRecord) -> bool:
        known = self._fleet.upstreams_by_host.get(record.host_id)
        domain = getattr(record, "failure_domain", None) or (
            known.failure_domain if known is not None else None
        )
        return domain == self._domain


def _decode_all(records: Iterable[bytes]) -> list[ProvisionalRecord]:
    return [_DECODER.decode(content) for content in records]
