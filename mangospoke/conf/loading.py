"""Loading of settings, base and overlays from TOML files.

Loading never raises for what a file holds: it gives a value, or the file's faults.
"""

import re
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Generic, TypeVar

from mangospoke.checks.catalogue import (
    MALFORMED_TOML,
    MISSING_VALUE,
    OVERLAY_SETS_KEYS,
    UNKNOWN_NAME,
    UNREADABLE_FILE,
    WRONG_VALUE,
    Check,
)
from mangospoke.checks.messages import CheckMessage
from mangospoke.conf.conversion import Conversion, ConversionFault, FaultKind
from mangospoke.conf.declarations import Base, Overlay
from mangospoke.conf.lines import KeyLines, KeyPath, find_key_lines
from mangospoke.conf.settings import Settings

ValueType = TypeVar("ValueType")

MAXIMUM_FILE_BYTES = 8_388_608

_CHECKS_BY_KIND = {
    FaultKind.UNKNOWN_NAME: UNKNOWN_NAME,
    FaultKind.MISSING: MISSING_VALUE,
    FaultKind.WRONG_VALUE: WRONG_VALUE,
}

_TOML_PLACE = re.compile(r" \(at line (\d+), column \d+\)$")
_TOML_END = " (at end of document)"


@dataclass(frozen=True, slots=True)
class Loaded(Generic[ValueType]):
    """What loading a file brought.

    Attributes:
        value: The typed content, or None if the file has faults.
        partial: The typed content with neutral values where it has faults; None
            if it could not be read at all.
        faults: All faults of reading and typing.
        lines: Where the file's keys stand.
        faulty_paths: Paths whose value in `partial` isn't the file's.
    """

    file: Path
    value: ValueType | None
    partial: ValueType | None
    faults: tuple[CheckMessage, ...] = ()
    lines: KeyLines = field(default_factory=KeyLines)
    faulty_paths: frozenset[KeyPath] = frozenset()

    def is_sound(self, path: KeyPath) -> bool:
        """Whether the value at a path is the file's own."""
        return not any(path[: len(faulty)] == faulty for faulty in self.faulty_paths)


def load_settings(path: Path) -> Loaded[Settings]:
    """Loads a host's settings."""
    return _load_file(path, Settings)


def load_base(path: Path) -> Loaded[Base]:
    """Loads a base file."""
    return _load_file(path, Base)


def load_overlay(path: Path) -> Loaded[Overlay]:
    """Loads a site's overlay."""
    return _load_file(path, Overlay)


def load_text(text: str, file: Path, value_type: type[ValueType]) -> Loaded[ValueType]:
    """Loads a file's text.

    Args:
        text: The text.
        file: The name that faults carry.
        value_type: The struct that the text describes.
    """
    try:
        document = tomllib.loads(text)
        lines = find_key_lines(text)
    except RecursionError:
        return _unusable(file, MALFORMED_TOML, 0, "Values are nested too deeply")
    except ValueError as error:
        line, reason = _split_place(str(error), text)
        return _unusable(file, MALFORMED_TOML, line, reason)
    conversion = Conversion()
    partial = conversion.convert(document, value_type)
    faults = tuple(
        _make_fault(fault, file, lines.find(fault.path), value_type)
        for fault in conversion.faults
    )
    faulty_paths = frozenset(
        fault.path
        for fault in conversion.faults
        if fault.kind is not FaultKind.UNKNOWN_NAME
    )
    value = None if faults else partial
    return Loaded(file, value, partial, faults, lines, faulty_paths)


def _load_file(path: Path, value_type: type[ValueType]) -> Loaded[ValueType]:
    try:
        with path.open("rb") as file:
            content = file.read(MAXIMUM_FILE_BYTES + 1)
    except OSError as error:
        return _unusable(path, UNREADABLE_FILE, 0, error.strerror or str(error))
    if len(content) > MAXIMUM_FILE_BYTES:
        reason = f"The file is larger than {MAXIMUM_FILE_BYTES} bytes"
        return _unusable(path, UNREADABLE_FILE, 0, reason)
    try:
        text = content.decode()
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        return _unusable(path, UNREADABLE_FILE, line, "The file is not UTF-8 text")
    # Line ends as the parser sees them, so that lines are counted alike.
    return load_text(text.replace("\r\n", "\n"), path, value_type)


def _make_fault(
    fault: ConversionFault, file: Path, line: int, value_type: type
) -> CheckMessage:
    check = _CHECKS_BY_KIND[fault.kind]
    hint = fault.hint or check.hint
    if value_type is Overlay and _sets_keys(fault):
        check = OVERLAY_SETS_KEYS
        hint = check.hint
    return CheckMessage(check.id, file, line, fault.text, hint)


def _sets_keys(fault: ConversionFault) -> bool:
    accounts_and_field = (fault.path[0], *fault.path[2:])
    return fault.kind is FaultKind.UNKNOWN_NAME and accounts_and_field == (
        "accounts",
        "keys",
    )


def _unusable(file: Path, check: Check, line: int, text: str) -> Loaded[ValueType]:
    message = CheckMessage(check.id, file, line, text, check.hint)
    return Loaded(file, None, None, (message,))


def _split_place(reason: str, text: str) -> tuple[int, str]:
    place = _TOML_PLACE.search(reason)
    if place is not None:
        return int(place[1]), reason[: place.start()]
    if reason.endswith(_TOML_END):
        return text.count("\n") + 1, reason.removesuffix(_TOML_END)
    return 0, reason
