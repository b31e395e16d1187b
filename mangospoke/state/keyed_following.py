"""Keeps a hosted daemon's configuration and hosts up to date, assembled.

The configuration and the hosts' records come from two compacted topics of the log
service, through its own reads or those of other daemons (`peer_following`).
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from mangospoke.conf.settings import Settings
from mangospoke.control.interface import ControlChannel
from mangospoke.daemon.supervision import Service
from mangospoke.logservice.keyed import KeyedFollower, KeyedLog, KeyedRecord
from mangospoke.logservice.records import UpstreamAnnounced, UpstreamState
from mangospoke.state.configuration_source import (
    ConfigurationDecoder,
    ConfigurationSource,
)
from mangospoke.state.fleet import Fleet
from mangospoke.state.follow_responder import FollowResponder
from mangospoke.state.freshness import Freshness, read_boot_clock
from mangospoke.state.host_directory import HostDirectory
from mangospoke.state.peer_following import PeerFollower
from mangospoke.state.topology import DomainTopology

_READERS_PER_DOMAIN = 1
"""One is enough: its neighbours also hear from readers of other failure domains."""

_CONFIGURATION_POLL_WAIT_MS = 1_000
_HOSTS_POLL_WAIT_MS = 5_000
"""The leases of homes live on what such a poll proves, see `rates.timing`."""

_HOSTS_BATCH_DELAY_S = 0.3


@dataclass(frozen=True, slots=True)
class KeyedTopics:
    """Where the log service holds what is followed.

    Attributes:
        configuration: Topic that holds the configuration.
        configuration_key: Key of the configuration in that topic.
        hosts: Topic that holds the hosts' records.
        evacuation_prefix: How the keys of orders to evacuate a failure domain begin, in
            the configuration's topic; its id follows. Empty if there are none.
    """

    configuration: str
    configuration_key: str
    hosts: str
    evacuation_prefix: str = ""


class KeyedFollowing:
    """The followers of both topics and of other daemons.

    Attributes:
        configuration: The configuration, and what peers say of it.
        configuration_follower: Reads the configuration's topic.
        hosts_follower: Reads the topic of the hosts' records.
        peers: Follows other daemons.
        check_written: Called with the newest record of each host, when they were asked
            for and their era, whenever these were read from the beginning.
    """

    def __init__(
        self,
        settings: Settings,
        log: KeyedLog,
        topics: KeyedTopics,
        decode: ConfigurationDecoder,
        fleet: Fleet,
        directory: HostDirectory,
        freshness: Freshness,
        control: ControlChannel,
        read_clock: Callable[[], float] = read_boot_clock,
        random_source: random.Random | None = None,
    ) -> None:
        """Initializes the followers and registers their control message handlers.

        Args:
            settings: The daemon's settings.
            log: The log service.
            topics: The topics to follow.
            decode: Decodes a configuration; returns None if it is invalid.
            fleet: The fleet state in which configurations are activated.
            directory: The hosts' records.
            freshness: When the configuration was last confirmed current.
            control: Control channel to the peers.
            read_clock: Returns boot clock seconds.
            random_source: Source of the choice among sources to follow.
        """
        self.check_written: Callable[[Sequence[KeyedRecord], float, int | None], None]
        self.check_written = lambda newest, sent_at, era: None
        self._directory = directory
        self._evacuations = fleet.evacuations
        self._evacuation_prefix = topics.evacuation_prefix
        self.configuration = ConfigurationSource(
            settings.host.id,
            fleet,
            freshness,
            control,
            topics.configuration_key,
            decode,
            read_clock,
        )
        self.configuration_follower = KeyedFollower(
            log,
            topics.configuration,
            self._handle_operator_records,
            _CONFIGURATION_POLL_WAIT_MS,
            read_clock,
            self._confirm_configuration,
        )
        self.configuration_follower.handle_newest = self._handle_newest_of_operator
        self.hosts_follower = KeyedFollower(
            log,
            topics.hosts,
            self._handle_host_records,
            _HOSTS_POLL_WAIT_MS,
            read_clock,
            directory.freshness.confirm,
        )
        self.hosts_follower.handle_newest = self._check_written
        self.hosts_follower.batch_delay_s = _HOSTS_BATCH_DELAY_S
        topology = DomainTopology(
            settings,
            fleet,
            random_source or random.Random(),
            _is_followed,
            _READERS_PER_DOMAIN,
        )
        self.peers = PeerFollower(
            topology,
            control,
            self.configuration,
            directory,
            freshness,
            read_clock,
        )
        FollowResponder(
            fleet, control, self.configuration, directory, freshness, read_clock
        )
        self.configuration_follower.may_read = self.peers.reads_configuration
        self.configuration_follower.seconds_until_may_read = (
            self.peers.seconds_until_reads
        )
        self.hosts_follower.may_read = self.peers.reads_hosts
        for follower in (self.configuration_follower, self.hosts_follower):
            follower.retry_delay_s = self.peers.log_retry_delay_s

    def _confirm_configuration(self, at: float) -> None:
        self.configuration.confirm(at)
        self.peers.handle_log_answer()

    def _handle_newest_of_operator(self, records: Sequence[KeyedRecord]) -> None:
        follower = self.configuration_follower
        self._evacuations.handle_newest(
            self._evacuation_orders(records), follower.era, follower.next_offset or 0
        )
        self.configuration.handle_newest(records)

    def _handle_operator_records(self, records: Sequence[KeyedRecord]) -> None:
        follower = self.configuration_follower
        self._evacuations.handle_orders(
            self._evacuation_orders(records), follower.era, follower.next_offset or 0
        )
        self.configuration.handle_records(records)

    def _evacuation_orders(self, records: Sequence[KeyedRecord]) -> list[KeyedRecord]:
        """Returns the orders among records, with the failure domain as their key."""
        prefix = self._evacuation_prefix
        if not prefix:
            return []
        return [
            replace(record, key=record.key.removeprefix(prefix))
            for record in records
            if record.key.startswith(prefix)
        ]

    def _handle_host_records(self, records: Sequence[KeyedRecord]) -> None:
        follower = self.hosts_follower
        self._directory.handle_records(records, follower.era, follower.next_offset or 0)

    def _check_written(self, newest: Sequence[KeyedRecord]) -> None:
        follower = self.hosts_follower
        self.check_written(newest, follower.newest_sent_at, follower.era)

    def services_by_name(self) -> dict[str, Service]:
        """Background services to run under supervision, by name."""
        return {
            "configuration": self.configuration_follower.run,
            "configuration of peers": self.configuration.run,
            "hosts": self.hosts_follower.run,
            "peers followed": self.peers.run,
        }


def _is_followed(upstream: UpstreamAnnounced) -> bool:
    """Whether the daemon beside an upstream is there to stay."""
    return upstream.state is not UpstreamState.DRAINING
