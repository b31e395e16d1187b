"""A caller's end: calls that carry a key, a deadline and an idempotency key."""

import random
from collections.abc import Sequence
from dataclasses import replace
from types import TracebackType

import trio

from mangospoke.client.connections import ConnectionPool, ExchangeError
from mangospoke.client.outcomes import (
    CONNECTION_LOST,
    DEADLINE_PASSED,
    UNREACHABLE,
    CallOutcome,
    outcome_of_answer,
    outcome_without_answer,
)
from mangospoke.client.retrying import RetryPolicy, may_send_again, wait_seconds
from mangospoke.http.fields import AUTHORIZATION, DEADLINE, IDEMPOTENCY_KEY
from mangospoke.uuids import new_uuid7
from mangospoke.verdicts import Verdict

DEFAULT_DEADLINE_SECONDS = 5.0

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
_ANSWER_MARGIN_SECONDS = 0.02
"""Kept back from the deadline that is sent, so that the last answer still arrives."""


class Client:
    """A client account's caller; a context manager that owns its connections."""

    def __init__(
        self,
        addresses: Sequence[str],
        key: str,
        policy: RetryPolicy,
        source: random.Random,
    ) -> None:
        self._addresses = tuple(addresses)
        self._authorization = (AUTHORIZATION, f"Bearer {key}".encode())
        self._policy = policy
        self._random = source
        self._pool = ConnectionPool()
        self._next = source.randrange(len(self._addresses))

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Sequence[tuple[bytes, bytes]] = (),
        *,
        deadline_seconds: float = DEFAULT_DEADLINE_SECONDS,
        idempotent: bool | None = None,
        idempotency_key: str | None = None,
    ) -> CallOutcome:
        """Makes a call, sending it again where that is safe and may help.

        Each attempt goes to the next daemon. All attempts of a non-idempotent
        request carry the same idempotency key.

        Args:
            method: The HTTP method.
            target: Path and query.
            body: The whole body.
            headers: Further header fields; names in lower case.
            deadline_seconds: Seconds for the whole call, waits included.
            idempotent: Whether running it twice is harmless; by default what the
                method says.
            idempotency_key: Key to continue an earlier call with; a fresh one by
                default.
        """
        if idempotent is None:
            idempotent = method in _IDEMPOTENT_METHODS
        key = idempotency_key or ("" if idempotent else new_uuid7())
        own_headers = [self._authorization, *headers]
        if key:
            own_headers.append((IDEMPOTENCY_KEY, key.encode()))
        deadline = trio.current_time() + deadline_seconds
        attempts = 0
        outcome: CallOutcome | None = None
        while True:
            attempts += 1
            attempt = await self._attempt(method, target, own_headers, body, deadline)
            outcome = attempt.after(outcome)
            if attempts >= self._policy.attempts:
                break
            if not may_send_again(outcome, idempotent):
                break
            wait = wait_seconds(self._policy, attempts, outcome, self._random)
            if trio.current_time() + wait >= deadline:
                break
            await trio.sleep(wait)
        return replace(outcome, attempts=attempts, idempotency_key=key)

    async def _attempt(
        self,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        deadline: float,
    ) -> CallOutcome:
        remaining = deadline - trio.current_time() - _ANSWER_MARGIN_SECONDS
        remaining_ms = max(1, int(remaining * 1000))
        all_headers = [*headers, (DEADLINE, b"%d" % remaining_ms)]
        address = self._next_address()
        try:
            with trio.fail_at(deadline):
                answer = await self._pool.exchange(
                    address, method, target, all_headers, body
                )
        except trio.TooSlowError:
            return outcome_without_answer(DEADLINE_PASSED, Verdict.MAY_HAVE_RUN)
        except ExchangeError as error:
            if error.sent:
                return outcome_without_answer(CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
            return outcome_without_answer(UNREACHABLE, Verdict.NOT_RUN)
        return outcome_of_answer(answer)

    def _next_address(self) -> str:
        address = self._addresses[self._next]
        self._next = (self._next + 1) % len(self._addresses)
        return address

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._pool.aclose()


def open_client(
    addresses: Sequence[str],
    key: str,
    policy: RetryPolicy | None = None,
    seed: int | None = None,
) -> Client:
    """Makes a client; use it as a context manager.

    Args:
        addresses: Public addresses of daemons, `IP:port`; attempts take turns.
        key: The client account's key, `KEY_ID.SECRET`.
        policy: How to send again.
        seed: Makes waits repeatable; for tests.
    """
    return Client(addresses, key, policy or RetryPolicy(), random.Random(seed))
