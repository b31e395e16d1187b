"""Calls that are running in the upstream, by execution token."""

import secrets
from collections.abc import Iterator
from contextlib import contextmanager

from mangospoke.calls import Call
from mangospoke.ids import ExecutionToken

_TOKEN_BYTES = 16


class ExecutionRegistry:
    """Running calls by the execution token that the upstream sends with sub-calls."""

    def __init__(self) -> None:
        self._calls_by_token: dict[ExecutionToken, Call] = {}

    def __len__(self) -> int:
        return len(self._calls_by_token)

    @contextmanager
    def register(self, call: Call) -> Iterator[ExecutionToken]:
        """Creates a token that identifies a call while it runs."""
        token = ExecutionToken(secrets.token_hex(_TOKEN_BYTES))
        self._calls_by_token[token] = call
        try:
            yield token
        finally:
            del self._calls_by_token[token]

    def find(self, token: ExecutionToken) -> Call | None:
        """Returns the call that a token identifies, or None once it has ended."""
        return self._calls_by_token.get(token)
