"""Model check: no interleaving of sends, crashes and joins runs a key twice.

The state space is explored to a bounded depth. Any live daemon may receive the key at
any time, which includes all that ingresses with stale or current views do. Membership
is one ordered log, of which each daemon has read a prefix.
"""

import pytest

from mangospoke.guard.claims import (
    ClaimDecision,
    ClaimRegistry,
    ClaimResult,
    ClaimStatus,
    decide_claim,
)

MAX_GROUP_SIZE = 2
MAX_HISTORY_RANK = 1
"""Small, so that three daemons suffice for different groups."""

KEY = ("acme", "batches", "key")
LIFETIME_S = 1_000_000.0


class Daemon:
    def __init__(self, incarnation, is_established, group_size=None):
        self.group_size = group_size
        self.incarnation = incarnation
        self.is_established = is_established
        self.read_offset = 0
        self.claim_registry = ClaimRegistry(incarnation, LIFETIME_S)
        self.recorded = None
        self.imported_from = set()
        self.has_full_import = False

    def clone(self):
        copy = Daemon(self.incarnation, self.is_established, self.group_size)
        copy.read_offset = self.read_offset
        copy.recorded = self.recorded
        copy.imported_from = set(self.imported_from)
        copy.has_full_import = self.has_full_import
        for key, claim in self.claim_registry._claims_by_key.items():
            copy.claim_registry._claims_by_key[key] = type(claim)(
                claim.holder, claim.claimed_at
            )
            copy.claim_registry._claims_by_key[key].is_released = claim.is_released
        return copy

    def view(self, log):
        members = set()
        for kind, incarnation in log[: self.read_offset]:
            if kind == "join":
                members.add(incarnation)
            else:
                members.discard(incarnation)
        return members

    def knows_history(self, log):
        """Mirrors `ClaimGroups.knows_history` for the log as read so far."""
        if self.incarnation not in self.view(log):
            return False
        seen = {incarnation[0] for _, incarnation in log[: self.read_offset]}
        if (
            self.group_size
            and self.incarnation[0] not in sorted(seen)[:MAX_HISTORY_RANK]
        ):
            return False
        return self.knows_all_claims(log)

    def knows_all_claims(self, log):
        if self.is_established:
            return True
        if ("join", self.incarnation) not in log[: self.read_offset]:
            return False
        own_offset = log.index(("join", self.incarnation))
        joined = {
            incarnation for kind, incarnation in log[:own_offset] if kind == "join"
        }
        left = {
            incarnation for kind, incarnation in log[:own_offset] if kind == "leave"
        }
        if left and not self.has_full_import:
            return False
        return not (joined - left) - self.imported_from

    def signature(self):
        claim = self.claim_registry._claims_by_key.get(KEY)
        holder_state = (claim.holder, claim.is_released) if claim else None
        return (
            self.incarnation,
            self.read_offset,
            self.recorded,
            holder_state,
            self.has_full_import,
            *sorted(self.imported_from),
        )


class ModelState:
    """The state of the model between two steps."""

    def __init__(self):
        self.log = []
        self.daemons = {}
        self.claims = ()
        self.runs = 0
        self.sendings = 0
        self.crashes = 0
        self.joins = 0
        self.group_size = None
        self.expulsions = 0

    def clone(self):
        copy = ModelState()
        copy.__dict__.update(self.__dict__)
        copy.log = list(self.log)
        copy.daemons = {
            incarnation: d.clone() for incarnation, d in self.daemons.items()
        }
        return copy

    def signature(self):
        daemons = tuple(d.signature() for _, d in sorted(self.daemons.items()))
        counts = (self.runs, self.sendings, self.crashes, self.joins)
        return (tuple(self.log), daemons, self.claims, counts, self.expulsions)


def new_state(old, young, group_size=None):
    state = ModelState()
    state.group_size = group_size
    for number in range(old + young):
        incarnation = (f"h{number}", 1)
        state.log.append(("join", incarnation))
        state.daemons[incarnation] = Daemon(incarnation, number < old, group_size)
    for daemon in state.daemons.values():
        daemon.read_offset = len(state.log) if daemon.is_established else 0
    return state


def successors(state, limits):
    for incarnation in sorted(state.daemons):
        if state.sendings < limits["sendings"]:
            yield send(state, incarnation)
        if state.daemons[incarnation].read_offset < len(state.log):
            yield read_next(state, incarnation)
        if state.crashes < limits["crashes"]:
            yield crash(state, incarnation)
        if state.expulsions < limits.get("expulsions", 0):
            yield expel(state, incarnation)
        for earlier_member in sorted(state.daemons):
            if may_import_claims(state, incarnation, earlier_member):
                yield import_claims(state, incarnation, earlier_member)
    if state.joins < limits["joins"]:
        yield join(state)
    for index in range(len(state.claims)):
        yield from continue_claim(state, index)


def read_next(state, incarnation):
    next_state = state.clone()
    next_state.daemons[incarnation].read_offset += 1
    return next_state


def crash(state, incarnation):
    """A daemon crashes; its departure is logged and read by others later."""
    next_state = state.clone()
    next_state.crashes += 1
    del next_state.daemons[incarnation]
    next_state.log.append(("leave", incarnation))
    next_state.claims = tuple(c for c in next_state.claims if c[0] != incarnation)
    return next_state


def expel(state, incarnation):
    """A paused daemon is declared dead, and continues later."""
    next_state = state.clone()
    next_state.expulsions += 1
    next_state.log.append(("leave", incarnation))
    return next_state


def join(state):
    next_state = state.clone()
    next_state.joins += 1
    # It ranks above all other daemons, so that it displaces one from the group.
    incarnation = (f"g{next_state.joins}", 1)
    next_state.log.append(("join", incarnation))
    next_state.daemons[incarnation] = Daemon(incarnation, False, next_state.group_size)
    return next_state


def send(state, incarnation):
    next_state = state.clone()
    next_state.sendings += 1
    daemon = next_state.daemons[incarnation]
    members = daemon.view(next_state.log)
    if incarnation not in members or daemon.recorded is not None:
        return next_state
    own_knows_history = knows_history(daemon, next_state)
    if daemon.claim_registry.claim_own(KEY, 0.0).status is ClaimStatus.FREE:
        # Hosts rank by name; a group consists of the first ones.
        asked = tuple(
            m for m in sorted(members)[: daemon.group_size] if m != incarnation
        )
        next_state.claims += ((incarnation, asked, (), own_knows_history),)
    return next_state


def continue_claim(state, index):
    """Asks the next member or decides the claim; a call may be shed instead of run."""
    incarnation, to_ask, replies, own_knows_history = state.claims[index]
    next_state = state.clone()
    other_claims = next_state.claims[:index] + next_state.claims[index + 1 :]
    if to_ask:
        asked = next_state.daemons.get(to_ask[0])
        reply = None
        if asked is not None:
            reply = asked.claim_registry.handle_claim(
                KEY, incarnation, 0.0, knows_history=knows_history(asked, next_state)
            )
        replies += ((to_ask[0], reply),)
        next_state.claims = (
            *other_claims,
            (incarnation, to_ask[1:], replies, own_knows_history),
        )
        yield next_state
        return
    daemon = next_state.daemons[incarnation]
    result = decide_claim(own_knows_history, dict(replies))
    next_state.claims = other_claims
    if result.decision is not ClaimDecision.RUN:
        daemon.claim_registry.release(KEY)
        yield next_state
        return
    shed = next_state.clone()
    shed.daemons[incarnation].claim_registry.release(KEY)
    yield shed
    next_state.runs += 1
    daemon.recorded = "ran"
    yield next_state


def knows_history(daemon, state):
    return daemon.knows_history(state.log)


def import_claims(state, incarnation, earlier_member):
    """A daemon imports the claims of a member that has read of its join."""
    next_state = state.clone()
    daemon, member = next_state.daemons[incarnation], next_state.daemons[earlier_member]
    for key, holder in member.claim_registry.claims():
        daemon.claim_registry.import_claim(key, holder, 0.0)
    daemon.imported_from.add(earlier_member)
    if daemon.group_size is None and member.knows_all_claims(state.log):
        daemon.has_full_import = True
    return next_state


def may_import_claims(state, incarnation, earlier_member):
    """Whether the member joined earlier and both see each other as members."""
    if (
        earlier_member == incarnation
        or earlier_member in state.daemons[incarnation].imported_from
    ):
        return False
    log, daemons = state.log, state.daemons
    if log.index(("join", earlier_member)) > log.index(("join", incarnation)):
        return False
    return (
        earlier_member in daemons[incarnation].view(log)
        and incarnation in daemons[earlier_member].view(log)
        and incarnation in daemons[incarnation].view(log)
    )


def explore(state, limits, max_states=400_000):
    seen = set()
    stack = [state]
    most_runs = 0
    while stack:
        current = stack.pop()
        signature = current.signature()
        if signature in seen:
            continue
        seen.add(signature)
        assert len(seen) < max_states, "the bounds are too wide for a test"
        most_runs = max(most_runs, current.runs)
        assert current.runs <= 1, current.signature()
        stack.extend(successors(current, limits))
    return len(seen), most_runs


@pytest.mark.parametrize(
    ("old", "young", "limits"),
    [
        (2, 0, {"sendings": 2, "crashes": 1, "joins": 1}),
        (0, 2, {"sendings": 2, "crashes": 1, "joins": 0}),
        (1, 1, {"sendings": 2, "crashes": 1, "joins": 1}),
        (3, 0, {"sendings": 2, "crashes": 1, "joins": 0}),
        (2, 0, {"sendings": 2, "crashes": 1, "joins": 0, "expulsions": 1}),
        (1, 0, {"sendings": 2, "crashes": 1, "joins": 2}),
    ],
)
def test_no_interleaving_runs_a_key_twice(old, young, limits):
    states, most_runs = explore(new_state(old, young), limits)
    print(f"{states} states")
    assert most_runs == 1
    assert states > 100


@pytest.mark.parametrize(
    ("old", "young", "limits"),
    [
        (3, 0, {"sendings": 2, "crashes": 1, "joins": 0}),
        (1, 2, {"sendings": 2, "crashes": 1, "joins": 0}),
        (2, 0, {"sendings": 2, "crashes": 0, "joins": 1}),
        (1, 0, {"sendings": 2, "crashes": 0, "joins": 2}),
    ],
)
def test_groups_smaller_than_the_domain_run_a_key_once(old, young, limits):
    states, most_runs = explore(new_state(old, young, MAX_GROUP_SIZE), limits)
    print(f"{states} states")
    assert most_runs == 1


def test_the_model_finds_a_claim_that_asks_nobody(monkeypatch):
    always = ClaimResult(ClaimDecision.RUN)
    monkeypatch.setitem(globals(), "decide_claim", lambda *_: always)
    with pytest.raises(AssertionError):
        explore(new_state(2, 0), {"sendings": 2, "crashes": 0, "joins": 0})
