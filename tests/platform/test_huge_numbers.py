"""A number of thousands of digits is a fault of its sender, not of the daemon.

A `Timeout-Ms` of 5,000 digits used to be answered 500: `int` raises an error for it.
"""

import json

import pytest
import trio

from mangospoke.conf.settings import Limits
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.bodies import buffered_body
from mangospoke.http.client import HttpConnection, ResponseMalformedError
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.http.server import ConnectionContext, serve_connection
from mangospoke.idle import WorkCounter
from mangospoke.ingress.calls import _deadline_s
from mangospoke.numbers import MAX_WHOLE_NUMBER, parse_whole_number
from mangospoke.platform.headers import CALLER_DIALECT, UPSTREAM_DIALECT
from mangospoke.platform.heartbeats import HeartbeatRequestHandler
from mangospoke.platform.store import _read_era
from mangospoke.streams import Stream

HUGE = b"9" * 5_000
HOST = (b"host", b"x")


def make_request(*headers, body=b""):
    return HttpRequest(b"PUT", b"/instances/i-1", [*headers], buffered_body(body))


@pytest.mark.parametrize(
    ("text", "number"),
    [
        (b"0", 0),
        (b"0017", 17),
        (b"0" * 5_000 + b"17", 17),
        (HUGE, MAX_WHOLE_NUMBER),
        (b"", None),
        (b"-1", None),
        (b"1_0", None),
        (b" 1", None),
    ],
)
def test_a_whole_number_of_any_length_is_read(text, number):
    assert parse_whole_number(text) == number


def test_a_callers_huge_timeout_is_longer_than_any_route():
    fields = CALLER_DIALECT.read_fields(make_request((b"timeout-ms", HUGE)))
    assert fields.timeout_s == MAX_WHOLE_NUMBER / 1000


def test_a_huge_deadline_is_the_routes_own():
    class Route:
        deadline_s = 2.0

    request = make_request((b"mangospoke-deadline-ms", HUGE))
    assert _deadline_s(request, Route()) == Route.deadline_s


def test_an_upstreams_huge_numbers_are_read():
    headers = [
        (b"server-load", HUGE + b",0," + HUGE),
        (b"keep-alive", b"timeout=" + HUGE),
        (b"store-era", HUGE),
    ]
    response = HttpResponse(200, headers, buffered_body(b""))
    metadata = UPSTREAM_DIALECT.read_metadata(response)
    assert metadata.report.slots == MAX_WHOLE_NUMBER
    assert metadata.idle_timeout_s == MAX_WHOLE_NUMBER
    assert _read_era(response) == MAX_WHOLE_NUMBER


class HeartbeatRecorder:
    """Stands in for the registrar."""

    def __init__(self):
        self.heartbeats = []

    def handle_heartbeat(self, heartbeat):
        self.heartbeats.append(heartbeat)
        return True


@pytest.mark.parametrize("field", ["born", "seq", "slots"])
@pytest.mark.parametrize("number", [-1, 10**30, 10**400])
async def test_a_heartbeat_with_an_absurd_number_names_no_upstream(field, number):
    body = {
        "address": "10.0.0.1:80",
        "born": 5,
        "info": {"service": "batches", "slots": 4},
        "status": {"state": "ready", "seq": 1, "coldLeft": "0ms"},
    }
    part = {"born": body, "seq": body["status"], "slots": body["info"]}[field]
    receiver = HeartbeatRecorder()
    heartbeats = receiver.heartbeats
    handler = HeartbeatRequestHandler(receiver)
    await handler.handle(make_request(body=json.dumps(body).encode()))
    assert len(heartbeats) == 1
    part[field] = number
    response = await handler.handle(make_request(body=json.dumps(body).encode()))
    assert response.status == 400
    assert len(heartbeats) == 1


async def test_a_callers_huge_length_is_answered_as_a_bad_request(nursery):
    ours, theirs = trio.socket.socketpair()
    context = ConnectionContext(Limits(), WorkCounter(), HangUpMonitor())
    nursery.start_soon(serve_connection, Stream(theirs), None, context)
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + HUGE + b"\r\n\r\n"
    await ours.send(head)
    received = b""
    with trio.fail_after(5):
        while chunk := await ours.recv(10_000):
            received += chunk
    assert received.startswith(b"HTTP/1.1 400")
    assert b"mangospoke-verdict: not-run" in received


async def test_an_upstreams_huge_length_is_a_malformed_response():
    ours, theirs = trio.socket.socketpair()
    connection = HttpConnection(Stream(ours), 16_384)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: " + HUGE + b"\r\n\r\n"
    await theirs.send(head)
    with pytest.raises(ResponseMalformedError):
        await connection.exchange(b"GET", b"/", [HOST], buffered_body(b""), 1_000)
    await connection.aclose()
