"""Messages of peers that can't be decoded, and addresses that can't be dialled.

Failure: both raised errors that no reader or sender expects; a service failed and was
restarted for ever, and callers got a 500.
"""

import msgspec
import pytest
import trio
from odd_content import DEPTH, ODD_ADDRESSES

from mangospoke.addresses import InvalidAddressError, split_address
from mangospoke.control.interface import handle_request, message_union
from mangospoke.control.messages import Rejected
from mangospoke.decoding import decode_json, decode_msgpack, decode_with
from mangospoke.http.client import ConnectError, open_connection
from mangospoke.ids import HostId, Incarnation
from mangospoke.peers.client import PeerConnectionPool
from mangospoke.peers.framing import (
    FrameStream,
    PeerProtocolError,
    PeerUnavailableError,
)
from mangospoke.peers.handshake import Identity
from mangospoke.rates.messages import ClaimParts
from mangospoke.streams import Stream

NESTED = b"\x91" * DEPTH + b"\x01"


async def test_a_nested_frame_is_a_protocol_error():
    ours, theirs = trio.socket.socketpair()
    frames = FrameStream(Stream(ours))
    await theirs.send(len(NESTED).to_bytes(4, "big") + NESTED)
    with pytest.raises(PeerProtocolError):
        await frames.receive()
    await frames.aclose()


async def test_a_nested_control_message_is_rejected():
    handlers = {ClaimParts: None}
    decoder = msgspec.msgpack.Decoder(message_union(handlers))
    assert isinstance(await handle_request(handlers, decoder, NESTED), Rejected)


@pytest.mark.parametrize(
    "decode",
    [
        lambda: decode_json(b"[" * DEPTH, list),
        lambda: decode_msgpack(NESTED, list),
        lambda: decode_with(msgspec.msgpack.Decoder(), NESTED),
        lambda: decode_with(msgspec.json.Decoder(), b"[" * DEPTH),
    ],
    ids=["json", "msgpack", "msgpack decoder", "json decoder"],
)
def test_nested_content_is_undecodable(decode):
    with pytest.raises(msgspec.DecodeError):
        decode()


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda a: repr(a[:20]))
async def test_an_odd_address_is_one_where_nobody_is_reached(address):
    with pytest.raises(InvalidAddressError):
        split_address(address)
    with pytest.raises(ConnectError):
        await open_connection(address, 1_000, 1.0)
    identity = Identity(HostId("h1"), "a", Incarnation(1), "secret")
    pool = PeerConnectionPool(identity, {}, None, None, 1_000)
    with pytest.raises(PeerUnavailableError):
        await pool.send_control_request(address, b"")
    assert not await pool.can_connect(address)
