"""Calls that are running in the upstream, by execution token and by request id."""

import secrets
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from mangospoke.calls import Call
from mangospoke.ids import ExecutionToken, RequestId
from mangospoke.verdicts import Answered, Outcome

_TOKEN_BYTES = 16
_MIN_ERROR_STATUS = 400


@dataclass(slots=True)
class Execution:
    """A call that is running in the upstream.

    Attributes:
        call: The call.
        token: Identifies it in the upstream's sub-calls.
        started_at: Time on trio's clock at which it began, in seconds.
        has_failed_sub_call: Whether one of its sub-calls failed or was refused.
    """

    call: Call
    token: ExecutionToken
    started_at: float
    has_failed_sub_call: bool = False
    _running_sub_calls: int = 0
    _waiting_since: float = 0.0
    _waited_s: float = 0.0

    def begin_sub_call(self, now: float) -> None:
        """Records that the upstream began to wait for a sub-call."""
        if self._running_sub_calls == 0:
            self._waiting_since = now
        self._running_sub_calls += 1

    def end_sub_call(self, now: float) -> None:
        """Records that a sub-call ended."""
        self._running_sub_calls -= 1
        if self._running_sub_calls == 0:
            self._waited_s += now - self._waiting_since

    def own_work_s(self, now: float) -> float:
        """Returns the seconds so far in which no sub-call was running."""
        waited_s = self._waited_s
        if self._running_sub_calls:
            waited_s += now - self._waiting_since
        return now - self.started_at - waited_s

    def is_waiting(self) -> bool:
        """Returns whether a sub-call is running."""
        return self._running_sub_calls > 0


class ExecutionRegistry:
    """The running calls."""

    def __init__(self) -> None:
        self._by_token: dict[ExecutionToken, Execution] = {}
        self._by_request_id: dict[RequestId, Execution] = {}

    def __len__(self) -> int:
        return len(self._by_token)

    @contextmanager
    def register(self, call: Call) -> Iterator[Execution]:
        """Registers a call while it runs, with a new token."""
        token = ExecutionToken(secrets.token_hex(_TOKEN_BYTES))
        execution = Execution(call, token, trio.current_time())
        self._by_token[token] = execution
        self._by_request_id[call.request_id] = execution
        try:
            yield execution
        finally:
            del self._by_token[token]
            if self._by_request_id.get(call.request_id) is execution:
                del self._by_request_id[call.request_id]

    def find(self, token: ExecutionToken) -> Call | None:
        """Returns the call that a token identifies, or None once it has ended."""
        execution = self._by_token.get(token)
        return None if execution is None else execution.call

    def find_by_request_id(self, request_id: RequestId) -> Execution | None:
        """Returns the execution of a request, or None if it isn't running here."""
        return self._by_request_id.get(request_id)


@dataclass(slots=True)
class SubCall:
    """A request that the upstream made for a call that it is running.

    Attributes:
        outcome: How it ended; None until then, and if it was cancelled.
    """

    outcome: Outcome | None = None

    @property
    def has_failed(self) -> bool:
        """Whether it has no answer, or one that reports an error."""
        outcome = self.outcome
        return not isinstance(outcome, Answered) or outcome.status >= _MIN_ERROR_STATUS


@contextmanager
def track_sub_call(
    executions: ExecutionRegistry, parent_id: RequestId
) -> Iterator[SubCall]:
    """Tells a running call that it waits for a sub-call, and how that ended.

    Args:
        executions: The running calls.
        parent_id: Request id of the call that the sub-call is made for.
    """
    sub_call = SubCall()
    execution = executions.find_by_request_id(parent_id)
    if execution is None:
        yield sub_call
        return
    execution.begin_sub_call(trio.current_time())
    try:
        yield sub_call
    finally:
        execution.end_sub_call(trio.current_time())
        if sub_call.has_failed:
            execution.has_failed_sub_call = True
