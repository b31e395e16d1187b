"""Frames that daemons exchange about forwarded requests.

A connection carries one request at a time: a `RequestHead`, its body, then a
`ResponseHead` or an `Ended`, and the answer's body. A caller that gives up closes
the connection, which cancels the request. Frames are arrays on the wire.
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
)


class _Frame(Struct, frozen=True, array_like=True):
    """Base of all frames."""


class Challenge(_Frame, frozen=True, tag=1):
    """First frame of the accepting side."""

    nonce: bytes


class Proof(_Frame, frozen=True, tag=2):
    """Answer to a challenge: a MAC of it under the fleet secret.

    Attributes:
        nonce: The dialling side's own challenge.
        mac: HMAC-SHA256 over both nonces and the sender's host id.
    """

    host_id: HostId
    failure_domain: FailureDomainId
    nonce: bytes
    mac: bytes


class Welcome(_Frame, frozen=True, tag=3):
    """The accepting side's own proof, which ends the handshake."""

    host_id: HostId
    incarnation: Incarnation
    mac: bytes


class RequestHead(_Frame, frozen=True, tag=10):
    """A forwarded request.

    Attributes:
        remaining_ms: Milliseconds left until the deadline, less transit.
        retries: Retries that the receiver and its sub-calls may spend.
        body: The whole body, or None if `BodyChunk` frames follow.
        body_length: Length of a streamed body if known.
        key_use: Value of the call's `KeyUse`.
        version: Configuration by which the request was authenticated.
        is_sub_call: Whether an upstream makes it for a request that it runs.
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


class BodyChunk(_Frame, frozen=True, tag=11):
    """A part of a streamed body."""

    content: bytes


class BodyEnd(_Frame, frozen=True, tag=12):
    """The end of a streamed body; a connection lost before it broke the body."""


class Load(_Frame, frozen=True):
    """How loaded a guard is, returned with each answer.

    Attributes:
        in_flight: Requests in the upstream now.
        queued: Requests in the queue now.
        limit: Concurrency limit in force now.
        queue_delay_ms: Time that requests now wait in the queue.
        deep_delay_ms: Highest queue delay of the services that the upstream calls,
            and of those that they call.
    """

    in_flight: int
    queued: int
    limit: int
    queue_delay_ms: float
    deep_delay_ms: float = 0.0


class ResponseHead(_Frame, frozen=True, tag=20):
    """An upstream's answer.

    Attributes:
        retries_unspent: Retries given back.
        body: The whole body, or None if `BodyChunk` frames follow.
    """

    request_id: RequestId
    status: int
    headers: list[tuple[bytes, bytes]]
    retries_unspent: int
    load: Load
    body: bytes | None
    body_length: int | None = None


class EndKind(enum.IntEnum):
    """Which outcome an `Ended` frame carries."""

    REFUSED = 1
    UNANSWERED = 2


class Ended(_Frame, frozen=True, tag=21):
    """A request that brought no answer: the receiver's `Refused` or `Unanswered`.

    Attributes:
        reason: Value of the `RefusalReason` or `FailureReason`.
    """

    request_id: RequestId
    kind: int
    reason: str
    detail: str
    retry_after_s: float | None
    retries_unspent: int
    load: Load


class Question(_Frame, frozen=True, tag=30):
    """A control message.

    Attributes:
        content: MessagePack of the message.
    """

    content: bytes


class Reply(_Frame, frozen=True, tag=31):
    """The answer to a control message."""

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
