"""Tests of the announcer: clocks ahead, wrong declarations of death, replacement."""

import pytest

from mangospoke.announcements import Announcement
from mangospoke.conf.settings import Fleet as FleetSettings
from mangospoke.conf.settings import Host, Limits, Listen, LogService, Settings
from mangospoke.guard.guard import Guard
from mangospoke.logservice.records import UpstreamLeft, UpstreamState
from mangospoke.observability.decisions import DecisionLog
from mangospoke.state.announcer import NO_UPSTREAM, Announcer
from mangospoke.state.fleet import Fleet
from tests.state.records import announced, left

SETTINGS = Settings(
    host=Host(id="h", failure_domain="a", site="s"),
    listen=Listen(
        public="127.0.0.1:1",
        local="127.0.0.1:2",
        peer="127.0.0.1:3",
        control="127.0.0.1:4",
        operations="127.0.0.1:5",
    ),
    fleet=FleetSettings(secret="s"),
    log=LogService(address="127.0.0.1:6"),
)
UPSTREAM = Announcement(service="jobs", address="127.0.0.1:7", slots=1, connections=1)
INCARNATION_AHEAD = 10**15
"""Incarnation of a process whose clock was ahead."""


class AnnouncingHost:
    """An announcer, and the records that it queues for appending."""

    def __init__(self):
        self.fleet = Fleet("s")
        self.guard = Guard(self.fleet, Limits(), DecisionLog())
        self.queued = []
        self.announcer = Announcer(
            SETTINGS, 1, self.fleet, self.guard, self.queued.append
        )

    def reconcile(self):
        """Returns the record that the announcer queues for appending, or None."""
        self.queued.clear()
        self.announcer._reconcile()
        return self.queued[-1] if self.queued else None

    def reconcile_and_apply(self):
        record = self.reconcile()
        self.fleet.apply_membership(record)
        return record


@pytest.fixture
async def host():
    host = AnnouncingHost()
    host.announcer.announce(UPSTREAM)
    return host


async def test_a_record_is_queued_until_the_fleet_state_contains_it(host):
    assert host.reconcile() == host.reconcile()
    record = host.reconcile_and_apply()
    assert (record.state, record.sequence) == (UpstreamState.SERVING, 0)
    assert host.reconcile() is None


async def test_an_upstream_that_left_can_be_announced_again(host):
    first = host.reconcile_and_apply()
    host.announcer.leave()
    assert host.announcer.incarnation == NO_UPSTREAM
    assert isinstance(host.reconcile_and_apply(), UpstreamLeft)
    host.announcer.announce(UPSTREAM)
    again = host.reconcile_and_apply()
    assert again.incarnation > first.incarnation
    assert host.fleet.upstreams_by_service["jobs"]["h"] == again


async def test_a_drain_keeps_the_incarnation(host):
    first = host.reconcile_and_apply()
    host.announcer.drain()
    drained = host.reconcile_and_apply()
    assert drained.incarnation == first.incarnation
    assert (drained.state, drained.sequence) == (UpstreamState.DRAINING, 1)


async def test_a_host_declared_dead_announces_a_new_incarnation(host):
    first = host.reconcile_and_apply()
    host.fleet.apply_membership(left("h", first.incarnation))
    again = host.reconcile_and_apply()
    assert again.incarnation > first.incarnation
    assert host.reconcile() is None


async def test_a_host_declared_dead_provisionally_announces_a_new_incarnation(host):
    first = host.reconcile_and_apply()
    host.fleet.provisional.add(left("h", first.incarnation))
    host.fleet.refresh_upstreams()
    again = host.reconcile()
    assert again.incarnation > first.incarnation


async def test_an_earlier_announcement_with_a_clock_ahead_is_outnumbered(host):
    host.fleet.apply_membership(announced("h", INCARNATION_AHEAD))
    record = host.reconcile_and_apply()
    assert record.incarnation == INCARNATION_AHEAD + 1
    assert not host.announcer.superseded


async def test_an_earlier_departure_with_a_clock_ahead_is_outnumbered(host):
    host.fleet.apply_membership(left("h", INCARNATION_AHEAD))
    assert host.reconcile_and_apply().incarnation == INCARNATION_AHEAD + 1


async def test_a_replaced_daemon_stops_announcing(host):
    """Otherwise two daemons with one host id would replace each other forever."""
    host.reconcile_and_apply()
    assert host.reconcile() is None
    host.fleet.apply_membership(announced("h", INCARNATION_AHEAD))
    assert host.reconcile() is None
    assert host.announcer.superseded


async def test_a_suspended_upstream_is_absent_until_it_resumes(host):
    first = host.reconcile_and_apply()
    host.announcer.suspend()
    host.announcer.suspend()
    assert isinstance(host.reconcile_and_apply(), UpstreamLeft)
    assert host.fleet.upstreams_by_service == {}
    host.announcer.resume()
    assert host.reconcile_and_apply().incarnation > first.incarnation
    host.announcer.resume()
    assert host.reconcile() is None


async def test_leaving_without_an_announcement_queues_nothing(host):
    host.announcer.leave()
    assert host.reconcile() is None
