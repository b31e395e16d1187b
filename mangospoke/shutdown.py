"""State of a daemon's graceful shutdown, and the interruption of calls at its end."""

import enum
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager

import trio

from mangospoke.calls import Call
from mangospoke.cancellation import NOT_SHUTTING_DOWN, ShutdownStatus
from mangospoke.verdicts import (
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Unanswered,
)


class ShutdownPhase(enum.Enum):
    """How a daemon treats requests.

    `SERVING`: it isn't stopping. `DRAINING`: new requests are served, but callers are
    asked to connect to another host. `REFUSING`: new requests of callers are refused,
    accepted ones complete; calls of peers are refused by the guard. `INTERRUPTING`:
    accepted requests that still wait for a response are answered without it; calls of
    peers that an upstream is running go on until the daemon's end.
    """

    SERVING = "serving"
    DRAINING = "draining"
    REFUSING = "refusing"
    INTERRUPTING = "interrupting"


class Shutdown:
    """The phase of a daemon's shutdown, and the calls that its end interrupts.

    Attributes:
        phase: The current phase.
    """

    def __init__(self) -> None:
        self.phase = ShutdownPhase.SERVING
        self._started_at = 0.0
        self._calls_by_scope: dict[trio.CancelScope, Call] = {}
        self._peer_calls_by_scope: dict[trio.CancelScope, Call] = {}

    @property
    def is_draining(self) -> bool:
        """Whether the shutdown has begun."""
        return self.phase is not ShutdownPhase.SERVING

    @property
    def refuses_requests(self) -> bool:
        """Whether new requests are refused."""
        return self.phase in (ShutdownPhase.REFUSING, ShutdownPhase.INTERRUPTING)

    def status(self) -> ShutdownStatus:
        """Returns the phase and the time since the shutdown began, for the log."""
        if not self.is_draining:
            return NOT_SHUTTING_DOWN
        return ShutdownStatus(self.phase.value, trio.current_time() - self._started_at)

    def start(self) -> None:
        """Begins the shutdown: callers are asked to connect to another host."""
        self.phase = ShutdownPhase.DRAINING
        self._started_at = trio.current_time()

    def refuse_requests(self) -> None:
        """Refuses new requests from now on."""
        self.phase = ShutdownPhase.REFUSING

    def interrupt_calls(self) -> int:
        """Interrupts this host's calls in progress; returns how many.

        Calls of peers are interrupted too unless they may be running: their callers
        wait at a host that may have more time left than this one.
        """
        self.phase = ShutdownPhase.INTERRUPTING
        waiting = [
            scope
            for scope, call in self._peer_calls_by_scope.items()
            if not call.may_have_run
        ]
        return _cancel_all([*self._calls_by_scope, *waiting])

    def interrupt_peer_calls(self) -> int:
        """Interrupts the calls of peers that are left; returns how many."""
        return _cancel_all(list(self._peer_calls_by_scope))

    async def execute(
        self, call: Call, executor: Callable[[Call], Awaitable[Outcome]]
    ) -> Outcome:
        """Executes a call; its outcome is decided at once if it is interrupted.

        A call that arrives after the interruption isn't executed: an executor may send
        it before its first checkpoint, where a cancellation would take effect.
        """
        return await self._execute(call, executor, self._calls_by_scope)

    async def execute_for_peer(
        self, call: Call, executor: Callable[[Call], Awaitable[Outcome]]
    ) -> Outcome:
        """Executes a call that another daemon passed on; see `execute`."""
        return await self._execute(call, executor, self._peer_calls_by_scope)

    async def _execute(
        self,
        call: Call,
        executor: Callable[[Call], Awaitable[Outcome]],
        calls_by_scope: dict[trio.CancelScope, Call],
    ) -> Outcome:
        if self.phase is ShutdownPhase.INTERRUPTING:
            return _outcome_of_interrupted(call)
        outcome: Outcome | None = None
        with _interruptible(call, calls_by_scope):
            outcome = await executor(call)
        return _outcome_of_interrupted(call) if outcome is None else outcome


@contextmanager
def _interruptible(
    call: Call, calls_by_scope: dict[trio.CancelScope, Call]
) -> Iterator[None]:
    with trio.CancelScope() as scope:
        calls_by_scope[scope] = call
        try:
            yield
        finally:
            del calls_by_scope[scope]


def _cancel_all(scopes: Sequence[trio.CancelScope]) -> int:
    for scope in scopes:
        scope.cancel()
    return len(scopes)


def _outcome_of_interrupted(call: Call) -> Outcome:
    if call.may_have_run:
        detail = "the host stopped before the response arrived"
        return Unanswered(FailureReason.STOPPED, detail)
    return Refused(RefusalReason.DRAINING, "the host stopped before it was sent")
