"""The log service's HTTP interface, as the client and the stand-in use it.

- `POST /streams/STREAM/records` appends the request body as a record and returns an
  `AppendResponse`. The service accepts several hundred appends per second and responds
  with 429 beyond that.
- `GET /streams/STREAM/records?from=OFFSET&limit=N&wait_ms=MS` returns a `ReadResponse`
  with records from the offset on; if there is none yet, it waits for one. If the
  offset is past retention, the status is 410 and the `ReadResponse` has no records; its
  `first_offset` is the first retained offset.
"""

from msgspec import Raw, Struct


class AppendResponse(Struct, frozen=True):
    """Response to an append, with the offset of the new record."""

    offset: int


class StoredRecord(Struct, frozen=True):
    """A record as the log service returns it.

    Attributes:
        offset: The record's offset in its stream.
        appended_at_ms: Time of the append on the log service's wall clock, in
            milliseconds since the Unix epoch.
        content: The record's JSON.
    """

    offset: int
    appended_at_ms: int
    content: Raw


class ReadResponse(Struct, frozen=True):
    """Response to a read, with a range of a stream's records.

    Attributes:
        first_offset: The first retained offset.
        next_offset: Offset that the next appended record will have.
        records: The records, in offset order.
    """

    first_offset: int
    next_offset: int
    records: tuple[StoredRecord, ...]
