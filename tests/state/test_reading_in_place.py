"""When the daemons of a failure domain read the log service in the readers' place."""

import pytest

from mangospoke.state.reading_in_place import (
    ReadingTimes,
    ancestor_ranks,
    log_retry_delay_s,
)

MAX_APPLY_S = 2.0
KEYS_END_S = 4.4
HOME_LEASE_S = 12.0


@pytest.mark.parametrize("rank_count", [2, 4, 24, 199, 1_000])
def test_the_first_half_reads_before_a_change_has_to_be_in_force(rank_count):
    times = ReadingTimes()
    for rank in range((rank_count + 1) // 2):
        assert 1.2 < times.max_proof_age_s(rank, rank_count) < MAX_APPLY_S - 0.1


@pytest.mark.parametrize("rank_count", [24, 199, 1_000])
def test_all_read_before_keys_end_and_leases_end(rank_count):
    times = ReadingTimes()
    for rank in range(rank_count):
        assert times.max_proof_age_s(rank, rank_count) < KEYS_END_S - 0.5
        assert times.max_hosts_proof_age_s(rank, rank_count) < HOME_LEASE_S - 1


def test_a_parent_reads_early_enough_to_tell_what_it_read():
    times = ReadingTimes()
    for rank in range(1, 100):
        parent = ancestor_ranks(rank)[0]
        lead_s = times.max_proof_age_s(rank, 199) - times.max_proof_age_s(parent, 199)
        assert lead_s > 0.079


def test_all_ancestors_are_of_lower_ranks_down_to_the_first():
    assert ancestor_ranks(0) == []
    assert ancestor_ranks(38) == [18, 8, 3, 1, 0]


def test_a_read_in_place_that_fails_again_is_repeated_later_but_within_3_s():
    delays_s = [log_retry_delay_s(count) for count in range(1, 2_000)]
    assert 1.0 <= delays_s[0] <= 1.5
    assert all(2.0 <= each <= 3.0 for each in delays_s[1:])
