"""Running of all checks; importing this module registers them."""

from collections.abc import Sequence
from pathlib import Path

import mangospoke.checks.accounts
import mangospoke.checks.calls
import mangospoke.checks.names
import mangospoke.checks.overlays
import mangospoke.checks.routes
import mangospoke.checks.settings  # noqa: F401
from mangospoke.checks.messages import CheckMessage
from mangospoke.checks.registry import (
    Declarations,
    HostSettings,
    run_declarations_checks,
    run_settings_checks,
)
from mangospoke.conf.loading import load_base, load_overlay, load_settings

__all__ = [
    "check_files",
    "load_declarations",
    "run_declarations_checks",
    "run_settings_checks",
]


def load_declarations(base: Path, overlays: Sequence[Path]) -> Declarations:
    """Loads a base and overlays, faults and all."""
    loaded_overlays = tuple(load_overlay(path) for path in overlays)
    return Declarations(load_base(base), loaded_overlays)


def check_files(
    base: Path | None, overlays: Sequence[Path], settings: Sequence[Path]
) -> list[CheckMessage]:
    """Lists all faults of files.

    Args:
        base: A base file, or None to check settings alone.
        overlays: Overlays of the base.
        settings: Settings of hosts; checked against the base if there is one.
    """
    messages: list[CheckMessage] = []
    declarations = None
    if base is not None:
        declarations = load_declarations(base, overlays)
        messages.extend(run_declarations_checks(declarations))
    loaded_base = None if declarations is None else declarations.base
    for path in settings:
        host = HostSettings(load_settings(path), loaded_base)
        messages.extend(run_settings_checks(host))
    return messages
