"""A load for planned stops, and what must hold of each of its requests.

The load records when each request was sent and how it ended; the fake upstream records
which requests it received. Times are seconds on trio's clock of the test.
"""

import itertools
import math
import os
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import h11
import trio

from mangospoke.bench.waiting import wait_until
from mangospoke.http.bodies import buffered_body, streamed_body
from mangospoke.http.messages import HttpResponse
from tests.platform.hosted_fleet import HOST, KEY, Upstream

LOSS_SLACK_S = 0.2
"""A request that crosses the close of its connection may end so late unanswered."""

MAX_EXCUSED_SENDING_S = 3.0
"""Requests sent later after the SIGTERM must not be cut at the end."""

LAST_PART = 1 / 6
"""A request may be cut in this last part of the grace time."""

TIMEOUT_TOLERANCE_S = 0.1
HANG_UP_NOTICE_S = 0.2
"""Time in which an upstream notices that its request was broken off."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MAX_SILENCE_S = 20.0
_CHUNK = b"x" * 32_768
_RECEIVE_BYTES = 65_536


@dataclass
class Sent:
    """A request as its caller saw it.

    Attributes:
        is_behind: Whether it was sent behind an unanswered one on its connection.
        sent_at: When its head was handed to the kernel.
        ended_at: When its response was complete, or the connection ended.
        status: Status of the complete response, or None.
        ending: How the connection ended instead: `closed`, `reset`, `silent`, or
            `behind-close` if it was sent behind a response that closes it.
    """

    attempt_id: str
    target: str
    method: str
    is_behind: bool
    sent_at: float
    timeout_s: float
    ended_at: float = math.inf
    status: int | None = None
    ending: str = ""


@dataclass
class Run:
    """A request as an upstream saw it.

    Attributes:
        answered_at: When its answer was complete.
        status: The status of that answer.
        cancelled_at: When it was broken off instead.
    """

    attempt_id: str
    method: str
    started_at: float
    answered_at: float = math.inf
    status: int | None = None
    cancelled_at: float = math.inf

    @property
    def ended_at(self):
        return min(self.answered_at, self.cancelled_at)


class Journal:
    """All requests of a load, by attempt id, which begins with the prefix."""

    def __init__(self, prefix="q"):
        self.sent_by_id = {}
        self._prefix = prefix
        self._numbers = itertools.count()

    def new_id(self):
        return f"{self._prefix}{next(self._numbers)}"

    def add(self, sent):
        self.sent_by_id[sent.attempt_id] = sent
        return sent


@dataclass
class Request:
    """What a caller is going to send.

    Attributes:
        key: The key, or None for a route without one.
        upload_chunks: Chunks of a body that is sent slowly, or 0 for no body.
        chunk_interval_s: Pause before each chunk of the body.
    """

    target: str
    method: str = "GET"
    key: str | None = KEY
    timeout_s: float = 15.0
    attempt_id: str | None = None
    upload_chunks: int = 0
    chunk_interval_s: float = 0.0

    def encode(self, attempt_id):
        lines = [
            f"{self.method} {self.target} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: {attempt_id}",
            f"Timeout-Ms: {self.timeout_s * 1000:.0f}",
        ]
        if self.key is not None:
            lines.append(f"Key: {self.key}")
        if self.method == "POST":
            lines.append(f"Content-Length: {self.upload_chunks * len(_CHUNK)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


class ConnectionEndedError(Exception):
    """The connection ended before a complete response; its text says how."""


class CallerConnection:
    """A caller's connection to a daemon."""

    def __init__(self, stream, journal):
        self._stream = stream
        self._journal = journal
        self._received = b""

    async def exchange(self, requests):
        """Sends requests at once; returns whether the connection can be used again."""
        sent = []
        content = b""
        for number, request in enumerate(requests):
            attempt_id = request.attempt_id or self._journal.new_id()
            content += request.encode(attempt_id)
            record = Sent(
                attempt_id,
                request.target,
                request.method,
                number > 0,
                trio.current_time(),
                request.timeout_s,
            )
            sent.append(self._journal.add(record))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, content, requests[-1], sent)
            is_reusable = await self._receive_all(sent)
            nursery.cancel_scope.cancel()
        return is_reusable

    async def _send(self, content, last, sent):
        try:
            await self._stream.send_all(content)
            # The caller itself may have been kept waiting until here.
            for record in sent:
                record.sent_at = trio.current_time()
            for _ in range(last.upload_chunks):
                await trio.sleep(last.chunk_interval_s)
                await self._stream.send_all(_CHUNK)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # How the connection ended is seen, and recorded, where it is read.
            return

    async def _receive_all(self, sent):
        ending = ""
        for record in sent:
            if not ending:
                ending = await self._receive_one(record)
            if record.status is None:
                record.ending = ending
                record.ended_at = trio.current_time()
        return not ending

    async def _receive_one(self, record):
        """Reads a response; returns why no other can follow it, or an empty text."""
        try:
            with trio.fail_after(MAX_SILENCE_S):
                head = await self._read_response(record.method)
        except trio.TooSlowError:
            return "silent"
        except ConnectionEndedError as error:
            return str(error)
        record.status = head.status_code
        record.ended_at = trio.current_time()
        is_last = (b"connection", b"close") in list(head.headers)
        return "behind-close" if is_last else ""

    async def _read_response(self, method):
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method=method, target="/", headers=[("host", HOST)]))
        http.send(h11.EndOfMessage())
        if self._received:
            http.receive_data(self._received)
        head = None
        while True:
            event = await self._next_event(http)
            if isinstance(event, h11.Response):
                head = event
            if isinstance(event, h11.EndOfMessage):
                self._received = http.trailing_data[0]
                return head

    async def _next_event(self, http):
        while (event := http.next_event()) is h11.NEED_DATA:
            try:
                content = await self._stream.receive_some(_RECEIVE_BYTES)
            except trio.BrokenResourceError as error:
                raise ConnectionEndedError("reset") from error
            if not content:
                raise ConnectionEndedError("closed")
            http.receive_data(content)
        return event


@asynccontextmanager
async def connect(address, journal):
    """Opens a caller's connection.

    Raises:
        OSError: If nobody accepts it.
    """
    ip, _, port = address.rpartition(":")
    async with await trio.open_tcp_stream(ip, int(port)) as stream:
        yield CallerConnection(stream, journal)


async def send_once(journal, address, *requests):
    """Sends requests over a new connection."""
    async with connect(address, journal) as connection:
        await connection.exchange(requests)


@dataclass
class Load:
    """Callers of one daemon that go on until the load is told to end."""

    journal: Journal
    address: str
    is_over: bool = False
    dice: random.Random = field(default_factory=lambda: random.Random(7))

    async def open_connections(self, interval_s, max_work_s):
        """Sends each request over a new connection, at a steady rate."""
        async with trio.open_nursery() as nursery:
            while not self.is_over:
                nursery.start_soon(self._send_once, self._make_get(max_work_s))
                await trio.sleep(interval_s)

    async def keep_connection(self, make_batch, pause_s=0.0):
        """Sends batches over a kept connection, and over a new one when it closes."""
        while not self.is_over:
            try:
                async with connect(self.address, self.journal) as connection:
                    is_reusable = True
                    while is_reusable and not self.is_over:
                        is_reusable = await connection.exchange(make_batch())
                        await trio.sleep(self.dice.uniform(0, pause_s))
            except OSError:
                await trio.sleep(0.02)

    async def _send_once(self, request):
        try:
            await send_once(self.journal, self.address, request)
        except OSError:
            # Not accepted, so that it isn't part of the record.
            return

    def _work(self, max_work_s):
        return f"work={self.dice.uniform(0, max_work_s):.3f}"

    def _make_get(self, max_work_s):
        return Request(f"/open/n?{self._work(max_work_s)}")

    def make_gets(self, count, max_work_s):
        """Returns a maker of batches of pipelined requests."""
        return lambda: [self._make_get(max_work_s) for _ in range(count)]

    def make_inner(self, max_work_s):
        """Returns a maker of single requests without a key."""
        return lambda: [Request(f"/inner/n?{self._work(max_work_s)}", key=None)]

    def make_booking(self, max_work_s):
        """Returns a maker of single unsafe requests."""
        return lambda: [Request(f"/book/n?{self._work(max_work_s)}", "POST")]

    async def run_mixed(self, max_work_s=0.3, batch_size=3):
        """Runs new and kept connections, also with unsafe and with keyless requests.

        Args:
            max_work_s: Longest work of the upstream for a request, in seconds.
            batch_size: Number of safe requests that some callers send at once.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.open_connections, 0.03, max_work_s)
            for _ in range(3):
                batches = self.make_gets(1, max_work_s)
                nursery.start_soon(self.keep_connection, batches, 0.05)
                batches = self.make_gets(batch_size, max_work_s)
                nursery.start_soon(self.keep_connection, batches, 0.02)
            for _ in range(2):
                batches = self.make_booking(max_work_s)
                nursery.start_soon(self.keep_connection, batches, 0.02)
                nursery.start_soon(self.keep_connection, self.make_inner(0.02))


class ScriptedUpstream(Upstream):
    """An upstream that does what the query of the target says.

    `work` is its seconds of work; `never` leaves the request without an answer;
    `chunks` is the number of chunks of 32 KiB of a slow answer, with `every` seconds
    between them; `calls` is the number of sub-calls, made one after another, each
    after `work` seconds.
    """

    def __init__(self, service):
        super().__init__(service)
        self.runs = []
        self.journal = Journal()
        self.outbound = ""

    async def handle(self, request):
        headers = dict(request.headers)
        attempt_id = headers[b"attempt-id"].decode()
        method = request.method.decode()
        run = Run(attempt_id, method, trio.current_time())
        self.runs.append(run)
        try:
            run.status = await self._work(request, attempt_id)
        except BaseException:
            run.cancelled_at = trio.current_time()
            raise
        script = _read_script(request)
        fields = [
            (b"attempt-id", attempt_id.encode()),
            (b"response-signature", self.service.encode()),
        ]
        if chunk_count := int(script.get("chunks", 0)):
            chunks = _send_chunks(run, chunk_count, float(script["every"]))
            return HttpResponse(run.status, fields, streamed_body(chunks, None))
        run.answered_at = trio.current_time()
        return HttpResponse(run.status, fields, buffered_body(request.target))

    async def _work(self, request, attempt_id):
        script = _read_script(request)
        async for _ in request.body.chunks():
            pass
        work_s = float(script.get("work", 0))
        status = 200
        for number in range(int(script.get("calls", 0))):
            await trio.sleep(work_s)
            sub_call = Request(
                "/leaf/sub?work=0.05", key=None, attempt_id=f"{attempt_id}.{number}"
            )
            await send_once(self.journal, self.outbound, sub_call)
            if self.journal.sent_by_id[sub_call.attempt_id].status != 200:
                status = 500
        if "never" in script:
            await trio.sleep_forever()
        await trio.sleep(work_s)
        return status


def _read_script(request):
    query = urlsplit(request.target.decode()).query
    values = parse_qs(query, keep_blank_values=True)
    return {name: value for name, [value] in values.items()}


async def _send_chunks(run, count, interval_s):
    try:
        for _ in range(count):
            await trio.sleep(interval_s)
            yield _CHUNK
        run.answered_at = trio.current_time()
    except BaseException:
        run.cancelled_at = trio.current_time()
        raise


@dataclass
class Stop:
    """A planned stop.

    Attributes:
        began_at: When SIGTERM was sent.
        grace_s: Time after which the platform kills the process.
        exited_at: When the process had exited.
        exit_status: Its exit status.
    """

    began_at: float
    grace_s: float
    exited_at: float = math.inf
    exit_status: int | None = None

    @property
    def last_part_at(self):
        return self.began_at + self.grace_s * (1 - LAST_PART)

    def has_in_last_part(self, at):
        """Returns whether a time is in the last part of the grace time."""
        ends_at = self.began_at + self.grace_s + HANG_UP_NOTICE_S
        return self.last_part_at <= at <= ends_at

    def excuses(self, sent, run):
        """Returns whether the request may be cut at the end of the grace time."""
        is_early = sent.sent_at <= self.began_at + MAX_EXCUSED_SENDING_S
        return is_early and self.has_in_last_part(run.ended_at)


async def wait_for_exit(daemon, stop):
    """Waits until a daemon has exited, at most some seconds beyond the grace time."""

    async def has_exited():
        return not daemon.process.is_running

    await wait_until(has_exited, "the exit", stop.grace_s + 3)
    stop.exited_at = trio.current_time()
    stop.exit_status = daemon.process.exit_status


def send_signal(daemon, number):
    """Signals a daemon, if it runs."""
    if daemon.process.is_running:
        os.kill(daemon.process.pid, number)


def find_violations(journal, runs, *stops):
    """Returns what was wrong, each as a text that begins with the rule's letter.

    Args:
        journal: The requests of the callers.
        runs: What the upstreams received.
        stops: The planned stops, in order; the texts count seconds from the last one
            that began before the request ended.
    """
    found = [*_check_single_runs(runs)]
    for stop in stops:
        found += _check_exit(stop)
    received = {run.attempt_id for run in runs}
    for run in runs:
        sent = journal.sent_by_id.get(run.attempt_id)
        if sent is not None:
            found += _check_run(sent, run, stops)
    for sent in journal.sent_by_id.values():
        if sent.attempt_id not in received:
            found += _check_unreceived(sent, stops)
    return found


def _check_run(sent, run, stops):
    where = _describe(sent, run, stops)
    if sent.status in NOT_RUN_STATUSES and sent.status != run.status:
        yield f"B: received, but answered {sent.status}: {where}"
    is_late = any(stop.has_in_last_part(run.answered_at) for stop in stops)
    if run.answered_at < math.inf and not is_late and sent.status != run.status:
        yield f"D: the upstream's answer didn't get through: {where}"
    has_timed_out = run.ended_at - sent.sent_at >= sent.timeout_s - TIMEOUT_TOLERANCE_S
    if has_timed_out or any(stop.excuses(sent, run) for stop in stops):
        return
    if sent.status is None:
        yield f"A: received, but ended without a response ({sent.ending}): {where}"
    elif run.cancelled_at < math.inf:
        yield f"A: broken off, answered {sent.status} by the daemon: {where}"


def _check_unreceived(sent, stops):
    """Requests that weren't passed on, but were read, must be answered too."""
    crossed_s = sent.ended_at - sent.sent_at
    if sent.status is None and not sent.is_behind and crossed_s > LOSS_SLACK_S:
        yield f"C: read, not passed on, no response: {_describe(sent, None, stops)}"
    if sent.status is not None and sent.status < 300:
        yield f"C: not passed on, but answered {sent.status}: {sent}"


def _check_exit(stop):
    if stop.exit_status != 0:
        yield f"E: exit status {stop.exit_status}"
    if stop.exited_at >= stop.began_at + stop.grace_s:
        yield f"E: exited {stop.exited_at - stop.began_at:.2f} s after SIGTERM"


def _check_single_runs(runs):
    received = set()
    for run in runs:
        if run.method == "POST" and run.attempt_id in received:
            yield f"F: an unsafe request ran twice: {run.attempt_id}"
        received.add(run.attempt_id)


def summarize(violations):
    """Returns the number of violations by rule, and the first ones of each."""
    by_rule = {}
    for text in violations:
        by_rule.setdefault(text[0], []).append(text)
    lines = [f"{rule}: {len(texts)}" for rule, texts in sorted(by_rule.items())]
    for _, texts in sorted(by_rule.items()):
        lines += texts[:4]
    return "\n".join(lines)


def find_unanswered(journal, runs):
    """Returns the requests that an upstream received and that got no response."""
    received = {run.attempt_id for run in runs}
    return [
        sent
        for sent in journal.sent_by_id.values()
        if sent.attempt_id in received and sent.status is None
    ]


def _describe(sent, run, stops):
    began_before = [s.began_at for s in stops if s.began_at <= sent.ended_at]
    began_at = max(began_before, default=stops[0].began_at if stops else 0.0)
    sent_s, ended_s = sent.sent_at - began_at, sent.ended_at - began_at
    text = f"{sent.method} {sent.target} {sent.attempt_id} sent {sent_s:+.2f} s"
    text += f", ended {ended_s:+.2f} s, {sent.status or sent.ending}"
    if run is not None:
        text += f", at work until {run.ended_at - began_at:+.2f} s"
    return text + (", pipelined" if sent.is_behind else "")
