"""Tests of the membership state and of provisional records."""

import pytest
import trio

from mangospoke.state.fleet import Fleet
from mangospoke.state.membership import MembershipState
from mangospoke.state.provisional import SHARE_INTERVAL_S
from tests.state.records import announced, left


def apply_all(*records):
    state = MembershipState()
    for record in records:
        state.apply(record)
    return state


def test_a_late_append_does_not_undo_a_later_one():
    serving, draining = announced("h", 1, 0), announced("h", 1, 1, state="draining")
    state = apply_all(serving, draining, serving)
    assert state.upstreams_by_host["h"] == draining


def test_a_late_append_does_not_bring_back_an_upstream_that_left():
    state = apply_all(announced("h", 1), left("h", 1), announced("h", 1, 5))
    assert state.upstreams_by_host == {}


def test_the_end_of_an_incarnation_does_not_remove_its_replacement():
    state = apply_all(announced("h", 1), announced("h", 2), left("h", 1))
    assert state.upstreams_by_host["h"].incarnation == 2


def test_a_snapshot_contains_the_incarnations_that_left():
    state = apply_all(announced("h", 1), announced("g", 1), left("h", 1))
    restored = MembershipState()
    restored.restore(state.snapshot(3))
    restored.apply(announced("h", 1))
    assert list(restored.upstreams_by_host) == ["g"]


def test_the_number_of_hosts_that_left_is_bounded(monkeypatch):
    monkeypatch.setattr("mangospoke.state.membership._MAX_LEFT_HOSTS", 2)
    state = apply_all(left("a", 1), left("b", 1), left("a", 2), left("c", 1))
    assert state.left_by_host == {"a": 2, "c": 1}


@pytest.fixture
async def fleet():
    return Fleet("site")


def serving_hosts(fleet):
    fleet.refresh_upstreams()
    return {
        host: upstream.incarnation
        for host, upstream in fleet.upstreams_by_service.get("jobs", {}).items()
    }


async def test_a_shared_announcement_takes_effect_until_the_log_has_it(fleet):
    fleet.provisional.add(announced("h", 5))
    assert serving_hosts(fleet) == {"h": 5}
    fleet.apply_membership(announced("h", 5))
    assert fleet.provisional.records() == ()
    fleet.apply_membership(left("h", 5))
    assert serving_hosts(fleet) == {}


async def test_a_shared_announcement_expires_unless_repeated(fleet, autojump_clock):
    fleet.provisional.add(announced("h", 5))
    await trio.sleep(3 * SHARE_INTERVAL_S)
    assert serving_hosts(fleet) == {"h": 5}
    await trio.sleep(SHARE_INTERVAL_S)
    assert serving_hosts(fleet) == {}


@pytest.mark.parametrize("reverse", [False, True])
async def test_shared_records_take_effect_in_any_order_of_arrival(fleet, reverse):
    """A host declared dead announces a new incarnation; either may arrive first."""
    fleet.apply_membership(announced("h", 1))
    records = [left("h", 1), announced("h", 2)]
    for record in reversed(records) if reverse else records:
        fleet.provisional.add(record)
    assert serving_hosts(fleet) == {"h": 2}


async def test_a_shared_departure_is_overridden_by_the_log(fleet):
    fleet.apply_membership(announced("h", 1))
    fleet.provisional.add(left("h", 1))
    assert serving_hosts(fleet) == {}
    fleet.apply_membership(announced("h", 2))
    assert serving_hosts(fleet) == {"h": 2}
