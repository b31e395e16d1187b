"""No interleaving of a grantor's replacement brings more than the share into use."""

import random

import pytest

import mangospoke.rates.takeover
from mangospoke.rates import grantor
from mangospoke.rates.timing import NS_PER_S
from tests.rates.model_checking import (
    ViolationError,
    explore,
    run_random_schedule,
)
from tests.rates.succession_model import SuccessionModel


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    """Shortens all timeouts, so that they expire within schedules of a few steps."""
    for module in (grantor, mangospoke.rates.takeover):
        monkeypatch.setattr(module, "GRANT_LIFE_NS", 2 * NS_PER_S)
        monkeypatch.setattr(module, "CLOCK_MARGIN_NS", 0)
    monkeypatch.setattr(grantor, "PAUSE_LIMIT_NS", NS_PER_S)
    monkeypatch.setattr(mangospoke.rates.takeover, "SUPERSEDE_NS", 4 * NS_PER_S)


SEARCH_DEPTH = 7
# How often each action may happen in one schedule.
SEARCH_BUDGET = {
    "request_grants": 2,
    "advance_time": 8,
    "lose_message": 0,
    "pause": 0,
    "restart": 0,
    "appoint": 0,
}
RANDOM_BUDGET = {
    "request_grants": 40,
    "advance_time": 60,
    "lose_message": 10,
    "pause": 6,
    "restart": 3,
    "appoint": 6,
}


@pytest.mark.parametrize(
    ("budget", "depth"),
    [
        ({"request_grants": 4, "advance_time": 4, "lose_message": 2}, 10),
        ({"pause": 1, "appoint": 1}, SEARCH_DEPTH),
        ({"restart": 1, "appoint": 1}, SEARCH_DEPTH),
    ],
)
def test_use_never_exceeds_the_domain_share(budget, depth):
    assert explore(SuccessionModel(SEARCH_BUDGET | budget), depth) > 1_000


@pytest.mark.parametrize("seed", range(8))
def test_use_never_exceeds_the_domain_share_in_random_schedules(seed):
    rng = random.Random(seed)
    _run_random_schedules(rng)


def _run_random_schedules(rng):
    for _ in range(300):
        model = SuccessionModel(RANDOM_BUDGET, pausable_names=("g1", "g2"))
        run_random_schedule(model, rng.randrange, steps=150)


@pytest.mark.parametrize("constant", ["SUPERSEDE_NS", "GRANT_LIFE_NS"])
def test_a_successor_that_does_not_wait_is_detected(monkeypatch, constant):
    monkeypatch.setattr(mangospoke.rates.takeover, constant, 0)
    with pytest.raises(ViolationError, match="in use"):
        explore(
            SuccessionModel(SEARCH_BUDGET | {"pause": 1, "appoint": 1}), SEARCH_DEPTH
        )
    with pytest.raises(ViolationError, match="in use"):
        _run_random_schedules(random.Random(0))


def test_a_grantor_that_misses_its_pause_is_detected(monkeypatch):
    monkeypatch.setattr(grantor, "PAUSE_LIMIT_NS", 100 * NS_PER_S)
    with pytest.raises(ViolationError, match="in use"):
        _run_random_schedules(random.Random(0))
