"""Obtains a hosted daemon's configuration from the log service or from peers.

What is evacuated by the operator's order passes between hosts by the same messages.

A host that gets no answer from the log service asks peers; a peer's confirmation is
dated back by the age that the peer reports. So a host stops accepting keys only if no
peer that it can reach has heard from the log service recently.

The log service may come back from an older copy, and then says nothing of what it has
forgotten. So its word counts only if it has at least the version in force. Whenever its
state was read from the beginning, peers are asked for a later one before it counts, and
a host that starts activates no configuration until then.
"""

import math
import random
from collections.abc import Callable, Sequence

import trio
import xxhash
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
_ASKING_INTERVAL_S = 0.05
"""Pause between two samples of peers: hosts that start together answer soon."""

_PEER_TIMEOUT_S = 0.3
_PEERS_PER_CHECK = 2
_PEERS_ASKED_FOR_LATER = 5
_MIN_SAMPLES_WITHOUT_KNOWLEDGE = 2
"""Samples in which peers answer and none knows a version, after which nobody does."""

_MAX_ASKING_S = 1.0
"""Time after which the log service is believed though no peer has answered."""

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
        self._active_digest = 0
        self._newest_is_usable = False
        self._log_version = 0
        self._is_behind = False
        self._held_content: bytes | None = None
        self._ask_since: float | None = None
        self._held_confirmation: float | None = None
        self._samples_without_knowledge = 0
        self._must_ask = trio.Event()
        self._was_fresh = False
        control.handlers_by_type[GetConfiguration] = self._handle_question

    def handle_newest(self, records: Sequence[KeyedRecord]) -> None:
        """Learns that the log service's state was read from the beginning."""
        self._log_version = 0
        self._newest_is_usable = False
        self._held_confirmation = None
        self._samples_without_knowledge = 0
        self._ask_since = self._read_clock()
        self._must_ask.set()

    def handle_records(self, records: Sequence[KeyedRecord]) -> None:
        """Processes records of the configuration's topic."""
        for record in records:
            if record.key == self._key and record.value:
                self._handle_content(record.value)
        self._log_whether_behind()

    def _handle_content(self, content: bytes) -> None:
        configuration = self._decode(content)
        self._newest_is_usable = configuration is not None
        if configuration is None:
            return
        self._log_version = configuration.version
        if self._fleet.configuration.version == 0 and self._ask_since is not None:
            self._held_content = content
        elif self._replaces_active(configuration, content):
            self._replace_active(configuration, content)
        else:
            self._activate_if_newer(content)

    def _replaces_active(
        self, configuration: EffectiveConfiguration, content: bytes
    ) -> bool:
        """Whether the log service has other content under the active version.

        After it came back from an older copy, its numbers may be given out again.
        """
        is_same_version = configuration.version == self._fleet.configuration.version
        return is_same_version and content != self._active_content

    def _replace_active(
        self, configuration: EffectiveConfiguration, content: bytes
    ) -> None:
        logger.bind(
            event="configuration_replaced", version=configuration.version
        ).warning("the log service has another configuration of the same version")
        self._activate(configuration, content)

    def _log_whether_behind(self) -> None:
        was_behind, self._is_behind = self._is_behind, self._is_log_behind()
        if self._is_behind == was_behind:
            return
        logger.bind(
            event="log_behind" if self._is_behind else "log_caught_up",
            log_version=self._log_version,
            configuration=self._fleet.configuration.version,
        ).warning(
            "the log service's newest configuration is version {}, and {} is active",
            self._log_version,
            self._fleet.configuration.version,
        )

    def _is_log_behind(self) -> bool:
        return self._log_version < self._fleet.configuration.version

    def confirm(self, at: float) -> None:
        """Records that the log service had no newer configuration.

        Args:
            at: Time of that state, in boot clock seconds.
        """
        if self._ask_since is not None:
            self._held_confirmation = at
        elif self._newest_is_usable and not self._is_log_behind():
            self._freshness.confirm(at)

    def _activate_if_newer(self, content: bytes) -> None:
        """Activates a configuration unless it is old or invalid."""
        configuration = self._decode(content)
        if configuration is None:
            return
        if configuration.version > self._fleet.configuration.version:
            self._activate(configuration, content)

    def _activate(self, configuration: EffectiveConfiguration, content: bytes) -> None:
        self._active_content = content
        self._active_digest = xxhash.xxh3_64_intdigest(content) | 1
        self._fleet.activate_configuration(configuration)

    async def _handle_question(self, question: GetConfiguration) -> Message:
        return self.answer(question)

    def question(self) -> GetConfiguration:
        """Returns the question for a later state than the known one."""
        version = self._fleet.configuration.version
        return GetConfiguration(
            version, self._active_digest, self._fleet.evacuations.known
        )

    def answer(self, question: GetConfiguration) -> GetConfigurationResponse:
        """Returns the answer to another host's question."""
        age_s = self._freshness.age_s()
        version = self._fleet.configuration.version
        has_other_content = (
            version == question.version
            and question.digest != 0
            and question.digest != self._active_digest
        )
        is_news = version > question.version or has_other_content
        return GetConfigurationResponse(
            version=version,
            age_ms=-1.0 if math.isinf(age_s) else age_s * 1000,
            content=self._active_content if is_news else None,
            digest=self._active_digest,
            evacuations=self._fleet.evacuations.news_for(question.evacuations),
        )

    def apply_answer(self, reply: GetConfigurationResponse, since: float) -> None:
        """Applies a peer's answer.

        Args:
            reply: The answer.
            since: Time before the peer computed the age that it tells, in boot clock
                seconds. An early one makes the configuration look less fresh.
        """
        if reply.evacuations is not None:
            self._fleet.evacuations.handle_state_of_peer(reply.evacuations)
        confirmed_at = -math.inf
        if reply.age_ms >= 0:
            confirmed_at = since - reply.age_ms / 1000
        if reply.content is not None:
            self._activate_content_of_peer(reply.content, confirmed_at)
        is_same_version = reply.version == self._fleet.configuration.version
        if is_same_version and reply.digest in (0, self._active_digest):
            self._freshness.confirm(confirmed_at)

    def _activate_content_of_peer(self, content: bytes, confirmed_at: float) -> None:
        """Activates a newer configuration, or a later confirmed one of its version."""
        configuration = self._decode(content)
        if configuration is None:
            return
        is_later = confirmed_at > self._freshness.confirmed_at
        if self._replaces_active(configuration, content) and is_later:
            self._replace_active(configuration, content)
        else:
            self._activate_if_newer(content)

    async def run(self) -> None:
        """Asks peers when the log service's word isn't enough, until cancelled."""
        while True:
            is_asking = self._ask_since is not None
            interval_s = _ASKING_INTERVAL_S if is_asking else _CHECK_INTERVAL_S
            with trio.move_on_after(interval_s * random.uniform(0.8, 1.2)):
                await self._must_ask.wait()
            self._must_ask = trio.Event()
            self._log_freshness_change()
            if self._ask_since is not None:
                await self._ask_for_later(self._ask_since)
            elif self._freshness.age_s() > _MIN_AGE_TO_ASK_PEERS_S:
                await self._ask_peers(_PEERS_PER_CHECK)

    async def _ask_for_later(self, since: float) -> None:
        """Asks peers whether they know a later version than the log service.

        One that has a confirmed version knows. If all of a sample know nothing, or
        those that answer in two of them, nobody does: hosts that start together.
        """
        replies = await self._ask_peers(_PEERS_ASKED_FOR_LATER)
        ages_ms = [reply.age_ms for reply in replies if reply is not None]
        is_known = any(age_ms >= 0 for age_ms in ages_ms)
        is_answered = bool(replies) and len(ages_ms) == len(replies)
        self._samples_without_knowledge += bool(ages_ms)
        is_unknown = self._samples_without_knowledge >= _MIN_SAMPLES_WITHOUT_KNOWLEDGE
        if not is_known and not is_answered and not is_unknown:
            if self._read_clock() - since < _MAX_ASKING_S:
                return
            logger.bind(event="no_peer_asked", asked=len(replies)).warning(
                "no peer tells whether it knows a later configuration than the log "
                "service's version {}",
                self._log_version,
            )
        if self._ask_since != since:
            # The state was read again meanwhile, so that peers are asked again.
            return
        self._ask_since = None
        if self._held_content is not None:
            self._activate_if_newer(self._held_content)
            self._held_content = None
        self._log_whether_behind()
        if self._held_confirmation is not None:
            self.confirm(self._held_confirmation)

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

    async def _ask_peers(self, count: int) -> list[GetConfigurationResponse | None]:
        """Asks some peers; returns a reply for each, or None if there was none."""
        hosts = self._fleet.sample_other_hosts(self._host_id, count)
        replies: list[GetConfigurationResponse | None] = [None] * len(hosts)

        async def ask(index: int, address: str) -> None:
            replies[index] = await self._ask_peer(address)

        async with trio.open_nursery() as nursery:
            for index, host in enumerate(hosts):
                nursery.start_soon(ask, index, host.control_address)
        return replies

    async def _ask_peer(self, address: str) -> GetConfigurationResponse | None:
        asked_at = self._read_clock()
        question = self.question()
        try:
            reply = await self._control.send_request(
                address, question, GetConfigurationResponse, _PEER_TIMEOUT_S
            )
        except ControlError as error:
            logger.bind(event="freshness_unanswered").debug("{}", error)
            return None
        # The peer computed its age after the question was sent.
        self.apply_answer(reply, asked_at)
        return reply
