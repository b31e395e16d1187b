"""Suspects that outlive all daemons of a service, in the hosts' records.

Failure: a request crashes the upstreams that run it, and all daemons of the service are
killed at the same moment. Those that start again ask each other, nobody knows anything,
and the request crashes two more. So the host that saw a crash keeps the suspects in its
own record in the log service, where each daemon that starts reads them.
"""

from collections.abc import Iterable

from mangospoke.control.messages import SuspectRecord
from mangospoke.guard.suspects import SUSPECT_LIFETIME_S, SuspectRegistry
from mangospoke.ids import HostId
from mangospoke.logservice.records import RecordedCrash, UpstreamAnnounced

_MAX_RECORDED_FINGERPRINTS = 64
"""Suspects in one host's record, of about 35 bytes each. Those of trials come first."""

_LIFETIME_MS = SUSPECT_LIFETIME_S * 1_000


class RecordedCrashes:
    """Takes suspects to this host's record, and from the records of all hosts."""

    def __init__(self, host_id: HostId, suspects: SuspectRegistry) -> None:
        """Initializes the state without crashes.

        Args:
            host_id: This host.
            suspects: The suspects that this daemon knows.
        """
        self._own_prefix = f"{host_id}/"
        self._suspects = suspects
        self._crashed_at_ms_by_id: dict[str, int] = {}

    def own(self, now: float, now_ms: int) -> tuple[RecordedCrash, ...]:
        """Returns this host's crashes of which requests are still suspected.

        Args:
            now: Point on trio's clock.
            now_ms: The same in Unix milliseconds.
        """
        fingerprints_by_id: dict[str, list[str]] = {}
        trial_ids: set[str] = set()
        for fingerprint, suspect in self._suspects.current(now):
            for crash_id in suspect.blamed_crash_ids:
                if crash_id.startswith(self._own_prefix):
                    fingerprints_by_id.setdefault(crash_id, []).append(fingerprint)
            trial_ids |= suspect.trial_crash_ids
        self._crashed_at_ms_by_id = {
            crash_id: self._crashed_at_ms_by_id.get(crash_id, now_ms)
            for crash_id in fingerprints_by_id
        }
        crashes = [
            RecordedCrash(
                crash_id,
                self._crashed_at_ms_by_id[crash_id],
                crash_id in trial_ids,
                tuple(sorted(fingerprints)),
            )
            for crash_id, fingerprints in fingerprints_by_id.items()
            if now_ms < self._crashed_at_ms_by_id[crash_id] + _LIFETIME_MS
        ]
        return _bounded(crashes)

    def learn(
        self, upstreams: Iterable[UpstreamAnnounced], now: float, now_ms: int
    ) -> None:
        """Learns of the crashes in hosts' records.

        Args:
            upstreams: The hosts' records.
            now: Point on trio's clock.
            now_ms: The same in Unix milliseconds.
        """
        for upstream in upstreams:
            for crash in upstream.crashes:
                remaining_ms = crash.crashed_at_ms + _LIFETIME_MS - now_ms
                if remaining_ms <= 0:
                    continue
                if crash.crash_id.startswith(self._own_prefix):
                    self._crashed_at_ms_by_id.setdefault(
                        crash.crash_id, crash.crashed_at_ms
                    )
                records = _suspect_records(crash, remaining_ms)
                self._suspects.merge(upstream.service, records, now)


def _suspect_records(crash: RecordedCrash, remaining_ms: float) -> list[SuspectRecord]:
    return [
        SuspectRecord(
            fingerprint=fingerprint,
            death_ids=(crash.crash_id,),
            trial_death_ids=(crash.crash_id,) if crash.is_trial else (),
            cleared_death_ids=(),
            remaining_ms=remaining_ms,
        )
        for fingerprint in crash.fingerprints
    ]


def _bounded(crashes: list[RecordedCrash]) -> tuple[RecordedCrash, ...]:
    """Returns as many crashes as a record holds, in order of their ids."""
    kept = []
    count = 0
    for crash in sorted(
        crashes, key=lambda each: (not each.is_trial, -each.crashed_at_ms)
    ):
        count += len(crash.fingerprints)
        if count > _MAX_RECORDED_FINGERPRINTS:
            break
        kept.append(crash)
    return tuple(sorted(kept, key=lambda each: each.crash_id))
