"""`mangospoke standin faults`: a proxy that delays, cuts and loses what passes."""

from pathlib import Path

import msgspec
import trio

from mangospoke.management.exits import CommandError, ExitCode
from mangospoke.standin.faults import load_faults_settings, serve_faults


def run(*, settings: Path) -> None:
    """Runs a fault proxy for all links of a fleet.

    Args:
        settings: Its forwards and links, in TOML or JSON.
    """
    try:
        loaded = load_faults_settings(settings)
    except (OSError, msgspec.MsgspecError) as error:
        raise CommandError(ExitCode.USAGE, f"{settings}: {error}") from error
    trio.run(serve_faults, loaded)
