"""Obtains a hosted daemon's configuration from the log service or from peers.

A host that gets no answer from the log service asks peers; a peer's confirmation is
dated back by the age that the peer reports. So a host stops accepting keys only if no
peer that it can reach has heard from the log service recently.
"""

import math
import random
from collections.abc import Callable, Sequence

import trio
from loguru import logger

from mangospoke.conf.effective import EffectiveConfiguration
from mangospoke.control.interface import ControlChannel, ControlError
from mangospoke.control.messages import (
    GetConfiguration,
    GetConfigurationResponse,
    Message,
)
from mangospoke.ids import HostId
from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.state.fleet import Fleet
from mangospoke.state.freshness import Freshness, read_boot_clock

_MIN_AGE_TO_ASK_PEERS_S = 1.4
"""Age of the last confirmation from which on peers are asked."""

_CHECK_INTERVAL_S = 0.2
_PEER_TIMEOUT_S = 0.3
_PEERS_PER_CHECK = 2

ConfigurationDecoder = Callable[[bytes], EffectiveConfiguration | None]


class ConfigurationSource:
    """Activates configurations and tracks when they were last confirmed current."""

    def __init__(
        self,
        host_id: HostId,
        fleet: Fleet,
        freshness: Freshness,
        control: ControlChannel,
        key: str,
        read: ConfigurationDecoder,
        read_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        """Initializes the source and registers its control message handler.

        Args:
            host_id: This host.
            fleet: The fleet state in which configurations are activated.
            freshness: When the active configuration was last confirmed current.
            control: Control channel to the peers.
            key: Key of the configuration in its topic.
            read: Decodes a configuration; returns None if it is invalid.
            read_clock: Returns boot clock seconds.
        """
        self._host_id = host_id
        self._fleet = fleet
        self._freshness = freshness
        self._control = control
        self._key = key
        self._decode = read
        self._read_clock = read_clock
        self._active_content = b""
        self._newest_is_usable = False
        self._was_fresh = False
        control.handlers_by_type[GetConfiguration] = self._handle_question

    def handle_records(self, records: Sequence[KeyedRecord]) -> None:
        """Processes records of the configuration's topic."""
        for record in records:
            if record.key == self._key and record.value:
                self._newest_is_usable = self._activate_if_newer(record.value)

    def confirm(self, at: float) -> None:
        """Records that the log service had no newer configuration.

        Args:
            at: Time of that state, in boot clock seconds.
        """
        if self._newest_is_usable:
            self._freshness.confirm(at)

    def _activate_if_newer(self, content: bytes) -> bool:
        """Activates a configuration unless it is old; False if it is invalid."""
        configuration = self._decode(content)
        if configuration is None:
            return False
        if configuration.version > self._fleet.configuration.version:
            self._active_content = content
            self._fleet.activate_configuration(configuration)
        return True

    async def _handle_question(self, question: GetConfiguration) -> Message:
        age_s = self._freshness.age_s()
        version = self._fleet.configuration.version
        return GetConfigurationResponse(
            version=version,
            age_ms=-1.0 if math.isinf(age_s) else age_s * 1000,
            content=self._active_content if version > question.version else None,
        )

    async def run(self) -> None:
        """Asks peers while the log service doesn't answer, until it is cancelled."""
        while True:
            await trio.sleep(_CHECK_INTERVAL_S * random.uniform(0.8, 1.2))
            self._log_freshness_change()
            if self._freshness.age_s() > _MIN_AGE_TO_ASK_PEERS_S:
                await self._ask_peers()

    def _log_freshness_change(self) -> None:
        is_fresh = self._freshness.is_fresh()
        if is_fresh == self._was_fresh:
            return
        self._was_fresh = is_fresh
        line = logger.bind(
            event="keys_accepted" if is_fresh else "keys_refused",
            proof_age_s=round(self._freshness.age_s(), 3),
            configuration=self._fleet.configuration.version,
        )
        if is_fresh:
            line.info("configuration is confirmed current; accepting keys")
        else:
            line.warning(
                "neither the log service nor a peer confirms that the configuration "
                "is current; refusing keys"
            )

    async def _ask_peers(self) -> None:
        hosts = self._fleet.sample_other_hosts(self._host_id, _PEERS_PER_CHECK)
        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(self._ask_peer, host.control_address)

    async def _ask_peer(self, address: str) -> None:
        asked_at = self._read_clock()
        question = GetConfiguration(self._fleet.configuration.version)
        try:
            reply = await self._control.send_request(
                address, question, GetConfigurationResponse, _PEER_TIMEOUT_S
            )
        except ControlError as error:
            logger.bind(event="freshness_unanswered").debug("{}", error)
            return
        if reply.content is not None:
            self._activate_if_newer(reply.content)
        if reply.age_ms >= 0 and reply.version == self._fleet.configuration.version:
            # The peer computed its age after the question was sent, so counting
            # from the sending never makes the configuration look too fresh.
            self._freshness.confirm(asked_at - reply.age_ms / 1000)
