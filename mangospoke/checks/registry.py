"""Registry of checks, and what they look at."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from mangospoke.checks.catalogue import Check
from mangospoke.checks.messages import CheckMessage
from mangospoke.conf.declarations import Base, Overlay
from mangospoke.conf.lines import KeyPath
from mangospoke.conf.loading import Loaded
from mangospoke.conf.settings import Settings


@dataclass(frozen=True, slots=True)
class Declarations:
    """A base and a set of overlays, as far as they could be read."""

    base: Loaded[Base]
    overlays: tuple[Loaded[Overlay], ...] = ()


@dataclass(frozen=True, slots=True)
class HostSettings:
    """A host's settings, and the base it is to run under if that is known."""

    settings: Loaded[Settings]
    base: Loaded[Base] | None = None


Found = Iterable[CheckMessage | None]
DeclarationsCheck = Callable[[Declarations, Base], Found]
SettingsCheck = Callable[[HostSettings, Settings], Found]

_DECLARATIONS_CHECKS: list[DeclarationsCheck] = []
_SETTINGS_CHECKS: list[SettingsCheck] = []


def register_declarations_check(check: DeclarationsCheck) -> DeclarationsCheck:
    """Registers a check over a base and its overlays."""
    _DECLARATIONS_CHECKS.append(check)
    return check


def register_settings_check(check: SettingsCheck) -> SettingsCheck:
    """Registers a check over a host's settings."""
    _SETTINGS_CHECKS.append(check)
    return check


def make_message(
    check: Check,
    loaded: Loaded[Any],
    path: KeyPath,
    text: str,
    depends_on: Iterable[KeyPath] = (),
) -> CheckMessage | None:
    """Makes a message, or none where a value that it rests on could not be read.

    Args:
        check: What was found.
        loaded: The file.
        path: Where it stands in the file.
        text: One sentence without its full stop.
        depends_on: Further paths in the same file that the finding rests on.
    """
    if not all(loaded.is_sound(part) for part in (path, *depends_on)):
        return None
    line = loaded.lines.find(path)
    return CheckMessage(check.id, loaded.file, line, text, check.hint)


def run_declarations_checks(declarations: Declarations) -> list[CheckMessage]:
    """Lists all faults of a base and its overlays, file by file."""
    messages = list(declarations.base.faults)
    for overlay in declarations.overlays:
        messages.extend(overlay.faults)
    base = declarations.base.partial
    if base is not None:
        for check in _DECLARATIONS_CHECKS:
            found = check(declarations, base)
            messages.extend(message for message in found if message is not None)
    files = [declarations.base.file, *(each.file for each in declarations.overlays)]
    return sorted(messages, key=lambda each: (files.index(each.file), *_rank(each)))


def run_settings_checks(host: HostSettings) -> list[CheckMessage]:
    """Lists all faults of a host's settings."""
    messages = list(host.settings.faults)
    settings = host.settings.partial
    if settings is not None:
        for check in _SETTINGS_CHECKS:
            found = check(host, settings)
            messages.extend(message for message in found if message is not None)
    return sorted(messages, key=_rank)


def _rank(message: CheckMessage) -> tuple[int, str, str]:
    return message.line, message.id, message.text
