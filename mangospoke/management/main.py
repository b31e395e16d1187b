"""The `mangospoke` command line.

Commands are registered by module path and imported only when they run, so that
start-up stays fast and a broken command harms no other.
"""

import sys
from collections.abc import Sequence

from cyclopts import App, CycloptsError

import mangospoke
from mangospoke.management.exits import CommandError, ExitCode

_COMMANDS = "mangospoke.management.commands"

_HELP = "Overload control for service call graphs."
_EPILOGUE = (
    "Exit codes: 0 fine, 1 faults found or publication lost, 2 wrong usage or "
    "settings, 3 log service not reachable, 4 not in force everywhere in time, "
    "5 no daemon reachable, 6 stopped by a fault."
)

_HELP_BY_COMMAND = {
    "daemon": "Run the daemon of one host.",
    "check": "List all faults of a base with its overlays, or of a host's settings.",
    "publish": "Publish a base with its overlays and wait until it is in force.",
    "diff": "Show what publishing would change against what is in force.",
    "status": "Show the state of the fleet.",
    "explain": "Tell from logs what became of a request, and why.",
    "losses": "Count from logs what requests were lost, and of what.",
    "demo": "Run a small fleet with stand-ins, drive it, and stop it.",
    "bench": "Run measurements.",
}

_HELP_BY_KEY_COMMAND = {
    "new": "Make a client account's key.",
    "hash": "Hash a key's secret for a declaration.",
}

_HELP_BY_STANDIN = {
    "log": "Run a stand-in for the platform's log service.",
    "upstream": "Run a stand-in for an upstream.",
    "faults": "Run a proxy that delays, cuts and loses what passes.",
}


def create_app() -> App:
    """Makes the command line application."""
    app = App(
        name="mangospoke",
        help=_HELP,
        help_epilogue=_EPILOGUE,
        version=mangospoke.__version__,
        backend="trio",
    )
    for name, text in _HELP_BY_COMMAND.items():
        app.command(f"{_COMMANDS}.{name}:run", name=name, help=text)
    app.command(_create_group("keys", "Make and hash keys.", _HELP_BY_KEY_COMMAND))
    app.command(_create_group("standin", "Run stand-ins for tests.", _HELP_BY_STANDIN))
    # For developers only, so it isn't listed.
    app.command(
        f"{_COMMANDS}.reference:run",
        name="reference",
        help="Write the reference pages.",
        show=False,
    )
    app.register_install_completion_command(help="Install shell completion.")
    return app


def _create_group(name: str, text: str, help_by_command: dict[str, str]) -> App:
    group = App(name=name, help=text)
    for command, command_text in help_by_command.items():
        path = f"{_COMMANDS}.{name}_{command}:run"
        group.command(path, name=command, help=command_text)
    return group


def run(arguments: Sequence[str]) -> int:
    """Runs a command line and returns its exit code.

    A command returns an `ExitCode`, or None for a good end.

    Args:
        arguments: The arguments without the program's name.
    """
    try:
        code = create_app()(
            list(arguments),
            exit_on_error=False,
            print_error=False,
            result_action="return_int_as_exit_code_else_zero",
        )
    except CycloptsError as error:
        print(f"mangospoke: {error}", file=sys.stderr)
        return ExitCode.USAGE
    except CommandError as error:
        print(f"mangospoke: {error}", file=sys.stderr)
        return error.exit_code
    except BrokenPipeError:
        # The reader of a pipe, such as `head`, has seen enough.
        sys.stderr.close()
        return ExitCode.OK
    return int(code)


def main() -> None:
    """Runs the command line of this process and exits."""
    sys.exit(run(sys.argv[1:]))
