"""The record of a case: what was sent, answered and run, and when."""

import os
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

HELD = 0
BROKEN = 1
NOT_RUN = 2


@dataclass(frozen=True)
class Run:
    """A request that a server began to work on.

    Attributes:
        at: When it arrived, in seconds since the start of the case.
        server: Name of the server.
        attempt: The `Attempt-Id`.
        target: The request target.
        tenant: The `Tenant` field.
    """

    at: float
    server: str
    attempt: str
    target: str
    tenant: str


@dataclass(frozen=True)
class Answer:
    """What a client got for a request.

    Attributes:
        sent_at: When it was sent, in seconds since the start of the case.
        at: When its answer arrived.
        attempt: The `Attempt-Id`.
        status: The status; 0 if the connection ended without an answer.
    """

    sent_at: float
    at: float
    attempt: str
    status: int


class Record:
    """Collects what happens in a case and writes it to `record.txt`."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.answers: list[Answer] = []
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def note(self, text: str) -> None:
        """Adds a line with the present time, and prints it."""
        line = f"{self.now():8.3f} {text}"
        self._lines.append(line)
        print(line, flush=True)

    def add_run(self, server: str, attempt: str, target: str, tenant: str) -> None:
        """Records that a server began to work on a request."""
        self.runs.append(Run(self.now(), server, attempt, target, tenant))
        self._lines.append(f"{self.now():8.3f} run {attempt} {target} at {server}")

    def add_sent(self, attempt: str, target: str, machine: str) -> None:
        """Records that a client sent a request."""
        self._lines.append(f"{self.now():8.3f} sent {attempt} {target} to {machine}")

    def add_answer(self, sent_at: float, attempt: str, status: int) -> None:
        """Records what a client got."""
        self.answers.append(Answer(sent_at, self.now(), attempt, status))
        self._lines.append(f"{self.now():8.3f} answered {attempt} {status or 'closed'}")

    def run_counts(self) -> Counter[str]:
        """Returns how often each `Attempt-Id` was run."""
        return Counter(run.attempt for run in self.runs)

    def write(self, folder: Path) -> None:
        """Writes the record into a folder."""
        text = "\n".join(self._lines) + "\n"
        (folder / "record.txt").write_text(text, encoding="utf-8")


def has_trouble() -> bool:
    """Whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
