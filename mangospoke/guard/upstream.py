"""Connections to this host's upstream, and one execution over one of them."""

import math
from collections.abc import Callable
from dataclasses import dataclass

import trio

from mangospoke.calls import Call, Progress
from mangospoke.conf.settings import Limits
from mangospoke.guard.dialect import (
    OWN_DIALECT,
    AnswerMarks,
    UpstreamDialect,
    UpstreamReport,
)
from mangospoke.http.bodies import Body, streamed_body
from mangospoke.http.client import (
    AnswerMalformedError,
    AnswerMissingError,
    AnswerTruncatedError,
    ConnectError,
    HttpConnection,
    RequestBrokenError,
    open_connection,
)
from mangospoke.http.messages import HttpAnswer
from mangospoke.http.pool import IdleConnections
from mangospoke.ids import ExecutionToken, InstanceId
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
"""Time before an idle connection's announced end from which it is not used."""


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    """A connection that waits for its next request.

    Attributes:
        usable_until: Point on trio's clock from which the upstream may close it.
    """

    connection: HttpConnection
    usable_until: float


@dataclass(slots=True)
class _Exchange:
    """One request over one connection, and what its last answer said.

    Attributes:
        is_own: Whether that answer belongs to the request.
    """

    connection: HttpConnection
    marks: AnswerMarks = AnswerMarks()
    is_own: bool = False


class UpstreamConnections:
    """Pooled connections to one upstream; the guard bounds how many are in use.

    Attributes:
        maximum: Connections above which none is kept idle.
        report: What the upstream told of its load last, or None.
    """

    def __init__(
        self, address: str, limits: Limits, dialect: UpstreamDialect = OWN_DIALECT
    ) -> None:
        self.address = address
        self.maximum: float = math.inf
        self.report: UpstreamReport | None = None
        self._limits = limits
        self._dialect = dialect
        self._idle = IdleConnections()
        self._in_use = 0

    async def execute(
        self,
        call: Call,
        token: ExecutionToken,
        echoes_request_id: bool,
        instance: InstanceId | None = None,
    ) -> Outcome:
        """Runs a call in the upstream.

        Args:
            call: The call; its progress says whether a byte may have been sent.
            token: Token for the calls that the upstream makes meanwhile.
            echoes_request_id: Whether the answer must carry the call's request id.
            instance: The start of the upstream that is meant, if it has a name.
        """
        self._in_use += 1
        try:
            return await self._execute(call, token, echoes_request_id, instance)
        finally:
            self._in_use -= 1

    async def _execute(
        self,
        call: Call,
        token: ExecutionToken,
        echoes_request_id: bool,
        instance: InstanceId | None,
    ) -> Outcome:
        try:
            connection = await self._connection()
        except ConnectError as error:
            return Refused(RefusalReason.UPSTREAM_UNREACHABLE, str(error))
        exchange = _Exchange(connection)
        headers = self._dialect.request_headers(call, token, instance)
        finished = False
        try:
            outcome = await self._exchange(exchange, call, headers, echoes_request_id)
            finished = isinstance(outcome, Answered | Refused)
        finally:
            if not finished:
                # Whatever still arrives on it belongs to no one.
                with trio.CancelScope(shield=True):
                    await connection.aclose()
        if isinstance(outcome, Answered) and outcome.body.content is None:
            return outcome
        await self._put_back(exchange)
        return outcome

    async def _connection(self) -> HttpConnection:
        idle = await self._idle.take()
        return idle or await open_connection(
            self.address, self._limits.head_bytes, _CONNECT_TIMEOUT_S
        )

    async def _exchange(
        self,
        exchange: _Exchange,
        call: Call,
        headers: list[tuple[bytes, bytes]],
        echoes_request_id: bool,
    ) -> Outcome:
        expected_id = call.request_id.encode()

        def is_own(answer: HttpAnswer) -> bool:
            marks = exchange.marks = self._dialect.read_marks(answer)
            echoed = marks.request_id
            # What did not run need not say which request that was.
            matches = echoed == expected_id or (echoed is None and marks.not_run)
            exchange.is_own = matches or not echoes_request_id
            return exchange.is_own

        # From here on a byte of the head may reach the upstream.
        call.progress = Progress.SENT
        try:
            answer = await exchange.connection.exchange(
                call.method,
                call.target,
                headers,
                call.body,
                self._limits.buffered_body_bytes,
                is_own,
            )
        except AnswerMissingError as error:
            return Unanswered(FailureReason.UPSTREAM_CONNECTION_LOST, str(error))
        except AnswerTruncatedError as error:
            return Unanswered(FailureReason.TRUNCATED_ANSWER, str(error))
        except AnswerMalformedError as error:
            return Unanswered(FailureReason.MALFORMED_ANSWER, str(error))
        except RequestBrokenError as error:
            return Unanswered(FailureReason.REQUEST_BROKEN, str(error))
        if not exchange.is_own:
            detail = "the answer carries another request's id"
            return Unanswered(FailureReason.CROSSED_ANSWER, detail)
        if exchange.marks.report is not None:
            self.report = exchange.marks.report
        return _outcome_of(answer, exchange.marks, call, self._dialect.internal_fields)

    async def _put_back(self, exchange: _Exchange) -> None:
        has_room = self._in_use + len(self._idle) <= self.maximum
        if has_room and exchange.connection.is_reusable():
            until = trio.current_time() + _idle_s(exchange.marks)
            self._idle.put(exchange.connection, until)
        else:
            await exchange.connection.aclose()

    async def aclose(self) -> None:
        """Closes the idle connections."""
        await self._idle.aclose()


def _idle_s(marks: AnswerMarks) -> float:
    """Seconds for which a connection may be used again.

    It is given up before the upstream does so: a request that crosses the close
    may or may not have run.
    """
    if marks.idle_s is None:
        return math.inf
    return max(0.0, marks.idle_s - _IDLE_MARGIN_S)


def _outcome_of(
    answer: HttpAnswer, marks: AnswerMarks, call: Call, internal: frozenset[bytes]
) -> Outcome:
    is_whole = answer.body.content is not None
    if marks.is_other_instance:
        call.progress = Progress.UNSENT
        return Refused(RefusalReason.OTHER_INSTANCE, "another instance answered")
    if marks.not_run and is_whole:
        # The upstream's documented way of saying that it did not run the request.
        call.progress = Progress.UNSENT
        return Refused(RefusalReason.SHED_BY_UPSTREAM, "the upstream shed it")
    if not marks.is_genuine:
        detail = "the answer lacks what the upstream's answers have"
        return Unanswered(FailureReason.MALFORMED_ANSWER, detail)
    headers = [pair for pair in answer.headers if pair[0] not in internal]
    return Answered(answer.status, headers, answer.body)


def hold_until_closed(body: Body, release: Callable[[], None]) -> Body:
    """Makes a streamed body that calls `release` when it is closed."""

    async def release_both() -> None:
        await body.aclose()
        release()

    return streamed_body(body.chunks(), body.length, release_both)
