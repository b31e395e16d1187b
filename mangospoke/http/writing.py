"""Writing of answers to a caller's connection."""

import h11

from mangospoke.http import fields
from mangospoke.http.bodies import Body, BodyBrokenError
from mangospoke.http.messages import HttpAnswer
from mangospoke.http.reading import (
    BODY_TOO_LARGE_STATUS,
    HEAD_TOO_LARGE_STATUS,
    BadRequestError,
    CallerConnection,
)
from mangospoke.verdicts import Verdict


async def write_answer(
    connection: CallerConnection, answer: HttpAnswer, method: bytes
) -> None:
    """Writes an answer; a streamed body that breaks is left without its end.

    Args:
        connection: The connection on which the request was read.
        answer: The answer.
        method: The request's method.

    Raises:
        CallerGoneError: If the caller takes nothing for too long.
    """
    http = connection.http
    headers = _framing(answer, method)
    if answer.closes or http.their_state is not h11.DONE:
        # The rest of the request's body is unread, so the connection ends here.
        headers.append((b"connection", b"close"))
    head = http.send(h11.Response(status_code=answer.status, headers=headers))
    assert head is not None
    content = answer.body.content
    if content is not None:
        parts = [head]
        if content and method != b"HEAD":
            parts.append(http.send(h11.Data(data=content)) or b"")
        parts.append(http.send(h11.EndOfMessage()) or b"")
        await connection.send(b"".join(parts))
        return
    await connection.send(head)
    await _write_stream(connection, answer.body)


async def _write_stream(connection: CallerConnection, body: Body) -> None:
    http = connection.http
    try:
        async for chunk in body.chunks():
            await connection.send(http.send(h11.Data(data=chunk)) or b"")
        await connection.send(http.send(h11.EndOfMessage()) or b"")
    except (BodyBrokenError, h11.LocalProtocolError):
        # Without its end the caller can't take the body for whole.
        http.send_failed()


def _framing(answer: HttpAnswer, method: bytes) -> list[tuple[bytes, bytes]]:
    headers = [
        (name, value)
        for name, value in answer.headers
        if name not in (b"content-length", b"transfer-encoding", b"connection")
    ]
    if answer.body.length is not None:
        headers.append((b"content-length", b"%d" % answer.body.length))
    elif method != b"HEAD":
        headers.append((b"transfer-encoding", b"chunked"))
    return headers


async def answer_bad_request(
    connection: CallerConnection, error: BadRequestError
) -> None:
    """Says what was wrong with a request, if an answer may still be written."""
    if connection.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    detail = f"{error}\n".encode()
    headers = [
        (b"content-type", b"text/plain"),
        (b"content-length", b"%d" % len(detail)),
        (fields.VERDICT, Verdict.NOT_RUN.value.encode()),
        (fields.REASON, _reason(error.status)),
        (b"connection", b"close"),
    ]
    response = h11.Response(status_code=error.status, headers=headers)
    parts = [connection.http.send(response) or b""]
    parts.append(connection.http.send(h11.Data(data=detail)) or b"")
    parts.append(connection.http.send(h11.EndOfMessage()) or b"")
    await connection.send(b"".join(parts))


def _reason(status: int) -> bytes:
    if status == HEAD_TOO_LARGE_STATUS:
        return b"head-too-large"
    if status == BODY_TOO_LARGE_STATUS:
        return b"body-too-large"
    return b"bad-request"
