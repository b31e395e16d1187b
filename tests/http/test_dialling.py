"""Tests of the HTTP client against an upstream that sends bytes from the test."""

import pytest
import trio
import trio.testing

from mangospoke.http.bodies import buffered_body
from mangospoke.http.client import (
    HttpConnection,
    ResponseMissingError,
    ResponseTruncatedError,
)
from mangospoke.streams import Stream

MAX_HEAD_BYTES = 8_192
BUFFERED_BYTES = 100_000
HOST_HEADER = [(b"host", b"x")]


def encode_response(body, request_id="mine"):
    head = f"HTTP/1.1 200 OK\r\nX-Id: {request_id}\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


def is_mine(response):
    return (b"x-id", b"mine") in response.headers


class ConnectionPair:
    """A client connection and the upstream's end of it."""

    def __init__(self, client_socket, upstream_socket):
        self.connection = HttpConnection(Stream(client_socket), MAX_HEAD_BYTES)
        self.upstream = trio.SocketStream(upstream_socket)

    async def exchange(self, body=b"", method=b"GET"):
        with trio.fail_after(5):
            return await self.connection.exchange(
                method, b"/", HOST_HEADER, buffered_body(body), BUFFERED_BYTES, is_mine
            )


@pytest.fixture
async def pair():
    client_socket, upstream_socket = trio.socket.socketpair()
    connection_pair = ConnectionPair(client_socket, upstream_socket)
    yield connection_pair
    await connection_pair.connection.aclose()
    await connection_pair.upstream.aclose()


async def test_a_late_response_to_an_earlier_request_is_discarded(pair):
    late = encode_response(b"late", "other")
    await pair.upstream.send_all(late + late + encode_response(b"own"))
    response = await pair.exchange()
    assert response.body.content == b"own"
    assert pair.connection.is_reusable()


async def test_a_second_response_makes_the_connection_unusable(pair):
    await pair.upstream.send_all(
        encode_response(b"own") + encode_response(b"extra", "x")
    )
    response = await pair.exchange()
    assert response.body.content == b"own"
    assert not pair.connection.is_reusable()


async def test_a_response_without_length_ends_with_its_connection(pair):
    await pair.upstream.send_all(b"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nall of it")
    await pair.upstream.send_eof()
    response = await pair.exchange()
    assert response.body.content == b"all of it"
    assert not pair.connection.is_reusable()


async def test_a_response_without_length_is_truncated_by_a_reset():
    listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
    client_stream = await trio.open_tcp_stream(*listener.socket.getsockname())
    upstream = await listener.accept()
    connection = HttpConnection(Stream(client_stream.socket), MAX_HEAD_BYTES)

    async def reset_connection():
        await upstream.send_all(b"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\na part of it")
        await trio.sleep(0.05)
        # Closing a socket with unread input, the request, resets the connection.
        upstream.socket.close()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(reset_connection)
        with pytest.raises(ResponseTruncatedError), trio.fail_after(5):
            await connection.exchange(
                b"GET", b"/", HOST_HEADER, buffered_body(b""), BUFFERED_BYTES, is_mine
            )
    await listener.aclose()


async def test_an_early_response_to_a_long_body_is_read_and_ends_the_connection(pair):
    await pair.upstream.send_all(encode_response(b"too long"))
    response = await pair.exchange(b"x" * 5_000_000, b"POST")
    assert response.body.content == b"too long"
    assert not pair.connection.is_reusable()


async def test_the_connection_is_reusable_after_a_long_body_was_read(pair):
    body = b"x" * 500_000

    async def serve():
        received = b""
        while not received.endswith(body):
            received += await pair.upstream.receive_some()
        await pair.upstream.send_all(encode_response(b"taken"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        response = await pair.exchange(body, b"POST")
    assert response.body.content == b"taken"
    assert pair.connection.is_reusable()


async def test_a_connection_that_ends_before_the_response_raises(pair):
    await pair.upstream.aclose()
    with pytest.raises(ResponseMissingError):
        await pair.exchange()


async def test_a_late_response_that_comes_alone_does_not_end_the_exchange(pair):
    async def respond():
        await pair.upstream.send_all(encode_response(b"late", "other"))
        await trio.testing.wait_all_tasks_blocked()
        await pair.upstream.send_all(encode_response(b"own"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(respond)
        response = await pair.exchange()
    assert response.body.content == b"own"
    assert pair.connection.is_reusable()
