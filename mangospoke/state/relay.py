"""Serves stream replicas to other daemons."""

import trio

from mangospoke.control.messages import ReadStreams, ReadStreamsResponse
from mangospoke.state.fleet import Fleet

_MAX_LONG_POLLS = 64
"""Concurrent long polls; further polls are answered without waiting."""

_MAX_WAIT_MS = 10_000
_MAX_PEERS_AHEAD = 8


class Relay:
    """Answers the polls of peers that follow this daemon.

    Attributes:
        peers_ahead: Control addresses of polling peers that have more records than
            this daemon; the values are unused.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.peers_ahead: dict[str, None] = {}
        self._fleet = fleet
        self._long_poll_count = 0

    async def answer(self, question: ReadStreams) -> ReadStreamsResponse:
        """Answers with new records, waiting for some if the peer asks for that."""
        self._note_if_ahead(question)
        busy = self._long_poll_count >= _MAX_LONG_POLLS
        if not busy and question.wait_ms > 0:
            self._long_poll_count += 1
            try:
                await self._wait_for_records(question)
            finally:
                self._long_poll_count -= 1
        parts = {}
        for stream, replica in self._fleet.streams.items():
            part = replica.read(question.offsets.get(stream.value, 0))
            if part is not None:
                parts[stream.value] = part
        return ReadStreamsResponse(parts, self._age_ms(), busy)

    async def _wait_for_records(self, question: ReadStreams) -> None:
        wait_s = min(question.wait_ms, _MAX_WAIT_MS) / 1000
        with trio.move_on_after(wait_s):
            while not self._has_new_records(question):
                await self._fleet.wait_for_change()

    def _has_new_records(self, question: ReadStreams) -> bool:
        return any(
            replica.next_offset > question.offsets.get(stream.value, 0)
            for stream, replica in self._fleet.streams.items()
        )

    def _note_if_ahead(self, question: ReadStreams) -> None:
        if not question.sender or len(self.peers_ahead) >= _MAX_PEERS_AHEAD:
            return
        for stream, replica in self._fleet.streams.items():
            if question.offsets.get(stream.value, 0) > replica.next_offset:
                self.peers_ahead[question.sender] = None

    def _age_ms(self) -> float:
        age_s = self._fleet.age_s()
        return -1.0 if age_s == float("inf") else age_s * 1000
