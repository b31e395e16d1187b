"""Calls that a stand-in upstream makes for a request, through its daemon."""

import random
from collections.abc import Sequence

import trio

from mangospoke.client.connections import ConnectionPool, ExchangeError
from mangospoke.http.fields import EXECUTION, REQUEST_ID
from mangospoke.standin.http import Request
from mangospoke.standin.upstream_settings import SubCall


async def make_sub_calls(
    pool: ConnectionPool,
    local_listener: str,
    timeout_seconds: float,
    calls: Sequence[SubCall],
    request: Request,
    number: int,
    source: random.Random,
) -> bool:
    """Makes all sub-calls of a request, one group after the other.

    Args:
        pool: Connections to the daemon.
        local_listener: The daemon's address for this host's upstream.
        timeout_seconds: Seconds after which a sub-call is given up.
        calls: The groups of calls.
        request: The request that they are made for.
        number: Number of its execution.
        source: Decides on calls with a probability.

    Returns:
        Whether every call that isn't optional succeeded.
    """
    headers = [
        (name, value)
        for name, value in request.headers
        if name in (EXECUTION, REQUEST_ID)
    ]
    for call in calls:
        if source.random() >= call.probability:
            continue
        target = _fill_in(call.path, request, number)
        succeeded = await _make_group(
            pool, local_listener, timeout_seconds, call, target, headers
        )
        if not succeeded and not call.optional:
            return False
    return True


async def _make_group(
    pool: ConnectionPool,
    local_listener: str,
    timeout_seconds: float,
    call: SubCall,
    target: str,
    headers: Sequence[tuple[bytes, bytes]],
) -> bool:
    statuses: list[int] = []

    async def make_one() -> None:
        body = b"x" * call.body_bytes
        try:
            with trio.fail_after(timeout_seconds):
                answer = await pool.exchange(
                    local_listener, call.method, target, headers, body
                )
        except (ExchangeError, trio.TooSlowError):
            return
        statuses.append(answer.status)

    if call.count == 1:
        await make_one()
    else:
        async with trio.open_nursery() as nursery:
            for _ in range(call.count):
                nursery.start_soon(make_one)
    return len(statuses) == call.count and all(status < 300 for status in statuses)


def _fill_in(path: str, request: Request, number: int) -> str:
    last_segment = request.path.rstrip("/").rpartition("/")[2]
    filled = path.replace("{id}", last_segment).replace("{number}", str(number))
    return filled.replace("{call}", request.query.get("call", ""))
