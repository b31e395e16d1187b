"""Suspect requests, which were running when an upstream crashed, and their trials."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from mangospoke.calls import Call
from mangospoke.ids import ServiceName

CRASHES_TO_QUARANTINE = 2
SUSPECT_LIFETIME_S = 600.0
"""Time after the last crash for which a request stays suspect or quarantined."""

_MAX_SUSPECTS = 4_096


@dataclass(slots=True)
class Suspect:
    """A request that was running in upstreams when they crashed.

    Attributes:
        crash_ids: Ids of these crashes, seen here or reported by other daemons.
        last_crash_at: Point on trio's clock at which the last one became known.
    """

    service: ServiceName
    crash_ids: set[str]
    last_crash_at: float


def poison_fingerprint(call: Call) -> str:
    """Returns the digest of account, route, method, target and body.

    Of a streamed body only the length is included.
    """
    digest = xxhash.xxh3_128()
    parts = (
        call.account_id.encode(),
        call.route.encode(),
        call.method,
        call.target,
        str(call.body.length).encode(),
        call.body.content or b"",
    )
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


class SuspectRegistry:
    """Suspects by fingerprint, which expire."""

    def __init__(self) -> None:
        self._suspects_by_fingerprint: dict[str, Suspect] = {}

    def __len__(self) -> int:
        return len(self._suspects_by_fingerprint)

    def record_crash(
        self,
        service: ServiceName,
        fingerprints: Iterable[str],
        crash_id: str,
        now: float,
    ) -> None:
        """Adds a crash to requests; the same crash counts only once."""
        self._drop_expired(now)
        for fingerprint in fingerprints:
            suspect = self._suspects_by_fingerprint.get(fingerprint)
            if suspect is not None:
                suspect.crash_ids.add(crash_id)
                suspect.last_crash_at = now
            elif len(self._suspects_by_fingerprint) < _MAX_SUSPECTS:
                self._suspects_by_fingerprint[fingerprint] = Suspect(
                    service, {crash_id}, now
                )

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Returns the number of distinct crashes of a request; 0 if not suspect."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return 0
        if now - suspect.last_crash_at > SUSPECT_LIFETIME_S:
            del self._suspects_by_fingerprint[fingerprint]
            return 0
        return len(suspect.crash_ids)

    def clear(self, fingerprint: str) -> bool:
        """Removes a suspect; returns False if there was none."""
        return self._suspects_by_fingerprint.pop(fingerprint, None) is not None

    def _drop_expired(self, now: float) -> None:
        self._suspects_by_fingerprint = {
            fingerprint: suspect
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if now - suspect.last_crash_at <= SUSPECT_LIFETIME_S
        }

    def current(self, now: float) -> list[tuple[str, Suspect]]:
        """Returns all unexpired suspects, including quarantined ones."""
        self._drop_expired(now)
        return list(self._suspects_by_fingerprint.items())


class TrialRegistry:
    """Leases for trials, so that each suspect has one trial at a time in the fleet.

    Kept by the trial coordinator, the service's first host by rendezvous hashing.
    """

    def __init__(self) -> None:
        self._leases_by_fingerprint: dict[str, tuple[str, float]] = {}

    def start(
        self, fingerprint: str, holder_id: str, expires_at: float, now: float
    ) -> bool:
        """Grants a trial unless an unexpired one exists."""
        lease = self._leases_by_fingerprint.get(fingerprint)
        if lease is not None and now < lease[1]:
            return False
        self._leases_by_fingerprint[fingerprint] = (holder_id, expires_at)
        return True

    def end(self, fingerprint: str, holder_id: str) -> None:
        """Ends a trial if the given host holds its lease."""
        lease = self._leases_by_fingerprint.get(fingerprint)
        if lease is not None and lease[0] == holder_id:
            del self._leases_by_fingerprint[fingerprint]
