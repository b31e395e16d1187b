"""Whom a daemon asks for its service's suspects, and when it knows enough.

A daemon that starts knows nothing of the requests that crashed upstreams before. It
asks a few others of its service, and until they answer, its calls wait. If they have
just started as well, or can't be reached, it serves, and goes on asking.
"""

import enum
import random
from collections.abc import Collection, Mapping, Sequence

from mangospoke.ids import FailureDomainId, HostId
from mangospoke.logservice.records import UpstreamAnnounced

_SOURCES_PER_ROUND = 2
"""Hosts asked at a time in the own failure domain, and as many in the others."""

_MAX_IGNORANT_SOURCES = 16
"""Hosts that have all just started, after which nobody is assumed to know more."""

_ROUND_PAUSE_S = 1.0
_REFRESH_INTERVAL_S = 15.0
"""Time after which others are asked again, in case that a report was lost."""


class LearningPhase(enum.Enum):
    """How much a daemon knows of its service's suspects.

    `ASKING`: nothing yet; calls wait. `SERVING`: those that were asked know nothing
    either, or don't answer; calls run. `LEARNED`: what the service's daemons know.
    """

    ASKING = "asking"
    SERVING = "serving"
    LEARNED = "learned"


class SuspectLearning:
    """Decides whom to ask for the suspects of one service.

    Attributes:
        phase: How much is known.
    """

    def __init__(
        self,
        own: HostId,
        own_domain: FailureDomainId,
        random_source: random.Random,
    ) -> None:
        self.phase = LearningPhase.ASKING
        self._own = own
        self._own_domain = own_domain
        self._random = random_source
        self._ignorant_ids: set[HostId] = set()
        self._is_cut_off = False

    def choose_sources(
        self, upstreams: Collection[UpstreamAnnounced]
    ) -> list[UpstreamAnnounced]:
        """Chooses the hosts to ask in the next round, among a service's hosts."""
        others = [each for each in upstreams if each.host_id != self._own]
        near = [each for each in others if each.failure_domain == self._own_domain]
        far = [each for each in others if each.failure_domain != self._own_domain]
        if self.phase is LearningPhase.LEARNED:
            return [*self._sample(near, 1), *self._sample(far, 1)]
        return [
            *self._sample(self._unasked(near), _SOURCES_PER_ROUND),
            *self._sample(self._unasked(far), _SOURCES_PER_ROUND),
        ]

    def _unasked(self, hosts: Sequence[UpstreamAnnounced]) -> list[UpstreamAnnounced]:
        return [each for each in hosts if each.host_id not in self._ignorant_ids]

    def _sample(
        self, hosts: Sequence[UpstreamAnnounced], count: int
    ) -> list[UpstreamAnnounced]:
        return self._random.sample(hosts, min(count, len(hosts)))

    def record_round(
        self,
        has_learned_by_id: Mapping[HostId, bool],
        asked_count: int,
        upstreams: Collection[UpstreamAnnounced],
    ) -> None:
        """Learns of the answers of one round.

        Args:
            has_learned_by_id: Whether each host that answered has learned itself.
            asked_count: Number of hosts that were asked.
            upstreams: All hosts of the service.
        """
        self._is_cut_off = len(has_learned_by_id) < asked_count
        if self.phase is LearningPhase.LEARNED:
            return
        self._ignorant_ids.update(
            host_id for host_id, learned in has_learned_by_id.items() if not learned
        )
        other_count = sum(each.host_id != self._own for each in upstreams)
        nobody_knows = len(self._ignorant_ids) >= min(
            other_count, _MAX_IGNORANT_SOURCES
        )
        if nobody_knows or any(has_learned_by_id.values()):
            self.phase = LearningPhase.LEARNED
        else:
            self.phase = LearningPhase.SERVING

    def serve(self) -> None:
        """Lets calls run though nobody could be asked yet."""
        if self.phase is LearningPhase.ASKING:
            self.phase = LearningPhase.SERVING

    def pause_s(self) -> float:
        """Returns the seconds until the next round, at random around their mean."""
        spread = 0.5 + self._random.random()
        if self.phase is not LearningPhase.LEARNED or self._is_cut_off:
            return _ROUND_PAUSE_S * spread
        return _REFRESH_INTERVAL_S * spread
