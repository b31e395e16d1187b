"""Claims of the right to run a caller's idempotency key, replicated over a group.

A few daemons of a failure domain are the *group* of a key. Before a member runs a
call with the key, it stores a claim of its own and then sends the claim to every other
member. Each member stores the claimant and replies whether another daemon holds the
key. The call runs only if all members replied and no other daemon holds the key. Any
later claimant, whatever its view of the group, finds one of these claims: at the
earlier claimant, or at a member that the earlier claimant asked.
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass

from mangospoke.guard.records import RecordKey
from mangospoke.ids import HostId, Incarnation

_MAX_CLAIMS = 65_536

HostIncarnation = tuple[HostId, Incarnation]
"""A host and one incarnation of its daemon; its claims are lost on restart."""


class ClaimStatus(enum.Enum):
    """A member's reply: granted, held by another daemon, or no room for claims."""

    FREE = "free"
    HELD = "held"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """A member's reply to a claim.

    Attributes:
        holder: The daemon that holds the key, or None.
        knows_history: Whether the member knows of all claims of the key that have not
            expired, so that `FREE` proves that the key has not been run.
    """

    status: ClaimStatus
    holder: HostIncarnation | None
    knows_history: bool


class _Claim:
    """The daemon that claimed a key, and the time of the claim.

    Attributes:
        is_released: Whether the holder gave the claim up because the key did not run.
    """

    __slots__ = ("claimed_at", "holder", "is_released")

    def __init__(self, holder: HostIncarnation, now: float) -> None:
        self.holder = holder
        self.claimed_at = now
        self.is_released = False


class ClaimRegistry:
    """The claims that one member has stored: its own and those of other members."""

    def __init__(self, host_incarnation: HostIncarnation, lifetime_s: float) -> None:
        self._own_incarnation = host_incarnation
        self._lifetime_s = lifetime_s
        self._claims_by_key: OrderedDict[RecordKey, _Claim] = OrderedDict()

    def claim_own(self, key: RecordKey, now: float) -> ClaimReply:
        """Stores this member's own claim, before it asks the other members."""
        return self.handle_claim(key, self._own_incarnation, now, knows_history=False)

    def handle_claim(
        self,
        key: RecordKey,
        claimant: HostIncarnation,
        now: float,
        *,
        knows_history: bool,
    ) -> ClaimReply:
        """Replies to a claim, and stores it if the key is free.

        Args:
            key: The key.
            claimant: The daemon that is to run it.
            now: Seconds on a monotonic clock.
            knows_history: Whether this member knows of all unexpired claims of the key.
        """
        self._drop_expired(now)
        claim = self._claims_by_key.get(key)
        if claim is None:
            if len(self._claims_by_key) >= _MAX_CLAIMS:
                return ClaimReply(ClaimStatus.FULL, None, False)
            self._claims_by_key[key] = _Claim(claimant, now)
            return ClaimReply(ClaimStatus.FREE, None, knows_history)
        is_own = claim.holder == self._own_incarnation
        if is_own and claim.is_released:
            # It is known not to have run here, so the next claimant may run it.
            claim.holder = claimant
            claim.is_released = False
            claim.claimed_at = now
            self._claims_by_key.move_to_end(key)
            return ClaimReply(ClaimStatus.FREE, None, knows_history)
        if claim.holder == claimant and not is_own:
            claim.claimed_at = now
            self._claims_by_key.move_to_end(key)
            return ClaimReply(ClaimStatus.FREE, None, knows_history)
        return ClaimReply(ClaimStatus.HELD, claim.holder, False)

    def release(self, key: RecordKey) -> None:
        """Releases this member's own claim of a key that did not run."""
        claim = self._claims_by_key.get(key)
        if claim is not None and claim.holder == self._own_incarnation:
            claim.is_released = True

    def claims(self) -> list[tuple[RecordKey, HostIncarnation]]:
        """Returns all claimed keys with their holders."""
        return [(key, claim.holder) for key, claim in self._claims_by_key.items()]

    def import_claim(self, key: RecordKey, holder: HostIncarnation, now: float) -> None:
        """Stores a claim from a member that joined earlier, unless the key is known."""
        if key not in self._claims_by_key:
            self._claims_by_key[key] = _Claim(holder, now)

    def _drop_expired(self, now: float) -> None:
        while self._claims_by_key:
            key, oldest_claim = next(iter(self._claims_by_key.items()))
            if now - oldest_claim.claimed_at <= self._lifetime_s:
                return
            del self._claims_by_key[key]


class ClaimDecision(enum.Enum):
    """What a claimant may do after the other members were asked."""

    RUN = "run"
    ASK_HOLDER = "ask-holder"
    UNKNOWN = "unknown"
    STORE_FULL = "store-full"


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The result of a claim.

    Attributes:
        holder: The daemon to ask for the outcome, if another daemon holds the key.
    """

    decision: ClaimDecision
    holder: HostIncarnation | None = None


def decide_claim(
    own_knows_history: bool,
    replies_by_member: dict[HostIncarnation, ClaimReply | None],
) -> ClaimResult:
    """Decides a claim from the replies of the other members.

    Args:
        own_knows_history: Whether the claimant knows of all unexpired claims.
        replies_by_member: The reply of each other member in the claimant's view; None
            for a member that did not reply.
    """
    any_unanswered = False
    any_full = False
    history_known = own_knows_history
    holder: HostIncarnation | None = None
    for member, reply in replies_by_member.items():
        if reply is None:
            any_unanswered = True
        elif reply.status is ClaimStatus.FULL:
            any_full = True
        elif reply.status is ClaimStatus.HELD:
            reported_holder = reply.holder or member
            holder_reply = replies_by_member.get(reported_holder)
            was_passed_on = holder_reply is not None and (
                holder_reply.status is ClaimStatus.FREE
            )
            if not was_passed_on:
                holder = reported_holder
        else:
            history_known = history_known or reply.knows_history
    if holder is not None:
        return ClaimResult(ClaimDecision.ASK_HOLDER, holder)
    if any_unanswered or not history_known:
        return ClaimResult(ClaimDecision.UNKNOWN)
    if any_full:
        return ClaimResult(ClaimDecision.STORE_FULL)
    return ClaimResult(ClaimDecision.RUN)
