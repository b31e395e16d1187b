"""The configuration as replicated from the log service's records."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec import Raw

from mangospoke.logservice.records import (
    ConfigurationChanged,
    ConfigurationRecord,
    ConfigurationSnapshot,
)


def _do_nothing() -> None:
    pass


@dataclass(slots=True)
class ConfigurationState:
    """State machine of the configuration stream.

    Attributes:
        version: Number of accepted changes since the first; never decreases.
        sections: JSON by section name.
        last_record_id: Id of the record that produced this version.
        on_settled: Called after a batch of records was applied.
    """

    version: int = 0
    sections: dict[str, bytes] = field(default_factory=dict)
    last_record_id: str = ""
    on_settled: Callable[[], None] = _do_nothing

    def apply(self, record: ConfigurationRecord) -> bool:
        """Applies a record and returns whether the version changed.

        A change that builds on another version than the current one lost a race
        between writers; every reader ignores it. Snapshots are ignored too: a
        reader with a gap uses `restore`.
        """
        if isinstance(record, ConfigurationSnapshot):
            return False
        if record.builds_on != self.version:
            return False
        self._apply_change(record)
        return True

    def _apply_change(self, record: ConfigurationChanged) -> None:
        sections = dict(self.sections)
        for name in record.removed:
            sections.pop(name, None)
        for name, content in record.sections.items():
            sections[name] = bytes(content)
        self.sections = sections
        self.version += 1
        self.last_record_id = record.record_id

    def restore(self, snapshot: ConfigurationSnapshot) -> bool:
        """Restores the state from a snapshot; False if its version is lower."""
        if snapshot.version < self.version:
            return False
        self.version = snapshot.version
        self.sections = {
            name: bytes(content) for name, content in snapshot.sections.items()
        }
        self.last_record_id = snapshot.last_record_id
        return True

    def snapshot(self, covers: int) -> ConfigurationSnapshot | None:
        """Returns a snapshot of the state, or None before the first version.

        Args:
            covers: Offset up to which the stream has been applied.
        """
        if self.version == 0:
            return None
        return ConfigurationSnapshot(
            record_id=secrets.token_hex(8),
            covers=covers,
            version=self.version,
            sections={name: Raw(content) for name, content in self.sections.items()},
            last_record_id=self.last_record_id,
        )

    def settle(self) -> None:
        """Reports that a batch of records was applied."""
        self.on_settled()
