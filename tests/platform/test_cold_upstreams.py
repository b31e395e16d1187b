"""A cold upstream gets no more than it takes, from all hosts together."""

import math

import trio

from mangospoke.bench.waiting import wait_until
from tests.platform.cold_fleet import (
    ALLOWED_IN_A_SECOND,
    COLD_PER_S,
    COLD_START_S,
    run_cold_fleet,
    send_heartbeats,
)
from tests.platform.limited_fleet import CallerLoad, most_in_window, read_events
from tests.platform.limited_fleet import restart as restart_daemon

FRONTS = ("front", "front-2", "front-3")
NOT_RUN_STATUSES = {429, 503}
LOAD_PER_S = 60


async def test_an_upstream_that_turns_cold_under_load_is_not_run_over(tmp_path):
    async with run_cold_fleet(tmp_path, (*FRONTS, "back")) as fleet:
        back = fleet.back.upstream
        load = CallerLoad(fleet, FRONTS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, LOAD_PER_S)
            await trio.sleep(1)
            # A heartbeat that says so goes out at once.
            back.turn_cold()
            nursery.start_soon(send_heartbeats, fleet.back)
            warm_from = back.cold_until + 0.3

            async def are_sent():
                return load.count_sent(warm_from, math.inf) >= LOAD_PER_S

            # A busy machine sends a second's requests in more than a second.
            await trio.sleep(COLD_START_S)
            await wait_until(are_sent, "a second's requests")
            warm_until = trio.current_time()
            load.end()
            nursery.cancel_scope.cancel()
    cold = back.cold_arrivals()
    assert most_in_window(cold, 0.0, 1.0) <= ALLOWED_IN_A_SECOND
    # What it takes is used, less the second for which it got too much before, and all
    # that comes once it is warm.
    assert len(cold) >= 0.8 * COLD_PER_S * (COLD_START_S - 1), len(cold)
    sent = load.count_sent(warm_from, warm_until)
    assert sent >= LOAD_PER_S
    assert back.count_arrivals(warm_from, warm_until) >= sent * 40 / LOAD_PER_S
    names = [event["event"] for event in read_events(fleet.back, "upstream_")]
    assert names[-2:] == ["upstream_cold", "upstream_warm"]
    assert set(load.statuses()) <= {200, *NOT_RUN_STATUSES, None}


async def test_a_restarted_daemon_bounds_an_upstream_that_was_cold_before(tmp_path):
    async with run_cold_fleet(tmp_path, (*FRONTS, "back")) as fleet:
        back = fleet.back.upstream
        load = CallerLoad(fleet, FRONTS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, 60)
            back.turn_cold()
            back.cold_until += 2
            await restart_daemon(fleet.back, 2)
            nursery.start_soon(send_heartbeats, fleet.back, 3)
            restarted_at = trio.current_time()
            await trio.sleep(back.cold_until - restarted_at)
            load.end()
            nursery.cancel_scope.cancel()
    cold = [time for time in back.cold_arrivals() if time >= restarted_at]
    assert most_in_window(cold, 0.0, 1.0) <= ALLOWED_IN_A_SECOND
    assert cold


async def test_what_a_cold_upstream_does_not_take_goes_to_warm_ones(tmp_path):
    async with run_cold_fleet(tmp_path, (*FRONTS, "back", "back-2")) as fleet:
        cold, warm = (
            fleet.daemons_by_service[label].upstream for label in ("back", "back-2")
        )
        load = CallerLoad(fleet, FRONTS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, 55)
            cold.turn_cold()
            nursery.start_soon(send_heartbeats, fleet.back)
            since = trio.current_time()
            await trio.sleep(COLD_START_S)
            load.end()
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
    assert set(load.statuses(since)) <= {200, None}
    assert most_in_window(cold.cold_arrivals(), 0.0, 1.0) <= ALLOWED_IN_A_SECOND
    assert warm.count_arrivals(since, since + COLD_START_S) >= 100


async def test_an_upstream_whose_heartbeats_stay_away_is_asked(tmp_path):
    async with run_cold_fleet(tmp_path, (*FRONTS, "back")) as fleet:
        back = fleet.back.upstream
        load = CallerLoad(fleet, FRONTS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, 12)
            await trio.sleep(1)
            back.turn_cold()
            back.cold_until += 2
            await trio.sleep(3.5)
            load.end()
            nursery.cancel_scope.cancel()
    assert back.check_count >= 1
    events = read_events(fleet.back, "upstream_cold")
    assert [event["source"] for event in events] == ["response"]
