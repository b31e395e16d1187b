"""Fleets with several upstreams of a service that name limits or say that they leave.

What an upstream gets is counted at the upstream, and only requests that began at a host
which had passed on such a statement before. Times are seconds on trio's clock.
"""

import itertools
import math
import os
import random
import signal
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec
import trio

from mangospoke.bench.waiting import wait_until
from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpResponse
from tests.platform.hosted_fleet import KEY, Upstream, run_hosted_fleet

STABLE_S = 3.0
"""Time after the first statement from which on the bound holds."""

WINDOW_S = 4.0
NOTICE_S = 0.5
"""Time after which a host that passed on a statement must know it."""

DRAIN_S = 2.0
SLOTS = 40
LIMIT_FIELD = b"server-limit"
LEAVING_FIELD = b"server-leaving"


def allowed(rate_per_s, window_s=WINDOW_S):
    """Requests that an upstream with a limit may get in a window at most."""
    return 1.5 * rate_per_s * window_s + 5


@dataclass
class Arrival:
    """A request as an upstream got it.

    Attributes:
        host: Host at which it began.
        sent_at: When its caller sent it.
    """

    host: str
    sent_at: float
    arrived_at: float


class LimitedUpstream(Upstream):
    """An upstream that names a limit or says that it leaves, while it is told to.

    Attributes:
        limit: Value of the limit's header field, or None for none.
        limited_at: When it was first told to name a limit.
        is_leaving: Whether it says that it leaves.
        arrivals: The requests that it got, in order.
        dice: Source of the random times that requests take.
    """

    def __init__(self, label):
        service = label.partition("-")[0]
        super().__init__(service)
        self.instance = f"i-{label}"
        self.limit = None
        self.limited_at = math.inf
        self.is_leaving = False
        self.arrivals = []
        self.dice = random.Random(5)
        self.min_work_s = 0.02
        self.max_work_s = 0.3
        self.requests_by_id = {}

    def name_limit(self, value):
        self.limit = value
        self.limited_at = min(self.limited_at, trio.current_time())

    async def handle(self, request):
        headers = dict(request.headers)
        attempt_id = headers[b"attempt-id"].decode()
        sent = self.requests_by_id.get(attempt_id)
        if sent is not None:
            self.arrivals.append(Arrival(sent.host, sent.sent_at, trio.current_time()))
        response = [
            (b"attempt-id", headers[b"attempt-id"]),
            (b"response-signature", self.instance.encode()),
            *self._statements(),
        ]
        # Made before the work, as by an upstream whose responses overtake each other.
        await trio.sleep(self.dice.uniform(self.min_work_s, self.max_work_s))
        return HttpResponse(200, response, buffered_body(request.target))

    def _statements(self):
        if self.limit is not None:
            yield LIMIT_FIELD, self.limit.encode()
        if self.is_leaving:
            yield LEAVING_FIELD, b"1"

    def count_arrivals(self, since, until):
        return sum(since <= each.arrived_at < until for each in self.arrivals)


@dataclass
class SentRequest:
    """A request as its caller saw it.

    Attributes:
        host: Host that it was sent to.
        kind: First part of the target's path.
        status: Status of the response, or None.
        answered_by: Instance that answered it, or empty.
        retry_after_s: Seconds after which the caller may come again, or None.
    """

    host: str
    kind: str
    sent_at: float
    status: int | None = None
    answered_by: str = ""
    retry_after_s: float | None = None


class CallerLoad:
    """Callers at several hosts, each of which sends requests at a steady rate.

    Attributes:
        requests_by_id: All requests sent.
        told_at_by_host: When each host first passed on a statement of an instance.
    """

    def __init__(self, fleet, hosts, seed=3):
        self.requests_by_id = {}
        self.told_at_by_host = {}
        self._fleet = fleet
        self._hosts = hosts
        self._dice = random.Random(seed)
        self._numbers = itertools.count()
        self._is_over = False
        for daemon in fleet.daemons_by_service.values():
            daemon.upstream.requests_by_id = self.requests_by_id

    def end(self):
        self._is_over = True

    def count_sent(self, since, until):
        """Returns how many requests were sent; a busy machine sends fewer."""
        return sum(
            since <= each.sent_at < until for each in self.requests_by_id.values()
        )

    async def run(self, rate_per_s, targets=("/open/", "/book/", "/inner/")):
        """Sends mixed requests at random hosts until the load is told to end."""
        async with trio.open_nursery() as nursery:
            while not self._is_over:
                host = self._dice.choice(self._hosts)
                nursery.start_soon(self.send, host, self._dice.choice(targets))
                await trio.sleep(self._dice.expovariate(rate_per_s))

    async def send(self, host, target):
        """Sends a request to a host and records how it ended."""
        attempt_id = f"{host}.{next(self._numbers)}x"
        sent = self.requests_by_id[attempt_id] = SentRequest(
            host, target.strip("/"), trio.current_time()
        )
        daemon = self._fleet.daemons_by_service[host]
        try:
            response = await daemon.send_request(
                target + attempt_id,
                method="POST" if target == "/book/" else "GET",
                key=None if target == "/inner/" else KEY,
                request_id=attempt_id,
            )
        except Exception:
            # A restarted host ends its connections, which no bound here counts.
            return sent
        headers = dict(response.headers)
        sent.status = response.status
        sent.answered_by = headers.get(b"response-signature", b"").decode()
        retry_after = headers.get(b"retry-after")
        sent.retry_after_s = float(retry_after) if retry_after else None
        if LIMIT_FIELD in headers or LEAVING_FIELD in headers:
            told = (host, sent.answered_by)
            self.told_at_by_host.setdefault(told, trio.current_time())
        return sent

    def statuses(self, since=-math.inf):
        return [r.status for r in self.requests_by_id.values() if r.sent_at >= since]

    def counted_arrivals(self, upstream, delay_s, *, by_arrival=True):
        """Returns when requests arrived from hosts that had been told before.

        Args:
            upstream: The upstream that got them.
            delay_s: Seconds after which a host that passed on a statement is counted.
            by_arrival: Whether the arrival counts, or the time when it was sent.
        """
        times = []
        for each in upstream.arrivals:
            told_at = self.told_at_by_host.get((each.host, upstream.instance), math.inf)
            moment = each.arrived_at if by_arrival else each.sent_at
            if moment >= told_at + delay_s:
                times.append(each.arrived_at)
        return times


def most_in_window(times, since, window_s=WINDOW_S):
    """Returns the most requests that arrived in a window from a moment on."""
    counted = [t for t in times if t >= since]
    return max(
        (sum(s <= t < s + window_s for t in counted) for s in counted), default=0
    )


@asynccontextmanager
async def run_limited_fleet(
    directory, labels, make_upstream=LimitedUpstream, bounds=(), **options
):
    """Runs a host for each label; the text before a dash is its service."""
    async with run_hosted_fleet(
        directory,
        services=labels,
        make_upstream=make_upstream,
        slots=SLOTS,
        bounds=(f"drain={DRAIN_S * 1000:.0f}ms", *bounds),
        **options,
    ) as fleet:
        for daemon in fleet.daemons_by_service.values():
            await wait_until(
                lambda daemon=daemon: has_upstreams(daemon, len(labels)),
                "known upstreams",
            )
        yield fleet


async def has_upstreams(daemon, host_count):
    """Whether a daemon knows that the upstreams of all hosts serve."""
    serving = {
        event["upstream_host"]
        for event in read_events(daemon, "membership")
        if event["after"].endswith("/serving")
    }
    return len(serving) == host_count


def read_events(daemon, prefix):
    """Returns a daemon's log lines whose event begins with a prefix."""
    lines = daemon.process.log_path.read_text().splitlines()
    events = [msgspec.json.decode(line) for line in lines if line.startswith("{")]
    return [event for event in events if event["event"].startswith(prefix)]


async def restart(daemon, sequence):
    """Kills a daemon and starts it again; its upstream goes on and says `ready`."""
    os.kill(daemon.process.pid, signal.SIGKILL)
    await daemon.process.wait()
    daemon.start()
    await wait_until(daemon.is_ready, "a ready daemon")
    await daemon.send_heartbeat(sequence, slots=SLOTS)
