"""Model of a domain with two possible grantors and one host that holds grants.

Time advances in steps of one second, at each of which every daemon ticks that isn't
paused. Messages to such a daemon arrive within `RECONNECT_NS`.
"""

from msgspec.structs import replace

from mangospoke.rates.grantor import Grantor, GrantorState
from mangospoke.rates.holder import Holder
from mangospoke.rates.messages import Grants, Supersede
from mangospoke.rates.records import GrantorActivated, GrantorAppointed, SharesDeclared
from mangospoke.rates.share_table import ShareTable
from mangospoke.rates.takeover import Takeover
from mangospoke.rates.timing import NS_PER_S, RECONNECT_NS
from mangospoke.rates.units import MILLI, Share
from tests.rates.model_checking import dump_without_identity

DOMAIN_SHARE = Share(3_000, 4_000)
DOMAIN = "a"


class Daemon:
    def __init__(self, name, incarnation, now):
        self.name = name
        self.incarnation = incarnation
        self.table = ShareTable()
        self.offset = 0
        self.grantor = Grantor(DOMAIN, name, incarnation, self.table, now)
        self.takeover = None
        self.paused = False
        self.resumed = False


class SuccessionModel:
    def __init__(self, budget, pausable_names=("g1",)):
        self.pausable_names = pausable_names
        self.now = 0
        self.budget = dict(budget)
        self.log = [
            appointment_record("g1", 1, 0),
            SharesDeclared(
                record_id="",
                account_id="acme",
                builds_on=0,
                configuration_version=1,
                total=DOMAIN_SHARE,
                added={DOMAIN: DOMAIN_SHARE},
            ),
        ]
        self.daemons = {name: Daemon(name, 1, 0) for name in ("g1", "g2")}
        self.holder = Holder("h", 1, "", 0)
        self.sent_request = None
        self.pending_answer = None
        self.sent_supersedes = []
        while self.daemons["g1"].offset < len(self.log):
            self.apply_record("g1")
        self.daemons["g1"].grantor.activate(1, 0)
        self.holder.arrived("acme", 0).waiting = 1

    def state_key(self):
        # These have no effect on later states: `request_grants` sets the demand.
        account = self.holder.accounts_by_id["acme"]
        account.arrivals = account.demand = account.refused = 0
        return dump_without_identity(self.__dict__)

    def actions(self):
        actions = [("advance_time",)] if self.budget["advance_time"] else []
        if self.sent_request is None:
            actions += [("request_grants",)] if self.budget["request_grants"] else []
        elif self.pending_answer is None:
            running = [
                name for name, daemon in self.daemons.items() if not daemon.paused
            ]
            actions += [("grant", name) for name in running]
        else:
            actions += [("receive_grants",)]
        if self.sent_request is not None and self.budget["lose_message"]:
            actions += [("lose_message",)]
        for name, daemon in self.daemons.items():
            if daemon.paused:
                actions += [("resume", name)]
                continue
            if self.can_apply_record(name):
                actions += [("apply_record", name)]
            if self.budget["pause"] and name in self.pausable_names:
                actions += [("pause", name)]
            if self.budget["restart"] and name == "g1":
                actions += [("restart", name)]
            if name == "g2" and self.budget["appoint"] and daemon.grantor.epoch == 0:
                actions += [("appoint", name)]
        for index, (_, target, _) in enumerate(self.sent_supersedes):
            if not self.daemons[target].paused:
                actions += [("deliver_supersede", index)]
        return actions

    def perform(self, action):
        name, *arguments = action
        if name in self.budget:
            self.budget[name] -= 1
        getattr(self, name)(*arguments)
        while not self.daemons["g2"].paused and self.can_apply_record("g2"):
            self.apply_record("g2")

    def can_apply_record(self, name):
        return self.daemons[name].offset < len(self.log)

    def advance_time(self):
        for message in list(self.sent_supersedes):
            _, target, sent_at = message
            is_due = self.now + NS_PER_S - sent_at > RECONNECT_NS
            if is_due and not self.daemons[target].paused:
                self.deliver_supersede(self.sent_supersedes.index(message))
        self.now += NS_PER_S
        for daemon in self.daemons.values():
            if daemon.paused:
                continue
            daemon.grantor.tick(self.now)
            takeover = daemon.takeover
            if takeover is not None and self.now >= takeover.earliest_grant_at():
                daemon.grantor.activate(takeover.epoch, self.now)
                daemon.takeover = None
                if daemon.grantor.state is GrantorState.ACTIVE:
                    epoch = takeover.epoch
                    self.log.append(
                        GrantorActivated(record_id="", domain=DOMAIN, epoch=epoch)
                    )

    def request_grants(self):
        request = self.holder.request(self.now)
        needs = tuple(replace(need, demand=4_000) for need in request.needs)
        self.sent_request = (replace(request, needs=needs), self.now)

    def grant(self, name):
        answer = self.daemons[name].grantor.grant(self.sent_request[0], self.now)
        if isinstance(answer, Grants):
            self.pending_answer = answer
        else:
            self.sent_request = None

    def receive_grants(self):
        request, sent_at = self.sent_request
        self.holder.apply(request, sent_at, self.pending_answer, self.now)
        self.sent_request = self.pending_answer = None

    def lose_message(self):
        self.sent_request = self.pending_answer = None

    def pause(self, name):
        self.daemons[name].paused = True

    def resume(self, name):
        self.daemons[name].paused = False

    def restart(self, name):
        old = self.daemons[name]
        self.daemons[name] = Daemon(name, old.incarnation + 1, self.now)

    def appoint(self, name):
        daemon = self.daemons[name]
        epoch = daemon.table.grantor_of(DOMAIN).epoch
        self.log.append(appointment_record(name, daemon.incarnation, epoch))

    def apply_record(self, name):
        daemon = self.daemons[name]
        record = self.log[daemon.offset]
        daemon.offset += 1
        if not daemon.table.apply(record):
            return
        daemon.grantor.on_record_applied(record, self.now)
        appointed = daemon.table.grantor_of(DOMAIN)
        if daemon.grantor.state is not GrantorState.TAKING_OVER:
            daemon.takeover = None
        elif daemon.takeover is None or daemon.takeover.epoch != appointed.epoch:
            daemon.takeover = Takeover(appointed, name, self.now)
            for predecessor in daemon.takeover.unconfirmed_predecessors:
                self.sent_supersedes.append((name, predecessor.host_id, self.now))

    def deliver_supersede(self, index):
        sender, target, _ = self.sent_supersedes.pop(index)
        takeover = self.daemons[sender].takeover
        if takeover is None:
            return
        self.daemons[target].grantor.supersede(Supersede(DOMAIN, takeover.epoch))
        for predecessor in list(takeover.unconfirmed_predecessors):
            if predecessor.host_id == target:
                takeover.mark_stopped(predecessor, self.now)

    def find_violation(self):
        in_use = Share()
        if self.now < self.holder.expires_at:
            account = self.holder.accounts_by_id["acme"]
            in_use = in_use + account.share()
        if self.now < self.holder.accounts_by_id["acme"].vouchers_end:
            vouchers = self.holder.accounts_by_id["acme"].vouchers
            in_use = in_use + Share(0, vouchers * MILLI)
        for daemon in self.daemons.values():
            if daemon.grantor.is_active(self.now):
                pool = daemon.grantor.pools_by_account.get("acme")
                if pool is not None:
                    in_use = in_use + Share(pool.bucket.rate, pool.bucket.burst)
        return (
            "" if DOMAIN_SHARE.covers(in_use) else f"{in_use} are in use at {self.now}"
        )


def appointment_record(name, incarnation, builds_on):
    return GrantorAppointed(
        record_id="",
        domain=DOMAIN,
        builds_on=builds_on,
        configuration_version=1,
        host_id=name,
        incarnation=incarnation,
        control_address="",
    )
