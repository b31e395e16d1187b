"""A stand-in for the platform's log service, as a real process over HTTP.

It keeps records in memory, offers the interface of `mangospoke.logservice.protocol`
and fails on demand: see `LogFaults` and `Retention`.
"""

import random
import time
from collections import deque
from itertools import islice
from typing import Annotated

import msgspec
import trio
from msgspec import Meta, Raw, Struct

from mangospoke.logservice.protocol import AppendResponse, ReadResponse, StoredRecord
from mangospoke.standin.http import (
    ConnectionDroppedError,
    HttpServer,
    Request,
    Response,
)

DEFAULT_ADDRESS = "127.0.0.1:7900"
DEFAULT_APPENDS_PER_SECOND = 500
MAXIMUM_WAIT_MS = 60_000
MAXIMUM_READ_RECORDS = 1_000

_BURST_SECONDS = 0.5
_FAULTS_PATH = "/control/faults"
_RETENTION_PATH = "/control/retention"


class LogFaults(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How the log service misbehaves; a POST replaces all of it.

    Attributes:
        down: Connections are closed without an answer.
        delay_ms: Milliseconds added before each answer.
        lost_answers: Next appends that are stored, but whose connection is closed
            without an answer.
        lost_answer_probability: Probability of the same for each further append.
        seed: Seeds the choice of lost answers.
        appends_per_second: Further appends are answered with 429.
    """

    down: bool = False
    delay_ms: Annotated[float, Meta(ge=0)] = 0
    lost_answers: Annotated[int, Meta(ge=0)] = 0
    lost_answer_probability: Annotated[float, Meta(ge=0, le=1)] = 0
    seed: int = 0
    appends_per_second: Annotated[int, Meta(gt=0)] = DEFAULT_APPENDS_PER_SECOND


class Retention(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What to keep; a POST drops the rest at once.

    Attributes:
        stream: The stream; all of them if empty.
        records: Newest records that are kept, or None for all.
        age_ms: Age up to which records are kept, or None for any.
    """

    stream: str = ""
    records: Annotated[int, Meta(ge=0)] | None = None
    age_ms: Annotated[int, Meta(ge=0)] | None = None


class _Stream:
    """Records of one stream in offset order."""

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: deque[StoredRecord] = deque()
        self._grown = trio.Event()

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)

    def append(self, content: bytes) -> int:
        offset = self.next_offset
        now_ms = _wall_clock_ms()
        self.records.append(StoredRecord(offset, now_ms, Raw(content)))
        grown, self._grown = self._grown, trio.Event()
        grown.set()
        return offset

    def read(self, offset: int, limit: int) -> ReadResponse:
        start = max(0, offset - self.first_offset)
        records = tuple(islice(self.records, start, start + limit))
        if offset < self.first_offset:
            records = ()
        return ReadResponse(self.first_offset, self.next_offset, records)

    async def wait_for(self, offset: int) -> None:
        while self.next_offset <= offset:
            await self._grown.wait()

    def keep(self, retention: Retention) -> None:
        oldest_ms = 0
        if retention.age_ms is not None:
            oldest_ms = _wall_clock_ms() - retention.age_ms
        count = len(self.records) if retention.records is None else retention.records
        while self.records and (
            len(self.records) > count or self.records[0].appended_at_ms < oldest_ms
        ):
            self.records.popleft()
            self.first_offset += 1


class LogService:
    """The streams and the faults in force."""

    def __init__(self, faults: LogFaults | None = None) -> None:
        self.server = HttpServer(self.answer)
        self._streams_by_name: dict[str, _Stream] = {}
        self._faults = faults or LogFaults()
        self._lost_answers = 0
        self._random = random.Random(0)
        self._tokens = 0.0
        self._refilled_at = 0.0
        self._set_faults(self._faults)

    async def answer(self, request: Request) -> Response:
        """Answers one request, faults included."""
        if request.path.startswith("/control/"):
            return self._control(request)
        if self._faults.down:
            raise ConnectionDroppedError
        if self._faults.delay_ms:
            await trio.sleep(self._faults.delay_ms / 1000)
        stream = self._stream_of(request.path)
        if stream is None:
            return Response(404, b"no such path\n")
        if request.method == b"POST":
            return self._append(stream, request.body)
        if request.method == b"GET":
            return await self._read(stream, request)
        return Response(405, b"GET reads, POST appends\n")

    def _stream_of(self, path: str) -> _Stream | None:
        parts = path.split("/")
        if len(parts) != 4 or parts[1] != "streams" or parts[3] != "records":
            return None
        return self._streams_by_name.setdefault(parts[2], _Stream())

    def _append(self, stream: _Stream, content: bytes) -> Response:
        if not self._take_token():
            return Response(429, b"too many appends\n", [(b"retry-after", b"1")])
        try:
            msgspec.json.decode(content)
        except msgspec.DecodeError as error:
            return Response(400, f"not JSON: {error}\n".encode())
        offset = stream.append(content)
        if self._loses_answer():
            raise ConnectionDroppedError
        return _json_response(AppendResponse(offset))

    async def _read(self, stream: _Stream, request: Request) -> Response:
        query = request.query
        try:
            offset = int(query.get("from", "0"))
            limit = int(query.get("limit", "100"))
            wait_ms = int(query.get("wait_ms", "0"))
        except ValueError:
            return Response(400, b"from, limit and wait_ms are numbers\n")
        if wait_ms > 0:
            with trio.move_on_after(min(wait_ms, MAXIMUM_WAIT_MS) / 1000):
                await stream.wait_for(offset)
        answer = stream.read(offset, min(limit, MAXIMUM_READ_RECORDS))
        status = 410 if offset < answer.first_offset else 200
        return _json_response(answer, status)

    def _control(self, request: Request) -> Response:
        if request.method == b"GET" and request.path == _FAULTS_PATH:
            return _json_response(self._faults)
        try:
            if request.path == _FAULTS_PATH:
                self._set_faults(msgspec.json.decode(request.body, type=LogFaults))
            elif request.path == _RETENTION_PATH:
                self._keep(msgspec.json.decode(request.body, type=Retention))
            else:
                return Response(404, b"no such path\n")
        except msgspec.MsgspecError as error:
            return Response(400, f"{error}\n".encode())
        return Response(204)

    def _set_faults(self, faults: LogFaults) -> None:
        self._faults = faults
        self._lost_answers = faults.lost_answers
        self._random = random.Random(faults.seed)
        self._tokens = faults.appends_per_second * _BURST_SECONDS
        self._refilled_at = time.monotonic()
        if faults.down:
            self.server.drop_connections()

    def _keep(self, retention: Retention) -> None:
        for name, stream in self._streams_by_name.items():
            if retention.stream in ("", name):
                stream.keep(retention)

    def _take_token(self) -> bool:
        rate = self._faults.appends_per_second
        now = time.monotonic()
        refill = (now - self._refilled_at) * rate
        self._tokens = min(rate * _BURST_SECONDS, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _loses_answer(self) -> bool:
        if self._lost_answers:
            self._lost_answers -= 1
            return True
        return self._random.random() < self._faults.lost_answer_probability


async def serve_log(
    address: str = DEFAULT_ADDRESS,
    faults: LogFaults | None = None,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves a log service until it is cancelled.

    Args:
        address: IP and port to listen on; port 0 takes a free one.
        faults: Faults in force from the beginning.
        task_status: Told the address once it listens.
    """
    await LogService(faults).server.serve(address, task_status)


def _wall_clock_ms() -> int:
    return time.time_ns() // 1_000_000


def _json_response(content: Struct, status: int = 200) -> Response:
    headers = [(b"content-type", b"application/json")]
    return Response(status, msgspec.json.encode(content), headers)
