"""Generation, hashing and verification of client account keys.

A key has the form `KEY_ID.SECRET`. The secret has 160 random bits, so one round of a
salted hash resists brute force, and verification takes only a few microseconds.
"""

import hashlib
import hmac
import secrets
from dataclasses import dataclass

from mangospoke.ids import KeyId

_ALGORITHM = "sha256"
_SECRET_BYTES = 20
_SALT_BYTES = 16


@dataclass(frozen=True, slots=True)
class KeyHash:
    """Salted hash of a key's secret."""

    salt: bytes
    digest: bytes


def generate_secret() -> str:
    """Generates a random secret."""
    return secrets.token_hex(_SECRET_BYTES)


def hash_secret(secret: str, salt: bytes | None = None) -> str:
    """Returns `sha256$SALT$DIGEST`, with hexadecimal parts, for a declaration."""
    if salt is None:
        salt = secrets.token_bytes(_SALT_BYTES)
    digest = hashlib.sha256(salt + secret.encode()).hexdigest()
    return f"{_ALGORITHM}${salt.hex()}${digest}"


def parse_hash(text: str) -> KeyHash:
    """Parses a hash from a declaration.

    Raises:
        ValueError: If the text is not in the format of `hash_secret`.
    """
    algorithm, salt, digest = text.split("$")
    if algorithm != _ALGORITHM:
        raise ValueError(f"unknown hash algorithm {algorithm!r}")
    parsed = KeyHash(bytes.fromhex(salt), bytes.fromhex(digest))
    if len(parsed.digest) != hashlib.sha256().digest_size:
        raise ValueError("the digest has the wrong length")
    return parsed


def split_key(key: bytes) -> tuple[KeyId, bytes] | None:
    """Splits a key into its id and secret; None if it is malformed."""
    key_id, separator, secret = key.partition(b".")
    if not separator or not key_id or not secret:
        return None
    return KeyId(key_id.decode("latin-1")), secret


def verify_secret(secret: bytes, key_hash: KeyHash) -> bool:
    """Returns whether a secret matches a hash, compared in constant time."""
    digest = hashlib.sha256(key_hash.salt + secret).digest()
    return hmac.compare_digest(digest, key_hash.digest)
