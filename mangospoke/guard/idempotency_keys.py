"""Formats of idempotency keys.

If a caller sends no key, the daemon generates `DOMAIN:UUIDv7`. A response that states
that the request ran, or may have run, has `DOMAIN:UUIDv7@HOST/INCARNATION` (a located
key), which names the location of the record. Callers may send their own keys,
preferably a UUIDv7, with or without a `DOMAIN:` prefix.
"""

import re
import uuid

from mangospoke.ids import FailureDomainId, HostId, IdempotencyKey, Incarnation
from mangospoke.uuids import new_uuid7

_LOCATED_KEY = re.compile(
    r"(?P<base>[^@]+:[0-9a-f-]{36})@(?P<host>[^@/]+)/(?P<life>\d+)"
)
_UUID_LENGTH = 36
_TIME_ORDERED_UUID_VERSION = 7


def new_idempotency_key(domain: FailureDomainId) -> IdempotencyKey:
    """Generates a key that contains its failure domain and creation time.

    The second part is a UUID version 7 (RFC 9562).
    """
    return IdempotencyKey(f"{domain}:{new_uuid7()}")


def add_record_location(
    key: IdempotencyKey, host_id: HostId, incarnation: Incarnation
) -> IdempotencyKey:
    """Adds the location of the record to a key that the daemon generated."""
    return IdempotencyKey(f"{key}@{host_id}/{incarnation}")


def split_located_key(
    key: IdempotencyKey,
) -> tuple[IdempotencyKey, HostId, Incarnation] | None:
    """Splits a located key into its parts; returns None for other keys."""
    match = _LOCATED_KEY.fullmatch(key)
    if match is None:
        return None
    return (
        IdempotencyKey(match["base"]),
        HostId(match["host"]),
        Incarnation(int(match["life"])),
    )


def domain_of_key(key: IdempotencyKey) -> FailureDomainId | None:
    """Returns the failure domain that a key names, declared or not, or None."""
    domain, separator, _ = key.partition(":")
    return FailureDomainId(domain) if separator else None


def creation_time_of_key(key: IdempotencyKey) -> float | None:
    """Returns a key's creation time in wall-clock seconds, or None if not contained."""
    uuid_text = key[-_UUID_LENGTH:]
    try:
        parsed_uuid = uuid.UUID(uuid_text)
    except ValueError:
        return None
    if parsed_uuid.version != _TIME_ORDERED_UUID_VERSION:
        return None
    return (parsed_uuid.int >> 80) / 1000
