"""Follows the configuration and the hosts' records through other daemons.

Load pattern: hundreds of hosts that all poll the log service, each woken by each record
that another writes. So one daemon of a failure domain reads it (`topology`), and each
other one follows two of the domain's daemons, so that a silent one costs no time. It
asks each with a question that is held until something changes, or until the one that is
asked has a newer proof that its configuration is current. A proof passes on with its
true age.

The ranks next to the reader also ask a reader of another failure domain from time to
time. So a domain whose reader is silent keeps hearing of changes and has proofs, and
makes no calls to the log service for it.

A daemon whose source is silent, or has no recent proof, follows another. One that has
heard nothing useful for some time reads the log service itself, each after another
delay, so that not all do so at once.
"""

import math
import random
from collections.abc import Callable, Sequence

import trio
from loguru import logger

from mangospoke.control.interface import ControlChannel, ControlError
from mangospoke.control.messages import (
    FollowState,
    HostRecord,
    Message,
    StateFollowed,
)
from mangospoke.ids import HostId
from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.state.configuration_source import ConfigurationSource
from mangospoke.state.fleet import Fleet
from mangospoke.state.freshness import Freshness, read_boot_clock
from mangospoke.state.host_directory import HostDirectory
from mangospoke.state.topology import DomainTopology

_WAIT_MS = 1_100
"""How long a question is held; readers have a newer proof each second."""

_REMOTE_FOLLOWERS_PER_DOMAIN = 2
"""Ranks next to a failure domain's reader that ask readers of other domains too."""

_REMOTE_INTERVAL_S = 1.0
"""Pause between two questions to other domains. They aren't held, so that what the own
domain's reader tells isn't sent between domains too."""

_FIRST_ATTEMPTS = (0, 1)
"""Attempts of `DomainTopology.source` with which the two sources are chosen: the parent
in the tree, and a random daemon of a lower rank."""

_ANSWER_TIMEOUT_S = 0.5
"""Time for an answer, in addition to that for which the question is held."""

_ROLE_CHECK_INTERVAL_S = 0.2
_RETRY_DELAY_S = 0.1
_MIN_INTERVAL_S = 0.05
"""Pause between two questions, so that changes that come close together are told once.
"""

_MIN_PROOF_STEP_S = 0.3
"""A proof that is later by less than this isn't passed on by itself."""

_MAX_SOURCE_AGE_S = 2.0
"""Age of a source's proof from which on another source is tried."""

_MIN_SILENCE_S = 1.3
_SILENCE_PER_RANK_S = 0.25
"""Time without a useful answer after which the first daemon that isn't a reader reads
the log service in the readers' place, and how much later each next one does."""

_MIN_LAST_SILENCE_S = 2.8
_MAX_SILENCE_S = 3.8
"""The same for daemons of high ranks, each at a random time: less than that after which
no key is accepted."""

_START_S = 1.0
"""Time after the start in which other daemons needn't have told anything yet."""

_MAX_READER_AGE_S = 6.0
"""Age of the last proof that a reader's list of hosts is complete from which on it
follows those that read in its place. It polls the list for five seconds."""

_SUBSTITUTES_PER_DOMAIN = 2
_SUBSTITUTE_S = 10.0
"""Time for which the first daemons that began to read in the readers' place go on."""

_HOSTS_SILENCE_RATIO = 3.0
"""The same for the hosts' records, which are less urgent, as a multiple. The first that
read in the readers' place read them too, since the leases of homes live on that."""

_MIN_LOG_RETRY_DELAY_S = 2.0
_MAX_LOG_RETRY_DELAY_S = 4.0
"""Delay after a failed read of the log service by a daemon that isn't a reader."""


class PeerFollower:
    """Keeps a daemon up to date through its failure domain's readers.

    Attributes:
        handle_newest: Called with the records of all hosts when they are of a later era
            of the log service than the known ones.
    """

    def __init__(
        self,
        fleet: Fleet,
        topology: DomainTopology,
        control: ControlChannel,
        configuration: ConfigurationSource,
        directory: HostDirectory,
        freshness: Freshness,
        read_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        """Initializes the follower and registers its control message handler.

        Args:
            fleet: The fleet state, which tells of new configurations and evacuations.
            topology: Whom to follow.
            control: Control channel to the peers.
            configuration: The configuration and what peers say of it.
            directory: The hosts' records.
            freshness: When the configuration was last confirmed current.
            read_clock: Returns boot clock seconds.
        """
        self.handle_newest: Callable[[Sequence[KeyedRecord]], None] = lambda _: None
        self._topology = topology
        self._control = control
        self._configuration = configuration
        self._directory = directory
        self._freshness = freshness
        self._read_clock = read_clock
        self._useful_at = read_clock() + _START_S
        self._last_silence_s = random.uniform(_MIN_LAST_SILENCE_S, _MAX_SILENCE_S)
        self._substitute_until = -math.inf
        self._is_substitute = False
        self._changed = trio.Event()
        control.handlers_by_type[FollowState] = self._handle_question
        fleet.configuration_listeners.append(self._wake_waiters)
        fleet.evacuations.listeners.append(self._wake_waiters)
        directory.listeners.append(self._wake_waiters)
        freshness.listeners.append(self._wake_waiters)

    def reads_configuration(self) -> bool:
        """Whether this daemon reads the configuration from the log service now."""
        if self._topology.is_reader():
            return True
        now = self._read_clock()
        is_silent = now - self._useful_at > self._max_silence_s()
        if is_silent and self._rank() < _SUBSTITUTES_PER_DOMAIN:
            self._substitute_until = now + _SUBSTITUTE_S
        self._note_substitute(is_silent or now < self._substitute_until)
        return self._is_substitute

    def _note_substitute(self, is_substitute: bool) -> None:
        if is_substitute == self._is_substitute:
            return
        self._is_substitute = is_substitute
        logger.bind(
            event="log_read_in_place" if is_substitute else "log_left_to_readers",
            proof_age_s=round(self._freshness.age_s(), 3),
        ).info(
            "this daemon {} the log service though it is no reader of its domain",
            "reads" if is_substitute else "no longer reads",
        )

    def reads_hosts(self) -> bool:
        """Whether this daemon reads the hosts' records from the log service now."""
        if self._topology.is_reader() or self._is_first_substitute():
            return True
        silence_s = self._read_clock() - self._useful_at
        return silence_s > self._max_silence_s() * _HOSTS_SILENCE_RATIO

    def _is_first_substitute(self) -> bool:
        return self._is_substitute and self._rank() < _SUBSTITUTES_PER_DOMAIN

    def _max_silence_s(self) -> float:
        silence_s = _MIN_SILENCE_S + self._rank() * _SILENCE_PER_RANK_S
        return min(silence_s, self._last_silence_s)

    def _rank(self) -> int:
        """This daemon's rank among those of its domain that aren't readers, from 0."""
        return self._topology.position() - self._topology.reader_count()

    def log_retry_delay_s(self) -> float:
        """Returns the delay after a failed read of the log service, in seconds."""
        if self._topology.is_reader():
            return 0.0
        return random.uniform(_MIN_LOG_RETRY_DELAY_S, _MAX_LOG_RETRY_DELAY_S)

    async def run(self) -> None:
        """Follows other daemons until cancelled."""
        async with trio.open_nursery() as nursery:
            for attempt in _FIRST_ATTEMPTS:
                nursery.start_soon(self._follow_source, attempt)
            nursery.start_soon(self._follow_remote_readers)

    async def _follow_remote_readers(self) -> None:
        while True:
            interval_s = _REMOTE_INTERVAL_S * random.uniform(0.8, 1.2)
            is_follower = 0 <= self._rank() < _REMOTE_FOLLOWERS_PER_DOMAIN
            address = self._topology.remote_reader() if is_follower else None
            if address is not None and not await self._follow(address, 0):
                interval_s = _RETRY_DELAY_S
            await trio.sleep(interval_s)

    async def _follow_source(self, first_attempt: int) -> None:
        attempt = first_attempt
        while True:
            address = self._source(attempt)
            if address is None:
                await trio.sleep(_ROLE_CHECK_INTERVAL_S)
            elif await self._follow(address, _WAIT_MS):
                attempt = first_attempt
                await trio.sleep(_MIN_INTERVAL_S)
            else:
                attempt += 1
                await trio.sleep(_RETRY_DELAY_S * random.uniform(0.5, 1.5))

    def _source(self, attempt: int) -> str | None:
        """Returns whom to follow now; None if this daemon reads itself."""
        if not self._topology.is_reader():
            return self._topology.source(attempt)
        if self._directory.freshness.age_s() < _MAX_READER_AGE_S:
            return None
        return self._topology.substitute(attempt % _SUBSTITUTES_PER_DOMAIN)

    async def _follow(self, address: str, wait_ms: int) -> bool:
        """Asks a daemon once; returns whether its answer was useful.

        Args:
            address: The daemon's control address.
            wait_ms: How long it may hold the question while there is nothing new.
        """
        asked_at = self._read_clock()
        question = FollowState(
            self._configuration.question(),
            self._directory.era,
            self._directory.next_offset,
            wait_ms,
        )
        timeout_s = wait_ms / 1000 + _ANSWER_TIMEOUT_S
        try:
            reply = await self._control.send_request(
                address, question, StateFollowed, timeout_s
            )
        except ControlError as error:
            logger.bind(event="source_silent", address=address).debug("{}", error)
            return False
        self._apply(reply, asked_at)
        if not 0 <= reply.configuration.age_ms <= _MAX_SOURCE_AGE_S * 1000:
            return False
        self._useful_at = self._read_clock()
        return True

    def _apply(self, reply: StateFollowed, asked_at: float) -> None:
        # The question was held in between, so the age is counted from the end of that.
        self._configuration.apply_answer(
            reply.configuration, asked_at + reply.held_ms / 1000
        )
        records = [
            KeyedRecord(record.host_id, record.value, record.offset)
            for record in reply.records
        ]
        if reply.is_complete and (reply.era or 0) > (self._directory.era or 0):
            self.handle_newest(records)
        if records or reply.is_complete:
            self._directory.handle_records(records, reply.era, reply.next_offset)
        if reply.hosts_age_ms >= 0 and reply.era == self._directory.era:
            # This daemon now has all records that the responder had.
            self._directory.freshness.confirm(
                asked_at + (reply.held_ms - reply.hosts_age_ms) / 1000
            )

    async def _handle_question(self, question: FollowState) -> Message:
        asked_at = self._read_clock()
        proof_at = self._freshness.confirmed_at
        with trio.move_on_after(question.wait_ms / 1000):
            while not self._has_news(question, proof_at):
                await self._changed.wait()
        is_complete = self._is_of_later_era(question)
        records: Sequence[KeyedRecord] = ()
        if is_complete or question.era == self._directory.era:
            records = self._directory.records_from(
                0 if is_complete else question.next_offset
            )
        return StateFollowed(
            configuration=self._configuration.answer(question.configuration),
            held_ms=(self._read_clock() - asked_at) * 1000,
            era=self._directory.era,
            next_offset=self._directory.next_offset,
            is_complete=is_complete,
            records=tuple(
                HostRecord(HostId(record.key), record.value, record.offset)
                for record in records
            ),
            hosts_age_ms=self._hosts_age_ms(),
        )

    def _hosts_age_ms(self) -> float:
        age_s = self._directory.freshness.age_s()
        return -1.0 if math.isinf(age_s) else age_s * 1000

    def _has_news(self, question: FollowState, proof_at: float) -> bool:
        if self._is_of_later_era(question):
            return True
        is_same_era = question.era == self._directory.era
        if is_same_era and question.next_offset < self._directory.next_offset:
            return True
        answer = self._configuration.answer(question.configuration)
        if answer.content is not None or answer.evacuations is not None:
            return True
        return self._freshness.confirmed_at > proof_at + _MIN_PROOF_STEP_S

    def _is_of_later_era(self, question: FollowState) -> bool:
        """Whether this daemon knows a later era than the sender of a question."""
        return (self._directory.era or 0) > (question.era or 0)

    def _wake_waiters(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()
