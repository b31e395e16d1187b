"""Planned stops of daemon processes while callers don't cease: nothing is lost.

The rules' letters: (A) what an upstream received gets its response, (B) and no status
that says not run; (C) what was read and not passed on is answered; (D) an upstream's
answer in time gets through; (E) the exit is in time, with status 0; (F) no unsafe
request runs twice.
"""

import signal
from collections import Counter
from contextlib import asynccontextmanager

import pytest
import trio

from mangospoke.bench.waiting import wait_until
from tests.platform.hosted_fleet import run_hosted_fleet
from tests.platform.stop_load import (
    Journal,
    Load,
    Request,
    ScriptedUpstream,
    Stop,
    connect,
    find_unanswered,
    find_violations,
    send_once,
    send_signal,
    summarize,
    wait_for_exit,
)

DEFAULT_GRACE_S = 6.0
SHORT_GRACE_S = 3.0
WARM_UP_S = 0.6
SLOTS = 60


@asynccontextmanager
async def run_fleet(directory, grace_s=DEFAULT_GRACE_S, slots=SLOTS, timeout="15s"):
    """Runs a fleet with scripted upstreams whose sub-calls go to their own daemon."""
    async with run_hosted_fleet(
        directory,
        make_upstream=ScriptedUpstream,
        slots=slots,
        bounds=(f"grace={grace_s:.0f}s",),
        timeout=timeout,
    ) as fleet:
        for daemon in fleet.daemons_by_service.values():
            daemon.upstream.outbound = daemon.outbound
        yield fleet


def check_nothing_lost(journal, runs, stop):
    violations = find_violations(journal, runs, stop)
    assert not violations, summarize(violations)


async def stop_front_under_load(
    fleet, grace_s, signals=(), max_work_s=0.3, batch_size=3
):
    """Sends SIGTERM to the front under a mixed load, and checks every request.

    Args:
        fleet: The fleet.
        grace_s: The grace time in its settings, in seconds.
        signals: Further signals: seconds after the SIGTERM, the daemon, the signal.
        max_work_s: Longest work of the upstream for a request, in seconds.
        batch_size: Number of safe requests that some callers send at once.
    """
    load = Load(Journal(), fleet.front.outbound)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run_mixed, max_work_s, batch_size)
        await trio.sleep(WARM_UP_S)
        stop = Stop(trio.current_time(), grace_s)
        send_signal(fleet.front, signal.SIGTERM)
        for after_s, daemon, number in signals:
            await trio.sleep_until(stop.began_at + after_s)
            send_signal(daemon, number)
        await wait_for_exit(fleet.front, stop)
        load.is_over = True
    statuses = Counter(sent.status for sent in load.journal.sent_by_id.values())
    assert statuses[200] > 50, statuses
    check_nothing_lost(load.journal, fleet.back.upstream.runs, stop)


@pytest.mark.parametrize("grace_s", [SHORT_GRACE_S, DEFAULT_GRACE_S])
async def test_a_stop_under_a_steady_load_loses_no_request(grace_s, tmp_path):
    async with run_fleet(tmp_path, grace_s) as fleet:
        await stop_front_under_load(fleet, grace_s, batch_size=1)


async def test_a_stop_under_a_pipelined_load_loses_no_request(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        await stop_front_under_load(fleet, DEFAULT_GRACE_S)


async def test_a_stop_under_a_load_of_slow_requests_loses_none(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        await stop_front_under_load(
            fleet, DEFAULT_GRACE_S, max_work_s=1.5, batch_size=1
        )


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP], ids=["term", "hup"])
async def test_another_signal_during_a_stop_loses_no_request(number, tmp_path):
    async with run_fleet(tmp_path, SHORT_GRACE_S) as fleet:
        signals = [(after_s, fleet.front, number) for after_s in (0.1, 0.8, 1.5)]
        await stop_front_under_load(fleet, SHORT_GRACE_S, signals, batch_size=1)


async def test_a_stop_of_both_hosts_at_once_loses_no_request(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        signals = [(0.0, fleet.back, signal.SIGTERM)]
        await stop_front_under_load(fleet, DEFAULT_GRACE_S, signals, batch_size=1)


@pytest.mark.parametrize("leaves_after_s", [-0.3, 0.0, 0.3])
@pytest.mark.parametrize("stopping", ["front", "back"])
async def test_a_stop_while_an_upstream_leaves_loses_no_request(
    stopping, leaves_after_s, tmp_path
):
    # Operators of similar systems saw accepted requests cut at such a stop in calm.
    async with run_fleet(tmp_path, SHORT_GRACE_S) as fleet:
        daemon = fleet.front if stopping == "front" else fleet.back
        load = Load(Journal(), fleet.front.outbound)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run_mixed, 0.9, 1)
            await trio.sleep(WARM_UP_S)
            nursery.start_soon(leave_after, fleet.back, 0.3 + leaves_after_s)
            await trio.sleep(0.3)
            stop = Stop(trio.current_time(), SHORT_GRACE_S)
            send_signal(daemon, signal.SIGTERM)
            await wait_for_exit(daemon, stop)
            load.is_over = True
        runs = fleet.back.upstream.runs
    check_nothing_lost(load.journal, runs, stop)


async def leave_after(daemon, delay_s):
    """Lets a daemon's upstream say that it leaves; it serves on."""
    await trio.sleep(delay_s)
    await daemon.send_heartbeat(1_000, state="draining")


async def test_a_stop_of_another_host_leaves_no_request_unanswered(tmp_path):
    async with run_fleet(tmp_path, SHORT_GRACE_S) as fleet:
        load = Load(Journal(), fleet.front.outbound)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run_mixed, 0.3, 1)
            await trio.sleep(WARM_UP_S)
            stop = Stop(trio.current_time(), SHORT_GRACE_S)
            send_signal(fleet.back, signal.SIGTERM)
            await wait_for_exit(fleet.back, stop)
            load.is_over = True
        runs = fleet.back.upstream.runs
    check_nothing_lost(load.journal, runs, stop)
    unanswered = [s for s in load.journal.sent_by_id.values() if s.status is None]
    assert not unanswered


@pytest.mark.parametrize("work_s", [5.4, 5.6])
async def test_a_host_that_stops_earlier_cuts_calls_of_one_that_stops_later(
    work_s, tmp_path
):
    requests = [Request(f"/book/n?work={work_s}", "POST") for _ in range(8)]
    async with run_fleet(tmp_path) as fleet:
        journal = Journal()
        async with trio.open_nursery() as nursery:
            for request in requests:
                nursery.start_soon(send_once, journal, fleet.front.outbound, request)
            await trio.sleep(0.1)
            send_signal(fleet.back, signal.SIGTERM)
            await trio.sleep(1.3)
            stop = Stop(trio.current_time(), DEFAULT_GRACE_S)
            send_signal(fleet.front, signal.SIGTERM)
            await wait_for_exit(fleet.front, stop)
        runs = fleet.back.upstream.runs
    check_nothing_lost(journal, runs, stop)
    assert [sent.status for sent in journal.sent_by_id.values()] == [200] * 8


async def stop_with_requests(fleet, requests, grace_s, *, after_s=0.4):
    """Sends requests over connections of their own, then SIGTERM to the front."""
    journal = Journal()
    async with trio.open_nursery() as nursery:
        for request in requests:
            nursery.start_soon(send_once, journal, fleet.front.outbound, request)
        await trio.sleep(after_s)
        stop = Stop(trio.current_time(), grace_s)
        send_signal(fleet.front, signal.SIGTERM)
        await wait_for_exit(fleet.front, stop)
    return journal, stop


async def test_requests_in_a_queue_at_the_end_are_answered_as_not_run(tmp_path):
    slow = [Request("/inner/n?work=9", key=None) for _ in range(6)]
    async with run_fleet(tmp_path, SHORT_GRACE_S, slots=2) as fleet:
        journal, stop = await stop_with_requests(fleet, slow, SHORT_GRACE_S)
        runs = fleet.back.upstream.runs
    received = {run.attempt_id for run in runs}
    queued = [s for s in journal.sent_by_id.values() if s.attempt_id not in received]
    check_nothing_lost(journal, runs, stop)
    assert [sent.status for sent in queued] == [503] * 4


@pytest.mark.parametrize("entry", ["front", "back"])
async def test_requests_in_the_queue_of_the_host_that_stops_get_a_503(entry, tmp_path):
    slow = Request("/inner/n?work=9", key=None)
    async with run_fleet(tmp_path, SHORT_GRACE_S, slots=2) as fleet:
        journal = Journal()
        address = fleet.daemons_by_service[entry].outbound
        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(send_once, journal, address, slow)
            await trio.sleep(0.4)
            stop = Stop(trio.current_time(), SHORT_GRACE_S)
            send_signal(fleet.back, signal.SIGTERM)
            await wait_for_exit(fleet.back, stop)
        runs = fleet.back.upstream.runs
    received = {run.attempt_id for run in runs}
    queued = [s for s in journal.sent_by_id.values() if s.attempt_id not in received]
    check_nothing_lost(journal, runs, stop)
    assert [sent.status for sent in queued] == [503] * 4


async def test_a_queue_that_moves_until_the_end_loses_no_request(tmp_path):
    slow = [Request("/inner/n?work=0.5", key=None) for _ in range(24)]
    async with run_fleet(tmp_path, SHORT_GRACE_S, slots=2) as fleet:
        journal, stop = await stop_with_requests(fleet, slow, SHORT_GRACE_S)
        runs = fleet.back.upstream.runs
    check_nothing_lost(journal, runs, stop)
    statuses = Counter(sent.status for sent in journal.sent_by_id.values())
    assert statuses[None] == 0, statuses


@pytest.mark.parametrize("grace_s", [SHORT_GRACE_S, DEFAULT_GRACE_S])
async def test_a_silent_upstream_is_not_given_up_before_the_last_part(
    grace_s, tmp_path
):
    requests = [Request("/open/n?never"), Request("/book/n?never", "POST")]
    async with run_fleet(tmp_path, grace_s) as fleet:
        journal, stop = await stop_with_requests(fleet, requests, grace_s)
        runs = fleet.back.upstream.runs
    check_nothing_lost(journal, runs, stop)


async def test_callers_of_a_silent_upstream_get_a_response_at_the_end(tmp_path):
    requests = [Request("/open/n?never"), Request("/book/n?never", "POST")]
    async with run_fleet(tmp_path, SHORT_GRACE_S) as fleet:
        journal, stop = await stop_with_requests(fleet, requests, SHORT_GRACE_S)
        runs = fleet.back.upstream.runs
    assert not find_unanswered(journal, runs)
    statuses = {sent.status for sent in journal.sent_by_id.values()}
    assert statuses <= {502, 504}


@pytest.mark.parametrize("work_s", [1.8, 2.6, 4.2, 5.3])
async def test_a_slow_answer_before_the_last_part_gets_through(work_s, tmp_path):
    requests = [
        Request(f"/open/n?work={work_s}"),
        Request(f"/book/n?work={work_s}", "POST"),
        Request(f"/inner/n?work={work_s}", key=None),
    ]
    async with run_fleet(tmp_path) as fleet:
        journal, stop = await stop_with_requests(fleet, requests, DEFAULT_GRACE_S)
        runs = fleet.back.upstream.runs
    check_nothing_lost(journal, runs, stop)
    assert {sent.status for sent in journal.sent_by_id.values()} == {200}


async def test_a_streamed_response_is_completed_during_a_stop(tmp_path):
    requests = [Request("/open/n?chunks=12&every=0.25"), Request("/open/n?work=0.1")]
    async with run_fleet(tmp_path) as fleet:
        journal, stop = await stop_with_requests(fleet, requests, DEFAULT_GRACE_S)
        runs = fleet.back.upstream.runs
    check_nothing_lost(journal, runs, stop)
    assert {sent.status for sent in journal.sent_by_id.values()} == {200}


async def test_a_streamed_upload_is_completed_during_a_stop(tmp_path):
    upload = Request("/book/n", "POST", upload_chunks=12, chunk_interval_s=0.25)
    async with run_fleet(tmp_path) as fleet:
        journal, stop = await stop_with_requests(fleet, [upload], DEFAULT_GRACE_S)
        runs = fleet.back.upstream.runs
    check_nothing_lost(journal, runs, stop)
    assert {sent.status for sent in journal.sent_by_id.values()} == {200}


async def test_pipelined_requests_during_a_stop_are_all_answered(tmp_path):
    works = (1.5, 1.0, 1.2)
    requests = [Request(f"/open/n?work={work_s}") for work_s in works]
    async with run_fleet(tmp_path) as fleet:
        journal = Journal()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_once, journal, fleet.front.outbound, *requests)
            await trio.sleep(0.3)
            stop = Stop(trio.current_time(), DEFAULT_GRACE_S)
            send_signal(fleet.front, signal.SIGTERM)
            await wait_for_exit(fleet.front, stop)
        runs = fleet.back.upstream.runs
    check_nothing_lost(journal, runs, stop)
    assert [sent.status for sent in journal.sent_by_id.values()] == [200] * 3


async def test_sub_calls_of_running_requests_are_served_during_a_stop(tmp_path):
    """The upstream of the host that stops calls another service, through it."""
    requests = [Request("/open/n?calls=2&work=0.5") for _ in range(5)]
    async with run_fleet(tmp_path) as fleet:
        journal = Journal()
        async with trio.open_nursery() as nursery:
            for request in requests:
                nursery.start_soon(send_once, journal, fleet.front.outbound, request)
            await trio.sleep(0.2)
            stop = Stop(trio.current_time(), DEFAULT_GRACE_S)
            send_signal(fleet.back, signal.SIGTERM)
            await wait_for_exit(fleet.back, stop)
        back, front = fleet.back.upstream, fleet.front.upstream
    check_nothing_lost(back.journal, front.runs, stop)
    check_nothing_lost(journal, back.runs, stop)
    sub_calls = list(back.journal.sent_by_id.values())
    assert [sent.status for sent in sub_calls] == [200] * 10
    assert [sent.status for sent in journal.sent_by_id.values()] == [200] * 5


async def test_reloads_in_series_under_load_lose_no_request(tmp_path):
    async with run_fleet(tmp_path) as fleet:
        load = Load(Journal(), fleet.front.outbound)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run_mixed, 0.3, 1)
            await trio.sleep(WARM_UP_S)
            for _ in range(20):
                for daemon in fleet.daemons_by_service.values():
                    send_signal(daemon, signal.SIGHUP)
                await trio.sleep(0.1)
            load.is_over = True
        assert all(d.process.is_running for d in fleet.daemons_by_service.values())
    statuses = Counter(sent.status for sent in load.journal.sent_by_id.values())
    assert statuses[200] > 50
    assert statuses[None] == 0, statuses


async def test_a_stop_just_after_the_start_is_a_planned_one(tmp_path):
    async with run_fleet(tmp_path, SHORT_GRACE_S) as fleet:
        fleet.front.process.kill_and_reap()
        statuses = []
        for _ in range(3):
            fleet.front.start()
            await wait_until(lambda: accepts_connections(fleet.front), "a connection")
            stop = Stop(trio.current_time(), SHORT_GRACE_S)
            send_signal(fleet.front, signal.SIGTERM)
            await wait_for_exit(fleet.front, stop)
            statuses.append(stop.exit_status)
    assert statuses == [0, 0, 0]


async def accepts_connections(daemon):
    try:
        async with connect(daemon.outbound, Journal()):
            return True
    except OSError:
        return False
