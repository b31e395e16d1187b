"""The hosts of the fleet, as read from the keyed topic of host records."""

import math
from collections.abc import Callable, Sequence

import msgspec
from loguru import logger

from mangospoke.decoding import decode_json
from mangospoke.ids import HostId
from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.state.fleet import Fleet
from mangospoke.state.freshness import Freshness
from mangospoke.state.membership import announcement_order


class HostDirectory:
    """The hosts of the fleet, read from the keyed topic of host records.

    Attributes:
        era: Era of the log service that the records' offsets belong to.
        next_offset: Offset up to which all records of that era were processed.
        listeners: Called after records were processed.
        freshness: When the records were last known to be all that there are.
    """

    def __init__(self, fleet: Fleet, freshness: Freshness | None = None) -> None:
        self.freshness = freshness or Freshness(math.inf)
        self.era: int | None = None
        self.next_offset = 0
        self.listeners: list[Callable[[], None]] = []
        self._fleet = fleet
        self._hosts_by_id: dict[HostId, UpstreamAnnounced] = {}
        self._records_by_key: dict[str, KeyedRecord] = {}
        self._unreadable_offset_by_key: dict[str, int] = {}
        self._was_read = False

    def __len__(self) -> int:
        return len(self._hosts_by_id)

    def handle_records(
        self,
        records: Sequence[KeyedRecord],
        era: int | None = None,
        next_offset: int = 0,
    ) -> None:
        """Processes records of the topic, skipping those that can't be decoded.

        Args:
            records: The records, in offset order.
            era: Era of the log service that the offsets belong to.
            next_offset: Offset up to which the records are complete, together with
                those that were processed before. Some may be newer.
        """
        self._was_read = True
        self._enter_era(era)
        if era == self.era:
            self.next_offset = max(self.next_offset, next_offset)
        for record in records:
            if not self._note_offset(record, era):
                continue
            if not record.value:
                self._hosts_by_id.pop(HostId(record.key), None)
                continue
            host = _decode_host(record)
            if host is not None:
                self._store_if_newer(host)
            else:
                self._unreadable_offset_by_key[record.key] = record.offset
        self._fleet.set_upstreams(dict(self._hosts_by_id))
        for listener in self.listeners:
            listener()

    def handle_written(self, host: UpstreamAnnounced) -> None:
        """Learns of a record that this host, or one that told it, wrote.

        Until the topic was read once, it is left to that: a host that knows only itself
        would take itself for the only one.
        """
        if self._was_read:
            self._store_if_newer(host)
            self._fleet.set_upstreams(dict(self._hosts_by_id))

    def _enter_era(self, era: int | None) -> None:
        """Forgets the offsets of an earlier era, which are other records' now."""
        if era is None or era == self.era or era < (self.era or 0):
            return
        self.era = era
        self.next_offset = 0
        self._records_by_key.clear()
        self._unreadable_offset_by_key.clear()

    def _note_offset(self, record: KeyedRecord, era: int | None) -> bool:
        """Notes a record's offset; returns whether it may be news."""
        if era != self.era:
            return True
        known = self._records_by_key.get(record.key)
        if known is None or known.offset <= record.offset:
            self._records_by_key[record.key] = record
        return known != record

    def records_from(self, offset: int) -> list[KeyedRecord]:
        """Returns the newest record of each key, of those from an offset on.

        Those that can't be decoded are left out: they name no host, and may be large.
        """
        records = [
            record
            for record in self._records_by_key.values()
            if record.offset >= offset
            and record.offset != self._unreadable_offset_by_key.get(record.key)
        ]
        return sorted(records, key=lambda record: record.offset)

    def _store_if_newer(self, host: UpstreamAnnounced) -> None:
        known = self._hosts_by_id.get(host.host_id)
        if known is not None and announcement_order(known) > announcement_order(host):
            return
        self._hosts_by_id[host.host_id] = host


def find_host(
    records: Sequence[KeyedRecord], host_id: HostId
) -> UpstreamAnnounced | None:
    """Returns a host's record; None if there is none or it can't be decoded."""
    for record in records:
        if record.key == host_id:
            return _decode_host(record)
    return None


def _decode_host(record: KeyedRecord) -> UpstreamAnnounced | None:
    """Decodes a host's record; None, with a log line, if another writer left it."""
    try:
        host = decode_json(record.value, UpstreamAnnounced)
    except msgspec.MsgspecError as error:
        _log_unreadable(record, str(error))
        return None
    if host.host_id != record.key:
        _log_unreadable(record, f"it is of host {host.host_id!r}")
        return None
    return host


def _log_unreadable(record: KeyedRecord, reason: str) -> None:
    logger.bind(event="host_unreadable", key=record.key).warning(
        "skipping the record of host {}: {}", record.key, reason
    )
