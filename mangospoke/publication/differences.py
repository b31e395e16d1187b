"""Differences between two configurations, by section and field."""

import enum
from collections.abc import Iterator
from typing import Any

import msgspec
from msgspec import Struct

from mangospoke.conf.sections import Sections

_ABSENT_VALUE = "(default)"


class ChangeKind(enum.Enum):
    """How a section differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class FieldChange(Struct, frozen=True):
    """A changed field; the old or new value is None if it is absent there."""

    field: str
    old: Any
    new: Any


class SectionChange(Struct, frozen=True):
    """A changed section."""

    section: str
    kind: ChangeKind
    fields: tuple[FieldChange, ...] = ()


def find_differences(old: Sections, new: Sections) -> list[SectionChange]:
    """Lists the sections that differ between two configurations, sorted by name."""
    changes = []
    for name in sorted({*old, *new}):
        if name not in new:
            changes.append(SectionChange(name, ChangeKind.REMOVED))
        elif name not in old:
            fields = tuple(_compare({}, msgspec.json.decode(new[name]), ""))
            changes.append(SectionChange(name, ChangeKind.ADDED, fields))
        elif old[name] != new[name]:
            old_value = msgspec.json.decode(old[name])
            fields = tuple(_compare(old_value, msgspec.json.decode(new[name]), ""))
            changes.append(SectionChange(name, ChangeKind.CHANGED, fields))
    return changes


def _compare(old: Any, new: Any, path: str) -> Iterator[FieldChange]:
    if old == new:
        return
    if not isinstance(old, dict) or not isinstance(new, dict):
        yield FieldChange(path, old, new)
        return
    for name in sorted({*old, *new}):
        field_path = f"{path}.{name}" if path else name
        old_field = old.get(name)
        new_field = new.get(name)
        # The fields of an added or removed table are listed one by one.
        if isinstance(old_field, dict) and new_field is None:
            new_field = {}
        if isinstance(new_field, dict) and old_field is None:
            old_field = {}
        yield from _compare(old_field, new_field, field_path)


_SYMBOLS_BY_KIND = {
    ChangeKind.ADDED: "+",
    ChangeKind.REMOVED: "-",
    ChangeKind.CHANGED: "~",
}


def format_differences(changes: list[SectionChange]) -> Iterator[str]:
    """Formats changes as lines of text for operators."""
    for change in changes:
        yield f"{_SYMBOLS_BY_KIND[change.kind]} {change.section}"
        for entry in change.fields:
            if change.kind is ChangeKind.ADDED:
                yield f"    {entry.field} = {_format(entry.new)}"
            else:
                yield f"    {entry.field}: {_format(entry.old)} -> {_format(entry.new)}"


def _format(value: Any) -> str:
    if value is None:
        return _ABSENT_VALUE
    return msgspec.json.encode(value).decode()
