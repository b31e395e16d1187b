"""Answers the daemons that follow this one: with news, or once there is some.

See `peer_following`, which asks.
"""

import math
from collections.abc import Callable, Sequence

import trio

from mangospoke.control.interface import ControlChannel
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

_MIN_PROOF_STEP_S = 0.3
"""A proof that is later by less than this isn't passed on by itself."""


class FollowResponder:
    """Holds the questions of followers until there is something new for them."""

    def __init__(
        self,
        fleet: Fleet,
        control: ControlChannel,
        configuration: ConfigurationSource,
        directory: HostDirectory,
        freshness: Freshness,
        read_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        """Initializes the responder and registers its control message handler.

        Args:
            fleet: The fleet state, which tells of new configurations and evacuations.
            control: Control channel to the peers.
            configuration: The configuration and what peers say of it.
            directory: The hosts' records.
            freshness: When the configuration was last confirmed current.
            read_clock: Returns boot clock seconds.
        """
        self._configuration = configuration
        self._directory = directory
        self._freshness = freshness
        self._read_clock = read_clock
        self._changed = trio.Event()
        control.handlers_by_type[FollowState] = self._handle_question
        fleet.configuration_listeners.append(self._wake_waiters)
        fleet.evacuations.listeners.append(self._wake_waiters)
        directory.listeners.append(self._wake_waiters)
        freshness.listeners.append(self._wake_waiters)

    async def _handle_question(self, question: FollowState) -> Message:
        asked_at = self._read_clock()
        proof_at = self._known_proof_at(question, asked_at)
        with trio.move_on_after(question.wait_ms / 1000):
            while not self._has_news(question, proof_at):
                await self._changed.wait()
        is_complete = self._is_of_later_era(question)
        records: Sequence[KeyedRecord] = ()
        if is_complete or question.era == self._directory.era:
            records = self._directory.records_from(
                0 if is_complete else question.next_offset
            )
        hosts_age_ms = finite_ms(self._directory.freshness.age_s())
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
            hosts_age_ms=-1.0 if hosts_age_ms is None else hosts_age_ms,
        )

    def _known_proof_at(self, question: FollowState, asked_at: float) -> float:
        """Returns when the proof was that a sender has, which later ones are news to.

        One that came between two questions of the sender is news. A sender with another
        configuration can't use a proof of this one; it waits for the next.
        """
        mine = self._configuration.question()
        theirs = question.configuration
        is_same = (mine.version, mine.digest) == (theirs.version, theirs.digest)
        if question.proof_age_ms is None or not is_same:
            return self._freshness.confirmed_at
        return asked_at - question.proof_age_ms / 1000

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


def finite_ms(age_s: float) -> float | None:
    """Returns an age in milliseconds; None if there is none."""
    return None if math.isinf(age_s) else age_s * 1000
