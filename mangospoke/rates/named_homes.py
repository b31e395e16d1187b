"""Whom the list of hosts names as an account's homes and reserves.

Load pattern: many accounts with small rates, whose requests enter at any of hundreds of
hosts. If each host held an equal part, nearly all parts would be smaller than one
token, and whoever is asked for tokens would have none. So an account has as few homes
as its burst leaves some tokens for each, spread over the failure domains. All hosts
find the homes by rendezvous hashing, without messages.

The parts of the failure domains are fixed: what the homes of a domain that is cut off
hold is theirs, and no other domain takes it over. Each domain also has a reserve for
an account, on a host that is none of its homes. It holds a part of the excess that the
rate allows, and serves hosts that reach no home.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.ids import ClientAccountId, FailureDomainId, HostId
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.rates.host_ranks import HostRanks
from mangospoke.rates.messages import AccountPart
from mangospoke.rendezvous import rendezvous_rank
from mangospoke.state.fleet import Fleet

_MIN_HOME_BURST = 5
"""Burst per home, in requests: with less, one often lacks what another has left."""

_MAX_HOME_RATE = 100
"""Rate per home, in requests per second, which bounds the messages to one host."""

_MIN_RESERVE = 2
"""Requests per window that a domain's reserve must hold to be of use."""

_NEIGHBORS = 2
"""Hosts before and after this one in line that are asked first for a part."""


@dataclass(frozen=True, slots=True)
class Excess:
    """How far the sum over all hosts may exceed an account's rate and burst.

    Attributes:
        ratio: Excess of the homes, as a fraction of rate and burst.
        requests: Requests in each window that the reserves may admit in addition.
        window_s: Length of that window, in seconds.
    """

    ratio: float = 0.0
    requests: float = 0.0
    window_s: float = 5.0


class NamedHomes:
    """The homes and reserves of every account by one host's list of hosts.

    Args:
        fleet: The hosts that may be homes.
        host_id: This host.
        domain: This host's failure domain.
        domains: All failure domains, as declared to every host alike.
        excess: How far the rates may be exceeded.
    """

    def __init__(
        self,
        fleet: Fleet,
        host_id: HostId,
        domain: FailureDomainId,
        domains: Iterable[FailureDomainId],
        excess: Excess,
    ) -> None:
        self._fleet = fleet
        self._host_id = host_id
        self._domain = domain
        self._declared_domains = frozenset((*domains, domain))
        self._domains = self._declared_domains
        self._excess = excess
        self._ranks = HostRanks(fleet)
        self._ranked_domains_by_account: dict[ClientAccountId, list[str]] = {}

    def update(self, now: int) -> None:
        """Takes over the known hosts.

        Args:
            now: The current time in nanoseconds.
        """
        self._ranks.update(now)
        domains = self._declared_domains | self._ranks.domains
        if domains != self._domains:
            self._domains = domains
            self._ranked_domains_by_account.clear()

    def home_count(self, account: EffectiveAccount) -> int:
        """Returns how many homes an account has, if there are as many hosts."""
        by_burst = account.burst // _MIN_HOME_BURST
        by_rate = min(account.rate // _MAX_HOME_RATE, account.burst)
        return max(1, by_burst, by_rate)

    def _rank_domains(self, account: EffectiveAccount) -> list[str]:
        ranked = self._ranked_domains_by_account.get(account.account_id)
        if ranked is None:
            ranked = rendezvous_rank(sorted(self._domains), account.account_id)
            self._ranked_domains_by_account[account.account_id] = ranked
        return ranked

    def home_domains(self, account: EffectiveAccount) -> list[str]:
        """Returns the failure domains that have homes of an account."""
        return self._rank_domains(account)[: self.home_count(account)]

    def homes_in(
        self, domain: FailureDomainId, account: EffectiveAccount
    ) -> list[HostId]:
        """Returns the hosts that are homes if their failure domain has any."""
        per_domain = max(1, self.home_count(account) // len(self._domains))
        return self._ranks.first(domain, account.account_id, per_domain)

    def parts_of(self, host_id: HostId, account: EffectiveAccount) -> list[AccountPart]:
        """Returns the parts that the list gives a host of the own failure domain."""
        parts = []
        domain = self._domain
        has_homes = domain in self.home_domains(account)
        if has_homes and host_id in self.homes_in(domain, account):
            parts.append(AccountPart(account.account_id, is_reserve=False))
        has_reserve = domain in self.reserve_domains(account)
        if has_reserve and host_id == self._reserve_in(domain, account):
            parts.append(AccountPart(account.account_id, is_reserve=True))
        return parts

    def is_named(self, host_id: HostId, part: AccountPart) -> bool:
        """Whether the list of hosts gives a part to a host of the failure domain."""
        account = self._fleet.configuration.accounts_by_id.get(part.account_id)
        return account is not None and part in self.parts_of(host_id, account)

    def changed_at(self, part: AccountPart, except_host: HostId | None = None) -> int:
        """Returns when this host's place in line for a part may last have changed.

        Args:
            part: The part.
            except_host: A host whose changes don't count.

        Returns:
            When the record of this host, or of one before it in line, last changed.
        """
        line = self._ranks.line(self._domain, part.account_id)
        ahead = line
        if self._host_id in line:
            ahead = line[: line.index(self._host_id) + 1]
        return self._ranks.changed_at(each for each in ahead if each != except_host)

    def is_line_unbroken(self, part: AccountPart) -> bool:
        """Returns whether no host before this one in line says that it leaves.

        Then none of them can have given its place to this host lately.
        """
        line = self._ranks.line(self._domain, part.account_id)
        if self._host_id not in line:
            return False
        ahead = line[: line.index(self._host_id)]
        return all(map(self._ranks.is_present, ahead))

    def listed_at(self) -> int:
        """Returns when this host's own record last changed, as far as it knows."""
        return self._ranks.changed_at([self._host_id])

    def is_next_in_line(self, part: AccountPart) -> bool:
        """Whether this host would be a home if the last one weren't there."""
        account = self._fleet.configuration.accounts_by_id[part.account_id]
        if part.is_reserve or not self._ranks.is_present(self._host_id):
            return False
        count = len(self.homes_in(self._domain, account))
        first = self._ranks.first(self._domain, part.account_id, count + 1)
        return len(first) > count and first[count] == self._host_id

    def others_to_ask(
        self, part: AccountPart, since: int
    ) -> tuple[list[HostId], list[HostId]]:
        """Returns the hosts that likely hold a part, and all others that may.

        Args:
            part: The part.
            since: Hosts that left before this time can't hold it.
        """
        recent = self._ranks.recent(self._domain, since)
        line = [
            host_id
            for host_id in self._ranks.line(self._domain, part.account_id)
            if host_id in recent
        ]
        if self._host_id not in line:
            return [], line
        place = line.index(self._host_id)
        near = line[max(0, place - _NEIGHBORS) : place]
        near += line[place + 1 : place + 1 + _NEIGHBORS]
        others = [each for each in line if each not in near and each != self._host_id]
        return near, others

    def reserve_domains(self, account: EffectiveAccount) -> list[str]:
        """Returns the failure domains that have a reserve of an account."""
        max_count = int(self._excess.requests // _MIN_RESERVE)
        return self._rank_domains(account)[:max_count]

    def _reserve_in(
        self, domain: FailureDomainId, account: EffectiveAccount
    ) -> HostId | None:
        """Returns the host that holds a failure domain's reserve if it has one."""
        has_homes = domain in self.home_domains(account)
        home_count = len(self.homes_in(domain, account)) if has_homes else 0
        ranked = self._ranks.first(domain, account.account_id, home_count + 1)
        return ranked[-1] if ranked else None

    def reserves(self, account: EffectiveAccount) -> Sequence[HostId]:
        """Returns the hosts with reserves, that of the own failure domain first."""
        domains = self.reserve_domains(account)
        random.shuffle(domains)
        domains.sort(key=lambda domain: domain != self._domain)
        hosts = [self._reserve_in(FailureDomainId(each), account) for each in domains]
        return [host_id for host_id in hosts if host_id is not None]

    def home_instead(self, account: EffectiveAccount) -> HostId | None:
        """Returns the last home of the own failure domain that isn't this host."""
        if self._domain not in self.home_domains(account):
            return None
        count = len(self.homes_in(self._domain, account))
        first = self._ranks.first(self._domain, account.account_id, count + 1)
        others = [host_id for host_id in first if host_id != self._host_id][:count]
        return others[-1] if others else None

    def other_homes(self, account: EffectiveAccount) -> Sequence[HostId]:
        """Returns the homes except this host, in the order in which to ask them.

        One of the own failure domain comes first, if there is one. The others follow at
        random, wherever they are: an account whose requests enter at one host needs the
        tokens of all of them, and only a few are asked in one round.
        """
        near: list[HostId] = []
        far: list[HostId] = []
        for domain in self.home_domains(account):
            homes = self.homes_in(FailureDomainId(domain), account)
            others = [host_id for host_id in homes if host_id != self._host_id]
            (near if domain == self._domain else far).extend(others)
        random.shuffle(near)
        others = near[1:] + far
        random.shuffle(others)
        return near[:1] + others

    def host(self, host_id: HostId) -> UpstreamAnnounced | None:
        """Returns a host's record, or None if it isn't known any more."""
        return self._fleet.upstreams_by_host.get(host_id)
