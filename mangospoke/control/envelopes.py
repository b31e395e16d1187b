"""Envelopes that authenticate control messages and protect against replays.

A message carries one MAC for each secret that its sender knows, so that daemons with
the old and the new secret can communicate during a rotation. A request also carries an
*epoch* of its receiver, a random value that the receiver replaces every minute and
sends in each of its responses. Within an epoch each nonce is accepted once, so a
recorded request is never handled again. This does not depend on synchronized clocks.
"""

import hashlib
import hmac
import secrets

import trio
from msgspec import Struct

EPOCH_LIFETIME_S = 60.0
"""Age at which a receiver replaces its epoch; the previous one remains valid."""

_MAX_NONCES_PER_EPOCH = 65_536
"""Requests accepted in an epoch; one that is full is replaced early."""

_NONCE_BYTES = 12
_EPOCH_BYTES = 8
_MAC_BYTES = 16
UNKNOWN_EPOCH = b""
"""Epoch in a request whose sender doesn't know its receiver's epoch yet."""


class Envelope(Struct, frozen=True, array_like=True):
    """An encoded message with the data that authenticates it.

    Attributes:
        epoch: In a request, the receiver's epoch; in a response, the sender's.
        nonce: Chosen by the requester; the response carries the same.
        macs: One for each secret that the sender knows.
    """

    epoch: bytes
    nonce: bytes
    content: bytes
    macs: tuple[bytes, ...]


def new_nonce() -> bytes:
    """Returns a random nonce for a request."""
    return secrets.token_bytes(_NONCE_BYTES)


def _compute_mac(
    secret: str, direction: bytes, epoch: bytes, nonce: bytes, content: bytes
) -> bytes:
    # The length prefix makes the encoding unambiguous: all other lengths are fixed.
    message = b"".join((direction, bytes([len(epoch)]), epoch, nonce, content))
    return hmac.digest(secret.encode(), message, hashlib.sha256)[:_MAC_BYTES]


def make_envelope(
    fleet_secrets: tuple[str, ...],
    direction: bytes,
    epoch: bytes,
    nonce: bytes,
    content: bytes,
) -> Envelope:
    """Returns an envelope with a MAC of the message under each of the secrets."""
    macs = tuple(
        _compute_mac(secret, direction, epoch, nonce, content)
        for secret in fleet_secrets
    )
    return Envelope(epoch, nonce, content, macs)


def find_matching_secret(
    fleet_secrets: tuple[str, ...], direction: bytes, envelope: Envelope
) -> str | None:
    """Returns the first secret under which a MAC is valid; None if there is none."""
    if len(envelope.nonce) != _NONCE_BYTES:
        return None
    for secret in fleet_secrets:
        expected_mac = _compute_mac(
            secret, direction, envelope.epoch, envelope.nonce, envelope.content
        )
        for mac in envelope.macs[:_MAX_MACS_CHECKED]:
            if hmac.compare_digest(expected_mac, mac):
                return secret
    return None


_MAX_MACS_CHECKED = 4
"""MACs checked in an envelope; a fleet rarely has more than two secrets."""


class ReplayGuard:
    """Rejects requests that were recorded and sent again.

    Attributes:
        epoch: The current epoch of this daemon.
    """

    def __init__(self) -> None:
        self.epoch = UNKNOWN_EPOCH
        self._seen_nonces: set[bytes] = set()
        self._previous_epoch = UNKNOWN_EPOCH
        self._previous_seen_nonces: set[bytes] = set()
        self._replace_epoch()

    def _replace_epoch(self) -> None:
        self._previous_epoch, self._previous_seen_nonces = (
            self.epoch,
            self._seen_nonces,
        )
        self.epoch = secrets.token_bytes(_EPOCH_BYTES)
        self._seen_nonces = set()
        self._epoch_started_at = trio.current_time()

    def accept(self, envelope: Envelope) -> bool:
        """Records a request's nonce; False if it is a replay or its epoch expired."""
        if trio.current_time() - self._epoch_started_at > EPOCH_LIFETIME_S or (
            len(self._seen_nonces) >= _MAX_NONCES_PER_EPOCH
        ):
            self._replace_epoch()
        if envelope.epoch == UNKNOWN_EPOCH:
            return False
        if envelope.epoch == self.epoch:
            seen_nonces = self._seen_nonces
        elif envelope.epoch == self._previous_epoch:
            seen_nonces = self._previous_seen_nonces
        else:
            return False
        if envelope.nonce in seen_nonces or len(seen_nonces) >= _MAX_NONCES_PER_EPOCH:
            return False
        seen_nonces.add(envelope.nonce)
        return True
