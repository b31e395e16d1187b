"""Records of the non-idempotent calls that ran here, to answer retries."""

import enum
from collections import OrderedDict

import trio
import xxhash

from mangospoke.calls import Call
from mangospoke.http.bodies import buffered_body
from mangospoke.ids import ClientAccountId, ServiceName
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    Headers,
    Outcome,
    RefusalReason,
    Refused,
    Unanswered,
)

MAX_KEY_AGE_S = 900.0
"""Maximum age of a key that contains its creation time."""

MAX_CLOCK_SKEW_S = 300.0
"""Clock difference up to which no record expires while its key is accepted."""

RECORD_LIFETIME_S = MAX_KEY_AGE_S + MAX_CLOCK_SKEW_S

_MAX_RECORDS = 32_768
_MAX_BODY_BYTES = 16_384
"""Larger response bodies aren't stored; a retry only learns that the call ran."""

_MAX_TOTAL_BODY_BYTES = 8_388_608

RecordKey = tuple[ClientAccountId, ServiceName, str]
"""Account, service and idempotency key, so that accounts have separate keys."""


class RecordState(enum.Enum):
    """State of a recorded call; `UNKNOWN` means that it may have run."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class IdempotencyRecord:
    """A call that was run under an idempotency key.

    Attributes:
        fingerprint: Digest of the request.
        started_at: Point on trio's clock at which it was recorded.
        ended: Set once it no longer runs.
        body: The response body; None if there is none or it was too large to store.
        unanswered: The outcome of a call that may have run.
    """

    __slots__ = (
        "started_at",
        "body",
        "ended",
        "fingerprint",
        "headers",
        "state",
        "status",
        "unanswered",
    )

    def __init__(self, fingerprint: bytes, now: float) -> None:
        self.fingerprint = fingerprint
        self.started_at = now
        self.state = RecordState.RUNNING
        self.ended = trio.Event()
        self.status = 0
        self.headers: Headers = ()
        self.body: bytes | None = None
        self.unanswered: Unanswered | None = None


class IdempotencyStore:
    """Records by account, service and key, bounded in number and bytes."""

    def __init__(self, lifetime_s: float = RECORD_LIFETIME_S) -> None:
        self._lifetime_s = lifetime_s
        self._records: OrderedDict[RecordKey, IdempotencyRecord] = OrderedDict()
        self._total_body_bytes = 0

    def find(self, key: RecordKey) -> IdempotencyRecord | None:
        """Returns the record of a key, or None."""
        return self._records.get(key)

    def begin(
        self, key: RecordKey, fingerprint: bytes, now: float
    ) -> IdempotencyRecord | None:
        """Records that a call is about to run; returns None if the store is full.

        Records are never evicted before they expire; new ones are refused instead.
        """
        self._drop_expired(now)
        if len(self._records) >= _MAX_RECORDS and key not in self._records:
            return None
        record = self._records[key] = IdempotencyRecord(fingerprint, now)
        self._records.move_to_end(key)
        return record

    def _drop_expired(self, now: float) -> None:
        while self._records:
            key, oldest = next(iter(self._records.items()))
            if now - oldest.started_at <= self._lifetime_s:
                return
            if oldest.body is not None:
                self._total_body_bytes -= len(oldest.body)
            del self._records[key]

    def end(self, record: IdempotencyRecord, outcome: Outcome) -> None:
        """Records how a call ended."""
        if isinstance(outcome, Answered):
            record.state = RecordState.ANSWERED
            self._store_response(record, outcome)
        elif isinstance(outcome, Refused):
            record.state = RecordState.NOT_RUN
        else:
            record.state = RecordState.UNKNOWN
            record.unanswered = outcome
        record.ended.set()

    def _store_response(self, record: IdempotencyRecord, response: Answered) -> None:
        content = response.body.content
        if content is None or len(content) > _MAX_BODY_BYTES:
            return
        if self._total_body_bytes + len(content) > _MAX_TOTAL_BODY_BYTES:
            return
        self._total_body_bytes += len(content)
        record.status = response.status
        record.headers = list(response.headers)
        record.body = content


def request_fingerprint(call: Call) -> bytes:
    """Returns the digest of a request; of a streamed body only the length counts."""
    digest = xxhash.xxh3_128()
    for part in (call.method, call.target, str(call.body.length).encode()):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(call.body.content or b"")
    return digest.digest()


async def outcome_from_record(record: IdempotencyRecord, call: Call) -> Outcome:
    """Returns the outcome of a retry from the record of the earlier attempt.

    Waits until the earlier attempt has ended, at most until the call's deadline. Must
    not be used for a record in state `NOT_RUN` of the same request: the retry may run.
    """
    if record.fingerprint != request_fingerprint(call):
        detail = "the Idempotency-Key belongs to another request"
        return Refused(RefusalReason.IDEMPOTENCY_KEY_REUSED, detail)
    if record.state is RecordState.RUNNING:
        # If the wait is cancelled, the call must not be reported as not run.
        call.earlier = Unanswered(FailureReason.EARLIER_ATTEMPT_IN_PROGRESS)
    with trio.move_on_at(call.deadline):
        await record.ended.wait()
    if record.state is RecordState.RUNNING:
        detail = "the earlier request is still running"
        return Unanswered(FailureReason.EARLIER_ATTEMPT_IN_PROGRESS, detail)
    if record.state is RecordState.ANSWERED:
        if record.body is None:
            detail = "the earlier request ran; its answer isn't kept"
            return Unanswered(FailureReason.EARLIER_ATTEMPT_ANSWER_LOST, detail)
        return Answered(record.status, record.headers, buffered_body(record.body))
    detail = "the earlier request may have run"
    if record.unanswered is not None:
        detail = f"the earlier request ended as {record.unanswered.reason.value}"
    return Unanswered(FailureReason.EARLIER_ATTEMPT_UNKNOWN, detail)
