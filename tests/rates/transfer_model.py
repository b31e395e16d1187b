"""Model of two domains that move shares through a log with unreliable appends.

Appends may be delayed, reordered, repeated and lost.
"""

from mangospoke.conf.declarations import FailureDomain
from mangospoke.conf.effective import EffectiveAccount, EffectiveConfiguration
from mangospoke.rates.grantor import Grantor, GrantorState
from mangospoke.rates.messages import AccountWant, RequestShares
from mangospoke.rates.rebalancer import ShareRebalancer
from mangospoke.rates.records import GrantorAppointed
from mangospoke.rates.share_declarations import (
    build_domain_freed_records,
    build_share_declarations,
)
from mangospoke.rates.share_table import ShareTable
from mangospoke.rates.units import MILLI, Share
from tests.rates.model_checking import dump_without_identity

TOTALS = [(4, 4), (2, 2), (6, 6)]
"""Rate and burst of the account by configuration version, from version 1 on."""

MAX_TOTAL = Share(6_000, 6_000)


class Daemon:
    def __init__(self, name):
        self.name = name
        self.domain = name[0]
        self.table = ShareTable()
        self.grantor = Grantor(self.domain, name, 1, self.table, 0)
        self.rebalancer = ShareRebalancer(self.grantor)
        self.offset = 0


class TransferModel:
    def __init__(self, budget):
        self.budget = dict(budget)
        self.version = 1
        self.lost = False
        self.log = [appointment_record("a1", 0), appointment_record("b1", 0)]
        self.daemons = {name: Daemon(name) for name in ("a1", "a2", "b1")}
        self.pending_appends = []
        self.apply_all_records()
        self.log += build_share_declarations(
            self.configuration(), self.daemons["a1"].table
        )
        self.apply_all_records()

    def configuration(self):
        rate, burst = TOTALS[self.version - 1]
        account = EffectiveAccount("acme", rate, burst, 1, {}, None, None)
        domains = {
            "a": FailureDomain(site="s"),
            "b": FailureDomain(site="s", lost=self.lost),
        }
        return EffectiveConfiguration(
            self.version, accounts_by_id={"acme": account}, domains_by_id=domains
        )

    def apply_all_records(self):
        for name, daemon in self.daemons.items():
            while daemon.offset < len(self.log):
                self.apply_record(name)

    def state_key(self):
        return dump_without_identity(self.__dict__)

    def actions(self):
        actions = []
        for name, daemon in self.daemons.items():
            if daemon.offset < len(self.log):
                actions += [("apply_record", name)]
            if daemon.grantor.state is not GrantorState.ACTIVE:
                continue
            if self.budget["request_shares"]:
                actions += [
                    ("request_shares", name, "b" if daemon.domain == "a" else "a")
                ]
            if self.budget["claim_unassigned"]:
                actions += [("claim_unassigned", name)]
            if self.budget["send_record"]:
                actions += [("send_record", name)]
            if self.budget["send_declarations"]:
                actions += [("send_declarations", name)]
        actions += [
            ("complete_append", index) for index in range(len(self.pending_appends))
        ]
        if self.budget["lose_append"]:
            actions += [
                ("lose_append", index) for index in range(len(self.pending_appends))
            ]
        if self.budget["replace_grantor"] and "a1" in self.daemons:
            actions += [("replace_grantor",)]
        if self.budget["change_configuration"] and self.version < len(TOTALS):
            actions += [("change_configuration",)]
        if self.budget["lose_domain"] and "b1" in self.daemons:
            actions += [("lose_domain",)]
        return actions

    def perform(self, action):
        name, *arguments = action
        if name in self.budget:
            self.budget[name] -= 1
        getattr(self, name)(*arguments)

    def request_shares(self, name, domain):
        """The other domain requests all that this one has."""
        everything = AccountWant("acme", Share(), 9_000, Share(9_000, 9_000))
        daemon = self.daemons[name]
        daemon.rebalancer.promise_shares(RequestShares(domain, 1, (everything,)), 0)

    def claim_unassigned(self, name):
        """The domain has demand for a moment, and claims unassigned shares."""
        daemon = self.daemons[name]
        for pool in daemon.grantor.pools_by_account.values():
            pool.report(0, ("h", 1), 9_000, 1)
        daemon.rebalancer.collect_wants(0)
        for pool in daemon.grantor.pools_by_account.values():
            pool.report(0, ("h", 1), 0, 0)

    def send_record(self, name):
        rebalancer = self.daemons[name].rebalancer
        rebalancer.return_excess(0)
        record = rebalancer.next_record(0)
        if record is not None:
            self.pending_appends.append(record)

    def send_declarations(self, name):
        table = self.daemons[name].table
        self.pending_appends += build_share_declarations(self.configuration(), table)
        self.pending_appends += build_domain_freed_records(self.configuration(), table)

    def complete_append(self, index):
        self.log.append(self.pending_appends.pop(index))

    def lose_append(self, index):
        self.pending_appends.pop(index)

    def change_configuration(self):
        self.version += 1

    def lose_domain(self):
        """Domain b fails and is declared lost; its appends may still complete."""
        del self.daemons["b1"]
        self.lost = True
        self.version = min(self.version + 1, len(TOTALS))

    def replace_grantor(self):
        """A grantor fails; its appends may complete after its successor has started."""
        del self.daemons["a1"]
        self.log.append(
            appointment_record("a2", self.daemons["a2"].table.grantor_of("a").epoch)
        )

    def apply_record(self, name):
        daemon = self.daemons[name]
        record = self.log[daemon.offset]
        daemon.offset += 1
        if daemon.table.apply(record):
            daemon.rebalancer.on_record_applied(0)
            daemon.grantor.on_record_applied(record, 0)
            daemon.grantor.activate(daemon.grantor.epoch, 0)

    def find_violation(self):
        in_use = Share()
        for daemon in self.daemons.values():
            shares = daemon.table.accounts_by_id
            if "acme" in shares and not MAX_TOTAL.covers(_sum(shares["acme"].shares)):
                return f"{daemon.name} has a table that adds up to too much"
            if not daemon.grantor.is_active(0):
                continue
            for pool in daemon.grantor.pools_by_account.values():
                in_use = in_use + pool.share - pool.outgoing
        if self.pool_tokens() > TOTALS[0][1] * MILLI:
            return f"there are {self.pool_tokens()} thousandths of a token"
        return (
            "" if self.max_declared_total().covers(in_use) else f"{in_use} are in use"
        )

    def pool_tokens(self):
        """Returns the thousandths of a token in all pools.

        Time stands still in this model, so no tokens are added over time.
        """
        return sum(
            pool.bucket.level(0)
            for daemon in self.daemons.values()
            for pool in daemon.grantor.pools_by_account.values()
        )

    def max_declared_total(self):
        max_total = max(TOTALS[: self.version])
        return Share(max_total[0] * 1_000, max_total[1] * 1_000)


def _sum(shares):
    return sum(shares.values(), Share())


def appointment_record(name, builds_on):
    return GrantorAppointed(
        record_id="",
        domain=name[0],
        builds_on=builds_on,
        configuration_version=1,
        host_id=name,
        incarnation=1,
        control_address="",
    )
