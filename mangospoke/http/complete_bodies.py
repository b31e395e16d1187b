"""Streamed bodies that are read into memory before their response is sent."""

from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from dataclasses import replace

from loguru import logger

from mangospoke.http import fields
from mangospoke.http.bodies import (
    Body,
    IncompleteBodyError,
    buffered_body,
    streamed_body,
    until_deadline,
)
from mangospoke.http.messages import HttpResponse
from mangospoke.ids import RequestId
from mangospoke.verdicts import FailureReason, Verdict

MAX_HELD_BODY_BYTES = 1_048_576
"""Size up to which a streamed body is read into memory."""

_MAX_HELD_BODIES = 32
"""Bodies of a daemon that are held in memory at the same time."""


class HeldBodyBudget:
    """Bounds the bodies that are held in memory until their turn to be sent.

    Args:
        max_bodies: Maximum number of such bodies.
    """

    def __init__(self, max_bodies: int = _MAX_HELD_BODIES) -> None:
        self._free = max_bodies

    @contextmanager
    def reserve(self) -> Iterator[bool]:
        """Yields whether a body may be held until the end of the block."""
        is_reserved = self._free > 0
        self._free -= is_reserved
        try:
            yield is_reserved
        finally:
            self._free += is_reserved


async def with_complete_body(
    response: HttpResponse, request_id: RequestId | None
) -> HttpResponse:
    """Returns a response with its body read into memory; an error if it breaks off.

    A body that is too large for that stays streamed.

    Args:
        response: The response.
        request_id: Id of its request for the log, if known.
    """
    body = response.body
    if body.length is not None and body.length > MAX_HELD_BODY_BYTES:
        return response
    held: list[bytes] = []
    size = 0
    chunks = body.chunks()
    try:
        with until_deadline(body):
            async for chunk in chunks:
                held.append(chunk)
                size += len(chunk)
                if size > MAX_HELD_BODY_BYTES:
                    return replace(response, body=_resume(body, held, chunks))
    except IncompleteBodyError as error:
        return broken_body_response(str(error), request_id)
    if body.length is not None and size != body.length:
        detail = f"{size} of {body.length} bytes were received"
        return broken_body_response(detail, request_id)
    return replace(response, body=buffered_body(b"".join(held)))


def _resume(body: Body, held: list[bytes], rest: AsyncIterator[bytes]) -> Body:
    """Returns a streamed body of which the first chunks have been read already."""
    return streamed_body(
        _chain(held, rest), body.length, body.aclose, deadline=body.deadline
    )


async def _chain(
    held: list[bytes], chunks: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    for chunk in held:
        yield chunk
    async for chunk in chunks:
        yield chunk


def broken_body_response(detail: str, request_id: RequestId | None) -> HttpResponse:
    """Returns the response in place of one whose body broke off before it was sent."""
    logger.bind(event="response_broken", request_id=request_id).warning(
        "a response broke off before it was sent; the caller gets a 502: {}", detail
    )
    reason = FailureReason.TRUNCATED_ANSWER.value.encode()
    headers = [
        (b"content-type", b"text/plain"),
        (fields.VERDICT, Verdict.RAN.value.encode()),
        (fields.REASON, reason),
    ]
    return HttpResponse(502, headers, buffered_body(reason + b"\n"))
