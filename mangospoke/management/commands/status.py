"""`mangospoke status`: the state of the fleet."""

from collections.abc import Awaitable, Callable, Sequence
from functools import partial

import msgspec
import trio
from rich.console import Console

from mangospoke.logservice.client import LogClient, LogUnavailableError
from mangospoke.management.exits import ExitCode
from mangospoke.management.fleet_report import (
    FleetReport,
    LogReport,
    make_fleet_report,
)
from mangospoke.management.fleet_tables import render_fleet
from mangospoke.management.log_access import (
    FlagOption,
    JsonOption,
    LogOption,
    OperationsOption,
    SettingsOption,
    find_addresses,
    log_unreachable,
    make_log_client,
)
from mangospoke.publication.hosts import fetch_status, fetch_statuses
from mangospoke.publication.reading import ConfigurationReader

_STATUS_TIMEOUT_S = 2.0


def run(
    *,
    log: LogOption = None,
    settings: SettingsOption = None,
    operations: OperationsOption = None,
    hosts: FlagOption = False,
    watch: FlagOption = False,
    interval_s: float = 2.0,
    json: JsonOption = False,
) -> ExitCode:
    """Shows the state of the fleet.

    The daemons are those given by --operations, or all that the log service knows.
    Exits with 5 if none can be asked.

    Args:
        log: Address of the log service.
        settings: A host's settings file, to take the log service's address from.
        operations: Operations address of a daemon; may be given several times.
        hosts: Show every host, also in a large fleet.
        watch: Show the state again and again, until interrupted.
        interval_s: Seconds between two looks.
        json: Print JSON, one line a look.
    """
    client = None
    if log is not None or settings is not None or not operations:
        client = make_log_client(log, settings)
    look = partial(_look, client, operations or [])
    show: Callable[[FleetReport], None] = _print_json
    if not json:
        show = partial(_print_tables, Console(), hosts, watch)
    if watch:
        trio.run(_watch, look, show, interval_s)
        return ExitCode.OK
    report = trio.run(look)
    show(report)
    return ExitCode.OK if report.hosts else ExitCode.UNREACHABLE


async def _watch(
    look: Callable[[], Awaitable[FleetReport]],
    show: Callable[[FleetReport], None],
    interval_s: float,
) -> None:
    while True:
        show(await look())
        await trio.sleep(interval_s)


async def _look(client: LogClient | None, operations: Sequence[str]) -> FleetReport:
    log = LogReport(asked=False)
    if client is not None:
        log = await _ask_log(client)
    names_by_address = {address: address for address in operations}
    if client is not None and not operations:
        try:
            names_by_address = await find_addresses(client, operations)
        except LogUnavailableError as error:
            raise log_unreachable(error) from error
    ask = partial(fetch_status, timeout_s=_STATUS_TIMEOUT_S)
    fleet = await fetch_statuses(names_by_address, ask)
    return make_fleet_report(fleet, names_by_address, log)


async def _ask_log(client: LogClient) -> LogReport:
    reader = ConfigurationReader(client)
    try:
        await reader.read_to_end()
    except LogUnavailableError as error:
        return LogReport(asked=True, detail=str(error))
    version = reader.state.version if reader.is_complete else None
    return LogReport(asked=True, version=version)


def _print_json(report: FleetReport) -> None:
    print(msgspec.json.encode(report).decode(), flush=True)


def _print_tables(
    console: Console, all_hosts: bool, clears: bool, report: FleetReport
) -> None:
    if clears:
        console.clear()
    console.print(render_fleet(report, all_hosts))
