"""`mangospoke demo`: run a small fleet with stand-ins, drive it, and stop it."""

import sys
import tempfile
from pathlib import Path
from typing import Annotated

import msgspec
import trio
from cyclopts import Parameter
from rich.console import Console
from rich.live import Live

from mangospoke.bench.demo import DemoReport, run_demo
from mangospoke.bench.demo_table import render_report
from mangospoke.bench.fleet import FleetError
from mangospoke.management.exits import CommandError, ExitCode

DEFAULT_SECONDS = 20.0


def run(
    *,
    seconds: float = DEFAULT_SECONDS,
    json: Annotated[bool, Parameter(negative="")] = False,
    directory: Path | None = None,
) -> ExitCode:
    """Runs a fleet of twelve hosts on loopback addresses, drives it, and stops it.

    One client account asks for more than its rate throughout, and an upstream of the
    deepest service is slow for a while in the middle.

    Args:
        seconds: How long calls are made.
        json: Print the last report as JSON, and nothing else.
        directory: Keep the processes' settings and output here.
    """
    if not 1 <= seconds <= 600:
        raise CommandError(ExitCode.USAGE, "--seconds must be between 1 and 600")
    with tempfile.TemporaryDirectory(prefix="mangospoke-demo-") as temporary:
        kept = directory or Path(temporary)
        kept.mkdir(parents=True, exist_ok=True)
        try:
            report = _run_quietly(seconds, kept) if json else _run_live(seconds, kept)
        except FleetError as error:
            raise CommandError(ExitCode.STOPPED, str(error)) from error
        except KeyboardInterrupt:
            raise CommandError(ExitCode.STOPPED, "interrupted") from None
    is_fine = report.clean_end and not report.faults
    return ExitCode.OK if is_fine else ExitCode.STOPPED


def _run_quietly(seconds: float, directory: Path) -> DemoReport:
    report = trio.run(run_demo, seconds, directory, _ignore)
    sys.stdout.write(msgspec.json.encode(report).decode() + "\n")
    return report


def _run_live(seconds: float, directory: Path) -> DemoReport:
    console = Console()
    console.print("starting 12 daemons, 12 upstreams, a log service, a fault proxy ...")
    if not console.is_terminal:
        report = trio.run(run_demo, seconds, directory, _ignore)
        console.print(render_report(report))
        return report
    with Live(console=console, auto_refresh=False) as live:

        def show(report: DemoReport) -> None:
            live.update(render_report(report), refresh=True)

        report = trio.run(run_demo, seconds, directory, show)
        show(report)
    return report


def _ignore(_: DemoReport) -> None:
    """Shows nothing."""
