"""No interleaving of moves between domains brings more than the total into use."""

import random

import pytest
from msgspec.structs import replace

from mangospoke.rates.rebalancer import ShareRebalancer
from mangospoke.rates.share_table import ShareTable
from tests.rates.model_checking import (
    ViolationError,
    explore,
    run_random_schedule,
)
from tests.rates.transfer_model import TransferModel

# How often each action may happen in one schedule.
SEARCH_BUDGET = {
    "request_shares": 2,
    "claim_unassigned": 1,
    "send_record": 2,
    "lose_append": 0,
    "send_declarations": 0,
    "replace_grantor": 0,
    "change_configuration": 0,
    "lose_domain": 0,
}
MAX_RANDOM_BUDGET = {
    "request_shares": 20,
    "claim_unassigned": 20,
    "send_record": 30,
    "lose_append": 5,
    "send_declarations": 10,
    "replace_grantor": 1,
    "change_configuration": 2,
    "lose_domain": 1,
}


@pytest.mark.parametrize(
    "budget",
    [
        {"send_record": 3, "lose_append": 1},
        {"replace_grantor": 1},
        {"send_declarations": 1, "change_configuration": 1},
        {"send_declarations": 1, "lose_domain": 1},
    ],
)
def test_use_never_exceeds_the_account_total(budget):
    assert explore(TransferModel(SEARCH_BUDGET | budget), depth=6) > 1_000


@pytest.mark.parametrize("seed", range(8))
def test_use_never_exceeds_the_account_total_in_random_schedules(seed):
    _run_random_schedules(random.Random(seed))


def _run_random_schedules(rng):
    for _ in range(300):
        budget = {
            name: rng.randrange(limit + 1) for name, limit in MAX_RANDOM_BUDGET.items()
        }
        run_random_schedule(TransferModel(budget), rng.randrange, steps=150)


def test_a_domain_that_moves_shares_still_in_use_is_detected(monkeypatch):
    def queue_move(self, account_id, pool, share, to_domain, now):
        real_queue_move(self, account_id, pool, share, to_domain, now)
        pool.outgoing = pool.outgoing - share

    real_queue_move = ShareRebalancer._queue_move
    monkeypatch.setattr(ShareRebalancer, "_queue_move", queue_move)
    with pytest.raises(ViolationError, match="in use"):
        explore(TransferModel(SEARCH_BUDGET), depth=8)


def test_a_share_table_that_ignores_epochs_is_detected(monkeypatch):
    def apply_moves(self, record):
        grantor = self.grantor_of(record.domain)
        sequence = grantor.sequence + 1
        current = replace(record, epoch=grantor.epoch, sequence=sequence)
        return real_apply_moves(self, current)

    real_apply_moves = ShareTable._apply_moves
    monkeypatch.setattr(ShareTable, "_apply_moves", apply_moves)
    budget = {
        "request_shares": 1,
        "claim_unassigned": 0,
        "send_record": 1,
        "replace_grantor": 1,
    }
    with pytest.raises(ViolationError, match="in use"):
        explore(TransferModel(SEARCH_BUDGET | budget), depth=8)
    with pytest.raises(ViolationError):
        _run_random_schedules(random.Random(0))
