"""One daemon's view of the fleet, with notification of changes."""

import random
from collections.abc import Callable, Mapping

import msgspec
import trio
from loguru import logger

from mangospoke.conf.effective import EffectiveConfiguration, merge_sections
from mangospoke.ids import HostId, ServiceName, SiteId
from mangospoke.logservice.records import (
    ConfigurationRecord,
    LogStream,
    MembershipRecord,
    UpstreamAnnounced,
)
from mangospoke.state.configuration import ConfigurationState
from mangospoke.state.evacuations import Evacuations
from mangospoke.state.membership import MembershipState
from mangospoke.state.provisional import ProvisionalMembership
from mangospoke.state.streams import StateMachine, StreamReplica

_MAX_LINES_PER_CHANGE = 50


class Fleet:
    """The replicated state, and the views of it that decisions use.

    Attributes:
        configuration: The active configuration, merged for this host's site.
        configuration_state: State machine of the configuration stream.
        membership_state: State machine of the membership stream.
        upstreams_by_host: All known upstreams.
        upstreams_by_service: Upstreams of each service by host.
        rejected_version: Newest configuration version that is invalid for this
            program; 0 if there was none.
        streams: Replica of each followed stream; see `add_stream`.
        provisional: Membership records of this failure domain that the membership
            stream doesn't contain yet.
        configuration_listeners: Called after another configuration became active.
        membership_listeners: Called after the known upstreams changed.
        evacuations: The failure domains whose upstreams get no requests.
    """

    def __init__(self, site: SiteId) -> None:
        self.configuration = EffectiveConfiguration()
        self.configuration_state = ConfigurationState(
            on_settled=self._activate_replicated_configuration
        )
        self.membership_state = MembershipState(on_settled=self.refresh_upstreams)
        self.provisional = ProvisionalMembership(self.membership_state)
        self.upstreams_by_host: dict[HostId, UpstreamAnnounced] = {}
        self.upstreams_by_service: dict[
            ServiceName, dict[HostId, UpstreamAnnounced]
        ] = {}
        self.streams: dict[LogStream, StreamReplica] = {}
        self.configuration_listeners: list[Callable[[], None]] = []
        self.membership_listeners: list[Callable[[], None]] = []
        self.evacuations = Evacuations()
        self._site = site
        self._changed = trio.Event()
        self.rejected_version = 0
        self.add_stream(LogStream.CONFIGURATION, self.configuration_state)
        self.add_stream(LogStream.MEMBERSHIP, self.membership_state)

    def add_stream(
        self, stream: LogStream, state_machine: StateMachine
    ) -> StreamReplica:
        """Adds a stream to follow; must be called before the daemon runs."""
        replica = StreamReplica(stream, state_machine)
        replica.listeners.append(self._wake_waiters)
        self.streams[stream] = replica
        return replica

    @property
    def next_offset_by_stream(self) -> Mapping[LogStream, int]:
        """Offset of the next record to apply, by stream."""
        return {stream: each.next_offset for stream, each in self.streams.items()}

    def sample_other_hosts(self, own: HostId, count: int) -> list[UpstreamAnnounced]:
        """Returns a random sample of the other hosts.

        Args:
            own: The host to leave out.
            count: Maximum size of the sample.
        """
        others = [
            host for host in self.upstreams_by_host.values() if host.host_id != own
        ]
        return random.sample(others, min(count, len(others)))

    def apply_configuration(self, record: ConfigurationRecord) -> None:
        """Applies a configuration record and activates a new version."""
        if self.configuration_state.apply(record):
            self._activate_replicated_configuration()

    def apply_membership(self, record: MembershipRecord) -> None:
        """Applies a membership record."""
        if self.membership_state.apply(record):
            self.refresh_upstreams()

    def _activate_replicated_configuration(self) -> None:
        state = self.configuration_state
        if state.version in (self.configuration.version, self.rejected_version):
            return
        try:
            merged = merge_sections(state.version, state.sections, self._site)
        except (msgspec.MsgspecError, ValueError) as error:
            # Published by a newer release: the active version is kept, and the
            # rejected one is reported in the status.
            self.rejected_version = state.version
            logger.bind(event="configuration_rejected", version=state.version).error(
                "configuration version {} can't be activated: {}",
                state.version,
                error,
            )
            return
        self.activate_configuration(merged)

    def activate_configuration(self, configuration: EffectiveConfiguration) -> None:
        """Activates a configuration."""
        version = configuration.version
        self.configuration = configuration
        logger.bind(event="configuration_in_force", version=version).info(
            "configuration version {} is active", version
        )
        self._notify(self.configuration_listeners)

    def refresh_upstreams(self) -> None:
        """Merges the membership stream with provisional records and activates it."""
        self.set_upstreams(self.provisional.merged_upstreams())

    def set_upstreams(self, upstreams_by_host: dict[HostId, UpstreamAnnounced]) -> None:
        """Replaces all known upstreams."""
        if upstreams_by_host == self.upstreams_by_host:
            return
        _log_upstream_changes(self.upstreams_by_host, upstreams_by_host)
        self.upstreams_by_host = upstreams_by_host
        by_service: dict[ServiceName, dict[HostId, UpstreamAnnounced]] = {}
        for host_id, upstream in upstreams_by_host.items():
            by_service.setdefault(upstream.service, {})[host_id] = upstream
        self.upstreams_by_service = by_service
        self._notify(self.membership_listeners)

    def _notify(self, listeners: list[Callable[[], None]]) -> None:
        for listener in listeners:
            listener()
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def wait_for_change(self) -> None:
        """Waits until a stream, the configuration or the membership changes."""
        await self._changed.wait()

    async def wait_configured(self) -> None:
        """Waits until a configuration is active."""
        while self.configuration.version == 0:
            await self.wait_for_change()

    def age_s(self) -> float:
        """Seconds since all streams were last known to match the log service."""
        confirmed_at = min(each.confirmed_at for each in self.streams.values())
        return trio.current_time() - confirmed_at


def _log_upstream_changes(
    before: dict[HostId, UpstreamAnnounced], after: dict[HostId, UpstreamAnnounced]
) -> None:
    changed = [
        host_id
        for host_id in before.keys() | after.keys()
        if before.get(host_id) is not after.get(host_id)
    ]
    if len(changed) > _MAX_LINES_PER_CHANGE:
        # A new host gets all upstreams at once; one line is enough for that.
        logger.bind(event="membership", hosts=len(after)).info(
            "{} upstreams are known", len(after)
        )
        return
    for host_id in changed:
        old = _describe(before.get(host_id))
        new = _describe(after.get(host_id))
        logger.bind(
            event="membership", upstream_host=host_id, before=old, after=new
        ).info("upstream of {}: {} -> {}", host_id, old, new)


def _describe(upstream: UpstreamAnnounced | None) -> str:
    if upstream is None:
        return "none"
    return f"{upstream.service}/{upstream.incarnation}/{upstream.state.value}"
