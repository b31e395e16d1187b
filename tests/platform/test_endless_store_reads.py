"""A log service whose bytes don't end: each call ends in time, and little is held."""

import pytest
import trio

from mangospoke.conf.settings import LogService
from mangospoke.logservice.calls import LogUnavailableError
from mangospoke.platform.store import StoreLog
from tests.harness.raw_upstreams import RawUpstream

TIMEOUT_MS = 1_000
MAX_CALL_S = 3.0
MAX_BYTES = 30_000_000
"""A response may have 16 MB; the kernel holds some more between two sockets."""

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FLOODS = {
    "header fields": (HEAD, b"X-Line: x\r\n"),
    "chunks": (CHUNKED_HEAD, b"1000\r\n" + b"x" * 4_096 + b"\r\n"),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"X-Trailer: x\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "no length": (HEAD + b"\r\n", b"x" * 4_096),
    "no response": (b"", b"\x00\xff"),
}


@pytest.mark.parametrize("flood", FLOODS)
@pytest.mark.parametrize("call", ["read", "newest"])
async def test_a_call_whose_response_does_not_end_fails_in_time(nursery, flood, call):
    start, repeated = FLOODS[flood]

    async def script(upstream, stream):
        await stream.send_all(start)
        await upstream.flood(stream, repeated)

    store = await nursery.start(RawUpstream(script).run)
    log = StoreLog(LogService(address=store.address, timeout_ms=TIMEOUT_MS))
    with trio.fail_after(MAX_CALL_S), pytest.raises(LogUnavailableError):
        if call == "read":
            await log.read("hosts", 0, 500)
        else:
            await log.read_newest("hosts")
    # The connection is closed, so that nothing more is read from it.
    with trio.fail_after(MAX_CALL_S):
        await store.ended.wait()
    assert store.sent_bytes < MAX_BYTES
