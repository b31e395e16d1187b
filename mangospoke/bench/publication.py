"""Publication of a local fleet's configuration, straight to its log service."""

import secrets
from collections.abc import Sequence

import msgspec
from msgspec import Raw

from mangospoke.client.connections import ConnectionPool
from mangospoke.conf.declarations import Base, Overlay
from mangospoke.conf.sections import changed_sections, split_sections
from mangospoke.logservice.protocol import ReadResponse
from mangospoke.logservice.records import (
    ConfigurationChanged,
    ConfigurationSnapshot,
    LogStream,
    decode_record,
    encode_record,
)
from mangospoke.state.configuration import ConfigurationState

_RECORDS_PATH = f"/streams/{LogStream.CONFIGURATION.value}/records"


class PublicationError(Exception):
    """The log service did not take the configuration."""


async def publish_configuration(
    pool: ConnectionPool, log_address: str, base: Base, overlays: Sequence[Overlay]
) -> int:
    """Appends what changed against the version in force.

    Args:
        pool: Connections to the log service.
        log_address: Its address.
        base: The base.
        overlays: All overlays.

    Returns:
        The version that the change makes.

    Raises:
        PublicationError: If the log service refused it.
    """
    state = await fold_configuration(pool, log_address)
    sections = split_sections(base, overlays)
    changed, removed = changed_sections(state.sections, sections)
    record = ConfigurationChanged(
        record_id=secrets.token_hex(8),
        builds_on=state.version,
        sections={name: Raw(content) for name, content in changed.items()},
        removed=removed,
        author="fleet",
    )
    content = encode_record(record)
    answer = await pool.exchange(log_address, "POST", _RECORDS_PATH, body=content)
    if answer.status != 200:
        raise PublicationError(f"the log service answered {answer.status}")
    return state.version + 1


async def fold_configuration(
    pool: ConnectionPool, log_address: str
) -> ConfigurationState:
    """Reads the configuration stream from its first kept record to its end."""
    state = ConfigurationState()
    offset = 0
    while True:
        target = f"{_RECORDS_PATH}?from={offset}"
        answer = await pool.exchange(log_address, "GET", target)
        read = msgspec.json.decode(answer.body, type=ReadResponse)
        for stored in read.records:
            record = decode_record(LogStream.CONFIGURATION, bytes(stored.content))
            if isinstance(record, ConfigurationSnapshot):
                state.restore(record)
            else:
                state.apply(record)  # type: ignore[arg-type]
        offset = max(read.first_offset, offset + len(read.records))
        if offset >= read.next_offset:
            return state
