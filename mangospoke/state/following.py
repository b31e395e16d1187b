"""Following of the log service's streams, from the log itself or from peers.

Two loops feed the same fold, in which only offsets beyond the ones known count:
the readers of a domain poll the log service; all other daemons, and readers that
can't reach the log, poll another daemon.
"""

import random

import msgspec
import trio
from loguru import logger

from mangospoke.control.interface import ControlError
from mangospoke.control.messages import ReadStreams, StreamsRead
from mangospoke.control.transport import ControlPlane
from mangospoke.logservice.client import (
    LogClient,
    LogUnavailableError,
    OffsetGoneError,
)
from mangospoke.logservice.records import Stream
from mangospoke.state.backoff import Backoff
from mangospoke.state.catching_up import find_snapshot
from mangospoke.state.fleet import Fleet
from mangospoke.state.neighbourhood import Neighbourhood
from mangospoke.state.relay import Relay
from mangospoke.state.streams import FoldedStream

LOG_WAIT_MS = 5_000
PEER_WAIT_MS = 3_000
_PEER_TIMEOUT_S = 1.5
_FRESH_S = 20.0
"""Age of a state up to which its holder is worth being followed."""

_ROLE_CHECK_S = 0.5
_FAILURES_BEFORE_PEERS = 2
"""Failed reads after which a reader turns to other domains."""

_SILENCE_BEFORE_PEERS_S = LOG_WAIT_MS / 1000 + 2
"""The same, for a log service that doesn't answer at all."""

_FAILURES_BEFORE_LOG = 3
"""Failed peers after which a daemon that is no reader turns to the log itself."""

_OWN_DOMAIN_SHARE = 0.3

_AFRESH_AFTER_S = 20.0
"""Seconds without any base after which membership is folded from what is left."""


class Follower:
    """Keeps a daemon's folded streams up to date.

    Attributes:
        source: Where the last news came from, for operators: `log` or an address.
        log_failures: Reads of the log service that have failed since one succeeded.
    """

    def __init__(
        self,
        fleet: Fleet,
        client: LogClient,
        control: ControlPlane,
        neighbourhood: Neighbourhood,
        relay: Relay,
        random_source: random.Random,
    ) -> None:
        self.source = ""
        self.log_failures = 0
        self._fleet = fleet
        self._client = client
        self._control = control
        self._neighbourhood = neighbourhood
        self._relay = relay
        self._random = random_source
        self._log_answered_at = trio.current_time()
        self._peer_failures = 0
        self._foreign: str | None = None
        self._gaps_since: dict[Stream, float] = {}

    def reads_log(self) -> bool:
        """Whether this daemon polls the log service now."""
        return (
            self._neighbourhood.is_reader()
            or self._peer_failures >= _FAILURES_BEFORE_LOG
        )

    def log_is_failing(self) -> bool:
        """Whether this daemon, a reader, gets no answers from the log service."""
        silence_s = trio.current_time() - self._log_answered_at
        return (
            self.log_failures >= _FAILURES_BEFORE_PEERS
            or silence_s > _SILENCE_BEFORE_PEERS_S
        )

    async def run(self) -> None:
        """Follows all streams until it is cancelled."""
        for seed in self._neighbourhood.seeds():
            # A fresh host learns all from one answer, and leaves the log alone.
            answer = await self._poll(seed, 0)
            if answer is not None and answer.parts:
                break
        self._log_answered_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for folded in self._fleet.streams.values():
                nursery.start_soon(self._follow_log, folded)
            nursery.start_soon(self._follow_peers)

    async def _follow_log(self, folded: FoldedStream) -> None:
        backoff = Backoff(self._random)
        while True:
            if not self.reads_log():
                backoff.reset()
                self._log_answered_at = trio.current_time()
                await trio.sleep(_ROLE_CHECK_S)
                continue
            asked = folded.next_offset
            try:
                answer = await self._client.read(folded.stream, asked, LOG_WAIT_MS)
            except OffsetGoneError as error:
                self._note_log_answer()
                await self._close_gap(folded, error.first_offset)
                await backoff.sleep()
            except LogUnavailableError as error:
                self.log_failures += 1
                logger.bind(
                    event="log_unavailable", stream=folded.stream.value
                ).warning("log service: {}", error)
                await backoff.sleep()
            else:
                backoff.reset()
                self._note_log_answer()
                self._gaps_since.pop(folded.stream, None)
                if folded.next_offset == asked and answer.records:
                    self.source = "log"
                folded.take_log_answer(asked, answer)
                if answer.next_offset < asked:
                    # The log lost records; ask it no faster than an idle one.
                    await trio.sleep(LOG_WAIT_MS / 1000)

    def _note_log_answer(self) -> None:
        self.log_failures = 0
        self._log_answered_at = trio.current_time()

    async def _close_gap(self, folded: FoldedStream, first_offset: int) -> None:
        """Finds a snapshot for a stream whose next record retention has dropped."""
        await self._ask_any(folded)
        if folded.next_offset >= first_offset:
            return
        try:
            snapshot = await find_snapshot(self._client, folded.stream, first_offset)
        except (LogUnavailableError, OffsetGoneError):
            return
        if snapshot is not None and folded.take_snapshot(snapshot):
            return
        since = self._gaps_since.setdefault(folded.stream, trio.current_time())
        logger.bind(event="base_missing", stream=folded.stream.value).error(
            "records of {} up to {} are gone, and no snapshot covers them",
            folded.stream.value,
            first_offset,
        )
        if (
            folded.stream is Stream.MEMBERSHIP
            and trio.current_time() - since > _AFRESH_AFTER_S
        ):
            # Whoever lives announces itself again once it sees that it is missing.
            folded.start_afresh(first_offset)

    async def _ask_any(self, folded: FoldedStream) -> None:
        """Asks a few peers for what the log no longer has."""
        peers = self._neighbourhood.peers()
        chosen = self._random.sample(peers, min(2, len(peers)))
        chosen += [each for _ in range(2) if (each := self._neighbourhood.foreign())]
        before = folded.next_offset
        for address in chosen:
            await self._poll(address, 0)
            if folded.next_offset > before:
                return

    async def _follow_peers(self) -> None:
        backoff = Backoff(self._random)
        while True:
            await self._answer_hints()
            address = self._choose_peer()
            if address is None:
                await trio.sleep(_ROLE_CHECK_S)
                continue
            if self._neighbourhood.is_reader():
                is_useful = await self._try_foreign(address)
            else:
                answer = await self._poll(address, PEER_WAIT_MS)
                is_useful = answer is not None and not answer.busy
            if is_useful:
                self._peer_failures = 0
                backoff.reset()
            else:
                self._peer_failures += 1
                await backoff.sleep()

    async def _try_foreign(self, address: str) -> bool:
        """Polls another source in the log's place; stays with one that is fresh."""
        wait_ms = PEER_WAIT_MS if address == self._foreign else 0
        answer = await self._poll(address, wait_ms)
        if answer is None or answer.busy or not _is_fresh(answer):
            self._foreign = None
            return False
        self._foreign = address
        return True

    def _choose_peer(self) -> str | None:
        neighbourhood = self._neighbourhood
        if not neighbourhood.is_reader():
            if self._peer_failures < 2 * _FAILURES_BEFORE_LOG:
                return neighbourhood.source(self._peer_failures)
            if self._random.random() < 0.5:
                return neighbourhood.source(1)
            return neighbourhood.foreign()
        if not self.log_is_failing():
            self._foreign = None
            return None
        if self._foreign is not None:
            return self._foreign
        if self._random.random() < _OWN_DOMAIN_SHARE:
            # The domain's other reader may still reach what this one can't.
            return neighbourhood.other_reader() or neighbourhood.foreign()
        return neighbourhood.foreign() or neighbourhood.other_reader()

    async def _answer_hints(self) -> None:
        """Asks peers back that have shown that they know more."""
        while self._relay.hints:
            address = next(iter(self._relay.hints))
            del self._relay.hints[address]
            await self._poll(address, 0)

    async def _poll(self, address: str, wait_ms: int) -> StreamsRead | None:
        """Asks a peer for news and folds them in; None if it gave no answer."""
        asked = {
            stream: folded.next_offset for stream, folded in self._fleet.streams.items()
        }
        question = ReadStreams(
            {stream.value: offset for stream, offset in asked.items()},
            wait_ms,
            self._neighbourhood.address,
        )
        timeout_s = wait_ms / 1000 + _PEER_TIMEOUT_S
        try:
            answer = await self._control.ask(address, question, StreamsRead, timeout_s)
            self._take(answer, asked, address)
        except (ControlError, msgspec.MsgspecError) as error:
            logger.bind(event="peer_silent", address=address).debug("{}", error)
            return None
        return answer

    def _take(
        self, answer: StreamsRead, asked: dict[Stream, int], address: str
    ) -> None:
        for stream, folded in self._fleet.streams.items():
            part = answer.parts.get(stream.value)
            before = folded.next_offset
            if part is not None:
                folded.take_part(asked[stream], part)
            if folded.next_offset > before:
                self.source = address
            is_level = part is None or folded.next_offset == part.next_offset
            if answer.age_ms >= 0 and is_level:
                folded.confirm(answer.age_ms / 1000)


def _is_fresh(answer: StreamsRead) -> bool:
    return 0 <= answer.age_ms <= _FRESH_S * 1000
