"""Frames of the peer protocol, which forwards requests between daemons.

A connection carries one request at a time: a `RequestHead` and the request body, then
a `ResponseHead` and the response body, or an `Ended`. The dialing side closes the
connection to cancel the request. Frames are encoded as arrays.
"""

import enum

from msgspec import Struct

from mangospoke.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    IdempotencyKey,
    Incarnation,
    KeyId,
    RequestId,
    RouteName,
    ServiceName,
    UpstreamRun,
)


class _Frame(Struct, frozen=True, array_like=True):
    """Base of all frames."""


class Challenge(_Frame, frozen=True, tag=1):
    """First frame of a connection, from the accepting side."""

    nonce: bytes


class Proof(_Frame, frozen=True, tag=2):
    """The dialing side's proof that it knows the fleet secret.

    Attributes:
        nonce: The dialing side's challenge to the accepting side.
        mac: HMAC-SHA256 over both nonces and the sender's host id.
    """

    host_id: HostId
    failure_domain: FailureDomainId
    nonce: bytes
    mac: bytes


class Welcome(_Frame, frozen=True, tag=3):
    """The accepting side's proof, which completes the handshake.

    Attributes:
        mac: HMAC-SHA256 over both nonces and the sender's host id.
    """

    host_id: HostId
    incarnation: Incarnation
    mac: bytes


class UpstreamNotice(_Frame, frozen=True):
    """What an upstream says about itself in its responses.

    Daemons pass it on with responses, and tell it to the upstream's own daemon again
    with requests, since that one forgets it in a restart.

    Attributes:
        run: The upstream's process run that said so.
        rate_limit: Requests a second that it takes from the whole fleet, or None.
        is_leaving: Whether it is leaving, which it never takes back.
        stated_at_ms: Wall-clock milliseconds of the upstream's host at the change.
    """

    run: UpstreamRun
    rate_limit: float | None
    stated_at_ms: int
    is_leaving: bool = False

    @property
    def is_special(self) -> bool:
        """Whether it says anything that isn't so without it."""
        return self.rate_limit is not None or self.is_leaving


class RequestHead(_Frame, frozen=True, tag=10):
    """A forwarded request.

    Attributes:
        remaining_ms: Milliseconds until the deadline, less the round-trip time.
        importance: Value of the call's `Importance`.
        retries: Retries that the receiver and its sub-calls may use.
        body: The complete body, or None if `BodyChunk` frames follow.
        body_length: Length of a streamed body in bytes, or None if unknown.
        key_use: Value of the call's `KeyUse`.
        version: Configuration version with which the request was authenticated.
        is_sub_call: Whether an upstream sent it while it ran another request.
        may_wait: Whether it may wait for the upstream's rate limit.
        notice: What the upstream said about itself, as the sender passed it on.
        repetition: Value of the call's `Repetition`.
    """

    request_id: RequestId
    account_id: ClientAccountId
    key_id: KeyId | None
    service: ServiceName
    route: RouteName
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    remaining_ms: float
    importance: int
    idempotent: bool
    idempotency_key: IdempotencyKey | None
    retries: int
    body: bytes | None
    body_length: int | None = None
    key_use: int = 0
    version: int = 0
    is_sub_call: bool = False
    may_wait: bool = True
    notice: UpstreamNotice | None = None
    repetition: int = 0


class BodyChunk(_Frame, frozen=True, tag=11):
    """A part of a streamed body."""

    content: bytes


class BodyEnd(_Frame, frozen=True, tag=12):
    """The end of a streamed body; without it the body is incomplete."""


class Load(_Frame, frozen=True):
    """Current load of a guard, sent with each response.

    Under a rate limit that leaves less room than the concurrency limit, the room is
    told in requests that may be admitted at once: `limit` is then their highest number,
    and `in_flight` how many of them are used up.

    Attributes:
        in_flight: Requests that the upstream is running.
        queued: Requests in the queue.
        limit: Concurrency limit in force.
        queue_delay_ms: Milliseconds that requests currently wait in the queue.
        deep_delay_ms: Highest queue delay among the downstream services: those that
            the upstream calls, directly or indirectly.
        next_turn_ms: Milliseconds after which the receiver may try to send a request,
            if the upstream's rate limit leaves no room now.
        notice: What the upstream says about itself; None says nothing new.
        work_ms: Milliseconds that a call of the answered call's route works in the
            upstream, without its sub-calls; 0 if unknown.
        failure_percent: Part of the upstream's recent calls that it failed.
        slowness_percent: How long work takes on its machine now; 100 is as usual.
        refuses_retries: Whether it, or a service that it calls, has got as many
            repeated requests as it may.
    """

    in_flight: int
    queued: int
    limit: int
    queue_delay_ms: float
    deep_delay_ms: float = 0.0
    next_turn_ms: float = 0.0
    notice: UpstreamNotice | None = None
    work_ms: int = 0
    failure_percent: int = 0
    slowness_percent: int = 100
    refuses_retries: bool = False


class ResponseHead(_Frame, frozen=True, tag=20):
    """An upstream's response.

    Attributes:
        retries_unspent: Retries of the request that were not used.
        body: The complete body, or None if `BodyChunk` frames follow.
        body_length: Length of a streamed body in bytes, or None if unknown.
    """

    request_id: RequestId
    status: int
    headers: list[tuple[bytes, bytes]]
    retries_unspent: int
    load: Load
    body: bytes | None
    body_length: int | None = None


class EndKind(enum.IntEnum):
    """Type of the outcome in an `Ended` frame."""

    REFUSED = 1
    UNANSWERED = 2


class Ended(_Frame, frozen=True, tag=21):
    """The outcome of a request without a response: `Refused` or `Unanswered`.

    Attributes:
        kind: Value of the `EndKind`.
        reason: Value of the `RefusalReason` or `FailureReason`.
        retries_unspent: Retries of the request that were not used.
    """

    request_id: RequestId
    kind: int
    reason: str
    detail: str
    retry_after_s: float | None
    retries_unspent: int
    load: Load


class Question(_Frame, frozen=True, tag=30):
    """A control request.

    Attributes:
        content: The control message, encoded as MessagePack.
    """

    content: bytes


class Reply(_Frame, frozen=True, tag=31):
    """The response to a control request.

    Attributes:
        content: The control message, encoded as MessagePack.
    """

    content: bytes


Frame = (
    Challenge
    | Proof
    | Welcome
    | RequestHead
    | BodyChunk
    | BodyEnd
    | ResponseHead
    | Ended
    | Question
    | Reply
)
