"""Hundreds of hosts that follow a log service: few calls, and no host stays behind."""

import pytest
import trio

from mangospoke.logservice.keyed import KeyedFollower
from mangospoke.rates.timing import HOME_LEASE_NS, NS_PER_S
from tests.state.following_fleet import (
    MAX_AGE_S,
    SILENT_TIMEOUT_S,
    FakeKeyedLog,
    FollowingFleet,
    LogClient,
)

START_S = 3


@pytest.fixture
async def make_fleet():
    async with trio.open_nursery() as nursery:
        yield lambda hosts, domains=5, seed=1: FollowingFleet(
            nursery, hosts, domains, seed
        )
        nursery.cancel_scope.cancel()


async def test_calls_a_host_fall_as_hosts_are_added(autojump_clock, make_fleet):
    calls_per_s_and_host = []
    for hosts in (32, 75, 195):
        fleet = make_fleet(hosts)
        await trio.sleep(START_S)
        before = fleet.log.call_count
        await trio.sleep(10)
        calls_per_s_and_host.append((fleet.log.call_count - before) / 10 / hosts)
        assert fleet.stale_hosts() == []
    assert calls_per_s_and_host == sorted(calls_per_s_and_host, reverse=True)
    assert calls_per_s_and_host[2] < 0.1


async def test_few_calls_are_made_by_a_small_fleet_on_a_quiet_day(
    autojump_clock, make_fleet
):
    fleet = make_fleet(32)
    await trio.sleep(START_S)
    before = fleet.log.call_count
    await trio.sleep(20)
    assert (fleet.log.call_count - before) / 20 / 32 < 0.2


async def test_hosts_that_start_together_make_few_calls_and_know_each_other(
    autojump_clock, make_fleet
):
    fleet = make_fleet(195)
    await trio.sleep(START_S)
    assert fleet.log.call_count < 8 * 195
    assert {len(host.directory) for host in fleet.hosts_by_id.values()} == {195}
    assert fleet.stale_hosts() == []


async def test_no_record_is_missed_that_comes_between_two_pages(
    autojump_clock, make_fleet
):
    fleet = make_fleet(40)
    fleet.log.page_interval_s = 0.05
    await trio.sleep(START_S)
    assert {len(host.directory) for host in fleet.hosts_by_id.values()} == {40}


async def test_records_that_come_close_together_are_read_once(
    autojump_clock, make_fleet
):
    fleet = make_fleet(60)
    await trio.sleep(START_S)
    before = fleet.log.call_count
    for index in range(100, 150):
        fleet.start_host(f"a{index}")
        await trio.sleep(0.02)
    await trio.sleep(2)
    # Each new host reads both topics and writes its record; readers poll for 3 s.
    assert fleet.log.call_count - before < 50 * 5 + 12 * 3 * 5
    assert {len(host.directory) for host in fleet.hosts_by_id.values()} == {110}


async def test_a_change_reaches_all_hosts_soon(autojump_clock, make_fleet):
    fleet = make_fleet(195)
    await trio.sleep(START_S)
    fleet.publish(b"2")
    await trio.sleep(0.5)
    assert fleet.versions() == {2}


@pytest.mark.parametrize("fault", ["killed", "silent", "cut from the log service"])
@pytest.mark.parametrize("seed", range(3))
async def test_no_host_falls_behind_when_all_readers_fail(
    autojump_clock, make_fleet, fault, seed
):
    fleet = make_fleet(75, seed=seed)
    await trio.sleep(START_S)
    readers = set(fleet.readers())
    assert len(readers) == 5
    if fault == "killed":
        for host_id in readers:
            fleet.kill_host(host_id)
    elif fault == "silent":
        fleet.is_cut = lambda one, other: (one in readers) != (other in readers)
    else:
        fleet.log.is_down_for = lambda host_id: host_id in readers
    fleet.publish(b"2")
    await trio.sleep(3)
    assert fleet.versions() == {2}
    for _ in range(20):
        await trio.sleep(0.5)
        assert fleet.stale_hosts() == []


MAX_APPLY_S = 2.0
"""Time after its acknowledgment until a version is in force, in the strictest of the
users' deployments."""


@pytest.mark.parametrize("delay_s", [0.0, 0.6, 1.2])
@pytest.mark.parametrize("seed", range(3))
async def test_a_change_is_in_force_in_time_when_no_reader_hears_of_it(
    autojump_clock, make_fleet, seed, delay_s
):
    # The log service answers all hosts but the readers, which answer their followers.
    fleet = make_fleet(15, domains=3, seed=seed)
    await trio.sleep(START_S + fleet.rng.uniform(0, 1))
    readers = fleet.readers()
    fleet.log.is_down_for = lambda host_id: host_id in readers
    await trio.sleep(delay_s)
    fleet.publish(b"2")
    await trio.sleep(MAX_APPLY_S)
    late = {each.host_id for each in fleet.hosts() if each.version != 2}
    assert late <= set(readers)


@pytest.mark.parametrize("seed", range(3))
async def test_a_domain_whose_reader_is_dark_hears_without_more_calls(
    autojump_clock, make_fleet, seed
):
    fleet = make_fleet(75, seed=seed)
    await trio.sleep(START_S)
    dark = next(host_id for host_id in fleet.readers() if host_id[0] == "a")
    fleet.is_cut = lambda one, other: dark in (one, other)
    fleet.log.is_down_for = lambda host_id: host_id == dark
    await trio.sleep(0.5)
    before = fleet.log.call_count
    fleet.publish(b"2")
    await trio.sleep(2)
    versions = {
        host_id: host.version
        for host_id, host in fleet.hosts_by_id.items()
        if host_id != dark
    }
    assert set(versions.values()) == {2}
    for _ in range(20):
        await trio.sleep(0.5)
        assert set(fleet.stale_hosts()) <= {dark}
    # Five readers call about 1.1 times a second, and read the change.
    assert fleet.log.call_count - before < 5 * 1.3 * 12 + 10


async def test_one_failure_domain_without_the_log_service_follows_others(
    autojump_clock, make_fleet
):
    fleet = make_fleet(75)
    await trio.sleep(START_S)
    fleet.log.is_down_for = lambda host_id: host_id[0] == "a"
    fleet.publish(b"2")
    await trio.sleep(3)
    assert fleet.versions() == {2}
    for _ in range(20):
        await trio.sleep(0.5)
        assert fleet.stale_hosts() == []


async def test_a_log_service_that_is_away_gets_no_storm_and_keys_end_in_time(
    autojump_clock, make_fleet
):
    fleet = make_fleet(195)
    await trio.sleep(START_S)
    fleet.log.is_down_for = lambda host_id: True
    down_at = trio.current_time()
    await trio.sleep(MAX_AGE_S + 1.2)
    assert len(fleet.stale_hosts()) == 195
    await trio.sleep(5)
    fleet.log.is_down_for = lambda host_id: False
    back_at = trio.current_time()
    await trio.sleep(3)
    assert fleet.stale_hosts() == []
    peak = max(
        count
        for second, count in fleet.log.calls_by_second.items()
        if down_at <= second <= back_at + 3
    )
    assert peak < 195


async def test_a_host_that_is_cut_from_all_stops_accepting_keys(
    autojump_clock, make_fleet
):
    fleet = make_fleet(32)
    await trio.sleep(START_S)
    fleet.is_cut = lambda one, other: "a0" in (one, other)
    fleet.log.is_down_for = lambda host_id: host_id == "a0"
    await trio.sleep(MAX_AGE_S + 0.1)
    assert fleet.stale_hosts() == ["a0"]


@pytest.mark.parametrize("seed", range(3))
async def test_the_list_of_hosts_stays_proved_when_all_readers_are_turned_away(
    autojump_clock, make_fleet, seed
):
    fleet = make_fleet(75, seed=seed)
    await trio.sleep(START_S)
    readers = set(fleet.readers())
    fleet.log.is_down_for = lambda host_id: host_id in readers
    for _ in range(40):
        await trio.sleep(0.5)
        ages_s = [host.directory.freshness.age_s() for host in fleet.hosts()]
        assert max(ages_s) < HOME_LEASE_NS / NS_PER_S


async def test_the_list_of_hosts_is_not_proved_without_the_log_service(
    autojump_clock, make_fleet
):
    fleet = make_fleet(32)
    await trio.sleep(START_S)
    fleet.log.is_down_for = lambda host_id: True
    await trio.sleep(10)
    ages_s = [host.directory.freshness.age_s() for host in fleet.hosts()]
    assert min(ages_s) > 9


async def test_other_content_of_the_same_version_reaches_followers(
    autojump_clock, make_fleet
):
    fleet = make_fleet(32)
    await trio.sleep(START_S)
    fleet.publish(b"2/withdrawn key")
    await trio.sleep(1)
    old = fleet.log.records_by_topic
    fleet.log.restore({"op": old["op"][:1], "hosts": list(old["hosts"])})
    await trio.sleep(0.5)
    fleet.publish(b"2/other content")
    await trio.sleep(3)
    contents = {
        host.configuration._active_content for host in fleet.hosts_by_id.values()
    }
    assert contents == {b"2/other content"}
    assert fleet.stale_hosts() == []


async def test_the_records_of_a_later_era_are_told_to_followers_once(
    autojump_clock, make_fleet
):
    fleet = make_fleet(32)
    newest_by_host = {host_id: [] for host_id in fleet.hosts_by_id}
    await trio.sleep(START_S)
    for host_id, host in fleet.hosts_by_id.items():
        host.peers.handle_newest = newest_by_host[host_id].append
        host.hosts_follower.handle_newest = newest_by_host[host_id].append
    old = fleet.log.records_by_topic
    fleet.log.restore({"op": old["op"], "hosts": list(old["hosts"][:10])})
    await trio.sleep(4)
    assert {len(told) for told in newest_by_host.values()} == {1}
    assert all(len(told[0]) == 10 for told in newest_by_host.values())


async def test_the_log_service_is_believed_as_soon_as_it_is_back(
    autojump_clock, nursery
):
    log = FakeKeyedLog()
    log.append("op", "config", b"1")
    proofs = []
    follower = KeyedFollower(
        LogClient(log, "a0"), "op", lambda records: None, 10_000, confirm=proofs.append
    )
    nursery.start_soon(follower.run)
    await trio.sleep(1)
    log.is_down_for = lambda host_id: True
    await trio.sleep(15)
    log.is_down_for = lambda host_id: False
    back_at = trio.current_time()
    await trio.sleep(SILENT_TIMEOUT_S + 1)
    assert proofs[-1] > back_at
