"""A fleet that lost power everywhere at once leaves the state in which load keeps it.

All upstreams start cold within 2 s, under the load of warm times; the callers come
again once.
"""

import pytest
import trio

from mangospoke.guard import cold_starts
from tests.platform.cold_replay import (
    ALLOWED_IN_A_SECOND,
    COLD_PER_S,
    COLD_START_S,
    MAX_DOWN_S,
    Replay,
)

HOSTS_BY_SERVICE = {"bookings": 8, "documents": 4, "stock": 3}
RATE_BY_PATH = {"/book/": 120.0, "/stock/": 80.0}
GOAL_S = 15.0


async def play(monkeypatch, seed, cold_per_s=COLD_PER_S, duration_s=8.0):
    """Plays a replay; returns it and the seconds until all was warm, or None."""
    replay = Replay(HOSTS_BY_SERVICE, cold_per_s, seed)
    monkeypatch.setattr(cold_starts, "request_once", replay.health)
    started_at = trio.current_time()
    await replay.run(RATE_BY_PATH, duration_s)
    warm_at = max(upstream.cold_until for upstream in replay.upstreams)
    is_warm = warm_at < trio.current_time()
    return replay, warm_at - started_at if is_warm else None


def count(replay, path, status, since=0.0):
    return sum(
        (each_path, each_status) == (path, status) and at >= since
        for each_path, at, each_status in replay.responses
    )


async def test_without_the_bound_the_load_keeps_the_models_cold(
    monkeypatch, autojump_clock
):
    replay, warm_after_s = await play(monkeypatch, 1, cold_per_s=0.0, duration_s=GOAL_S)
    assert warm_after_s is None
    assert sum(upstream.crash_count for upstream in replay.upstreams) > 15


@pytest.mark.parametrize("seed", range(3))
async def test_everything_is_warm_one_cold_start_after_the_last_start(
    seed, monkeypatch, autojump_clock
):
    replay, warm_after_s = await play(monkeypatch, seed)
    assert warm_after_s <= MAX_DOWN_S + COLD_START_S + 0.2 < GOAL_S
    assert not any(upstream.crash_count for upstream in replay.upstreams)
    most = max(upstream.most_in_a_second for upstream in replay.upstreams)
    assert most <= ALLOWED_IN_A_SECOND
    end = trio.current_time()
    for path in RATE_BY_PATH:
        served = count(replay, path, 200, since=end - 1)
        ended = sum(each == path and at >= end - 1 for each, at, _ in replay.responses)
        assert served >= 0.95 * ended
