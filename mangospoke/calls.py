"""State of a request while a daemon processes it."""

import enum
from dataclasses import dataclass, field

from mangospoke.cancellation import Cancellation
from mangospoke.conf.declarations import Importance
from mangospoke.http.bodies import Body
from mangospoke.ids import (
    ClientAccountId,
    HostId,
    IdempotencyKey,
    Incarnation,
    KeyId,
    RequestId,
    RouteName,
    ServiceName,
)
from mangospoke.observability.events import Attempt
from mangospoke.peers.messages import UpstreamNotice
from mangospoke.verdicts import Headers, Unanswered


class SendStatus(enum.Enum):
    """Whether a call was sent; determines the verdict if it is aborted."""

    UNSENT = "unsent"
    SENT = "sent"


class KeyUse(enum.IntEnum):
    """How the executor of a call must treat its idempotency key.

    `FIRST_SEND`: the key was generated for this attempt, so nothing can have run
    under it. `CLAIM`: the caller chose the key, and the key's coordinator must claim
    it first. `CLAIMED`: the coordinator has claimed it. `LOOK_UP`: only the recorded
    outcome is requested.
    """

    NONE = 0
    FIRST_SEND = 1
    CLAIM = 2
    CLAIMED = 3
    LOOK_UP = 4


class Repetition(enum.IntEnum):
    """Whether a request was sent to an upstream before.

    `RETRY`: it was. `INHERITED`: a run that repeats another one calls for it.
    """

    NONE = 0
    RETRY = 1
    INHERITED = 2


class RetryAllowance:
    """Number of retries that remain for a call and all of its sub-calls.

    The allowance is split, never copied: a forwarded call withdraws its part and
    returns what it did not use, so that the total stays bounded.
    """

    __slots__ = ("remaining",)

    def __init__(self, remaining: int) -> None:
        self.remaining = remaining

    def take(self, wanted: int) -> int:
        """Withdraws up to `wanted` retries and returns how many were available."""
        taken = min(wanted, self.remaining)
        self.remaining -= taken
        return taken

    def return_unused(self, unspent: int) -> None:
        """Returns retries that a sub-call did not use."""
        self.remaining += unspent


@dataclass(slots=True)
class Call:
    """A request that has been authenticated and matched to a route.

    Attributes:
        key_id: Client account key of the request; None for sub-calls.
        deadline: Time on trio's clock, in seconds, after which the caller no longer
            needs a response.
        idempotent: Whether the request can safely be executed twice.
        idempotency_key: Set on each non-idempotent call.
        retries: Retries that remain for the call and its sub-calls.
        send_status: Whether a byte of the request head may have reached an upstream
            in the current attempt.
        earlier: Outcome of the last previous attempt that may have run, if any.
        key_use: How the idempotency key must be treated.
        last_sent_to: Host id and incarnation of the daemon that it was last sent to.
        version: Version of the configuration that authenticated it.
        is_sub_call: Whether an upstream sent it while processing another request;
            refusing it wastes the work on that request.
        caller: Service of that upstream.
        parent_id: Id of that other request, if known.
        repetition: Whether it was sent to an upstream before.
        may_wait: Whether a guard may let it wait for its upstream's rate limit. If not,
            there may be room elsewhere, so that it is better refused at once.
        notice: What the upstream said about itself, as the sending daemon passed it on.
        entered_at: Time on trio's clock, in seconds, at which it entered the fleet
            or arrived at this host.
        admitted_at: Time on trio's clock, in seconds, at which the guard admitted
            it to the upstream.
        target_latency_s: Latency target in seconds, or None.
        attempts: Hosts that it was sent to, for the log.
        cancellation: Cause for which the call is cancelled.
    """

    request_id: RequestId
    account_id: ClientAccountId
    key_id: KeyId | None
    service: ServiceName
    route: RouteName
    method: bytes
    target: bytes
    headers: Headers
    body: Body
    deadline: float
    importance: Importance
    idempotent: bool
    idempotency_key: IdempotencyKey | None
    retries: RetryAllowance
    send_status: SendStatus = field(default=SendStatus.UNSENT)
    earlier: Unanswered | None = None
    key_use: KeyUse = field(default=KeyUse.NONE)
    last_sent_to: tuple[HostId, Incarnation] | None = field(default=None)
    version: int = 0
    is_sub_call: bool = False
    caller: ServiceName = ServiceName("")
    parent_id: RequestId = RequestId("")
    repetition: Repetition = Repetition.NONE
    may_wait: bool = True
    notice: UpstreamNotice | None = None
    entered_at: float = 0.0
    admitted_at: float = 0.0
    target_latency_s: float | None = None
    attempts: list[Attempt] = field(default_factory=list)
    cancellation: Cancellation = field(default_factory=Cancellation)

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run any attempt so far."""
        return self.send_status is SendStatus.SENT or self.earlier is not None
