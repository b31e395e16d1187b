"""Tests of the acceptor: what errors of `accept` do to connections that are open."""

import errno

import pytest
import trio
import trio.testing

from mangospoke.http import listener as listener_module
from mangospoke.http.listener import Acceptor, open_listener


class FailingAccept:
    """Accepts connections; fails with an error instead of the second result."""

    def __init__(self, error_number):
        self._accept = listener_module._accept_one
        self._error_number = error_number
        self._call_count = 0

    def __call__(self, listen_socket):
        self._call_count += 1
        if self._call_count == 2:
            raise OSError(self._error_number, "accept failed")
        return self._accept(listen_socket)


async def echo(stream):
    while received := await stream.receive_some():
        await stream.send_all(received)


async def connect(acceptor):
    port = acceptor._listener.socket.getsockname()[1]
    return await trio.open_tcp_stream("127.0.0.1", port)


@pytest.mark.parametrize(
    "error_number",
    [errno.EMFILE, errno.EPROTO, errno.EPERM, errno.EHOSTUNREACH],
    ids=errno.errorcode.get,
)
async def test_a_connection_that_cannot_be_accepted_does_not_end_the_others(
    monkeypatch, nursery, error_number
):
    monkeypatch.setattr(listener_module, "_accept_one", FailingAccept(error_number))
    acceptor = Acceptor(await open_listener("127.0.0.1:0"), echo, 10)
    nursery.start_soon(acceptor.serve)
    with trio.fail_after(5):
        first = await connect(acceptor)
        await first.send_all(b"1")
        assert await first.receive_some() == b"1"
        second = await connect(acceptor)
        await second.send_all(b"2")
        assert await second.receive_some() == b"2"
        await first.send_all(b"3")
        assert await first.receive_some() == b"3"
    nursery.cancel_scope.cancel()


async def test_an_unusable_listening_socket_is_not_retried_forever(monkeypatch):
    monkeypatch.setattr(listener_module, "_accept_one", FailingAccept(errno.EBADF))
    acceptor = Acceptor(await open_listener("127.0.0.1:0"), echo, 10)
    with pytest.RaisesGroup(OSError, flatten_subgroups=True), trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(acceptor.serve)
            await connect(acceptor)
            await connect(acceptor)
            await trio.sleep_forever()


class FailingQueue:
    """Accepts the connections that the kernel queued; the first one fails."""

    def __init__(self, error_number):
        self._accept = listener_module._accept_one
        self._error_number = error_number
        self._has_failed = False

    def __call__(self, listen_socket):
        if not self._has_failed:
            self._has_failed = True
            raise OSError(self._error_number, "accept failed")
        return self._accept(listen_socket)


@pytest.mark.parametrize(
    "error_number", [errno.EMFILE, errno.EPROTO], ids=errno.errorcode.get
)
async def test_an_accept_error_at_the_close_does_not_end_open_connections(
    monkeypatch, nursery, error_number
):
    acceptor = Acceptor(await open_listener("127.0.0.1:0"), echo, 10)
    nursery.start_soon(acceptor.serve)
    with trio.fail_after(5):
        first = await connect(acceptor)
        await first.send_all(b"1")
        assert await first.receive_some() == b"1"
        monkeypatch.setattr(listener_module, "_accept_one", FailingQueue(error_number))
        acceptor.stop_accepting()
        await trio.testing.wait_all_tasks_blocked()
        await first.send_all(b"2")
        assert await first.receive_some() == b"2"
    nursery.cancel_scope.cancel()
