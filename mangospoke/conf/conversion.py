"""Conversion of plain tables to typed ones that finds every fault, not the first.

Where a value is faulty, its default or a neutral value takes its place, so that
checks can still look at the rest; the faulty paths are kept, so that nothing is
said about a stand-in value.
"""

import difflib
import enum
import typing
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from msgspec import Struct

from mangospoke.conf.lines import KeyPath


class FaultKind(enum.Enum):
    """What is wrong with a value."""

    UNKNOWN_NAME = "unknown name"
    MISSING = "missing"
    WRONG_VALUE = "wrong value"


@dataclass(frozen=True, slots=True)
class ConversionFault:
    """A value that isn't what its type says."""

    kind: FaultKind
    path: KeyPath
    text: str
    hint: str = ""


@dataclass(slots=True)
class Conversion:
    """Faults found so far, and the paths whose value isn't the file's."""

    faults: list[ConversionFault] = field(default_factory=list)

    def convert(self, value: Any, target: Any, path: KeyPath = ()) -> Any:
        """Converts a value, noting all faults beneath it.

        Args:
            value: What the parser read.
            target: The type wanted: a struct, `dict`, `tuple` or any type that
                msgspec converts to.
            path: Where the value stands.
        """
        if isinstance(target, type) and issubclass(target, Struct):
            return self._convert_struct(value, target, path)
        origin = typing.get_origin(target)
        if origin is dict:
            return self._convert_dict(value, target, path)
        if origin is tuple:
            return self._convert_tuple(value, target, path)
        return self._convert_leaf(value, target, path)

    def _convert_struct(self, value: Any, target: type[Struct], path: KeyPath) -> Any:
        if not isinstance(value, dict):
            self._note_wrong_type(path, "a table", value)
            value = {}
            return target(**self._fill(target, value, path, note_missing=False))
        names = [info.name for info in msgspec.structs.fields(target)]
        for name in value:
            if name not in names:
                self._note_unknown(path, name, names)
        return target(**self._fill(target, value, path, note_missing=True))

    def _fill(
        self,
        target: type[Struct],
        table: dict[str, Any],
        path: KeyPath,
        note_missing: bool,
    ) -> dict[str, Any]:
        values_by_name = {}
        for info in msgspec.structs.fields(target):
            if info.name in table:
                converted = self.convert(
                    table[info.name], info.type, (*path, info.name)
                )
                values_by_name[info.name] = converted
            elif info.required:
                if note_missing:
                    self._note_missing(path, info.name)
                values_by_name[info.name] = _neutral(info.type)
        return values_by_name

    def _convert_dict(self, value: Any, target: Any, path: KeyPath) -> Any:
        if not isinstance(value, dict):
            self._note_wrong_type(path, "a table", value)
            return {}
        key_type, value_type = typing.get_args(target)
        return {
            self._convert_leaf(key, key_type, (*path, key)): self.convert(
                item, value_type, (*path, key)
            )
            for key, item in value.items()
        }

    def _convert_tuple(self, value: Any, target: Any, path: KeyPath) -> Any:
        if not isinstance(value, list):
            self._note_wrong_type(path, "an array", value)
            return ()
        item_type = typing.get_args(target)[0]
        return tuple(
            self.convert(item, item_type, (*path, index))
            for index, item in enumerate(value)
        )

    def _convert_leaf(self, value: Any, target: Any, path: KeyPath) -> Any:
        try:
            return msgspec.convert(value, target)
        except msgspec.ValidationError as error:
            text = f"{join_path(path)}: {error}"
            self.faults.append(ConversionFault(FaultKind.WRONG_VALUE, path, text))
            return _neutral(target)

    def _note_wrong_type(self, path: KeyPath, wanted: str, value: Any) -> None:
        text = f"{join_path(path)}: Expected {wanted}, got `{type(value).__name__}`"
        self.faults.append(ConversionFault(FaultKind.WRONG_VALUE, path, text))

    def _note_missing(self, path: KeyPath, name: str) -> None:
        full = (*path, name)
        text = f"{join_path(full)} is missing"
        self.faults.append(ConversionFault(FaultKind.MISSING, full, text))

    def _note_unknown(self, path: KeyPath, name: str, known: Iterable[str]) -> None:
        full = (*path, name)
        text = f"{join_path(full)}: there is no such name here"
        hint = _suggest(name, list(known))
        self.faults.append(ConversionFault(FaultKind.UNKNOWN_NAME, full, text, hint))


def join_path(path: KeyPath) -> str:
    """Writes a path as in TOML, such as `services.batches.routes`."""
    return ".".join(str(part) for part in path)


def _suggest(name: str, known: list[str]) -> str:
    close = difflib.get_close_matches(name, known, n=1)
    if close:
        return f"Did you mean {close[0]!r}?"
    return f"Known names: {', '.join(known)}."


def _neutral(target: Any) -> Any:
    """Makes a value of a type, to stand where the file's can't be used."""
    while hasattr(target, "__supertype__"):
        target = target.__supertype__
    origin = typing.get_origin(target)
    if origin is typing.Annotated:
        return _neutral(typing.get_args(target)[0])
    if origin is tuple:
        return ()
    if origin is dict:
        return {}
    if origin is not None:
        return None
    if issubclass(target, Struct):
        return Conversion().convert({}, target)
    if issubclass(target, enum.Enum):
        return next(iter(target))
    return 1 if target is int else target()
