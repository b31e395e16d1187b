"""`mangospoke daemon`: run the daemon of one host."""

import signal
import sys
from pathlib import Path

import trio

from mangospoke.checks.messages import has_errors
from mangospoke.checks.registry import HostSettings
from mangospoke.checks.run import run_settings_checks
from mangospoke.conf.loading import load_settings
from mangospoke.management.exits import CommandError, ExitCode


def run(*, settings: Path) -> ExitCode:
    """Runs the daemon of one host until SIGTERM asks for a planned stop.

    Faults in the settings are printed; the daemon doesn't start on an error.

    Args:
        settings: The host's settings file.
    """
    # The default action of SIGHUP ends the process with all its requests.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    loaded = load_settings(settings)
    messages = run_settings_checks(HostSettings(loaded))
    for message in messages:
        print(message, file=sys.stderr)
    if loaded.value is None or has_errors(messages):
        return ExitCode.USAGE
    # Imported late, so that faulty settings are told without delay.
    from mangospoke.daemon.run import run_daemon

    try:
        trio.run(run_daemon, loaded.value)
    except* OSError as group:
        raise CommandError(ExitCode.STOPPED, _first_line(group)) from group
    return ExitCode.OK


def _first_line(group: BaseExceptionGroup) -> str:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return str(error)
