"""Configurations grow only, and keys are accepted while somebody vouches for them."""

import pytest
import trio

from mangospoke.conf.effective import EffectiveConfiguration
from mangospoke.control.interface import ControlError
from mangospoke.control.messages import AskConfiguration, ConfigurationTold
from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.state.configuration_source import ConfigurationSource
from mangospoke.state.fleet import Fleet
from mangospoke.state.freshness import Freshness

LONGEST_S = 4.4


def read(content):
    return EffectiveConfiguration(int(content)) if content.isdigit() else None


class FakeControl:
    """Carries questions to the sources of other hosts."""

    def __init__(self, network):
        self.handlers_by_type = {}
        self._network = network

    async def ask(self, address, question, answer_type, timeout_s):
        control = self._network.get(address)
        if control is None:
            raise ControlError("unreachable")
        await trio.sleep(0.01)
        return await control.handlers_by_type[type(question)](question)


class Hosts:
    """A few hosts that know each other; `cut` takes one off the network."""

    def __init__(self, count):
        self.network = {}
        self.sources = []
        self.fleets = []
        self.freshness = []
        for number in range(count):
            fleet = Fleet("s")
            fleet.put_upstreams({f"h{n}": announced(f"h{n}") for n in range(count)})
            control = FakeControl(self.network)
            self.network[f"h{number}"] = control
            freshness = Freshness(LONGEST_S, trio.current_time)
            source = ConfigurationSource(
                f"h{number}", fleet, freshness, control, "config", read,
                trio.current_time,
            )  # fmt: skip
            self.fleets.append(fleet)
            self.freshness.append(freshness)
            self.sources.append(source)

    def hear(self, number, version):
        """The log service answers a host."""
        self.sources[number].take([KeyedRecord("config", b"%d" % version, version)])
        self.sources[number].prove(trio.current_time())

    def cut(self, number):
        del self.network[f"h{number}"]
        self.sources[number]._control._network = {}


def announced(host_id):
    return UpstreamAnnounced(
        record_id="r",
        host_id=host_id,
        failure_domain="a",
        incarnation=1,
        service="s",
        peer_address=host_id,
        control_address=host_id,
        slots=1,
    )


@pytest.fixture
async def hosts(autojump_clock):
    made = Hosts(3)
    async with trio.open_nursery() as nursery:
        for source in made.sources:
            nursery.start_soon(source.run)
        yield made
        nursery.cancel_scope.cancel()


async def test_an_older_version_is_not_put_back_in_force(hosts):
    hosts.hear(0, 7)
    hosts.sources[0].take([KeyedRecord("config", b"5", 9)])
    assert hosts.fleets[0].configuration.version == 7


async def test_other_keys_of_the_topic_are_none_of_our_business(hosts):
    hosts.hear(0, 7)
    hosts.sources[0].take([KeyedRecord("else", b"9", 9)])
    assert hosts.fleets[0].configuration.version == 7


async def test_a_configuration_that_cannot_be_read_proves_nothing(hosts):
    hosts.hear(0, 7)
    for other in (1, 2):
        hosts.cut(other)
    hosts.sources[0].take([KeyedRecord("config", b"garbage", 9)])
    await trio.sleep(LONGEST_S + 0.1)
    hosts.sources[0].prove(trio.current_time())
    assert not hosts.freshness[0].is_fresh()


async def test_a_host_that_hears_nothing_stops_accepting_keys_in_time(hosts):
    hosts.hear(0, 7)
    hosts.cut(0)
    await trio.sleep(LONGEST_S - 0.1)
    assert hosts.freshness[0].is_fresh()
    await trio.sleep(0.2)
    assert not hosts.freshness[0].is_fresh()


async def test_a_host_whose_log_is_silent_lives_on_its_peers_word(hosts):
    hosts.hear(0, 7)
    hosts.hear(1, 7)
    for _ in range(20):
        hosts.sources[1].prove(trio.current_time())
        await trio.sleep(0.5)
    assert hosts.freshness[0].is_fresh()


async def test_a_host_hears_of_a_newer_version_from_its_peers(hosts):
    hosts.hear(0, 7)
    hosts.hear(1, 8)
    await trio.sleep(3)
    assert hosts.fleets[0].configuration.version == 8


async def test_peers_that_are_stale_themselves_keep_no_one_fresh(hosts):
    for number in range(3):
        hosts.hear(number, 7)
    await trio.sleep(LONGEST_S + 0.5)
    assert not any(each.is_fresh() for each in hosts.freshness)


async def test_the_word_of_a_peer_counts_with_its_age(hosts):
    hosts.hear(1, 7)
    await trio.sleep(2)
    told = await hosts.network["h1"].handlers_by_type[AskConfiguration](
        AskConfiguration(0)
    )
    assert isinstance(told, ConfigurationTold)
    assert told.age_ms == pytest.approx(2_000, abs=50)
    assert told.content == b"7"
