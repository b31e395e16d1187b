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
MAX_APPLY_S = 2.0
"""Time after its acknowledgment until a version is in force, in the strictest of the
users' deployments."""


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
    await trio.sleep(MAX_APPLY_S)
    assert fleet.versions() == {2}
    for _ in range(20):
        await trio.sleep(0.5)
        assert fleet.stale_hosts() == []


@pytest.mark.parametrize("refuses_at_once", [False, True], ids=["silent", "refusing"])
@pytest.mark.parametrize("delay_s", [0.0, 0.6, 1.2])
@pytest.mark.parametrize("seed", range(3))
async def test_a_change_is_in_force_in_time_when_no_reader_hears_of_it(
    autojump_clock, make_fleet, seed, delay_s, refuses_at_once
):
    # The log service answers all hosts but the readers, which answer their followers.
    # A withdrawn key worked for too long, as an answer was taken for news.
    fleet = make_fleet(15, domains=3, seed=seed)
    await trio.sleep(START_S + fleet.rng.uniform(0, 1))
    readers = fleet.readers()
    fleet.log.refuses_at_once = refuses_at_once
    fleet.log.is_down_for = lambda host_id: host_id in readers
    await trio.sleep(delay_s)
    fleet.publish(b"2")
    await trio.sleep(MAX_APPLY_S)
    late = {each.host_id for each in fleet.hosts() if each.version != 2}
    assert late <= set(readers)


SILENT_SHARE = 0.35
"""Largest part of the hosts that the users' log services turn away."""


def _draw_silent(fleet, choice, share=SILENT_SHARE):
    """Returns the hosts that the log service doesn't answer."""
    hosts = fleet.hosts_by_rank()
    count = int(share * len(hosts))
    if choice == "random":
        return set(fleet.rng.sample(hosts, count))
    if choice == "first ranks of one domain":
        hosts.sort(key=lambda host_id: host_id[0] != "a")
    return set(hosts[:count])


async def _late_hosts(fleet, silent):
    """Publishes a change; returns the hosts outside `silent` that are late with it."""
    await trio.sleep(fleet.rng.uniform(0, 1.2))
    fleet.publish(b"2")
    await trio.sleep(MAX_APPLY_S)
    return {each.host_id for each in fleet.hosts() if each.version != 2} - silent


CHOICES = ["random", "first ranks", "first ranks of one domain"]


@pytest.mark.parametrize("choice", CHOICES)
@pytest.mark.parametrize(("hosts", "domains"), [(9, 3), (15, 3), (75, 3), (195, 5)])
@pytest.mark.parametrize("seed", range(3))
async def test_a_change_is_in_force_in_time_when_some_hosts_hear_nothing(
    autojump_clock, make_fleet, seed, hosts, domains, choice
):
    # The first that read in a silent reader's place may be silent hosts too.
    fleet = make_fleet(hosts, domains, seed)
    await trio.sleep(START_S + fleet.rng.uniform(0, 1))
    silent = _draw_silent(fleet, choice)
    fleet.log.is_down_for = lambda host_id: host_id in silent
    assert await _late_hosts(fleet, silent) == set()


async def test_a_change_is_in_force_in_time_in_domains_of_200_hosts(
    autojump_clock, make_fleet
):
    # Ranks that read in place one after the other, 0.12 s apart, took 8 s.
    fleet = make_fleet(400, 2)
    await trio.sleep(START_S + fleet.rng.uniform(0, 1))
    silent = _draw_silent(fleet, "first ranks")
    fleet.log.is_down_for = lambda host_id: host_id in silent
    assert await _late_hosts(fleet, silent) == set()


@pytest.mark.parametrize("choice", CHOICES)
@pytest.mark.parametrize("delay_s", [0.5, 0.9, 1.6, 3.0])
async def test_a_change_is_in_force_in_time_when_some_hosts_are_answered_late(
    autojump_clock, make_fleet, delay_s, choice
):
    # An answer proves the state of the moment when it was made, not of its arrival.
    fleet = make_fleet(15, 3)
    await trio.sleep(START_S + fleet.rng.uniform(0, 1))
    slow = _draw_silent(fleet, choice)
    fleet.log.answer_delay_s = lambda host_id: delay_s if host_id in slow else 0.0
    assert await _late_hosts(fleet, slow) == set()


@pytest.mark.parametrize("hosts", [15, 90])
@pytest.mark.parametrize("seed", range(6))
async def test_a_change_is_in_force_in_time_when_half_of_the_hosts_hear_nothing(
    autojump_clock, make_fleet, seed, hosts
):
    # Readers, and others at random: more than the users' log services turn away.
    fleet = make_fleet(hosts, domains=3, seed=seed)
    await trio.sleep(START_S + fleet.rng.uniform(0, 1))
    readers = fleet.readers()
    others = sorted(set(fleet.hosts_by_id) - set(readers))
    silent = {*readers, *fleet.rng.sample(others, hosts // 2 - len(readers))}
    fleet.log.is_down_for = lambda host_id: host_id in silent
    assert await _late_hosts(fleet, silent) == set()


@pytest.mark.parametrize("refuses_at_once", [False, True], ids=["silent", "refusing"])
@pytest.mark.parametrize("share", [SILENT_SHARE, 1.0], ids=["some", "all"])
@pytest.mark.parametrize(("hosts", "domains"), [(15, 3), (195, 5)])
async def test_hosts_that_hear_nothing_call_less_and_less_often(
    autojump_clock, make_fleet, hosts, domains, share, refuses_at_once
):
    # Whoever reads in place must not make a storm of it, nor once it is answered.
    fleet = make_fleet(hosts, domains)
    await trio.sleep(START_S)
    silent = _draw_silent(fleet, "first ranks", share)
    readers = set(fleet.readers())
    fleet.log.refuses_at_once = refuses_at_once
    fleet.log.is_down_for = lambda host_id: host_id in silent
    down_at = trio.current_time()
    fleet.log.calls_by_host.clear()
    await trio.sleep(10)
    calls_by_host = dict(fleet.log.calls_by_host)
    fleet.log.is_down_for = lambda host_id: False
    await trio.sleep(3)
    # Refused calls come after 1, 2 and again 2 s. In 10 s, with proofs that
    # were a second old before, six are for the configuration, and five for the hosts.
    for host_id in silent - readers:
        assert calls_by_host.get(host_id, 0) <= 6 + 5
    # The users' log services take 80 reads a second and host, and more.
    for second, count in fleet.log.calls_by_second.items():
        assert count <= 2 * hosts or second < down_at


async def test_the_log_service_is_left_to_the_readers_soon_after_a_fault(
    autojump_clock, make_fleet
):
    fleet = make_fleet(75, 3)
    await trio.sleep(START_S)
    readers = set(fleet.readers())
    fleet.log.is_down_for = lambda host_id: host_id in readers
    await trio.sleep(6)
    fleet.log.is_down_for = lambda host_id: False
    await trio.sleep(12)
    fleet.log.calls_by_host.clear()
    await trio.sleep(5)
    assert set(fleet.log.calls_by_host) == readers


async def test_only_readers_call_the_log_service_on_a_calm_day(
    autojump_clock, make_fleet
):
    fleet = make_fleet(75, 3)
    await trio.sleep(START_S)
    fleet.log.calls_by_host.clear()
    for version in range(2, 12):
        await trio.sleep(1.73)
        fleet.publish(b"%d" % version)
    assert set(fleet.log.calls_by_host) == set(fleet.readers())


async def test_proofs_stay_recent_while_the_configuration_changes(
    autojump_clock, make_fleet
):
    # A read that was ended by a change proves the state of when it was sent, so the
    # next proof came up to 2 s after it, and hosts read the log service for nothing.
    fleet = make_fleet(30, domains=3)
    await trio.sleep(START_S)
    ages_s = []
    for version in range(2, 12):
        await trio.sleep(0.4)
        fleet.publish(b"%d" % version)
        for _ in range(5):
            await trio.sleep(0.1)
            ages_s += [host.freshness.age_s() for host in fleet.hosts()]
    # Older ones have hosts look for another source.
    assert max(ages_s) < 1.15


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
    await trio.sleep(MAX_APPLY_S)
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
    await trio.sleep(MAX_APPLY_S)
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
