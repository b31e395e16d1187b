"""`mangospoke losses`: count from logs what requests were lost, and of what."""

from datetime import UTC, datetime
from pathlib import Path

from mangospoke.forensics.log_reader import read_logs
from mangospoke.forensics.summary import LossSummary, summarize_losses
from mangospoke.management.exits import CommandError, ExitCode


def run(
    *files: Path, since: datetime | None = None, service: str | None = None
) -> ExitCode:
    """Counts requests without an answer, by service, reason and whether they ran.

    Args:
        files: Log files of the hosts, in JSON lines; other lines are passed over.
        since: Earlier lines are passed over; in UTC if it names no zone.
        service: Only requests for this service.
    """
    if since is not None and since.tzinfo is None:
        since = since.replace(tzinfo=UTC)
    try:
        lines = read_logs(files)
    except OSError as error:
        raise CommandError(ExitCode.USAGE, str(error)) from error
    _print(summarize_losses(lines, since, service))
    return ExitCode.OK


def _print(summary: LossSummary) -> None:
    print(f"answered: {summary.answered}, of these late: {summary.late}")
    for kind, count in summary.counts.most_common():
        service = kind.service or "(no service)"
        print(
            f"{count:>7}  {service:<16} {kind.outcome:<10} {kind.verdict:<12} "
            f"{kind.reason:<24} such as {summary.examples[kind] or '(no id)'}"
        )
    if summary.dropped_lines:
        print("lines beyond the budget, not counted above:")
        for name, count in summary.dropped_lines.most_common():
            print(f"{count:>7}  {name}")
