"""Answers of the platform's store without end: each call ends as unavailable."""

import itertools

import msgspec
import pytest
import trio

from mangospoke.conf.settings import LogService
from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpResponse
from mangospoke.logservice.calls import LogUnavailableError
from mangospoke.logservice.client import LogClient
from mangospoke.logservice.records import LogStream
from mangospoke.platform.store import StoreLog
from tests.harness.raw_upstreams import RawUpstream
from tests.harness.serving import serve_http

TOPIC = "keyed.things"
TIMEOUT_MS = 300
LATE_S = 0.5
LONG_S = 30.0
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def settings_of(address):
    return LogService(address=address, timeout_ms=TIMEOUT_MS)


@pytest.mark.parametrize(
    ("head", "content"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"X-Line: x\r\n"),
        (CHUNKED_HEAD, b"1\r\nx\r\n"),
        (CHUNKED_HEAD, b"10000\r\n" + b"x" * 65_536 + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536),
    ],
)
async def test_bytes_without_end_are_no_answer(nursery, head, content):
    async def script(upstream, stream):
        await stream.send_all(head)
        await upstream.flood(stream, content)

    upstream = await nursery.start(RawUpstream(script).run)
    log = StoreLog(settings_of(upstream.address))
    with trio.fail_after(TIMEOUT_MS / 1000 + LATE_S):
        with pytest.raises(LogUnavailableError):
            await log.read_newest(TOPIC)
        await upstream.ended.wait()


@pytest.mark.parametrize("value", ["eA==", "eHh4" * 100_000])
async def test_pages_without_end_are_not_collected_without_end(nursery, value):
    numbers = itertools.count()

    async def handle(_):
        item = {"key": f"k{next(numbers)}", "value": value, "offset": 1}
        content = msgspec.json.encode({"items": [item], "more": True, "end": 2})
        return HttpResponse(200, [], buffered_body(content))

    log = StoreLog(settings_of(await nursery.start(serve_http, handle)))
    with trio.fail_after(LONG_S), pytest.raises(LogUnavailableError, match="pages"):
        await log.read_newest(TOPIC)


async def test_a_value_that_is_no_base64_is_no_answer(nursery):
    async def handle(_):
        content = b'{"items":[{"key":"k","value":"x","offset":0}],"end":1}'
        return HttpResponse(200, [], buffered_body(content))

    log = StoreLog(settings_of(await nursery.start(serve_http, handle)))
    with pytest.raises(LogUnavailableError):
        await log.read_newest(TOPIC)


@pytest.mark.parametrize("content", [b"", b"no json", b"x" * 17_000_000])
async def test_a_log_service_that_answers_no_json_is_unavailable(nursery, content):
    async def handle(_):
        return HttpResponse(200, [], buffered_body(content))

    address = await nursery.start(serve_http, handle)
    client = LogClient(LogService(address=address, timeout_ms=5_000))
    with pytest.raises(LogUnavailableError):
        await client.read(next(iter(LogStream)), 0, 0)
