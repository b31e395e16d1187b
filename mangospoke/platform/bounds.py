"""Reads the bounds of the settings file, each a text `name=value`.

A bound that is missing, or whose value can't be read, takes its default, which is the
strictest value that is safe without it. A process that ended instead would take its
host out of service for one wrong character in a file that all hosts share.
"""

import math
from collections.abc import Iterable

from loguru import logger

_MS_PER_UNIT = {"ms": 1.0, "s": 1_000.0}


def parse_duration_ms(text: str) -> float:
    """Parses a duration such as `1500ms` or `2.5s` into milliseconds.

    Raises:
        ValueError: If the text isn't a duration.
    """
    for unit, milliseconds in _MS_PER_UNIT.items():
        number = text.removesuffix(unit)
        if number != text:
            return _parse_number(number) * milliseconds
    raise ValueError(f"{text!r} is not a duration")


def _parse_number(text: str) -> float:
    number = float(text)
    if not math.isfinite(number) or "_" in text:
        raise ValueError(f"{text!r} is not a number")
    return number


class Bounds:
    """The bounds of a settings file, by name. Unknown ones are ignored.

    Args:
        texts: The bounds, each `name=value`; the last of a name counts.
    """

    def __init__(self, texts: Iterable[str]) -> None:
        self._values_by_name: dict[str, str] = {}
        for text in texts:
            name, _, value = text.partition("=")
            self._values_by_name[name.strip()] = value.strip()

    def duration_s(self, name: str, default_s: float) -> float:
        """Returns a duration in seconds, which is longer than 0."""
        value = self._values_by_name.get(name)
        if value is None:
            return default_s
        try:
            duration_s = parse_duration_ms(value) / 1000
        except ValueError:
            duration_s = 0.0
        if duration_s > 0:
            return duration_s
        _log_unreadable(name, value, "a duration longer than 0", f"{default_s}s")
        return default_s

    def number(self, name: str, default: float) -> float:
        """Returns a number, whole or not, which is 0 or more."""
        value = self._values_by_name.get(name)
        if value is None:
            return default
        try:
            number = _parse_number(value)
        except ValueError:
            number = -1.0
        if number >= 0:
            return number
        _log_unreadable(name, value, "a number of 0 or more", f"{default}")
        return default


def _log_unreadable(name: str, value: str, expected: str, default: str) -> None:
    logger.bind(
        event="bound_unreadable", bound=name, text=value, default=default
    ).error(
        "bound {} is {!r}, not {}; using its default, {}",
        name,
        value,
        expected,
        default,
    )
