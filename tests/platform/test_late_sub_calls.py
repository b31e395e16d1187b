"""Sub-calls late in a stop of the daemon next to an upstream that goes on."""

import signal

import pytest
import trio

from tests.platform.stop_load import (
    Journal,
    Request,
    Stop,
    send_once,
    send_signal,
    wait_for_exit,
)
from tests.platform.test_stop_under_load import DEFAULT_GRACE_S, run_fleet


@pytest.mark.parametrize("work_s", [1.2, 1.6])
async def test_late_sub_calls_of_running_requests_are_served_during_a_stop(
    work_s, tmp_path
):
    request = Request(f"/open/n?calls=2&work={work_s}")
    async with run_fleet(tmp_path) as fleet:
        journal = Journal()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_once, journal, fleet.front.outbound, request)
            await trio.sleep(0.2)
            stop = Stop(trio.current_time(), DEFAULT_GRACE_S)
            send_signal(fleet.back, signal.SIGTERM)
            await wait_for_exit(fleet.back, stop)
        back = fleet.back.upstream
    assert [sent.status for sent in back.journal.sent_by_id.values()] == [200, 200]
    assert [sent.status for sent in journal.sent_by_id.values()] == [200]
