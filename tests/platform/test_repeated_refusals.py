"""Upstreams that write an earlier refusal once more, or stop within a response's head.

Failure: callers were told "not run, try again" for requests that an upstream had run or
was running, or such a request ran at a second upstream; callers got a 200 with an empty
or short body that looked whole.
"""

import random
from collections import Counter

import trio

from tests.platform.hosted_fleet import Upstream, run_hosted_fleet

BACKS = ("back", "back-2")
REFUSALS = (503, 429, 421)
REFUSED_STATUSES = {408, 421, 429, 503}
LOAD_S = 8.0
CALLERS = 12
BODY = b"the whole body of a response"
SEED = 39


class FaultyUpstream(Upstream):
    """Refuses some requests, and repeats each refusal at some later moment.

    Attributes:
        faulty: Whether it does so.
        runs_by_id: How often it has run each request.
    """

    def __init__(self, label, runs_by_id):
        super().__init__(label.partition("-")[0])
        self.instance = f"i-{label}"
        self.faulty = False
        self.runs_by_id = runs_by_id
        self.repeated = 0
        self.cut = 0
        self._dice = random.Random(f"{SEED} {label}")

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        task_status.started(f"127.0.0.1:{port}")
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream):
        late = []
        lock = trio.Lock()
        try:
            async with stream, trio.open_nursery() as nursery:
                while True:
                    request_id = await self._receive(stream)
                    if request_id is None:
                        break
                    if late and self._dice.random() < 0.5:
                        await self._send_late(stream, lock, late)
                    response = await self._respond(request_id)
                    if response is None:
                        await self._cut(stream, lock, request_id)
                        break
                    await self._send_late(stream, lock, late)
                    async with lock:
                        await stream.send_all(response)
                    if b"Not-Executed" in response:
                        nursery.start_soon(self._repeat, stream, lock, response, late)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            late.clear()

    async def _receive(self, stream):
        received = b""
        while b"\r\n\r\n" not in received:
            chunk = await stream.receive_some()
            if not chunk:
                return None
            received += chunk
        for line in received.split(b"\r\n"):
            name, _, value = line.partition(b": ")
            if name.lower() == b"attempt-id":
                return value.decode()
        return ""

    async def _respond(self, request_id):
        """Returns a response; None if it is to be cut."""
        if self.faulty and self._dice.random() < 0.25:
            with_id = self._dice.random() < 0.5
            status = self._dice.choice(REFUSALS)
            return encode(status, request_id if with_id else None, "Not-Executed: 1")
        self.runs_by_id[request_id] += 1
        await trio.sleep(self._dice.uniform(0, 0.03))
        if self.faulty and self._dice.random() < 0.03:
            return None
        return encode(200, request_id, "Response-Signature: s", body=BODY)

    async def _cut(self, stream, lock, request_id):
        response = encode(200, request_id, "Response-Signature: s", body=BODY)
        self.cut += 1
        async with lock:
            await stream.send_all(response[: self._dice.randrange(len(response))])

    async def _repeat(self, stream, lock, response, late):
        """Writes a refusal once more: now, soon, or around the next exchange."""
        delay_s = self._dice.choice((0.0, 0.002, 0.01, 0.03, None))
        if delay_s is None:
            late.append(response)
            return
        await trio.sleep(delay_s)
        self.repeated += 1
        async with lock:
            await stream.send_all(response)

    async def _send_late(self, stream, lock, late):
        while late:
            self.repeated += 1
            async with lock:
                await stream.send_all(late.pop())


def encode(status, request_id, *lines, body=b""):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines]
    if request_id is not None:
        head.append(f"Attempt-Id: {request_id}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


async def test_repeated_refusals_and_cut_heads_never_tell_a_lie(tmp_path):
    runs_by_id = Counter()
    answers_by_id = {}

    def make_upstream(label):
        if label in BACKS:
            return FaultyUpstream(label, runs_by_id)
        return Upstream(label)

    async with run_hosted_fleet(
        tmp_path, services=("front", *BACKS), make_upstream=make_upstream
    ) as fleet:
        backs = [fleet.daemons_by_service[label].upstream for label in BACKS]
        for upstream in backs:
            upstream.faulty = True

        async def call(caller):
            number = 0
            while True:
                number += 1
                request_id = f"r{caller}-{number}"
                target = f"/book/{request_id}"
                try:
                    response = await fleet.front.send_request(
                        target, method="POST", request_id=request_id
                    )
                except Exception as error:
                    answers_by_id[request_id] = (0, repr(error))
                    continue
                answers_by_id[request_id] = (response.status, response.body.content)

        with trio.move_on_after(LOAD_S):
            async with trio.open_nursery() as nursery:
                for caller in range(CALLERS):
                    nursery.start_soon(call, caller)
        await trio.sleep(0.5)
    statuses = Counter(status for status, _ in answers_by_id.values())
    refused = [
        each
        for each, (status, _) in answers_by_id.items()
        if status in REFUSED_STATUSES
    ]
    # Enough of everything has happened to tell.
    assert sum(upstream.repeated for upstream in backs) > 50, statuses
    assert sum(upstream.cut for upstream in backs) > 5, statuses
    assert statuses[200] > 100, statuses
    assert not [each for each in refused if runs_by_id[each]], statuses
    assert not [
        each
        for each, count in runs_by_id.items()
        if count > 1 and each in answers_by_id
    ]
    for request_id, (status, content) in answers_by_id.items():
        if 200 <= status < 300:
            assert content == BODY, request_id
