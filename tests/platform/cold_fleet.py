"""Upstreams that are cold at times and end if they get too much then.

What an upstream gets is counted at the upstream itself. Times are seconds on trio's
clock.
"""

import math
from contextlib import asynccontextmanager

import msgspec
import trio

from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpResponse
from tests.platform.hosted_fleet import send
from tests.platform.limited_fleet import LimitedUpstream, run_limited_fleet

COLD_PER_S = 8.0
COLD_START_S = 3.0
COLD_OVERAGE = 1.5
COLD_SLACK = 8
ALLOWED_IN_A_SECOND = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
BOUNDS = (f"coldOverage={COLD_OVERAGE}", f"coldSlack={COLD_SLACK}")
HEALTH_PATH = "/healthz"
HEARTBEAT_S = 0.5


class ColdUpstream(LimitedUpstream):
    """An upstream that says how long it stays cold, and counts what it gets.

    Attributes:
        cold_until: When it turns warm.
        is_silent: Whether its heartbeats say nothing of a cold time that it has.
        check_count: Health requests that it got.
    """

    def __init__(self, label):
        super().__init__(label)
        self.cold_until = -math.inf
        self.is_silent = False
        self.check_count = 0

    @property
    def cold_left_ms(self):
        return max(0, round((self.cold_until - trio.current_time()) * 1000))

    def turn_cold(self):
        self.cold_until = trio.current_time() + COLD_START_S

    async def handle(self, request):
        if request.path == HEALTH_PATH:
            self.check_count += 1
            headers = [
                (b"instance-id", self.instance.encode()),
                (b"cold-ms", b"%d" % self.cold_left_ms),
            ]
            return HttpResponse(200, headers, buffered_body(b""))
        return await super().handle(request)

    def cold_arrivals(self):
        """Returns when requests arrived while it was cold for the last time."""
        begun_at = self.cold_until - COLD_START_S
        times = [arrival.arrived_at for arrival in self.arrivals]
        return [time for time in times if begun_at <= time < self.cold_until]


async def send_heartbeats(daemon, first_sequence=2):
    """Sends heartbeats that say how long the upstream stays cold."""
    sequence = first_sequence
    while True:
        await send_cold_heartbeat(daemon, sequence)
        sequence += 1
        await trio.sleep(HEARTBEAT_S)


async def send_cold_heartbeat(daemon, sequence, born=1):
    upstream = daemon.upstream
    left_ms = 0 if upstream.is_silent else upstream.cold_left_ms
    body = {
        "address": upstream.address,
        "born": born,
        "info": {"service": upstream.service, "slots": 40},
        "status": {"state": "ready", "seq": sequence, "coldLeft": f"{left_ms}ms"},
    }
    target = f"/instances/{upstream.instance}"
    try:
        return await send(daemon.control, "PUT", target, msgspec.json.encode(body))
    except OSError:
        # The daemon is being restarted.
        return None


@asynccontextmanager
async def run_cold_fleet(directory, labels):
    """Runs a host for each label, whose upstreams may turn cold."""
    cluster = {
        "coldStart": f"{COLD_START_S}s",
        "coldPerS": COLD_PER_S,
        "healthPath": HEALTH_PATH,
    }
    async with run_limited_fleet(
        directory, labels, make_upstream=ColdUpstream, bounds=BOUNDS, cluster=cluster
    ) as fleet:
        yield fleet
