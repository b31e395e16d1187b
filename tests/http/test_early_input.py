"""Bytes that precede a request, and the response of a server that is fast."""

import trio

from mangospoke.http.bodies import buffered_body
from mangospoke.http.client import HttpConnection
from mangospoke.streams import Stream

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class FastServerStream(Stream):
    """A connection whose server has responded when the write returns."""

    def __init__(self, sock, server):
        super().__init__(sock)
        self._server = server

    def try_send(self, content):
        is_sent = super().try_send(content)
        self._server.send(RESPONSE)
        return is_sent


async def exchange(connection):
    response = await connection.exchange(
        b"GET", b"/", [(b"host", b"x")], buffered_body(b""), 1_000
    )
    connection.is_reusable()
    return response


async def open_pair():
    ours, theirs = trio.socket.socketpair()
    server = theirs._sock
    return HttpConnection(FastServerStream(ours, server), 16_384), server


async def test_the_response_of_a_fast_server_is_not_taken_for_an_earlier_one():
    connection, _ = await open_pair()
    for _ in range(3):
        response = await exchange(connection)
        assert response.body.content == b"ok"
        assert not connection.had_input_before


async def test_bytes_that_precede_a_request_are_noticed():
    connection, server = await open_pair()
    await exchange(connection)
    server.send(RESPONSE)
    await exchange(connection)
    assert connection.had_input_before
    assert connection.had_early_input
