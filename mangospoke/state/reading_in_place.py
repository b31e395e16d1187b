"""Which daemons read the log service in their readers' place, and when.

Load pattern: the log service answers most hosts, but not the readers of the failure
domains, while the operator withdraws a key. Each daemon that the log service answers
has to learn of that in time, whoever else isn't answered. And a log service that
answers nobody must not be called by all of them at once and again.

So a daemon reads in place once its proof that the configuration is current is too old,
whoever still answers it. The daemons of a failure domain do so one after the other by
their rank, in waves: as many begin in each interval as in all those before it. So few
intervals reach many daemons, and each has a parent one interval before it, which tells
it what it has read. The last half of a failure domain waits longer. It is told by the
first half, or by daemons of other domains, since a fault that leaves a first half
without the log service leaves the most part of the other domains with it.
"""

import math
import random

_FIRST_AGE_S = 1.25
_WAVE_INTERVAL_S = 0.08
_MAX_PROMPT_AGE_S = 1.85
"""Age of the proof from which on the first rank reads in place, how much later the next
wave does, and the age from which on all of the first half do. Readers have a new proof
each second, and a change has to be in force after two."""

_MIN_LATE_AGE_S = 2.8
_MAX_LATE_AGE_S = 3.8
"""The same for the last half, each at a random time: less than that after which no key
is accepted."""

_MIN_PROMPT_RANKS = 8
"""First ranks that are never part of the last half."""

_FIRST_HOSTS_AGE_S = 6.5
_HOSTS_WAVE_INTERVAL_S = 0.4
_MIN_LATE_HOSTS_AGE_S = 9.5
"""The same for the list of hosts, which readers poll for five seconds, and which leases
of homes live on for twelve."""

_RETRY_DELAYS_S = (1.0, 2.0)
_MAX_RETRY_JITTER = 1.5
"""Delays after failed reads in place, the last one after all further ones, and by how
much they are longer at random, as a factor. A daemon that is answered again has to be
in time with changes from 3 s on."""


class ReadingTimes:
    """The ages of its proofs at which a daemon reads the log service in place."""

    def __init__(self) -> None:
        """Initializes the times, and draws those for the case of a high rank."""
        self._late_age_s = random.uniform(_MIN_LATE_AGE_S, _MAX_LATE_AGE_S)

    def max_proof_age_s(self, rank: int, rank_count: int) -> float:
        """Returns the age for the proof that the configuration is current.

        Args:
            rank: The daemon's rank among those of its failure domain that aren't
                readers, from 0.
            rank_count: Number of these daemons.
        """
        if not _is_prompt(rank, rank_count):
            return self._late_age_s
        age_s = _FIRST_AGE_S + _WAVE_INTERVAL_S * math.log2(rank + 1)
        return min(age_s, _MAX_PROMPT_AGE_S)

    def max_hosts_proof_age_s(self, rank: int, rank_count: int) -> float:
        """Returns the age for the proof that the list of hosts is complete.

        Args:
            rank: The daemon's rank among those of its failure domain that aren't
                readers, from 0.
            rank_count: Number of these daemons.
        """
        if not _is_prompt(rank, rank_count):
            return _MIN_LATE_HOSTS_AGE_S + self._late_age_s - _MIN_LATE_AGE_S
        age_s = _FIRST_HOSTS_AGE_S + _HOSTS_WAVE_INTERVAL_S * math.log2(rank + 1)
        return min(age_s, _MIN_LATE_HOSTS_AGE_S)


def _is_prompt(rank: int, rank_count: int) -> bool:
    return rank < max(_MIN_PROMPT_RANKS, math.ceil(rank_count / 2))


def ancestor_ranks(rank: int) -> list[int]:
    """Returns the ranks that tell a daemon what they read in place, nearest first.

    The first is its parent, which reads one wave before it; the last is rank 0.
    """
    ancestors = []
    while rank > 0:
        rank = (rank - 1) // 2
        ancestors.append(rank)
    return ancestors


def log_retry_delay_s(failure_count: int) -> float:
    """Returns the delay after a failed read in place, in seconds.

    Args:
        failure_count: Number of failed reads in a row, from 1.
    """
    delay_s = _RETRY_DELAYS_S[min(failure_count, len(_RETRY_DELAYS_S)) - 1]
    return delay_s * random.uniform(1.0, _MAX_RETRY_JITTER)
