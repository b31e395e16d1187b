"""Finds a snapshot in the log service for a reader with a gap in its stream."""

from typing import Protocol

import msgspec

from mangospoke.logservice.protocol import ReadResponse
from mangospoke.logservice.records import LogStream, Snapshot, decode_record


class StreamReader(Protocol):
    """The part of the log service's client that `find_snapshot` uses."""

    async def read(
        self, stream: LogStream, from_offset: int, wait_ms: int
    ) -> ReadResponse:
        """Reads records starting at an offset."""


async def find_snapshot(
    client: StreamReader, stream: LogStream, first_offset: int
) -> Snapshot | None:
    """Reads a stream to its end and returns the last usable snapshot.

    A snapshot is usable only if the log still has every record from the offset up
    to which it covers the stream: records appended between that offset and the
    snapshot itself aren't part of it.

    Args:
        client: The log service.
        stream: The stream.
        first_offset: First offset that the log still has.

    Returns:
        The snapshot, or None if the stream has no usable one.

    Raises:
        LogUnavailableError: If the log service didn't answer.
        OffsetExpiredError: If retention dropped further records during the search.
    """
    found: Snapshot | None = None
    offset = first_offset
    while True:
        answer = await client.read(stream, offset, 0)
        if not answer.records:
            return found
        for stored in answer.records:
            try:
                record = decode_record(stream, bytes(stored.content))
            except msgspec.MsgspecError:
                continue
            if isinstance(record, Snapshot) and record.covers >= first_offset:
                found = record
        offset = answer.records[-1].offset + 1
