"""`mangospoke publish`: put a base with its overlays in force."""

import contextlib
import getpass
import os
import socket
from collections.abc import Sequence
from functools import partial
from pathlib import Path

import msgspec
import trio
from msgspec import Struct

from mangospoke.logservice.client import LogClient, LogUnavailableError
from mangospoke.management.commands.diff import history_gone
from mangospoke.management.declared import load_sections
from mangospoke.management.exits import CommandError, ExitCode
from mangospoke.management.log_access import (
    FlagOption,
    JsonOption,
    LogOption,
    OperationsOption,
    SettingsOption,
    find_addresses,
    make_log_client,
)
from mangospoke.publication.confirmation import Confirmation, wait_until_active
from mangospoke.publication.hosts import fetch_status
from mangospoke.publication.publishing import (
    AlreadyActive,
    ChangeConflict,
    HistoryUnavailable,
    Published,
    UnknownOutcome,
    publish_sections,
)

_STATUS_TIMEOUT_S = 2.0
_FIND_INTERVAL_S = 0.5


class PublicationReport(Struct, frozen=True):
    """What `--json` prints.

    Attributes:
        version: The version that holds the files.
        published: Whether a change was appended; False if nothing changed.
        in_force: Hosts that have the version in force.
        behind: Version in force at the hosts that don't.
        unreachable: Why hosts gave no answer.
        asked: Whether hosts were found and asked.
    """

    version: int
    published: bool
    in_force: list[str]
    behind: dict[str, int]
    unreachable: dict[str, str]
    asked: bool


def run(
    base: Path,
    *overlays: Path,
    log: LogOption = None,
    settings: SettingsOption = None,
    operations: OperationsOption = None,
    author: str = "",
    timeout_s: float = 30.0,
    no_wait: FlagOption = False,
    json: JsonOption = False,
) -> ExitCode:
    """Publishes a base with its overlays and waits until it is in force.

    Exits with 1 if the files have errors or another operator was faster, with 3 if
    the log service doesn't answer, and with 4 if hosts are named that don't have the
    version in force. Running it again is safe.

    Args:
        base: The base file.
        overlays: Overlays of the base, one a site; a site left out has none.
        log: Address of the log service.
        settings: A host's settings file, to take the log service's address from.
        operations: Operations address of a daemon to wait for, in place of all that
            the log knows; may be given several times.
        author: Who publishes; user and host if not given.
        timeout_s: Seconds to wait for the log service, and then for the hosts.
        no_wait: Don't wait until the version is in force.
        json: Print JSON.
    """
    client = make_log_client(log, settings)
    sections = load_sections(base, overlays)
    author = author or f"{_user()}@{socket.gethostname()}"
    report = trio.run(
        _publish, client, sections, author, timeout_s, operations or [], not no_wait
    )
    if json:
        print(msgspec.json.encode(report).decode())
    else:
        _print_report(report, not no_wait)
    if no_wait:
        return ExitCode.OK
    is_complete = report.asked and not report.behind and not report.unreachable
    return ExitCode.OK if is_complete else ExitCode.NOT_IN_FORCE


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return str(os.getuid())


async def _publish(
    client: LogClient,
    sections: dict[str, bytes],
    author: str,
    timeout_s: float,
    operations: Sequence[str],
    wait: bool,
) -> PublicationReport:
    outcome = await publish_sections(client, sections, author, timeout_s)
    if isinstance(outcome, HistoryUnavailable):
        raise history_gone()
    if isinstance(outcome, ChangeConflict):
        raise CommandError(
            ExitCode.FAULTS_FOUND,
            f"{outcome.author} published first; version {outcome.version} is in force "
            "and this change is not",
            "take that change into your files, see `mangospoke diff`, publish again",
        )
    if isinstance(outcome, UnknownOutcome):
        raise _unknown_outcome(outcome)
    confirmation = Confirmation(outcome.version)
    if wait:
        confirmation = await _wait(client, outcome, operations, timeout_s)
    return PublicationReport(
        version=outcome.version,
        published=isinstance(outcome, Published),
        in_force=sorted(confirmation.versions_by_host.keys() - confirmation.behind),
        behind=confirmation.behind,
        unreachable=confirmation.errors_by_host,
        asked=confirmation.asked,
    )


async def _wait(
    client: LogClient,
    outcome: Published | AlreadyActive,
    operations: Sequence[str],
    timeout_s: float,
) -> Confirmation:
    known: dict[str, str] = {}

    async def find() -> dict[str, str]:
        # Hosts that were found stay known while the log service is down.
        nonlocal known
        while True:
            with contextlib.suppress(LogUnavailableError):
                known = await find_addresses(client, operations)
                return known
            if known:
                return known
            await trio.sleep(_FIND_INTERVAL_S)

    ask = partial(fetch_status, timeout_s=_STATUS_TIMEOUT_S)
    return await wait_until_active(outcome.version, find, ask, timeout_s)


def _unknown_outcome(outcome: UnknownOutcome) -> CommandError:
    if outcome.may_be_published:
        message = "the change may be published or not"
        hint = "run the command again: it finds out, and never publishes it twice"
    else:
        message = "nothing was published"
        hint = "run the command again once the log service answers"
    text = f"{message}: {outcome.detail}"
    return CommandError(ExitCode.LOG_UNREACHABLE, text, hint)


def _print_report(report: PublicationReport, wait: bool) -> None:
    if report.published:
        print(f"published version {report.version}")
    else:
        print(f"nothing to publish: version {report.version} holds these files")
    if not wait:
        return
    if not report.asked:
        print("NOT KNOWN where it is in force: the log service didn't tell the hosts")
        return
    print(f"in force at {len(report.in_force)} hosts")
    for host, version in sorted(report.behind.items()):
        print(f"NOT IN FORCE at {host}: it has version {version}")
    for host, fault in sorted(report.unreachable.items()):
        print(f"NOT REACHED: {host}: {fault}")
