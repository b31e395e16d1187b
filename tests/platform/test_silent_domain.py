"""A failure domain whose daemons all stand still: served without it, then again."""

import os
import signal
from collections import Counter

import trio

from mangospoke.bench.waiting import wait_until
from tests.platform.hosted_fleet import Upstream, run_hosted_fleet

ZONES = {"front": "a", "back": "a", "front-b": "b", "back-b": "b"}
WORK_S = 0.25
MAX_DETECTION_S = 1.5
MAX_RETURN_S = 1.5
SLOTS = 4


def make_upstream(label):
    upstream = Upstream(label.removesuffix("-b"))
    upstream.instance = f"i-{label}"
    upstream.delay_s = WORK_S
    return upstream


class Load:
    """Safe requests to the front, more at a time than fit into the own domain."""

    def __init__(self, front):
        self.answers = []
        self.is_over = False
        self._front = front
        self._number = 0

    async def send_in_turn(self):
        while not self.is_over:
            self._number += 1
            request_id = f"r{self._number}"
            sent_at = trio.current_time()
            response = await self._front.send_request(
                f"/inner/{request_id}", key=None, request_id=request_id
            )
            took_s = trio.current_time() - sent_at
            self.answers.append((sent_at, response.status, took_s))

    def statuses(self, sent_after):
        return Counter(
            status for sent_at, status, _ in self.answers if sent_at > sent_after
        )


def freeze(daemons):
    for daemon in daemons:
        os.kill(daemon.process.pid, signal.SIGSTOP)


def thaw(daemons):
    for daemon in daemons:
        os.kill(daemon.process.pid, signal.SIGCONT)


async def test_requests_go_on_to_a_silent_domain_until_their_deadlines(tmp_path):
    async with run_hosted_fleet(
        tmp_path,
        services=tuple(ZONES),
        make_upstream=make_upstream,
        slots=SLOTS,
        zones=ZONES,
        timeout="3s",
        bounds=("budgetSlack=200",),
    ) as fleet:
        daemons = fleet.daemons_by_service
        behind = [daemons["front-b"], daemons["back-b"]]
        remote = daemons["back-b"].upstream
        load = Load(fleet.front)
        async with trio.open_nursery() as nursery:
            for _ in range(SLOTS + 2):
                nursery.start_soon(load.send_in_turn)
            await wait_until(lambda: received_some(remote), "requests across", 10)
            freeze(behind)
            frozen_at = trio.current_time()
            await trio.sleep(MAX_DETECTION_S)
            known_at = trio.current_time()
            received_count = len(remote.received)
            await trio.sleep(3)
            slowest_s = max(
                took_s for sent_at, _, took_s in load.answers if sent_at > known_at
            )
            served = load.statuses(known_at)
            thaw(behind)
            thawed_at = trio.current_time()
            await wait_until(
                lambda: received_more(remote, received_count), "requests across", 10
            )
            returned_s = trio.current_time() - thawed_at
            load.is_over = True
        assert set(served) <= {200, 503}, served
        assert served[200] > 20
        # Those that were on their way there are tried again on this side.
        in_flight = load.statuses(frozen_at - WORK_S)
        assert in_flight[502] + in_flight[504] == 0, in_flight
        assert slowest_s < 2
        assert returned_s < MAX_RETURN_S


async def received_some(upstream):
    return len(upstream.received) > 5


async def received_more(upstream, count):
    return len(upstream.received) > count
