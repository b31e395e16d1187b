"""A status that is no HTTP status is never passed on, wherever it comes."""

import pytest
import trio

from mangospoke.conf.settings import Limits
from mangospoke.guard.upstream import UpstreamConnectionPool
from mangospoke.http.bodies import buffered_body
from mangospoke.platform.headers import UPSTREAM_DIALECT
from mangospoke.verdicts import Answered, Unanswered
from tests.harness.calls import make_call

FIELDS = b"Attempt-Id: a\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
ODD_STATUSES = [b"000", b"099", b"99", b"1000", b"2x0", b"+200", b"0200", b"-1", b""]


class StatusUpstream:
    """Answers the requests on each connection with statuses in turn."""

    def __init__(self, statuses, start=b""):
        self.statuses = statuses
        self.start = start

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        task_status.started(f"127.0.0.1:{port}")
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream):
        async with stream:
            for status in self.statuses:
                await self._read_request(stream)
                head = b"HTTP/1.1 %s Odd\r\n" % status
                await stream.send_all(self.start + head + FIELDS)
            await stream.receive_some()

    async def _read_request(self, stream):
        received = b""
        while b"\r\n\r\n" not in received:
            content = await stream.receive_some()
            if not content:
                return
            received += content


async def send(pool, body=b""):
    headers = [(b"host", b"x")]
    call = make_call(3.0, headers=headers, request_id="a", body=buffered_body(body))
    return await pool.execute(call, "token", echoes_request_id=True)


@pytest.mark.parametrize("status", ODD_STATUSES)
@pytest.mark.parametrize("start", [b"", INTERIM], ids=["first", "after interim"])
@pytest.mark.parametrize("body_bytes", [0, 100_000], ids=["plain", "upload"])
async def test_an_odd_status_is_no_response(nursery, status, start, body_bytes):
    address = await nursery.start(StatusUpstream([status], start).run)
    pool = UpstreamConnectionPool(address, Limits(), UPSTREAM_DIALECT)
    assert isinstance(await send(pool, bytes(body_bytes)), Unanswered)


@pytest.mark.parametrize("status", ODD_STATUSES)
async def test_an_odd_status_on_a_kept_connection_is_no_response(nursery, status):
    address = await nursery.start(StatusUpstream([b"200", status]).run)
    pool = UpstreamConnectionPool(address, Limits(), UPSTREAM_DIALECT)
    assert isinstance(await send(pool), Answered)
    assert isinstance(await send(pool), Unanswered)
