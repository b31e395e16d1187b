"""Sends HTTP requests to the log service over pooled connections."""

import time
from collections import Counter

import trio

from mangospoke.conf.settings import LogService
from mangospoke.http.bodies import buffered_body
from mangospoke.http.client import (
    ConnectError,
    HttpConnection,
    ResponseMalformedError,
    ResponseMissingError,
    ResponseTruncatedError,
    open_connection,
)
from mangospoke.http.messages import HttpResponse
from mangospoke.http.pool import IdleConnectionPool
from mangospoke.observability.status import LogHealth

_MAX_HEAD_BYTES = 16_384
_MAX_RESPONSE_BYTES = 16_777_216
_MAX_IDLE_CONNECTIONS = 2
_NO_RESPONSE_OUTCOME = "no-answer"

LogRequestOutcome = tuple[str, str]
"""Path of a request, and the status of its response or `no-answer`."""


class LogUnavailableError(Exception):
    """No response from the log service; an append may or may not have happened."""


class LogRefusedError(Exception):
    """The log service rejected an append, which did not happen."""


class WriterOutOfOrderError(LogRefusedError):
    """The log service expects another number of the writer: it forgot some writes."""


class WriterFencedError(LogRefusedError):
    """The log service knows a later epoch of the writer."""


class OffsetExpiredError(Exception):
    """The records at the offset have been removed by the retention policy.

    Attributes:
        first_offset: The first retained offset.
    """

    def __init__(self, first_offset: int) -> None:
        super().__init__(
            f"offset is past retention; the first retained offset is {first_offset}"
        )
        self.first_offset = first_offset


class LogTransport:
    """HTTP client of the log service that counts the outcomes of its requests.

    Attributes:
        counts: Number of requests by path and outcome.
    """

    def __init__(self, settings: LogService) -> None:
        self._settings = settings
        self._connection_pool = IdleConnectionPool()
        self._last_response_at: float | None = None
        self._consecutive_failures = 0
        self.counts: Counter[LogRequestOutcome] = Counter()

    def health(self) -> LogHealth:
        """Returns the time since the last response and the consecutive failures."""
        answered_ago_s = None
        if self._last_response_at is not None:
            answered_ago_s = round(time.monotonic() - self._last_response_at, 3)
        return LogHealth(answered_ago_s, self._consecutive_failures)

    async def exchange(
        self,
        method: bytes,
        target: str,
        content: bytes = b"",
        content_type: bytes = b"application/json",
        wait_s: float = 0.0,
    ) -> HttpResponse:
        """Sends a request and returns its response, whatever its status.

        Args:
            method: The HTTP method.
            target: Path and query.
            content: The request body.
            content_type: Media type of the body.
            wait_s: Seconds that the log service may wait for new records before it
                responds (long polling); added to the timeout.

        Raises:
            LogUnavailableError: If there was no complete response in time.
        """
        timeout_s = self._settings.timeout_ms / 1000 + wait_s
        path = _path_of(target)
        headers = [
            (b"host", self._settings.address.encode()),
            (b"content-type", content_type),
        ]
        try:
            with trio.fail_after(timeout_s):
                response = await self._exchange_on_connection(
                    method, target.encode(), headers, content
                )
        except (
            ConnectError,
            ResponseMissingError,
            ResponseTruncatedError,
            ResponseMalformedError,
            trio.TooSlowError,
        ) as error:
            self._consecutive_failures += 1
            self.counts[(path, _NO_RESPONSE_OUTCOME)] += 1
            raise LogUnavailableError(repr(error)) from error
        self._last_response_at = time.monotonic()
        self._consecutive_failures = 0
        self.counts[(path, str(response.status))] += 1
        return response

    async def _exchange_on_connection(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        content: bytes,
    ) -> HttpResponse:
        connection = await self._acquire_connection()
        is_reusable = False
        try:
            response = await connection.exchange(
                method, target, headers, buffered_body(content), _MAX_RESPONSE_BYTES
            )
            if connection.had_early_input:
                raise ResponseMalformedError("the response preceded its request")
            is_reusable = response.body.content is not None and connection.is_reusable()
        finally:
            if not is_reusable:
                with trio.CancelScope(shield=True):
                    await connection.aclose()
        if is_reusable:
            await self._release_connection(connection)
        return response

    async def _acquire_connection(self) -> HttpConnection:
        timeout_s = self._settings.timeout_ms / 1000
        pooled = await self._connection_pool.acquire()
        return pooled or await open_connection(
            self._settings.address, _MAX_HEAD_BYTES, timeout_s
        )

    async def _release_connection(self, connection: HttpConnection) -> None:
        if len(self._connection_pool) < _MAX_IDLE_CONNECTIONS:
            self._connection_pool.release(connection)
        else:
            await connection.aclose()


def _path_of(target: str) -> str:
    """The path of a target, without its query."""
    return target.partition("?")[0]
