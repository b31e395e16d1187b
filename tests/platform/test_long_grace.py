"""A stop with a long grace time: a request that can't be given enough is refused."""

import signal

import pytest
import trio

from mangospoke.daemon.hosted_run import _make_schedule
from tests.platform.stop_load import (
    MAX_EXCUSED_SENDING_S,
    Journal,
    Request,
    Stop,
    send_once,
    send_signal,
    wait_for_exit,
)
from tests.platform.test_stop_under_load import check_nothing_lost, run_fleet

LONG_GRACE_S = 10.0


@pytest.mark.parametrize("stop_s", [1.0, 3.0, 6.0, 10.0, 60.0])
def test_no_request_is_accepted_that_must_not_be_cut_at_the_end(stop_s):
    schedule = _make_schedule(stop_s)
    assert schedule.refuse_s < MAX_EXCUSED_SENDING_S
    assert schedule.interrupt_s > stop_s * 5 / 6
    assert schedule.notice_s <= schedule.refuse_s < schedule.interrupt_s
    assert schedule.interrupt_s < schedule.interrupt_peers_s
    assert schedule.interrupt_peers_s < schedule.exit_s < stop_s


async def test_a_late_request_in_a_long_stop_is_not_cut(tmp_path):
    journal = Journal()
    async with run_fleet(tmp_path, LONG_GRACE_S) as fleet:
        address = fleet.front.outbound
        async with trio.open_nursery() as nursery:
            busy = Request("/open/n?work=5")
            nursery.start_soon(send_once, journal, address, busy)
            await trio.sleep(0.2)
            stop = Stop(trio.current_time(), LONG_GRACE_S)
            send_signal(fleet.front, signal.SIGTERM)
            await trio.sleep(MAX_EXCUSED_SENDING_S + 0.4)
            late = Request("/open/n?work=6")
            nursery.start_soon(send_once, journal, address, late)
            await wait_for_exit(fleet.front, stop)
        runs = fleet.back.upstream.runs
    check_nothing_lost(journal, runs, stop)
    assert [sent.status for sent in journal.sent_by_id.values()] == [200, 503]
