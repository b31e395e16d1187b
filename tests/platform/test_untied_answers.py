"""An answer that can't be tied to a request decides nothing about it.

A late second copy of a shed answer, which has no id, used to end the next request on
its connection with "not run", although that request ran.
"""

import itertools

import pytest
import trio

from mangospoke.conf.settings import Limits, LogService
from mangospoke.guard.upstream import UpstreamConnectionPool
from mangospoke.http.client import HttpConnection
from mangospoke.logservice.calls import LogTransport, LogUnavailableError
from mangospoke.platform.headers import UPSTREAM_DIALECT
from mangospoke.streams import Stream
from mangospoke.verdicts import Answered, FailureReason, RefusalReason
from tests.harness.calls import make_call

DEADLINE_S = 0.5
"""How long a request waits for an answer that can be tied to it."""


def encode_answer(status, request_id=None, **fields):
    lines = [f"HTTP/1.1 {status} X", "Content-Length: 0", "Response-Signature: s"]
    if request_id:
        lines.append(f"Attempt-Id: {request_id}")
    lines.extend(f"{name.replace('_', '-')}: {value}" for name, value in fields.items())
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def ok(request_id=None):
    return encode_answer(200, request_id)


def shed(request_id=None):
    return encode_answer(503, request_id, not_executed="1")


class ScriptedUpstream:
    """Answers requests, in their order over all connections, with scripted bytes.

    Args:
        answers: For each request, its answer and what is sent late on its connection,
            before the answer to the next request there.

    Attributes:
        served: For each request, the number of its connection.
    """

    def __init__(self, answers):
        self._answers = iter(answers)
        self._connections = itertools.count()
        self.served = []
        self.pool = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        self.pool = UpstreamConnectionPool(self.address, Limits(), UPSTREAM_DIALECT)
        task_status.started(self)
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream):
        number = next(self._connections)
        received = late = b""
        async with stream:
            while chunk := await stream.receive_some():
                received += chunk
                while b"\r\n\r\n" in received:
                    received = received.partition(b"\r\n\r\n")[2]
                    self.served.append(number)
                    answer, next_late = next(self._answers)
                    await stream.send_all(late + answer)
                    late = next_late

    async def send(self, request_id, **changes):
        changes = {"headers": [(b"host", b"x")], "request_id": request_id} | changes
        call = make_call(DEADLINE_S, **changes)
        with trio.move_on_after(DEADLINE_S):
            return await self.pool.execute(call, "token", echoes_request_id=True)
        return None


@pytest.fixture
async def start(nursery):
    async def start_upstream(*answers):
        return await nursery.start(ScriptedUpstream(answers).run)

    return start_upstream


async def test_a_late_copy_without_id_does_not_refuse_the_next_request(start):
    upstream = await start((shed(), shed()), (ok("b"), b""))
    assert (await upstream.send("a")).reason is RefusalReason.SHED_BY_UPSTREAM
    assert isinstance(await upstream.send("b"), Answered)
    assert upstream.served == [0, 1]


async def test_a_late_copy_does_not_refuse_the_same_request_sent_again(start):
    upstream = await start((shed("a"), shed("a")), (ok("a"), b""), (ok("b"), b""))
    assert (await upstream.send("a")).reason is RefusalReason.SHED_BY_UPSTREAM
    assert isinstance(await upstream.send("a"), Answered)
    # The pool hands out the most recently used one first.
    assert upstream.served == [0, 1]


async def test_a_second_answer_without_id_decides_nothing(start):
    upstream = await start((encode_answer(500) + shed() + ok("a"), b""))
    assert isinstance(await upstream.send("a"), Answered)


async def test_bytes_that_precede_the_request_decide_nothing(start, monkeypatch):
    upstream = await start((ok("a"), shed()), (ok("b"), b""))
    await upstream.send("a")
    # They arrive between the check of the idle connection and the request.
    monkeypatch.setattr(HttpConnection, "is_stale", lambda connection: False)
    monkeypatch.setattr(Stream, "has_input", lambda stream: True)
    outcome = await upstream.send("b")
    assert isinstance(outcome, Answered)
    assert upstream.served == [0, 0]


@pytest.mark.parametrize("request_id", [None, "a"])
async def test_a_misdirected_request_does_not_wait_for_its_deadline(start, request_id):
    upstream = await start((encode_answer(421, request_id), b""))
    assert (await upstream.send("a")).reason is RefusalReason.OTHER_INSTANCE


async def test_a_late_answer_is_not_read_as_the_one_to_a_head_request(start):
    # Its body would be read as the next answer.
    forged = ok("b").replace(b"Content-Length: 0", b"Content-Length: 9")
    late = forged.replace(b"Attempt-Id: b", b"Attempt-Id: a") + forged
    upstream = await start((ok("a"), late), (ok("b"), b""))
    await upstream.send("a")
    outcome = await upstream.send("b", method=b"HEAD")
    assert outcome.reason is FailureReason.CROSSED_ANSWER


async def test_the_log_does_not_take_bytes_that_precede_a_request(start, monkeypatch):
    upstream = await start((ok(), b""), (ok(), b""))
    transport = LogTransport(LogService(address=upstream.address))
    await transport.exchange(b"GET", "/log-read")
    monkeypatch.setattr(HttpConnection, "is_stale", lambda connection: False)
    monkeypatch.setattr(Stream, "has_input", lambda stream: True)
    with pytest.raises(LogUnavailableError):
        await transport.exchange(b"GET", "/log-read")
