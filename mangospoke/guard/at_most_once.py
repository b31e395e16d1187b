"""Running of non-idempotent calls at most once, whoever sends them again.

A call whose key was made for it where it entered has never been sent before: it is
only recorded. A caller's own key is claimed at its home first. A key that tells
where its record is can only be looked up, never run.
"""

import time
from collections.abc import Awaitable, Callable

import trio

from mangospoke.calls import Call, KeyUse
from mangospoke.control.interface import ControlError
from mangospoke.control.messages import ClaimKey, KeyClaimed, NotesRead, ReadNotes
from mangospoke.control.transport import ControlPlane
from mangospoke.guard.claims import (
    ClaimDecision,
    ClaimRegister,
    ClaimReply,
    ClaimStand,
    ClaimVerdict,
    Life,
    decide,
)
from mangospoke.guard.home_groups import HomeGroups
from mangospoke.guard.idempotency_keys import birth_of_key
from mangospoke.guard.records import (
    CLOCK_SKEW_S,
    RECORD_LIFETIME_S,
    RESEND_LIFETIME_S,
    Record,
    RecordKey,
    RecordState,
    RecordStore,
    fingerprint_of,
    outcome_of,
)
from mangospoke.ids import FailureDomainId, HostId, IdempotencyKey, Incarnation
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.verdicts import (
    FailureReason,
    Outcome,
    RefusalReason,
    Refused,
    Unanswered,
)

_CLAIM_TIMEOUT_S = 1.0
_TAKE_OVER_INTERVAL_S = 0.25
_TAKE_OVER_TIMEOUT_S = 5.0

Executor = Callable[[Call], Awaitable[Outcome]]
HolderSender = Callable[[Life, Call], Awaitable[Outcome]]
"""Has the daemon that holds a key tell what became of it."""


class AtMostOnce:
    """Records, claims and looks up the keys of non-idempotent calls.

    Attributes:
        run_claimed: Runs a call that this daemon has claimed, here or elsewhere.
        ask_holder: Asks another daemon for the outcome under a key.
    """

    def __init__(
        self, life: Life, groups: HomeGroups, control: ControlPlane, execute: Executor
    ) -> None:
        self.run_claimed: Executor = execute
        self.ask_holder: HolderSender = _holder_unknown
        self._life = life
        self._groups = groups
        self._control = control
        self._execute = execute
        self._store = RecordStore()
        self._register = ClaimRegister(life, RECORD_LIFETIME_S)
        control.handlers_by_type[ClaimKey] = self._answer_claim
        control.handlers_by_type[ReadNotes] = self._answer_notes

    async def run(self) -> None:
        """Takes over the notes of earlier members, until it is cancelled."""
        while True:
            for member in self._groups.unwitnessed():
                await self._take_over_notes(member)
            await trio.sleep(_TAKE_OVER_INTERVAL_S)

    async def _take_over_notes(self, member: UpstreamAnnounced) -> None:
        question = ReadNotes(host_id=self._life[0], incarnation=self._life[1])
        try:
            answer = await self._control.ask(
                member.control_address, question, NotesRead, _TAKE_OVER_TIMEOUT_S
            )
        except ControlError:
            return
        life = (member.host_id, member.daemon_incarnation)
        if not answer.knows_reader or (answer.host_id, answer.incarnation) != life:
            return
        now = trio.current_time()
        for account_id, service, key, host_id, incarnation in answer.notes:
            holder = (host_id, incarnation)
            self._register.take_over((account_id, service, key), holder, now)
        is_complete = answer.is_complete and self._groups.is_small()
        self._groups.witness(life, is_complete=is_complete)

    async def _answer_notes(self, question: ReadNotes) -> NotesRead:
        reader = (question.host_id, question.incarnation)
        knows_reader = self._groups.knows(reader)
        notes = self._register.notes() if knows_reader else []
        return NotesRead(
            host_id=self._life[0],
            incarnation=self._life[1],
            knows_reader=knows_reader,
            is_complete=self._groups.is_complete(),
            notes=tuple(
                (account_id, service, IdempotencyKey(key), *holder)
                for (account_id, service, key), holder in notes
            ),
        )

    async def execute(self, call: Call) -> Outcome:
        """Runs a call as the use of its key allows."""
        if call.key_use is KeyUse.FIRST_SEND:
            return await self._run_recorded(call)
        if call.key_use is KeyUse.CLAIM:
            return await self._claim_and_run(call)
        if call.key_use is KeyUse.LOOK_UP:
            return await self._look_up(call)
        return await self._execute(call)

    async def _run_recorded(self, call: Call) -> Outcome:
        record = self._store.begin(
            _key(call), fingerprint_of(call), trio.current_time()
        )
        if record is None:
            # The call is certainly new; a re-send will learn that nobody knows.
            return await self._execute(call)
        return await self._run(call, record, self._execute)

    async def _run(self, call: Call, record: Record, executor: Executor) -> Outcome:
        outcome: Outcome | None = None
        try:
            outcome = await executor(call)
            return outcome
        finally:
            self._store.end(record, outcome or _outcome_of_cancelled(call))

    async def _look_up(self, call: Call) -> Outcome:
        record = self._store.find(_key(call))
        if record is None:
            return _unknown("nothing is recorded under this key any more")
        if record.state is not RecordState.NOT_RUN:
            return await outcome_of(record, call)
        if record.fingerprint != fingerprint_of(call):
            return await outcome_of(record, call)
        # It is known not to have run, so this sending may run in its place.
        return await self._run_recorded(call)

    async def _claim_and_run(self, call: Call) -> Outcome:
        key = _key(call)
        record = self._store.find(key)
        if record is not None and record.state is not RecordState.NOT_RUN:
            return await outcome_of(record, call)
        expired = _refusal_by_age(call)
        if expired is not None:
            return expired
        assert call.idempotency_key is not None
        domain = self._groups.domain_of(call.idempotency_key)
        if domain is None or not self._groups.is_member(domain):
            return _unknown("this host doesn't decide about the key")
        # Judged before the key is marked: notes taken over later don't show through.
        vouches = self._groups.vouches(call.idempotency_key, domain)
        own = self._register.start(key, trio.current_time())
        if own.stand is not ClaimStand.FREE:
            return await self._follow(call, _verdict_of(own), None)
        verdict = ClaimVerdict(ClaimDecision.UNKNOWN)
        try:
            verdict = decide(vouches, await self._ask_group(call, domain))
        finally:
            if verdict.decision is not ClaimDecision.RUN:
                self._register.release(key)
        record = None
        if verdict.decision is ClaimDecision.RUN:
            record = self._store.begin(key, fingerprint_of(call), trio.current_time())
        return await self._follow(call, verdict, record)

    async def _follow(
        self, call: Call, verdict: ClaimVerdict, record: Record | None
    ) -> Outcome:
        if verdict.decision is ClaimDecision.ASK_HOLDER:
            return await self._ask_holder(call, verdict.holder)
        if verdict.decision is ClaimDecision.UNKNOWN:
            return _unknown("not all who may have run it could be asked")
        if record is None:
            self._register.release(_key(call))
            detail = "too many idempotency keys are remembered"
            return Refused(RefusalReason.IDEMPOTENCY_STORE_FULL, detail)
        call.key_use = KeyUse.CLAIMED
        try:
            return await self._run(call, record, self.run_claimed)
        finally:
            if record.state is RecordState.NOT_RUN:
                self._register.release(_key(call))

    async def _ask_holder(self, call: Call, holder: Life | None) -> Outcome:
        if holder is None or holder == self._life:
            detail = "another sending of it is being decided on"
            return Unanswered(FailureReason.EARLIER_ATTEMPT_IN_PROGRESS, detail)
        call.key_use = KeyUse.LOOK_UP
        return await self.ask_holder(holder, call)

    async def _ask_group(
        self, call: Call, domain: FailureDomainId
    ) -> dict[Life, ClaimReply | None]:
        assert call.idempotency_key is not None
        question = ClaimKey(
            account_id=call.account_id,
            service=call.service,
            key=call.idempotency_key,
            host_id=self._life[0],
            incarnation=self._life[1],
        )
        members = self._groups.members(domain, call.idempotency_key)
        others = [member for member in members if not self._is_self(member)]
        replies: dict[Life, ClaimReply | None] = dict.fromkeys(
            (member.host_id, member.daemon_incarnation) for member in others
        )
        async with trio.open_nursery() as nursery:
            for member in others:
                nursery.start_soon(self._ask_member, member, question, replies)
        return replies

    def _is_self(self, member: UpstreamAnnounced) -> bool:
        return (member.host_id, member.daemon_incarnation) == self._life

    async def _ask_member(
        self,
        member: UpstreamAnnounced,
        question: ClaimKey,
        replies: dict[Life, ClaimReply | None],
    ) -> None:
        try:
            answer = await self._control.ask(
                member.control_address, question, KeyClaimed, _CLAIM_TIMEOUT_S
            )
        except ControlError:
            return
        life = (member.host_id, member.daemon_incarnation)
        if (answer.host_id, answer.incarnation) != life:
            # Another life answers at that address: the notes are lost.
            return
        holder = None
        if answer.holder_host_id:
            holder = (answer.holder_host_id, answer.holder_incarnation)
        stand = ClaimStand(answer.stand)
        replies[life] = ClaimReply(stand, holder, answer.vouches)

    async def _answer_claim(self, question: ClaimKey) -> KeyClaimed:
        key = (question.account_id, question.service, question.key)
        domain = self._groups.domain_of(question.key)
        vouches = domain is not None and self._groups.vouches(question.key, domain)
        claimant = (question.host_id, question.incarnation)
        reply = self._register.reply(
            key, claimant, trio.current_time(), vouches=vouches
        )
        holder = reply.holder or (HostId(""), Incarnation(0))
        return KeyClaimed(
            host_id=self._life[0],
            incarnation=self._life[1],
            stand=reply.stand.value,
            holder_host_id=holder[0],
            holder_incarnation=holder[1],
            vouches=reply.vouches,
        )


def _key(call: Call) -> RecordKey:
    assert call.idempotency_key is not None
    return (call.account_id, call.service, call.idempotency_key)


def _verdict_of(own: ClaimReply) -> ClaimVerdict:
    if own.stand is ClaimStand.FULL:
        # Nobody was asked, so nobody can say that it has not run.
        return ClaimVerdict(ClaimDecision.UNKNOWN)
    return ClaimVerdict(ClaimDecision.ASK_HOLDER, own.holder)


def _refusal_by_age(call: Call) -> Unanswered | None:
    assert call.idempotency_key is not None
    born = birth_of_key(call.idempotency_key)
    if born is None:
        return None
    age_s = time.time() - born
    if age_s > RESEND_LIFETIME_S:
        detail = "the Idempotency-Key was made too long ago"
        return Unanswered(FailureReason.IDEMPOTENCY_KEY_EXPIRED, detail)
    if age_s < -CLOCK_SKEW_S:
        detail = "the Idempotency-Key was made in the future; check the clock"
        return Unanswered(FailureReason.IDEMPOTENCY_KEY_EXPIRED, detail)
    return None


def _unknown(detail: str) -> Unanswered:
    return Unanswered(FailureReason.EARLIER_ATTEMPT_UNKNOWN, detail)


async def _holder_unknown(life: Life, call: Call) -> Outcome:
    return _unknown("who holds the key can't be asked")


def _outcome_of_cancelled(call: Call) -> Outcome:
    if call.may_have_run:
        return Unanswered(FailureReason.CANCELLED, "it was cancelled")
    return Refused(RefusalReason.CANCELLED, "it was cancelled")
