"""`mangospoke diff`: what publishing would change."""

from pathlib import Path

import msgspec
import trio

from mangospoke.logservice.client import LogClient, LogUnavailableError
from mangospoke.management.declared import load_sections
from mangospoke.management.exits import CommandError, ExitCode
from mangospoke.management.log_access import (
    JsonOption,
    LogOption,
    SettingsOption,
    log_unreachable,
    make_log_client,
)
from mangospoke.publication.differences import (
    SectionChange,
    find_differences,
    format_differences,
)
from mangospoke.publication.reading import ConfigurationReader


class Difference(msgspec.Struct, frozen=True):
    """What `--json` prints.

    Attributes:
        version: The version in force.
        changes: What publishing would change.
    """

    version: int
    changes: list[SectionChange]


def run(
    base: Path,
    *overlays: Path,
    log: LogOption = None,
    settings: SettingsOption = None,
    json: JsonOption = False,
) -> None:
    """Shows what publishing would change against what is in force.

    Args:
        base: The base file.
        overlays: Overlays of the base, one a site.
        log: Address of the log service.
        settings: A host's settings file, to take the log service's address from.
        json: Print JSON.
    """
    client = make_log_client(log, settings)
    sections = load_sections(base, overlays)
    state = trio.run(read_in_force, client).state
    changes = find_differences(state.sections, sections)
    if json:
        print(msgspec.json.encode(Difference(state.version, changes)).decode())
        return
    print(f"version {state.version} is in force")
    for line in format_differences(changes):
        print(line)
    if not changes:
        print("nothing would change")


async def read_in_force(client: LogClient) -> ConfigurationReader:
    """Reads the configuration in force.

    Raises:
        CommandError: If the log service doesn't give it.
    """
    reader = ConfigurationReader(client)
    try:
        await reader.read_to_end()
    except LogUnavailableError as error:
        raise log_unreachable(error) from error
    if not reader.is_complete:
        raise history_gone()
    return reader


def history_gone() -> CommandError:
    """Makes the error of a command that finds the log without a configuration."""
    return CommandError(
        ExitCode.LOG_UNREACHABLE,
        "the log service no longer holds the configuration in force",
        "wait until a daemon has appended it again, then run the command again",
    )
