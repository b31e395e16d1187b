"""Appends membership records, and shares them while the log service is unavailable."""

import random
from collections.abc import Iterable

import msgspec
import trio
from loguru import logger

from mangospoke.control.interface import ControlError
from mangospoke.control.messages import ShareMembership, ShareMembershipResponse
from mangospoke.control.transport import NngControlChannel
from mangospoke.decoding import decode_with
from mangospoke.ids import FailureDomainId, HostId
from mangospoke.logservice.client import (
    LogClient,
    LogRefusedError,
    LogUnavailableError,
)
from mangospoke.logservice.records import LogStream, encode_record
from mangospoke.state.backoff import Backoff
from mangospoke.state.fleet import Fleet
from mangospoke.state.provisional import SHARE_INTERVAL_S, ProvisionalRecord
from mangospoke.state.topology import DomainTopology

_APPLY_TIMEOUT_S = 5.0
_SHARE_TIMEOUT_S = 1.0
_MAX_CONCURRENT_SHARES = 8
_MAX_RECORDS_PER_MESSAGE = 64
_CHECK_INTERVAL_S = 0.5

_DECODER = msgspec.json.Decoder(ProvisionalRecord)


class MembershipWriter:
    """Appends membership records to the log service, one at a time.

    Attributes:
        pending_by_host: Records that the log service hasn't accepted yet.
    """

    def __init__(
        self,
        domain: FailureDomainId,
        fleet: Fleet,
        client: LogClient,
        control: NngControlChannel,
        topology: DomainTopology,
        random_source: random.Random,
    ) -> None:
        self.pending_by_host: dict[HostId, ProvisionalRecord] = {}
        self._domain = domain
        self._fleet = fleet
        self._client = client
        self._control = control
        self._topology = topology
        self._random = random_source
        self._record_added = trio.Event()
        self._log_failed = False

    def want(self, record: ProvisionalRecord) -> None:
        """Queues a record for appending, replacing a queued one of the same host."""
        self.pending_by_host[record.host_id] = record
        record_added, self._record_added = self._record_added, trio.Event()
        record_added.set()

    def withdraw(self, host_id: HostId) -> None:
        """Drops a queued record that turned out to be wrong."""
        self.pending_by_host.pop(host_id, None)

    async def run(self) -> None:
        """Appends and shares records until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._append_pending)
            nursery.start_soon(self._share_pending)

    async def _append_pending(self) -> None:
        backoff = Backoff(self._random)
        while True:
            if not self.pending_by_host:
                await self._record_added.wait()
                continue
            record = self._random.choice(list(self.pending_by_host.values()))
            try:
                offset = await self._client.append(LogStream.MEMBERSHIP, record)
            except (LogUnavailableError, LogRefusedError) as error:
                # Appending twice is harmless, so an append without an answer is
                # retried. A log service that refuses is only busy and will accept
                # the record soon.
                self._log_failed = isinstance(error, LogUnavailableError)
                logger.bind(event="append_failed").warning(
                    "appending a membership record failed; retrying: {}", error
                )
                await backoff.sleep()
                continue
            backoff.reset()
            self._log_failed = False
            await self._wait_until_applied(offset)
            if self.pending_by_host.get(record.host_id) is record:
                del self.pending_by_host[record.host_id]

    async def _wait_until_applied(self, offset: int) -> None:
        replica = self._fleet.streams[LogStream.MEMBERSHIP]
        with trio.move_on_after(_APPLY_TIMEOUT_S):
            while replica.next_offset <= offset:
                await self._fleet.wait_for_change()

    async def _share_pending(self) -> None:
        shared: tuple[ProvisionalRecord, ...] = ()
        shared_at = float("-inf")
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            self._fleet.refresh_upstreams()
            pending = tuple(self.pending_by_host.values())
            if not pending or not self._log_failed:
                continue
            is_due = trio.current_time() - shared_at > SHARE_INTERVAL_S
            if pending != shared or is_due:
                shared, shared_at = pending, trio.current_time()
                self.add_provisional(pending)
                await self._share(pending)

    async def _share(self, records: tuple[ProvisionalRecord, ...]) -> None:
        """Sends records to all peers and seeds, and adds the ones they answer with."""
        encoded = tuple(encode_record(each) for each in records)
        question = ShareMembership(encoded[:_MAX_RECORDS_PER_MESSAGE])
        limiter = trio.CapacityLimiter(_MAX_CONCURRENT_SHARES)

        async def share_with(address: str) -> None:
            async with limiter:
                try:
                    answer = await self._control.send_request(
                        address, question, ShareMembershipResponse, _SHARE_TIMEOUT_S
                    )
                except ControlError:
                    return
            self.add_provisional(_decode_all(answer.records))

        addresses = {*self._topology.peers(), *self._topology.seeds()}
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(share_with, address)

    def add_provisional(self, records: Iterable[ProvisionalRecord]) -> None:
        """Puts records into effect until the log service has newer ones."""
        for record in records:
            self._fleet.provisional.add(record)
        self._fleet.refresh_upstreams()

    async def answer(self, question: ShareMembership) -> ShareMembershipResponse:
        """Adds the records that another daemon shares and returns this daemon's own.

        Records of other failure domains are ignored.
        """
        held = self._fleet.provisional.records()
        self.add_provisional(
            record
            for record in _decode_all(question.records)
            if self._is_of_own_domain(record)
        )
        encoded = tuple(encode_record(each) for each in held[:_MAX_RECORDS_PER_MESSAGE])
        return ShareMembershipResponse(encoded)

    def _is_of_own_domain(self, record: ProvisionalRecord) -> bool:
        known = self._fleet.upstreams_by_host.get(record.host_id)
        domain = getattr(record, "failure_domain", None) or (
            known.failure_domain if known is not None else None
        )
        return domain == self._domain


def _decode_all(records: Iterable[bytes]) -> list[ProvisionalRecord]:
    return [decode_with(_DECODER, content) for content in records]
