"""Follows the configuration and the hosts' records through other daemons.

Load pattern: hundreds of hosts that all poll the log service, each woken by each record
that another writes. So one daemon of a failure domain reads it (`topology`), and each
other one follows two of the domain's daemons, so that a silent one costs no time. It
asks each with a question that is held until something changes, or until the one that is
asked has a newer proof that its configuration is current. A proof passes on with its
true age.

The ranks next to the reader also ask a reader of another failure domain from time to
time, and often once their proof is old. So a domain whose reader is silent keeps
hearing of changes and has proofs.

That someone answers says nothing about how much it knows: the log service may be
silent to a reader that goes on answering its followers. So all delays count from the
latest proof that the configuration is current, not from the latest answer. A daemon
whose proof gets old follows those that read the log service before it would do so
itself (`reading_in_place`), and reads it when their proofs don't come in time either.
"""

import math
import random
from collections.abc import Callable, Sequence

import trio
from loguru import logger

from mangospoke.control.interface import ControlChannel, ControlError
from mangospoke.control.messages import FollowState, StateFollowed
from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.state.configuration_source import ConfigurationSource
from mangospoke.state.follow_responder import finite_ms
from mangospoke.state.freshness import Freshness, read_boot_clock
from mangospoke.state.host_directory import HostDirectory
from mangospoke.state.reading_in_place import ReadingTimes, log_retry_delay_s
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

_PROOF_CHECK_DELAY_S = 0.01
"""Time after which a proof that gets old now is old."""

_MAX_SOURCE_AGE_S = 1.15
"""Age of a proof from which on another source is tried. Readers have a newer one each
second."""

_URGENT_FOLLOWERS_PER_DOMAIN = 3
_URGENT_LEADERS_PER_DOMAIN = 4
_URGENT_REMOTE_INTERVAL_S = 0.2
_MAX_URGENT_AGE_S = 2.5
"""While the proof is old: ranks that ask other domains, ranks that they ask there, and
the pause between two such questions; and the age from which on questions are as rare as
before, since the log service seems silent to all."""

_START_S = 1.0
"""Time after the start in which other daemons needn't have told anything yet."""

_MAX_READER_HOSTS_AGE_S = 6.0
"""Age of the last proof that a reader's list of hosts is complete from which on it
follows those that read in its place. It polls the list for five seconds."""

_IN_PLACE_S = 10.0
"""Time for which a daemon goes on reading in the readers' place, and is followed."""


class PeerFollower:
    """Keeps a daemon up to date through its failure domain's readers.

    Attributes:
        handle_newest: Called with the records of all hosts when they are of a later era
            of the log service than the known ones.
    """

    def __init__(
        self,
        topology: DomainTopology,
        control: ControlChannel,
        configuration: ConfigurationSource,
        directory: HostDirectory,
        freshness: Freshness,
        read_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        """Initializes the follower.

        Args:
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
        self._times = ReadingTimes()
        self._quiet_until = read_clock() + _START_S
        self._in_place_until = -math.inf
        self._is_in_place = False
        self._is_first_answer_due = False

    def reads_configuration(self) -> bool:
        """Whether this daemon reads the configuration from the log service now."""
        if self._topology.is_reader():
            return True
        is_late = self.seconds_until_reads() < 0
        self._set_in_place(is_late or self._read_clock() < self._in_place_until)
        return self._is_in_place

    def reads_hosts(self) -> bool:
        """Whether this daemon reads the hosts' records from the log service now."""
        if self._topology.is_reader() or self._read_clock() < self._in_place_until:
            return True
        max_age_s = self._times.max_hosts_proof_age_s(*self._rank_and_count())
        return self._hosts_proof_age_s() > max_age_s

    def seconds_until_reads(self) -> float:
        """Returns the time until it reads the configuration if it hears nothing."""
        max_age_s = self._times.max_proof_age_s(*self._rank_and_count())
        return max_age_s - self._proof_age_s()

    def handle_log_answer(self) -> None:
        """Learns that the log service answered this daemon's read.

        One that had to read in place goes on for some time, for those that follow it.
        """
        if self._is_first_answer_due:
            self._is_first_answer_due = False
            self._in_place_until = self._read_clock() + _IN_PLACE_S

    def log_retry_delay_s(self, failure_count: int) -> float:
        """Returns the least delay after a failed read of the log service, in seconds.

        Args:
            failure_count: Number of failed reads in a row, from 1.
        """
        if self._topology.is_reader():
            return 0.0
        return log_retry_delay_s(failure_count)

    def _set_in_place(self, is_in_place: bool) -> None:
        if is_in_place == self._is_in_place:
            return
        self._is_in_place = self._is_first_answer_due = is_in_place
        logger.bind(
            event="log_read_in_place" if is_in_place else "log_left_to_readers",
            proof_age_s=round(self._freshness.age_s(), 3),
        ).info(
            "this daemon {} the log service though it is no reader of its domain",
            "reads" if is_in_place else "no longer reads",
        )

    def _proof_age_s(self) -> float:
        """Age of the configuration's proof; a daemon that starts has time for one."""
        since = max(self._freshness.confirmed_at, self._quiet_until)
        return self._read_clock() - since

    def _hosts_proof_age_s(self) -> float:
        since = max(self._directory.freshness.confirmed_at, self._quiet_until)
        return self._read_clock() - since

    def _rank_and_count(self) -> tuple[int, int]:
        """Returns this daemon's rank among those that aren't readers, and their number.

        A reader's rank counts as the first one.
        """
        rank_count = len(self._topology.ranked_addresses())
        rank_count -= self._topology.reader_count()
        return max(0, self._topology.rank()), rank_count

    async def run(self) -> None:
        """Follows other daemons until cancelled."""
        async with trio.open_nursery() as nursery:
            for attempt in _FIRST_ATTEMPTS:
                nursery.start_soon(self._follow_source, attempt)
                nursery.start_soon(self._follow_stand_ins, attempt)
            nursery.start_soon(self._follow_remote_readers)

    async def _follow_remote_readers(self) -> None:
        while True:
            interval_s = _REMOTE_INTERVAL_S * random.uniform(0.8, 1.2)
            address = self._remote_source()
            if address is not None and not await self._follow(address, 0):
                interval_s = _RETRY_DELAY_S
            await self._pause_remote(interval_s)

    def _remote_source(self) -> str | None:
        """Returns whom to ask in other failure domains now, or None."""
        if self._asks_remote_urgently():
            return self._topology.remote_leader(_URGENT_LEADERS_PER_DOMAIN)
        if 0 <= self._topology.rank() < _REMOTE_FOLLOWERS_PER_DOMAIN:
            return self._topology.remote_leader(1)
        return None

    def _asks_remote_urgently(self) -> bool:
        is_follower = 0 <= self._topology.rank() < _URGENT_FOLLOWERS_PER_DOMAIN
        return is_follower and self._is_proof_old()

    async def _pause_remote(self, interval_s: float) -> None:
        """Pauses between two questions, less long once the proof gets old."""
        now = self._read_clock()
        until, urgent_from = now + interval_s, now + _URGENT_REMOTE_INTERVAL_S
        while now < until:
            if now >= urgent_from and self._asks_remote_urgently():
                return
            next_check_at = max(now + self._seconds_until_proof_is_old(), urgent_from)
            await trio.sleep(min(next_check_at, until) - now)
            now = self._read_clock()

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
        if self._directory.freshness.age_s() < _MAX_READER_HOSTS_AGE_S:
            return None
        return self._topology.stand_in(attempt)

    async def _follow_stand_ins(self, first_attempt: int) -> None:
        """Follows those that read in the readers' place, while there are some.

        A source that doesn't answer is waited for beside this, not before.
        """
        attempt = first_attempt
        follow_until = -math.inf
        while True:
            is_old = self._is_proof_old()
            address = self._topology.stand_in(attempt)
            if address is None or not (is_old or self._read_clock() < follow_until):
                attempt = first_attempt
                await trio.sleep(self._seconds_until_proof_is_old())
            elif await self._follow(address, _WAIT_MS):
                if is_old:
                    follow_until = self._read_clock() + _IN_PLACE_S
                await trio.sleep(_MIN_INTERVAL_S)
            else:
                attempt += 1
                await trio.sleep(_RETRY_DELAY_S * random.uniform(0.5, 1.5))

    def _is_proof_old(self) -> bool:
        """Whether others than the usual sources are asked for a newer proof.

        It isn't once the log service seems silent to all.
        """
        return _MAX_SOURCE_AGE_S < self._proof_age_s() < _MAX_URGENT_AGE_S

    def _seconds_until_proof_is_old(self) -> float:
        remaining_s = _MAX_SOURCE_AGE_S - self._proof_age_s()
        if remaining_s < 0:
            return _ROLE_CHECK_INTERVAL_S
        return remaining_s + _PROOF_CHECK_DELAY_S

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
            finite_ms(self._freshness.age_s()),
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
        return 0 <= reply.configuration.age_ms <= _MAX_SOURCE_AGE_S * 1000

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
