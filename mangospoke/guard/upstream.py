"""Pooled connections to the local upstream, and the execution of calls over them.

A faulty upstream may send a second copy of a response, late, where the next one is
expected. What ties a response to a request is its id. A response without an id ends
the use of its connection, so that no copy of it meets a later request, and decides
nothing unless it is proved to be no copy itself; see `_UpstreamExchange`. A request
that is sent again after "not run" has the same id, and so takes another connection.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from weakref import WeakKeyDictionary

import trio

from mangospoke.calls import Call, SendStatus
from mangospoke.conf.settings import Limits
from mangospoke.guard.dialect import (
    NATIVE_DIALECT,
    ResponseMetadata,
    UpstreamDialect,
    UpstreamReport,
)
from mangospoke.http.client import (
    ConnectError,
    HttpConnection,
    IncompleteRequestError,
    ResponseMalformedError,
    ResponseMissingError,
    ResponseTruncatedError,
    open_connection,
)
from mangospoke.http.messages import HttpResponse
from mangospoke.http.pool import IdleConnectionPool
from mangospoke.ids import ExecutionToken, InstanceId, RequestId
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Unanswered,
)

_CONNECT_TIMEOUT_S = 1.0
_IDLE_MARGIN_S = 1.5
"""Time before the announced idle timeout from which a connection isn't reused."""

_MAX_REFUSED_IDS = 64
"""Requests that were answered "not run" on one connection before it is closed."""

ResponseObserver = Callable[[HttpResponse, ResponseMetadata, float], None]
"""Called with each response of the upstream, and with the time on trio's clock at which
its request was sent."""


@dataclass(slots=True)
class _UpstreamExchange:
    """One request over one connection, and the metadata of its last response.

    Attributes:
        expected_id: The request's id.
        echoes_request_id: Whether the upstream's responses have the request's id.
        is_matching: Whether the last response belongs to the request.
        is_last: Whether the connection can't be used again: a response without an id
            has been received, of which a copy may follow.
    """

    connection: HttpConnection
    expected_id: bytes
    echoes_request_id: bool
    metadata: ResponseMetadata = ResponseMetadata()
    is_matching: bool = False
    is_last: bool = False

    def match(self, metadata: ResponseMetadata) -> bool:
        """Returns whether a response belongs to the request.

        An upstream states "not run" without an id if it has not read the request that
        far. Such a response is no copy of an earlier one if no response before it on
        this connection lacked an id, and none had arrived before the request was sent.
        """
        self.metadata = metadata
        if metadata.request_id is not None:
            self.is_matching = metadata.request_id == self.expected_id
            return self.is_matching
        is_first = not self.is_last
        self.is_last = True
        has_right_form = not self.echoes_request_id or metadata.states_not_run
        is_no_copy = is_first and not self.connection.had_early_input
        self.is_matching = has_right_form and is_no_copy
        return self.is_matching


class UpstreamConnectionPool:
    """Pooled connections to one upstream; the guard limits how many are in use.

    Attributes:
        max_connections: Number of connections, in use and idle, above which none is
            kept idle.
        report: The load that the upstream reported last, or None.
        observe_response: Called with each response that belongs to its request.
    """

    def __init__(
        self, address: str, limits: Limits, dialect: UpstreamDialect = NATIVE_DIALECT
    ) -> None:
        self.address = address
        self.max_connections: float = math.inf
        self.report: UpstreamReport | None = None
        self.observe_response: ResponseObserver = _ignore_response
        self._limits = limits
        self._dialect = dialect
        self._idle = IdleConnectionPool()
        self._refused_ids: WeakKeyDictionary[HttpConnection, set[RequestId]] = (
            WeakKeyDictionary()
        )
        self._in_use_count = 0

    async def execute(
        self,
        call: Call,
        token: ExecutionToken,
        echoes_request_id: bool,
        instance: InstanceId | None = None,
    ) -> Outcome:
        """Runs a call in the upstream.

        Args:
            call: The call; its `send_status` tells whether a byte may have been sent.
            token: Identifies the call in the sub-calls of the upstream.
            echoes_request_id: Whether the response must contain the request id.
            instance: The expected instance of the upstream, or None if unnamed.
        """
        self._in_use_count += 1
        try:
            return await self._execute(call, token, echoes_request_id, instance)
        finally:
            self._in_use_count -= 1

    async def _execute(
        self,
        call: Call,
        token: ExecutionToken,
        echoes_request_id: bool,
        instance: InstanceId | None,
    ) -> Outcome:
        try:
            connection = await self._take_connection(call.request_id)
        except ConnectError as error:
            return Refused(RefusalReason.UPSTREAM_UNREACHABLE, str(error))
        exchange = _UpstreamExchange(
            connection, call.request_id.encode(), echoes_request_id
        )
        headers = self._dialect.request_headers(call, token, instance)
        is_finished = False
        try:
            outcome = await self._exchange(exchange, call, headers)
            is_finished = isinstance(outcome, Answered | Refused)
        finally:
            if not is_finished:
                # Close it, so that a late response isn't read as that of another call.
                with trio.CancelScope(shield=True):
                    await connection.aclose()
        if isinstance(outcome, Answered) and outcome.body.content is None:
            return outcome
        if exchange.metadata.states_not_run:
            refused_ids = self._refused_ids.setdefault(connection, set())
            refused_ids.add(call.request_id)
            exchange.is_last |= len(refused_ids) >= _MAX_REFUSED_IDS
        await self._return_connection(exchange)
        return outcome

    async def _take_connection(self, request_id: RequestId) -> HttpConnection:
        """Returns a connection on which the request has not been answered yet."""
        idle = await self._idle.acquire(
            lambda connection: request_id not in self._refused_ids.get(connection, ())
        )
        return idle or await open_connection(
            self.address, self._limits.head_bytes, _CONNECT_TIMEOUT_S
        )

    async def _exchange(
        self,
        exchange: _UpstreamExchange,
        call: Call,
        headers: list[tuple[bytes, bytes]],
    ) -> Outcome:
        def is_matching(response: HttpResponse) -> bool:
            return exchange.match(self._dialect.read_metadata(response))

        # From here on, the upstream may receive a part of the request head.
        call.send_status = SendStatus.SENT
        sent_at = trio.current_time()
        try:
            response = await exchange.connection.exchange(
                call.method,
                call.target,
                headers,
                call.body,
                self._limits.buffered_body_bytes,
                is_matching,
            )
        except ResponseMissingError as error:
            return Unanswered(FailureReason.UPSTREAM_CONNECTION_LOST, str(error))
        except ResponseTruncatedError as error:
            return Unanswered(FailureReason.TRUNCATED_ANSWER, str(error))
        except ResponseMalformedError as error:
            return Unanswered(FailureReason.MALFORMED_ANSWER, str(error))
        except IncompleteRequestError as error:
            return Unanswered(FailureReason.REQUEST_BROKEN, str(error))
        if not exchange.is_matching:
            detail = "the answer can't be tied to this request"
            return Unanswered(FailureReason.CROSSED_ANSWER, detail)
        if exchange.metadata.report is not None:
            self.report = exchange.metadata.report
        self.observe_response(response, exchange.metadata, sent_at)
        # The length in a response to HEAD is that of a body that isn't sent.
        is_head = call.method == b"HEAD"
        if not is_head and _is_too_large(response, self._limits.body_bytes):
            detail = f"the body is declared as {response.body.length} bytes"
            return Unanswered(FailureReason.ANSWER_TOO_LARGE, detail)
        return _outcome_of(
            response, exchange.metadata, call, self._dialect.internal_fields
        )

    async def _return_connection(self, exchange: _UpstreamExchange) -> None:
        has_room = self._in_use_count + len(self._idle) <= self.max_connections
        can_stay = has_room and not exchange.is_last
        if can_stay and exchange.connection.is_reusable():
            usable_until = trio.current_time() + _reusable_s(exchange.metadata)
            self._idle.release(exchange.connection, usable_until)
        else:
            await exchange.connection.aclose()

    async def aclose(self) -> None:
        """Closes the idle connections."""
        await self._idle.aclose()


def _ignore_response(
    response: HttpResponse, metadata: ResponseMetadata, sent_at: float
) -> None:
    """Does nothing."""


def _reusable_s(metadata: ResponseMetadata) -> float:
    """Returns the seconds for which an idle connection may be reused.

    This ends before the upstream closes it: a request that is sent while it closes may
    or may not run.
    """
    if metadata.idle_timeout_s is None:
        return math.inf
    return max(0.0, metadata.idle_timeout_s - _IDLE_MARGIN_S)


def _is_too_large(response: HttpResponse, max_body_bytes: int) -> bool:
    """Whether a streamed body is declared to be larger than allowed."""
    length = response.body.length
    is_streamed = response.body.content is None
    return is_streamed and length is not None and length > max_body_bytes


def _outcome_of(
    response: HttpResponse,
    metadata: ResponseMetadata,
    call: Call,
    internal_fields: frozenset[bytes],
) -> Outcome:
    is_complete = response.body.content is not None
    if metadata.is_other_instance:
        call.send_status = SendStatus.UNSENT
        return Refused(RefusalReason.OTHER_INSTANCE, "another instance answered")
    if metadata.not_run and is_complete:
        # This is how an upstream states that it did not run the request.
        call.send_status = SendStatus.UNSENT
        return Refused(RefusalReason.SHED_BY_UPSTREAM, "the upstream shed it")
    if not metadata.is_authentic:
        detail = "the answer lacks what the upstream's answers have"
        return Unanswered(FailureReason.MALFORMED_ANSWER, detail)
    headers = [pair for pair in response.headers if pair[0] not in internal_fields]
    return Answered(response.status, headers, response.body)
