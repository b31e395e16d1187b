"""HTTP calls to the log service over pooled connections."""

import time
from collections import Counter

import trio

from mangospoke.conf.settings import LogService
from mangospoke.http.bodies import whole_body
from mangospoke.http.client import (
    AnswerMalformedError,
    AnswerMissingError,
    AnswerTruncatedError,
    ConnectError,
    HttpConnection,
    open_connection,
)
from mangospoke.http.messages import HttpAnswer
from mangospoke.http.pool import IdleConnections
from mangospoke.observability.status import LogHealth

_HEAD_BYTES = 16_384
_ANSWER_BYTES = 16_777_216
_IDLE_CONNECTIONS = 2
_NO_ANSWER = "no-answer"

LogCallKey = tuple[str, str]
"""Path of a call, and the status of its answer or `no-answer`."""


class LogUnavailableError(Exception):
    """The log service gave no answer: an append may or may not have happened."""


class LogRefusedError(Exception):
    """The log service refused an append, which did not happen."""


class OffsetGoneError(Exception):
    """Retention has passed the offset.

    Attributes:
        first_offset: The first offset that is still kept.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"retention has passed; the first offset is {first_offset}")
        self.first_offset = first_offset


class LogCalls:
    """Calls the log service and keeps count of how it answers.

    Attributes:
        counts: Calls by path and outcome.
    """

    def __init__(self, settings: LogService) -> None:
        self._settings = settings
        self._idle = IdleConnections()
        self._answered_at: float | None = None
        self._failures_in_row = 0
        self.counts: Counter[LogCallKey] = Counter()

    def health(self) -> LogHealth:
        """Says how the log service has answered."""
        answered_ago_s = None
        if self._answered_at is not None:
            answered_ago_s = round(time.monotonic() - self._answered_at, 3)
        return LogHealth(answered_ago_s, self._failures_in_row)

    async def exchange(
        self,
        method: bytes,
        target: str,
        content: bytes = b"",
        content_type: bytes = b"application/json",
        wait_s: float = 0.0,
    ) -> HttpAnswer:
        """Makes a call and returns its answer, whatever its status.

        Args:
            method: The HTTP method.
            target: Path and query.
            content: The request's body.
            content_type: Media type of the body.
            wait_s: Seconds that the log service may hold the call back.

        Raises:
            LogUnavailableError: If no answer came.
        """
        timeout_s = self._settings.timeout_ms / 1000 + wait_s
        kind = _kind_of(target)
        headers = [
            (b"host", self._settings.address.encode()),
            (b"content-type", content_type),
        ]
        try:
            with trio.fail_after(timeout_s):
                answer = await self._exchange_once(
                    method, target.encode(), headers, content
                )
        except (
            ConnectError,
            AnswerMissingError,
            AnswerTruncatedError,
            AnswerMalformedError,
            trio.TooSlowError,
        ) as error:
            self._failures_in_row += 1
            self.counts[(kind, _NO_ANSWER)] += 1
            raise LogUnavailableError(repr(error)) from error
        self._answered_at = time.monotonic()
        self._failures_in_row = 0
        self.counts[(kind, str(answer.status))] += 1
        return answer

    async def _exchange_once(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        content: bytes,
    ) -> HttpAnswer:
        connection = await self._connection()
        reusable = False
        try:
            answer = await connection.exchange(
                method, target, headers, whole_body(content), _ANSWER_BYTES
            )
            reusable = answer.body.content is not None and connection.is_reusable()
        finally:
            if not reusable:
                with trio.CancelScope(shield=True):
                    await connection.aclose()
        if reusable:
            await self._put_back(connection)
        return answer

    async def _connection(self) -> HttpConnection:
        timeout_s = self._settings.timeout_ms / 1000
        idle = await self._idle.take()
        return idle or await open_connection(
            self._settings.address, _HEAD_BYTES, timeout_s
        )

    async def _put_back(self, connection: HttpConnection) -> None:
        if len(self._idle) < _IDLE_CONNECTIONS:
            self._idle.put(connection)
        else:
            await connection.aclose()


def _kind_of(target: str) -> str:
    """The path of a call, without what tells one call from another."""
    return target.partition("?")[0]
