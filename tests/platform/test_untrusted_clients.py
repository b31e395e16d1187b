"""Callers that don't behave neither end a process nor keep ordinary callers out.

Each test runs a crowd against a real daemon under a stated memory, on loopback, with
ordinary callers beside. The peak of memory is the process's own.
"""

import itertools
import re
import socket
from pathlib import Path

import pytest
import trio

from mangospoke.http.bodies import buffered_body
from tests.platform.hosted_fleet import (
    HOST,
    KEY,
    PORT_RANGE,
    Upstream,
    run_hosted_fleet,
)

LIMITS = {"memoryMb": 200, "maxFds": 4_100}
LEGAL_BODY_BYTES = 250_000
CALL_INTERVAL_S = 0.05
ATTACK_S = 6.0
LATE_S = 1.0

IDS = itertools.count()


def head(method, path, *fields):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Key: {KEY}"]
    lines += [f"Attempt-Id: attack-{next(IDS)}", "Timeout-Ms: 5000", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def unfinished_body(path):
    """A body of legal size that stops just short of its end."""
    length = f"Content-Length: {LEGAL_BODY_BYTES}"
    return head("POST", path, length) + b"x" * (LEGAL_BODY_BYTES - 1)


def unfinished_chunks(path):
    chunk = b"1000\r\n" + b"x" * 4_096 + b"\r\n"
    return head("POST", path, "Transfer-Encoding: chunked") + chunk * 60


def tiny_chunks(path):
    start = head("POST", path, "Transfer-Encoding: chunked")
    return start + b"1;name=value\r\nx\r\n" * 6_000


def short_fields(path):
    fields = b"a:b\r\n" * 6_000
    return head("POST", path, "Content-Length: 9")[:-2] + fields + b"\r\n"


def far_too_large(path):
    return head("POST", path, f"Content-Length: {10**12}") + b"x" * 10_000


def undeclared_too_large(path):
    chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
    return head("POST", path, "Transfer-Encoding: chunked") + chunk * 60


def half_head(path):
    return head("GET", path)[:-10]


def many_ahead(path):
    return b"".join(head("GET", path) for _ in range(2_000))


def few_ahead(path):
    return b"".join(head("GET", path) for _ in range(16))


def unfinished_frame(path):
    """A frame of the peer protocol whose length says 1 MiB."""
    return b"\x00\x0f\xff\xff" + b"x" * 900_000


def nothing(path):
    return b""


ATTACKS = [
    (unfinished_body, "outbound", "/inner/x", 600),
    (unfinished_body, "outbound", "/none/x", 600),
    (unfinished_body, "ready", "/ready", 300),
    (unfinished_body, "control", "/instances/i-9", 300),
    (unfinished_chunks, "outbound", "/inner/x", 600),
    (tiny_chunks, "outbound", "/inner/x", 60),
    (short_fields, "outbound", "/inner/x", 200),
    (far_too_large, "outbound", "/inner/x", 200),
    (undeclared_too_large, "outbound", "/none/x", 60),
    (half_head, "outbound", "/inner/x", 600),
    (many_ahead, "outbound", "/leaf/x", 20),
    (few_ahead, "outbound", "/leaf/large", 100),
    (unfinished_frame, "peer", "", 300),
    (half_head, "peer", "", 300),
    (nothing, "outbound", "", 1_700),
    (nothing, "ready", "", 300),
]


class LargeAnswers(Upstream):
    """A fake upstream with large answers at one path."""

    async def handle(self, request):
        response = await super().handle(request)
        if request.target.endswith(b"/large"):
            response.body = buffered_body(b"x" * LEGAL_BODY_BYTES)
        return response


class Crowd:
    """Connections that send the same and stay open; answers are never read."""

    def __init__(self, address, make_bytes, path, size, half_closes=False):
        ip, _, port = address.rpartition(":")
        self._address = (ip, int(port))
        self._make_bytes = make_bytes
        self._path = path
        self._size = size
        self._half_closes = half_closes

    async def run(self):
        async with trio.open_nursery() as nursery:
            for _ in range(self._size):
                nursery.start_soon(self._attack)
                await trio.sleep(ATTACK_S / 2 / self._size)

    async def _attack(self):
        with trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            try:
                await sock.connect(self._address)
                content = memoryview(self._make_bytes(self._path))
                while content:
                    sent = await sock.send(content[:65_536])
                    content = content[sent:]
                if self._half_closes:
                    sock.shutdown(socket.SHUT_WR)
            except OSError:
                # The daemon may close it.
                return
            await trio.sleep(ATTACK_S)


class OrdinaryCallers:
    """Callers that send a request on a new connection at a steady rate."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.durations_s = []
        self.failures = []

    async def run(self):
        async with trio.open_nursery() as nursery:
            for number in itertools.count():
                nursery.start_soon(self._call, number)
                await trio.sleep(CALL_INTERVAL_S)

    async def _call(self, number):
        started_at = trio.current_time()
        try:
            response = await self._fleet.front.send_request(
                f"/inner/{number}", key=None, request_id=f"ordinary-{number}"
            )
        except Exception as error:
            self.failures.append(repr(error))
            return
        if response.status != 200:
            self.failures.append((response.status, response.body.content))
        self.durations_s.append(trio.current_time() - started_at)

    def quantile_s(self, ratio):
        return sorted(self.durations_s)[int(ratio * (len(self.durations_s) - 1))]


def peak_mb(pid):
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1_024 / 1e6


async def attack(tmp_path, *plans):
    """Runs crowds beside ordinary callers, and checks what must hold.

    Args:
        tmp_path: Where the daemons' files are written.
        plans: For each crowd, its listener and the arguments of `Crowd` after that.
    """
    async with run_hosted_fleet(
        tmp_path, limits=LIMITS, make_upstream=LargeAnswers
    ) as fleet:
        front = fleet.front
        front.peer = f"{front.outbound.rpartition(':')[0]}:{PORT_RANGE[0]}"
        callers = OrdinaryCallers(fleet)
        calm_mb = peak_mb(front.process.pid)
        with trio.move_on_after(ATTACK_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.run)
                for listener, *plan in plans:
                    nursery.start_soon(Crowd(getattr(front, listener), *plan).run)
        print(
            f"MEASURED {[(plan[0], plan[1].__name__) for plan in plans]}: "
            f"{calm_mb:.0f} MB before, {peak_mb(front.process.pid):.0f} MB peak; "
            f"{len(callers.durations_s)} calls, {len(callers.failures)} failed, "
            f"p50 {callers.quantile_s(0.5):.3f} s, p99 {callers.quantile_s(0.99):.3f} s"
        )
        assert front.process.is_running
        assert await front.is_ready()
        assert peak_mb(front.process.pid) < LIMITS["memoryMb"]
        assert callers.failures == []
        assert callers.quantile_s(0.99) < LATE_S


@pytest.mark.parametrize(("make_bytes", "listener", "path", "size"), ATTACKS)
async def test_a_crowd_does_not_outgrow_the_memory(
    tmp_path, make_bytes, listener, path, size
):
    await attack(tmp_path, (listener, make_bytes, path, size))


async def test_a_crowd_that_half_closes_does_not_outgrow_the_memory(tmp_path):
    await attack(tmp_path, ("outbound", unfinished_body, "/inner/x", 300, True))


async def test_a_mixed_crowd_does_not_outgrow_the_memory(tmp_path):
    await attack(
        tmp_path,
        ("outbound", nothing, "", 700),
        ("outbound", unfinished_body, "/inner/x", 300),
        ("outbound", short_fields, "/none/x", 50),
        ("outbound", tiny_chunks, "/inner/x", 20),
        ("ready", unfinished_body, "/ready", 100),
        ("control", half_head, "/instances/i-9", 100),
    )


@pytest.mark.parametrize(
    "content",
    [
        unfinished_body("/inner/x") + b"x",
        unfinished_chunks("/inner/x") + b"0\r\n\r\n",
        tiny_chunks("/inner/x") + b"0\r\nTrailer: x\r\n\r\n",
        short_fields("/inner/x") + b"x" * 9,
    ],
    ids=["long", "chunks", "tiny", "fields"],
)
async def test_a_single_request_inside_the_limits_is_served_in_calm(tmp_path, content):
    async with run_hosted_fleet(tmp_path, limits=LIMITS) as fleet:
        ip, _, port = fleet.front.outbound.rpartition(":")
        async with await trio.open_tcp_stream(ip, int(port)) as stream:
            with trio.fail_after(3):
                await stream.send_all(content)
                assert (await stream.receive_some()).startswith(b"HTTP/1.1 200")
