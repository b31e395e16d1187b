"""Client sockets of the control protocol, one per peer, closed when idle."""

import pynng
import trio

IDLE_LIFETIME_S = 90.0
"""Idle time after which a socket is closed, as its peer may no longer exist."""

MAX_MESSAGE_BYTES = 8_388_608

_MIN_RECONNECT_MS = 50
_MAX_RECONNECT_MS = 2_000


class _PeerSocket:
    """A client socket for one peer.

    Attributes:
        epoch: The peer's epoch from its last response; empty before the first.
        pending_requests: Number of requests that wait for their response.
        last_used_at: Time on trio's clock at which the last request ended.
    """

    def __init__(self, target: str) -> None:
        # pynng doubles the maximum delay after each failed connection attempt and draws
        # the delay at random from the whole range.
        self.socket = pynng.Req0(
            resend_time=-1,
            reconnect_time_min=_MIN_RECONNECT_MS,
            reconnect_time_max=_MAX_RECONNECT_MS,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self.socket.dial(f"tcp://{target}", block=False)
        self.epoch = b""
        self.pending_requests = 0
        self.last_used_at = trio.current_time()


class PeerSockets:
    """Client sockets by the control address that a peer advertises.

    Args:
        translate: Addresses to connect to, by advertised address, where they differ.
    """

    def __init__(self, translate: dict[str, str]) -> None:
        self._translate = translate
        self._sockets_by_address: dict[str, _PeerSocket] = {}
        self._last_sweep_at = 0.0

    def __len__(self) -> int:
        return len(self._sockets_by_address)

    def get_epoch(self, address: str) -> bytes:
        """Returns the last known epoch of a peer; empty if none is known."""
        peer_socket = self._sockets_by_address.get(address)
        return peer_socket.epoch if peer_socket is not None else b""

    def set_epoch(self, address: str, epoch: bytes) -> None:
        """Stores the epoch that a peer's response carried."""
        peer_socket = self._sockets_by_address.get(address)
        if peer_socket is not None:
            peer_socket.epoch = epoch

    async def exchange(self, address: str, content: bytes) -> bytes:
        """Sends an encoded request and returns the encoded response.

        Raises:
            pynng.NNGException: If the connection broke.
        """
        self._close_idle()
        peer_socket = self._sockets_by_address.get(address)
        if peer_socket is None:
            peer_socket = _PeerSocket(self._translate.get(address, address))
            self._sockets_by_address[address] = peer_socket
        peer_socket.pending_requests += 1
        context = peer_socket.socket.new_context()
        try:
            await context.asend(content)
            return bytes(await context.arecv())
        finally:
            context.close()
            peer_socket.pending_requests -= 1
            peer_socket.last_used_at = trio.current_time()

    def _close_idle(self) -> None:
        now = trio.current_time()
        if now - self._last_sweep_at < IDLE_LIFETIME_S / 3:
            return
        self._last_sweep_at = now
        for address, peer_socket in list(self._sockets_by_address.items()):
            if (
                not peer_socket.pending_requests
                and now - peer_socket.last_used_at > IDLE_LIFETIME_S
            ):
                peer_socket.socket.close()
                del self._sockets_by_address[address]

    def close(self) -> None:
        """Closes all sockets."""
        for peer_socket in self._sockets_by_address.values():
            peer_socket.socket.close()
        self._sockets_by_address.clear()
