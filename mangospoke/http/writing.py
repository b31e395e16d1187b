"""Writes responses to a caller's connection."""

import h11

from mangospoke.http import fields
from mangospoke.http.bodies import Body, IncompleteBodyError, until_deadline
from mangospoke.http.messages import HttpResponse
from mangospoke.http.reading import (
    BODY_TOO_LARGE_STATUS,
    HEAD_TOO_LARGE_STATUS,
    OVERLOADED_STATUS,
    BadRequestError,
    RequestCycle,
)
from mangospoke.verdicts import Verdict

_VERSION_WITHOUT_CHUNKS = b"1.0"
"""HTTP version in which a body of unknown length ends with its connection."""


async def write_response(
    cycle: RequestCycle, response: HttpResponse, method: bytes
) -> None:
    """Writes a response; a streamed body that ends early is left incomplete.

    Args:
        cycle: The cycle in which the request was read.
        response: The response.
        method: The request method.

    Raises:
        CallerDisconnectedError: If the caller doesn't read the response in time.
    """
    http = cycle.http
    headers = _framed_headers(response, method)
    if response.closes_connection or http.their_state is not h11.DONE:
        # After a partly read request body, no further request can be read.
        headers.append((b"connection", b"close"))
    head = http.send(h11.Response(status_code=response.status, headers=headers))
    assert head is not None
    content = response.body.content
    if content is not None:
        parts = [head]
        if content and method != b"HEAD":
            parts.append(http.send(h11.Data(data=content)) or b"")
        parts.append(http.send(h11.EndOfMessage()) or b"")
        await cycle.send(b"".join(parts))
        return
    await cycle.send(head)
    await _write_streamed_body(cycle, response.body)


async def _write_streamed_body(cycle: RequestCycle, body: Body) -> None:
    http = cycle.http
    try:
        with until_deadline(body):
            async for chunk in body.chunks():
                await cycle.send(http.send(h11.Data(data=chunk)) or b"")
            await cycle.send(http.send(h11.EndOfMessage()) or b"")
    except (IncompleteBodyError, h11.LocalProtocolError):
        # The missing end tells the caller that the body is incomplete.
        http.send_failed()
        if body.length is None and http.their_http_version == _VERSION_WITHOUT_CHUNKS:
            cycle.stream.reset_on_close()


def _framed_headers(response: HttpResponse, method: bytes) -> list[tuple[bytes, bytes]]:
    headers = [
        (name, value)
        for name, value in response.headers
        if name not in (b"content-length", b"transfer-encoding", b"connection")
    ]
    if response.body.length is not None:
        headers.append((b"content-length", b"%d" % response.body.length))
    elif method != b"HEAD":
        headers.append((b"transfer-encoding", b"chunked"))
    return headers


async def write_error_response(cycle: RequestCycle, error: BadRequestError) -> None:
    """Writes an error response, unless a response has already been started."""
    if cycle.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    detail = f"{error}\n".encode()
    headers = [
        (b"content-type", b"text/plain"),
        (b"content-length", b"%d" % len(detail)),
        (fields.VERDICT, Verdict.NOT_RUN.value.encode()),
        (fields.REASON, _reason_for_status(error.status)),
        (b"connection", b"close"),
    ]
    head = h11.Response(status_code=error.status, headers=headers)
    parts = [cycle.http.send(head) or b""]
    parts.append(cycle.http.send(h11.Data(data=detail)) or b"")
    parts.append(cycle.http.send(h11.EndOfMessage()) or b"")
    await cycle.send(b"".join(parts))


def _reason_for_status(status: int) -> bytes:
    if status == HEAD_TOO_LARGE_STATUS:
        return b"head-too-large"
    if status == BODY_TOO_LARGE_STATUS:
        return b"body-too-large"
    if status == OVERLOADED_STATUS:
        return b"memory-low"
    return b"bad-request"
