"""Tests of the control protocol over peer connections."""

import pytest
import trio

from mangospoke.conf.settings import Limits
from mangospoke.control.interface import ControlError
from mangospoke.control.messages import (
    GetConfiguration,
    GetConfigurationResponse,
    Probe,
)
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.server import ConnectionContext
from mangospoke.idle import WorkCounter
from mangospoke.peers.client import PeerConnectionPool
from mangospoke.peers.control import PeerControlChannel
from mangospoke.peers.handshake import Identity
from mangospoke.peers.messages import Load
from mangospoke.peers.server import serve_peer
from mangospoke.streams import Stream


def ignore(*arguments):
    """Discards load and transit observations."""


def make_pool(secret="s"):
    return PeerConnectionPool(Identity("me", "a", 1, secret), {}, ignore, ignore)


async def respond(request):
    return GetConfigurationResponse(request.version + 1, 5.0, b"content")


async def fail(request):
    raise RuntimeError("a fault of the handler")


@pytest.fixture
async def peer(nursery):
    """The server side of a control channel, and its address."""
    control = PeerControlChannel(make_pool())
    control.handlers_by_type[GetConfiguration] = respond
    identity = Identity("peer", "a", 1, "s")
    context = ConnectionContext(Limits(), WorkCounter(), HangUpMonitor())

    async def serve(stream):
        await serve_peer(
            Stream(stream.socket),
            identity,
            ignore,
            lambda route: Load(0, 0, 1, 0.0),
            context,
            control.respond,
        )

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    ip, port = listeners[0].socket.getsockname()
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    return control, f"{ip}:{port}"


async def test_a_peer_responds_to_several_requests(peer):
    _, address = peer
    client = PeerControlChannel(make_pool())
    for version in range(3):
        request = GetConfiguration(version)
        response = await client.send_request(
            address, request, GetConfigurationResponse, 2.0
        )
        assert response == GetConfigurationResponse(version + 1, 5.0, b"content")


async def test_an_error_of_a_handler_is_reported_and_affects_no_other_request(peer):
    control, address = peer
    control.handlers_by_type[GetConfiguration] = fail
    client = PeerControlChannel(make_pool())
    with pytest.raises(ControlError, match="a fault of the handler"):
        await client.send_request(
            address, GetConfiguration(1), GetConfigurationResponse, 2.0
        )
    control.handlers_by_type[GetConfiguration] = respond
    assert await client.send_request(
        address, GetConfiguration(1), GetConfigurationResponse, 2.0
    )


async def test_a_message_without_a_handler_is_rejected(peer):
    _, address = peer
    with pytest.raises(ControlError, match="rejected"):
        await PeerControlChannel(make_pool()).send_request(
            address, Probe(), GetConfigurationResponse, 2.0
        )


async def test_a_peer_without_the_secret_gets_no_response(peer):
    _, address = peer
    untrusted_client = PeerControlChannel(make_pool("other"))
    with pytest.raises(ControlError):
        await untrusted_client.send_request(
            address, GetConfiguration(1), GetConfigurationResponse, 2.0
        )


async def test_a_request_to_a_silent_peer_times_out(nursery):
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    ip, port = listeners[0].socket.getsockname()
    with pytest.raises(ControlError):
        await PeerControlChannel(make_pool()).send_request(
            f"{ip}:{port}", GetConfiguration(1), GetConfigurationResponse, 0.2
        )
    await listeners[0].aclose()
