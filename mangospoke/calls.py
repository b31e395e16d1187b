"""One request on its way through a daemon."""

import enum
from dataclasses import dataclass, field

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
from mangospoke.verdicts import Headers, Unanswered


class Progress(enum.Enum):
    """How far a call has come, for the verdict when it is cut short."""

    UNSENT = "unsent"
    SENT = "sent"


class KeyUse(enum.IntEnum):
    """What a call's idempotency key demands of who executes it.

    `FIRST_SEND`: the key was made for this very sending, so nothing can have run
    under it. `CLAIM`: a caller's own key, which its home has to claim. `CLAIMED`:
    the home has done so. `LOOK_UP`: only the recorded outcome is asked for.
    """

    NONE = 0
    FIRST_SEND = 1
    CLAIM = 2
    CLAIMED = 3
    LOOK_UP = 4


class RetryAllowance:
    """Retries that a call and all of its sub-calls may still spend.

    The allowance is split, never copied: a forwarded call takes its part out of
    the holder and gives back what it did not spend.
    """

    __slots__ = ("remaining",)

    def __init__(self, remaining: int) -> None:
        self.remaining = remaining

    def take(self, wanted: int) -> int:
        """Takes at most `wanted` retries out and returns how many it took."""
        taken = min(wanted, self.remaining)
        self.remaining -= taken
        return taken

    def give_back(self, unspent: int) -> None:
        """Puts retries back that a sub-call did not spend."""
        self.remaining += unspent


@dataclass(slots=True)
class Call:
    """A request that has been authenticated and matched to a route.

    Attributes:
        deadline: Point on trio's clock, in seconds, after which no answer helps.
        key_id: The key that the request carried; None for sub-calls.
        idempotency_key: Set on each non-idempotent call.
        idempotent: Whether running it twice is harmless.
        progress: Whether a byte of the head may have reached an upstream in the
            attempt under way.
        earlier: The last earlier attempt that may have run, if there was one.
        key_use: What the idempotency key demands.
        sent_to: The daemon that it was last sent to, in which of its lives.
        version: Configuration by which it was authenticated.
        is_sub_call: Whether an upstream makes it for a request that it runs, so
            that work is lost above it if it is refused.
        caller: The service of that upstream.
        parent_id: The request that it is made for, where that is known.
        entered_at: Point on trio's clock at which it entered the fleet, or came to
            this host.
        admitted_at: Point on trio's clock at which it got its turn at the upstream.
        target_s: Seconds within which it should be answered, or None.
        attempts: Hosts that it was sent to, for the log.
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
    progress: Progress = field(default=Progress.UNSENT)
    earlier: Unanswered | None = None
    key_use: KeyUse = field(default=KeyUse.NONE)
    sent_to: tuple[HostId, Incarnation] | None = field(default=None)
    version: int = 0
    is_sub_call: bool = False
    caller: ServiceName = ServiceName("")
    parent_id: RequestId = RequestId("")
    entered_at: float = 0.0
    admitted_at: float = 0.0
    target_s: float | None = None
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt so far may have run."""
        return self.progress is Progress.SENT or self.earlier is not None
