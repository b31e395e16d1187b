"""How commands reach the log service and the fleet."""

import re
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from mangospoke.conf.loading import load_settings
from mangospoke.conf.settings import LogService
from mangospoke.logservice.client import LogClient, LogUnavailableError
from mangospoke.management.exits import CommandError, ExitCode
from mangospoke.publication.hosts import find_hosts

_ADDRESS = re.compile(r"\d+(\.\d+){3}:\d+\Z")
_TIMEOUT_MS = 2_000

LogOption = Annotated[str | None, Parameter(name="--log")]
SettingsOption = Annotated[Path | None, Parameter(name="--settings")]
OperationsOption = Annotated[
    list[str] | None, Parameter(name="--operations", negative="")
]
FlagOption = Annotated[bool, Parameter(negative="")]
JsonOption = Annotated[bool, Parameter(name="--json", negative="")]


def check_address(address: str) -> str:
    """Returns an address given on the command line.

    Raises:
        CommandError: If it isn't an IP and a port.
    """
    if _ADDRESS.match(address) is None:
        raise CommandError(
            ExitCode.USAGE, f"{address!r} isn't an address", "write IP:PORT"
        )
    return address


def make_log_client(log: str | None, settings: Path | None) -> LogClient:
    """Makes a client of the log service that a command names.

    Args:
        log: The log service's address.
        settings: A host's settings, whose log service is taken if `log` is None.

    Raises:
        CommandError: If neither names one.
    """
    if log is not None:
        return LogClient(LogService(address=check_address(log), timeout_ms=_TIMEOUT_MS))
    if settings is None:
        raise CommandError(
            ExitCode.USAGE,
            "no log service is named",
            "give --log IP:PORT, or --settings with a host's settings file",
        )
    loaded = load_settings(settings)
    if loaded.value is None:
        raise CommandError(ExitCode.USAGE, str(loaded.faults[0]))
    return LogClient(loaded.value.log)


async def find_addresses(
    client: LogClient, operations: Sequence[str]
) -> dict[str, str]:
    """Finds daemons: those that are named, or all that the log knows.

    Args:
        client: The log service's client.
        operations: Operations addresses; if there are none, the log is read.

    Returns:
        Host ids, or addresses where the id isn't known, by operations address.

    Raises:
        LogUnavailableError: If the log service gave no answer.
    """
    if operations:
        return {check_address(address): address for address in operations}
    return await find_hosts(client)


def log_unreachable(error: LogUnavailableError) -> CommandError:
    """Makes the error of a command that could not ask the log service."""
    return CommandError(
        ExitCode.LOG_UNREACHABLE,
        f"the log service gave no answer: {error}",
        "check its address and that it is up, then run the command again",
    )
