"""Suspect requests, which were running when an upstream crashed, and their trials."""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from mangospoke.calls import Call
from mangospoke.control.messages import SuspectRecord
from mangospoke.ids import ServiceName

CRASHES_TO_QUARANTINE = 2
SUSPECT_LIFETIME_S = 600.0
"""Time after the last crash for which a request stays suspect or quarantined."""

_MAX_SUSPECTS = 4_096
_MAX_CLEARED_CRASHES = 16
"""Maximum of cleared crashes that are remembered for one request."""


@dataclass(slots=True)
class Suspect:
    """A request that was running in upstreams when they crashed.

    All sets only grow, so that daemons that exchange them in any order come to agree.

    Attributes:
        expires_at: Point on trio's clock at which it is forgotten.
        crash_ids: Ids of these crashes, seen here or reported by other daemons.
        trial_crash_ids: Those of them that happened while it was on trial.
        cleared_crash_ids: Crashes of which it has been cleared since, in order.
    """

    service: ServiceName
    expires_at: float
    crash_ids: set[str] = field(default_factory=set)
    trial_crash_ids: set[str] = field(default_factory=set)
    cleared_crash_ids: dict[str, None] = field(default_factory=dict)

    @property
    def blamed_crash_ids(self) -> set[str]:
        """The crashes of which it is still suspected."""
        return self.crash_ids - self.cleared_crash_ids.keys()

    @property
    def is_quarantined(self) -> bool:
        """Whether it may not run: it crashed upstreams, once while on trial.

        Crashes outside of trials don't suffice, however many they are: a popular
        request runs in all upstreams that fail at the same moment for another reason.
        """
        blamed = self.blamed_crash_ids
        has_failed_trial = not blamed.isdisjoint(self.trial_crash_ids)
        return has_failed_trial and len(blamed) >= CRASHES_TO_QUARANTINE

    def clear(self, crash_ids: Iterable[str]) -> None:
        """Clears it of crashes, also of those that are only reported later."""
        for crash_id in sorted(crash_ids):
            self.cleared_crash_ids[crash_id] = None
        while len(self.cleared_crash_ids) > _MAX_CLEARED_CRASHES:
            oldest_id = next(iter(self.cleared_crash_ids))
            del self.cleared_crash_ids[oldest_id]
            self.crash_ids.discard(oldest_id)
            self.trial_crash_ids.discard(oldest_id)


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
        is_trial: bool = False,
    ) -> None:
        """Adds a crash to requests; the same crash counts only once.

        Args:
            service: Service of the requests.
            fingerprints: The requests.
            crash_id: Id of the crash.
            now: Point on trio's clock.
            is_trial: Whether the requests were on trial.
        """
        self._drop_expired(now)
        for fingerprint in fingerprints:
            suspect = self._find_or_add(service, fingerprint, now)
            if suspect is None:
                continue
            suspect.crash_ids.add(crash_id)
            if is_trial:
                suspect.trial_crash_ids.add(crash_id)
            suspect.expires_at = now + SUSPECT_LIFETIME_S

    def merge(
        self, service: ServiceName, records: Iterable[SuspectRecord], now: float
    ) -> None:
        """Adds what another daemon knows of suspects.

        Only news extends a lifetime, so that records that go to and fro expire.
        """
        self._drop_expired(now)
        for record in records:
            suspect = self._find_or_add(service, record.fingerprint, now)
            if suspect is None:
                continue
            known_ids = suspect.crash_ids | suspect.cleared_crash_ids.keys()
            if not known_ids.issuperset((*record.death_ids, *record.cleared_death_ids)):
                remaining_s = min(record.remaining_ms / 1000, SUSPECT_LIFETIME_S)
                suspect.expires_at = max(suspect.expires_at, now + remaining_s)
            suspect.crash_ids.update(record.death_ids)
            suspect.trial_crash_ids.update(record.trial_death_ids)
            suspect.clear(
                crash_id
                for crash_id in record.cleared_death_ids
                if crash_id not in suspect.cleared_crash_ids
            )

    def find(self, fingerprint: str, now: float) -> Suspect | None:
        """Returns a request that is still suspected of a crash; None if it isn't."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None or now > suspect.expires_at:
            return None
        return suspect if suspect.blamed_crash_ids else None

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Returns the number of distinct crashes of a request; 0 if not suspect."""
        suspect = self.find(fingerprint, now)
        return 0 if suspect is None else len(suspect.blamed_crash_ids)

    def clear(
        self, fingerprint: str, now: float, crash_ids: Collection[str] = ()
    ) -> tuple[str, ...]:
        """Clears a suspect of crashes, by default of all; returns these."""
        suspect = self.find(fingerprint, now)
        if suspect is None:
            return ()
        cleared_ids = tuple(crash_ids or suspect.blamed_crash_ids)
        suspect.clear(cleared_ids)
        return cleared_ids

    def current(self, now: float) -> list[tuple[str, Suspect]]:
        """Returns all suspects, including quarantined ones."""
        self._drop_expired(now)
        return [
            (fingerprint, suspect)
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if suspect.blamed_crash_ids
        ]

    def records(
        self, service: ServiceName, now: float, after: str = ""
    ) -> list[SuspectRecord]:
        """Returns what is known of a service's requests, in order of fingerprints.

        Args:
            service: The service.
            now: Point on trio's clock.
            after: Fingerprint after which to begin.
        """
        self._drop_expired(now)
        return [
            _make_record(fingerprint, suspect, now)
            for fingerprint, suspect in sorted(self._suspects_by_fingerprint.items())
            if suspect.service == service and fingerprint > after
        ]

    def _find_or_add(
        self, service: ServiceName, fingerprint: str, now: float
    ) -> Suspect | None:
        """Returns a suspect, added if there is room for it."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is not None:
            return suspect
        if len(self._suspects_by_fingerprint) >= _MAX_SUSPECTS:
            self._drop_cleared()
        if len(self._suspects_by_fingerprint) >= _MAX_SUSPECTS:
            return None
        suspect = self._suspects_by_fingerprint[fingerprint] = Suspect(service, now)
        return suspect

    def _drop_cleared(self) -> None:
        self._suspects_by_fingerprint = {
            fingerprint: suspect
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if suspect.blamed_crash_ids
        }

    def _drop_expired(self, now: float) -> None:
        self._suspects_by_fingerprint = {
            fingerprint: suspect
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if now <= suspect.expires_at
        }


def _make_record(fingerprint: str, suspect: Suspect, now: float) -> SuspectRecord:
    return SuspectRecord(
        fingerprint=fingerprint,
        death_ids=tuple(sorted(suspect.crash_ids)),
        trial_death_ids=tuple(sorted(suspect.trial_crash_ids)),
        cleared_death_ids=tuple(suspect.cleared_crash_ids),
        remaining_ms=(suspect.expires_at - now) * 1000,
    )


def records_digest(records: Sequence[SuspectRecord]) -> int:
    """Returns a digest of records, without the time that they have left."""
    digest = xxhash.xxh3_64()
    for record in records:
        ids = (
            record.fingerprint,
            *record.death_ids,
            *sorted(record.cleared_death_ids),
        )
        digest.update(" ".join(ids).encode())
    return digest.intdigest()


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
