"""Mutual authentication with the fleet secret at the start of each peer connection.

Each side sends a new nonce and a MAC of both nonces. So a host without the secret
learns nothing from a connection, and a recorded proof can't be replayed.
"""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

import trio

from mangospoke.ids import FailureDomainId, HostId, Incarnation
from mangospoke.peers.framing import FrameStream, PeerProtocolError, expect
from mangospoke.peers.messages import Challenge, Proof, Welcome

_NONCE_BYTES = 16
_DIALER_ROLE = b"dialler"
_ACCEPTOR_ROLE = b"acceptor"
HANDSHAKE_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this daemon, and the secrets for authentication with its peers.

    Attributes:
        secret: The current fleet secret.
        previous_secrets: Secrets that are still accepted during a rotation.
    """

    host_id: HostId
    failure_domain: FailureDomainId
    incarnation: Incarnation
    secret: str
    previous_secrets: tuple[str, ...] = ()

    @property
    def accepted_secrets(self) -> tuple[str, ...]:
        """All secrets that a peer may use, the current one first."""
        return (self.secret, *self.previous_secrets)


class UntrustedPeerError(PeerProtocolError):
    """The peer's proof doesn't match any accepted secret."""


def _compute_mac(
    secret: str, role: bytes, host_id: str, verifier_nonce: bytes, prover_nonce: bytes
) -> bytes:
    message = b"|".join((role, host_id.encode(), verifier_nonce, prover_nonce))
    return hmac.digest(secret.encode(), message, hashlib.sha256)


def _find_matching_secret(
    identity: Identity, mac: bytes, role: bytes, host_id: str, *nonces: bytes
) -> str:
    for secret in identity.accepted_secrets:
        if hmac.compare_digest(_compute_mac(secret, role, host_id, *nonces), mac):
            return secret
    raise UntrustedPeerError(f"{host_id!r} has no fleet secret")


async def accept_handshake(frames: FrameStream, identity: Identity) -> HostId:
    """Authenticates an accepted connection in both directions.

    Returns:
        The peer's host id.

    Raises:
        PeerUnavailableError: If the peer closed the connection.
        PeerProtocolError: If the peer can't be authenticated.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    await frames.send(Challenge(nonce))
    proof = await frames.receive()
    expect(proof, Proof)
    assert isinstance(proof, Proof)
    secret = _find_matching_secret(
        identity, proof.mac, _DIALER_ROLE, proof.host_id, nonce, proof.nonce
    )
    # The response uses the same secret as the peer, so that hosts with the old and the
    # new secret can connect to each other during a rotation.
    mac = _compute_mac(secret, _ACCEPTOR_ROLE, identity.host_id, proof.nonce, nonce)
    await frames.send(Welcome(identity.host_id, identity.incarnation, mac))
    return proof.host_id


async def dial_handshake(
    frames: FrameStream, identity: Identity, secret: str
) -> tuple[HostId, float]:
    """Authenticates an outgoing connection in both directions.

    Args:
        frames: The connection.
        identity: Identity of this daemon.
        secret: The secret for the proof.

    Returns:
        The peer's host id, and the round-trip time in seconds.

    Raises:
        PeerUnavailableError: If the peer closed the connection, as it does after an
            invalid proof.
        PeerProtocolError: If the peer can't be authenticated.
    """
    challenge = await frames.receive()
    expect(challenge, Challenge)
    assert isinstance(challenge, Challenge)
    nonce = secrets.token_bytes(_NONCE_BYTES)
    mac = _compute_mac(secret, _DIALER_ROLE, identity.host_id, challenge.nonce, nonce)
    sent_at = trio.current_time()
    await frames.send(Proof(identity.host_id, identity.failure_domain, nonce, mac))
    welcome = await frames.receive()
    expect(welcome, Welcome)
    assert isinstance(welcome, Welcome)
    _find_matching_secret(
        identity, welcome.mac, _ACCEPTOR_ROLE, welcome.host_id, nonce, challenge.nonce
    )
    return welcome.host_id, trio.current_time() - sent_at
