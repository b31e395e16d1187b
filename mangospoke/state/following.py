"""Follows the log service's streams, from the log itself or from peers.

Two loops feed the same stream replicas, which apply only records beyond their next
offset: the readers of a failure domain poll the log service; all other daemons, and
readers that can't reach the log service, poll another daemon.
"""

import random

import msgspec
import trio
from loguru import logger

from mangospoke.control.interface import ControlError
from mangospoke.control.messages import ReadStreams, ReadStreamsResponse
from mangospoke.control.transport import NngControlChannel
from mangospoke.logservice.client import (
    LogClient,
    LogUnavailableError,
    OffsetExpiredError,
)
from mangospoke.logservice.records import LogStream
from mangospoke.state.backoff import Backoff
from mangospoke.state.fleet import Fleet
from mangospoke.state.relay import Relay
from mangospoke.state.snapshot_lookup import find_snapshot
from mangospoke.state.streams import StreamReplica
from mangospoke.state.topology import DomainTopology

LOG_WAIT_MS = 5_000
PEER_WAIT_MS = 3_000
_PEER_TIMEOUT_S = 1.5
_MAX_SOURCE_AGE_S = 2 * LOG_WAIT_MS / 1000
"""Age of a peer's state up to which a reader keeps following that peer. One that hears
from the log service has a newer proof each `LOG_WAIT_MS`; two that follow each other
have none."""

_ROLE_CHECK_INTERVAL_S = 0.5
_FAILURES_BEFORE_PEERS = 2
"""Failed reads of the log service after which a reader polls peers."""

_SILENCE_BEFORE_PEERS_S = LOG_WAIT_MS / 1000 + 2
"""Time without an answer from the log service after which a reader polls peers."""

_FAILURES_BEFORE_LOG = 3
"""Failed polls of peers after which a daemon that isn't a reader reads the log."""

_OWN_DOMAIN_PROBABILITY = 0.3

_UNCLOSED_GAP_TIMEOUT_S = 20.0
"""Time without a snapshot after which membership skips the records it can't get."""


class Follower:
    """Keeps a daemon's stream replicas up to date.

    Attributes:
        source: Where the latest records came from, for operators: `log` or a control
            address.
        log_failures: Failed reads of the log service since the last success.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: LogClient,
        control: NngControlChannel,
        topology: DomainTopology,
        relay: Relay,
        random_source: random.Random,
    ) -> None:
        self.source = ""
        self.log_failures = 0
        self._fleet = fleet
        self._client = client
        self._control = control
        self._topology = topology
        self._relay = relay
        self._random = random_source
        self._log_answered_at = trio.current_time()
        self._peer_failures = 0
        self._remote_source: str | None = None
        self._gap_found_at: dict[LogStream, float] = {}

    def reads_log(self) -> bool:
        """Whether this daemon currently polls the log service."""
        return self._topology.is_reader() or self._peer_failures >= _FAILURES_BEFORE_LOG

    def log_is_failing(self) -> bool:
        """Whether this daemon, a reader, gets no answers from the log service."""
        silence_s = trio.current_time() - self._log_answered_at
        return (
            self.log_failures >= _FAILURES_BEFORE_PEERS
            or silence_s > _SILENCE_BEFORE_PEERS_S
        )

    async def run(self) -> None:
        """Follows all streams until it is cancelled."""
        for seed in self._topology.seeds():
            # One answer of a seed brings a new host up to date without load on the
            # log service.
            answer = await self._poll_peer(seed, 0)
            if answer is not None and answer.parts:
                break
        self._log_answered_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for replica in self._fleet.streams.values():
                nursery.start_soon(self._follow_log, replica)
            nursery.start_soon(self._follow_peers)

    async def _follow_log(self, replica: StreamReplica) -> None:
        backoff = Backoff(self._random)
        while True:
            if not self.reads_log():
                backoff.reset()
                self._log_answered_at = trio.current_time()
                await trio.sleep(_ROLE_CHECK_INTERVAL_S)
                continue
            asked = replica.next_offset
            try:
                answer = await self._client.read(replica.stream, asked, LOG_WAIT_MS)
            except OffsetExpiredError as error:
                self._note_log_answer()
                await self._close_gap(replica, error.first_offset)
                await backoff.sleep()
            except LogUnavailableError as error:
                self.log_failures += 1
                logger.bind(
                    event="log_unavailable", stream=replica.stream.value
                ).warning("log service is unavailable: {}", error)
                await backoff.sleep()
            else:
                backoff.reset()
                self._note_log_answer()
                self._gap_found_at.pop(replica.stream, None)
                if replica.next_offset == asked and answer.records:
                    self.source = "log"
                replica.apply_log_answer(asked, answer)
                if answer.next_offset < asked:
                    # The log lost records and answers at once instead of waiting;
                    # poll it no faster than an idle stream.
                    await trio.sleep(LOG_WAIT_MS / 1000)

    def _note_log_answer(self) -> None:
        self.log_failures = 0
        self._log_answered_at = trio.current_time()

    async def _close_gap(self, replica: StreamReplica, first_offset: int) -> None:
        """Restores a stream whose next record was dropped by retention.

        Args:
            replica: The stream.
            first_offset: First offset that the log still has.
        """
        await self._poll_for_gap(replica)
        if replica.next_offset >= first_offset:
            return
        try:
            snapshot = await find_snapshot(self._client, replica.stream, first_offset)
        except (LogUnavailableError, OffsetExpiredError):
            return
        if snapshot is not None and replica.restore_snapshot(snapshot):
            return
        since = self._gap_found_at.setdefault(replica.stream, trio.current_time())
        logger.bind(event="base_missing", stream=replica.stream.value).error(
            "records of {} before offset {} are gone, and no snapshot covers them",
            replica.stream.value,
            first_offset,
        )
        if (
            replica.stream is LogStream.MEMBERSHIP
            and trio.current_time() - since > _UNCLOSED_GAP_TIMEOUT_S
        ):
            # Live upstreams are announced again once their daemons find them missing.
            replica.skip_to(first_offset)

    async def _poll_for_gap(self, replica: StreamReplica) -> None:
        """Polls a few peers for records that the log no longer has."""
        peers = self._topology.peers()
        chosen = self._random.sample(peers, min(2, len(peers)))
        chosen += [each for _ in range(2) if (each := self._topology.random_remote())]
        before = replica.next_offset
        for address in chosen:
            await self._poll_peer(address, 0)
            if replica.next_offset > before:
                return

    async def _follow_peers(self) -> None:
        backoff = Backoff(self._random)
        while True:
            await self._poll_peers_ahead()
            address = self._choose_source()
            if address is None:
                await trio.sleep(_ROLE_CHECK_INTERVAL_S)
                continue
            if self._topology.is_reader():
                is_useful = await self._try_log_substitute(address)
            else:
                answer = await self._poll_peer(address, PEER_WAIT_MS)
                is_useful = answer is not None and not answer.busy
            if is_useful:
                self._peer_failures = 0
                backoff.reset()
            else:
                self._peer_failures += 1
                await backoff.sleep()

    async def _try_log_substitute(self, address: str) -> bool:
        """Polls a peer in place of the log service; keeps it as source if fresh."""
        wait_ms = PEER_WAIT_MS if address == self._remote_source else 0
        answer = await self._poll_peer(address, wait_ms)
        if answer is None or answer.busy or not _is_fresh(answer):
            self._remote_source = None
            return False
        self._remote_source = address
        return True

    def _choose_source(self) -> str | None:
        """Returns the control address to poll next, or None for no peer."""
        topology = self._topology
        if not topology.is_reader():
            if self._peer_failures < 2 * _FAILURES_BEFORE_LOG:
                return topology.source(self._peer_failures)
            if self._random.random() < 0.5:
                return topology.source(1)
            return topology.random_remote()
        if not self.log_is_failing():
            self._remote_source = None
            return None
        if self._remote_source is not None:
            return self._remote_source
        if self._random.random() < _OWN_DOMAIN_PROBABILITY:
            # The other reader of this failure domain may still reach the log service.
            return topology.other_reader() or topology.random_remote()
        return topology.random_remote() or topology.other_reader()

    async def _poll_peers_ahead(self) -> None:
        """Polls the peers whose own polls showed that they have more records."""
        while self._relay.peers_ahead:
            address = next(iter(self._relay.peers_ahead))
            del self._relay.peers_ahead[address]
            await self._poll_peer(address, 0)

    async def _poll_peer(
        self, address: str, wait_ms: int
    ) -> ReadStreamsResponse | None:
        """Reads all streams from a peer and applies its answer.

        Args:
            address: The peer's control address.
            wait_ms: Milliseconds for which the peer waits if it has no new record.

        Returns:
            The answer, or None if there was no valid one.
        """
        asked = {
            stream: replica.next_offset
            for stream, replica in self._fleet.streams.items()
        }
        question = ReadStreams(
            {stream.value: offset for stream, offset in asked.items()},
            wait_ms,
            self._topology.address,
        )
        timeout_s = wait_ms / 1000 + _PEER_TIMEOUT_S
        try:
            answer = await self._control.send_request(
                address, question, ReadStreamsResponse, timeout_s
            )
            self._apply_answer(answer, asked, address)
        except (ControlError, msgspec.MsgspecError) as error:
            logger.bind(event="peer_silent", address=address).debug("{}", error)
            return None
        return answer

    def _apply_answer(
        self, answer: ReadStreamsResponse, asked: dict[LogStream, int], address: str
    ) -> None:
        for stream, replica in self._fleet.streams.items():
            part = answer.parts.get(stream.value)
            before = replica.next_offset
            if part is not None:
                replica.apply_part(asked[stream], part)
            if replica.next_offset > before:
                self.source = address
            is_caught_up = part is None or replica.next_offset == part.next_offset
            if answer.age_ms >= 0 and is_caught_up:
                replica.confirm(answer.age_ms / 1000)


def _is_fresh(answer: ReadStreamsResponse) -> bool:
    return 0 <= answer.age_ms <= _MAX_SOURCE_AGE_S * 1000
