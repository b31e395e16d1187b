"""The record of what a stand-in upstream ran, for checks of histories."""

import enum
import time
from collections import Counter, deque
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec
from msgspec import Struct

from mangospoke.http.fields import ACCOUNT, IDEMPOTENCY_KEY, REQUEST_ID
from mangospoke.standin.http import Request

REMEMBERED_EXECUTIONS = 500_000


class Result(enum.Enum):
    """What became of an execution. `SHED` alone means that it did not run."""

    RUNNING = "running"
    ANSWERED = "answered"
    SUB_CALL_FAILED = "sub-call-failed"
    DEADLINE_PASSED = "deadline-passed"
    CANCELLED = "cancelled"
    CRASHED = "crashed"
    SHED = "shed"


class Execution(Struct, kw_only=True):
    """One request as the upstream saw it.

    Attributes:
        number: Counts from 1 in each life of the upstream.
        headers: Names and values as received, in order.
        started_at: Wall-clock seconds at which it got a slot or was shed.
        ended_at: Wall-clock seconds of its end, or None while it runs.
    """

    number: int
    service: str
    address: str
    request_id: str
    account_id: str
    method: str
    target: str
    idempotency_key: str
    headers: list[tuple[str, str]]
    started_at: float
    ended_at: float | None = None
    result: Result = Result.RUNNING

    @property
    def ran(self) -> bool:
        """Whether work on it began."""
        return self.result is not Result.SHED


class ExecutionLog:
    """Executions of one life of an upstream, in memory and perhaps in a file.

    Attributes:
        counts_by_result: Ended executions.
    """

    def __init__(self, service: str, address: str, file: BinaryIO | None) -> None:
        self.counts_by_result: Counter[Result] = Counter()
        self._service = service
        self.address = address
        self._executions: deque[Execution] = deque(maxlen=REMEMBERED_EXECUTIONS)
        self._last_number = 0
        self._file = file
        self._encoder = msgspec.json.Encoder()

    def start(self, request: Request) -> Execution:
        """Records that a request begins to run."""
        self._last_number += 1
        execution = Execution(
            number=self._last_number,
            service=self._service,
            address=self.address,
            request_id=_text(request.header(REQUEST_ID)),
            account_id=_text(request.header(ACCOUNT)),
            method=_text(request.method),
            target=_text(request.target),
            idempotency_key=_text(request.header(IDEMPOTENCY_KEY)),
            headers=[(_text(name), _text(value)) for name, value in request.headers],
            started_at=time.time(),
        )
        self._executions.append(execution)
        self._write(execution)
        return execution

    def end(self, execution: Execution, result: Result) -> None:
        """Records the end of an execution."""
        execution.result = result
        execution.ended_at = time.time()
        self.counts_by_result[result] += 1
        self._write(execution)

    def shed(self, request: Request) -> None:
        """Records a request that was refused without running."""
        self.end(self.start(request), Result.SHED)

    def after(self, number: int) -> Iterator[Execution]:
        """Yields the executions with a higher number."""
        for execution in self._executions:
            if execution.number > number:
                yield execution

    def _write(self, execution: Execution) -> None:
        if self._file is not None:
            self._file.write(self._encoder.encode(execution) + b"\n")
            self._file.flush()


def encode_lines(executions: Iterable[Execution]) -> bytes:
    """Encodes executions as JSON lines."""
    return msgspec.json.Encoder().encode_lines(executions)


def decode_lines(content: bytes) -> list[Execution]:
    """Decodes JSON lines; a later line about the same execution replaces it."""
    decoder = msgspec.json.Decoder(Execution)
    executions_by_start: dict[tuple[str, int, float], Execution] = {}
    for line in content.splitlines():
        execution = decoder.decode(line)
        key = (execution.address, execution.number, execution.started_at)
        executions_by_start[key] = execution
    return list(executions_by_start.values())


def read_record(path: Path) -> list[Execution]:
    """Reads the executions that upstreams appended to a file."""
    return decode_lines(path.read_bytes()) if path.exists() else []


def _text(value: bytes | None) -> str:
    return "" if value is None else value.decode("latin-1")
