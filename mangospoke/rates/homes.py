"""What this host holds of each account, as one of its homes or as a reserve.

The list of hosts names the holders (`named_homes`). A host hands out tokens only of
parts that it has come to hold (`held_parts`), and only while that list is proved to be
current.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger

from mangospoke.conf.effective import EffectiveAccount
from mangospoke.ids import ClientAccountId, FailureDomainId, HostId
from mangospoke.logservice.records import UpstreamState
from mangospoke.rates.held_parts import HeldParts
from mangospoke.rates.messages import AccountPart
from mangospoke.rates.named_homes import Excess, NamedHomes
from mangospoke.rates.timing import HOME_LEASE_NS, NS_PER_S
from mangospoke.rates.units import MILLI
from mangospoke.state.fleet import Fleet
from mangospoke.state.freshness import Freshness

BORROWED_LIFETIME_S = 0.3
"""How long a borrowed token may be used, counted from the sending of the request."""

_CONFIGURATION_DELAY_NS = NS_PER_S
"""Time that other hosts have to learn of a configuration that changes who is a home."""


@dataclass(frozen=True, slots=True)
class HeldShare:
    """What one host holds of an account, its rate and burst in millitokens.

    Attributes:
        rate: Its part of the rate; 0 unless it is a home.
        burst: Its part of the burst.
        reserve: Whole requests per window that it may admit beyond that, if it has a
            reserve.
        reserve_window_ns: Length of that window in nanoseconds.
        earning_since: Time in nanoseconds from which on the host may earn tokens.
        reserve_since: Time in nanoseconds from which on it has the reserve.
    """

    rate: int = 0
    burst: int = 0
    reserve: int = 0
    reserve_window_ns: int = 0
    earning_since: int = 0
    reserve_since: int = 0


_NO_SHARE = HeldShare()

_MIN_PRESENCE_S = 20.0
"""How long an earlier process must have been present for its parts to be taken over: as
long as a lease of a host that hasn't heard of it, and the time to write its record."""

_RESUMPTION_NS = 5 * NS_PER_S
"""Time after a start in which parts are taken over, as the configuration arrives."""


class HomeDirectory:
    """One host's knowledge of every account's homes, and the parts that it holds.

    Args:
        fleet: The hosts that may be homes.
        host_id: This host.
        domain: This host's failure domain.
        domains: All failure domains, as declared to every host alike.
        excess: How far the rates may be exceeded.
        list_freshness: When the list of hosts was last proved complete.
        read_clock: Returns nanoseconds, as `timing.read_clock` does.

    Attributes:
        named: Whom the list of hosts names as homes and reserves.
        parts: The parts that this host holds, and those that it has to claim.
        listeners: Called when there are parts to claim, or this host begins to leave.
    """

    def __init__(
        self,
        fleet: Fleet,
        host_id: HostId,
        domain: FailureDomainId,
        domains: Iterable[FailureDomainId],
        excess: Excess,
        list_freshness: Freshness,
        read_clock: Callable[[], int],
    ) -> None:
        self.named = NamedHomes(fleet, host_id, domain, domains, excess)
        self.parts = HeldParts()
        self.listeners: list[Callable[[], None]] = []
        self._fleet = fleet
        self._host_id = host_id
        self._domain = domain
        self._excess = excess
        self._list_freshness = list_freshness
        self._read_clock = read_clock
        self._had_lease = False
        self._resumes_until = 0
        self._share_by_account: dict[
            ClientAccountId, tuple[EffectiveAccount, HeldShare]
        ] = {}
        self._home_count_by_account: dict[ClientAccountId, int] = {}
        fleet.configuration_listeners.append(self._on_configuration_change)
        fleet.membership_listeners.append(self._on_membership_change)
        if fleet.upstreams_by_host:
            self._on_membership_change()

    def lease_end(self) -> int:
        """Returns until when this host may hand out tokens, in nanoseconds."""
        freshness = self._list_freshness
        if math.isinf(freshness.confirmed_at):
            return 0
        return int((freshness.confirmed_at + freshness.max_age_s) * NS_PER_S)

    @property
    def is_leaving(self) -> bool:
        """Whether this host leaves, so that it is no home any more.

        It holds its parts until its record says so. A process that ends before that is
        succeeded on its host, which takes them over (`resume`): had it given them away,
        two hosts would hold them.
        """
        own = self.named.host(self._host_id)
        return own is not None and own.state is UpstreamState.DRAINING

    def resume(self, presence_s: float) -> None:
        """Takes over the parts that an earlier process on this host held at its end.

        It ended without leaving, so that every list named this host all the while, and
        nobody else can hold them. So it is after a power loss of all hosts, where the
        silence of those that don't come back would else have to be waited out.

        Args:
            presence_s: Seconds since that process began, or since its record ceased to
                say that it leaves. A successor may hold its parts for a lease longer.
        """
        if presence_s >= _MIN_PRESENCE_S:
            self._resumes_until = self._read_clock() + _RESUMPTION_NS

    def _on_membership_change(self) -> None:
        self._update_parts(self._read_clock())

    def _on_configuration_change(self) -> None:
        """Holds the parts of which a configuration makes this host the holder."""
        now = self._read_clock()
        previous, self._home_count_by_account = self._home_count_by_account, {}
        for account_id, account in self._fleet.configuration.accounts_by_id.items():
            count = self.named.home_count(account)
            self._home_count_by_account[account_id] = count
            if not previous or previous.get(account_id) == count:
                continue
            delay_ns = _CONFIGURATION_DELAY_NS if account_id in previous else 0
            for part in self.named.parts_of(self._host_id, account):
                is_held = part in self.parts.held_since_by_part
                if not is_held and self._is_settled(part, now):
                    self.parts.hold(part, now + delay_ns)
        self._update_parts(now)

    def _update_parts(self, now: int) -> None:
        """Compares the parts that the list of hosts gives this host with those held."""
        self.named.update(now)
        named = {
            part
            for account in self._fleet.configuration.accounts_by_id.values()
            for part in self.named.parts_of(self._host_id, account)
        }
        parts = self.parts
        lease_end = self.lease_end()
        known = parts.held_since_by_part.keys() | parts.wanted_since_by_part.keys()
        for part in known - named:
            parts.leave(part, now, lease_end)
        for part in named:
            parts.want(part, now)
            if self._may_resume(part, now):
                parts.hold(part, now)
            elif self._may_be_held_elsewhere(part, now, lease_end):
                parts.want_again(part, now)
        self._share_by_account.clear()
        if parts.wanted_since_by_part or self.is_leaving:
            self._notify()

    def _may_resume(self, part: AccountPart, now: int) -> bool:
        return (
            now < self._resumes_until
            and part in self.parts.wanted_since_by_part
            and self.named.is_line_unbroken(part)
        )

    def _may_be_held_elsewhere(
        self, part: AccountPart, now: int, lease_end: int
    ) -> bool:
        """Whether a host that was ahead in line for a moment may hold a part now.

        While this host's lease lasts, only itself gives away what it holds.
        """
        if part in self.parts.held_since_by_part and now < lease_end:
            return False
        return self.named.changed_at(part) == now

    def _is_settled(self, part: AccountPart, now: int) -> bool:
        """Whether every holder of a lease sees this host in the same place in line."""
        return self.named.changed_at(part) <= now - HOME_LEASE_NS

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()

    def refresh(self) -> None:
        """Applies what time has changed: leases that ended or were waited out."""
        now = self._read_clock()
        has_lease = now < self.lease_end()
        if has_lease is not self._had_lease:
            self._had_lease = has_lease
            self.parts.restart(now)
            self._share_by_account.clear()
            self._log_lease(has_lease)
        if has_lease and self.parts.wanted_since_by_part:
            waited_out = self.parts.hold_waited_out(now)
            self._forget_shares(waited_out)

    def _log_lease(self, has_lease: bool) -> None:
        line = logger.bind(
            event="homes_leased" if has_lease else "homes_lapsed",
            proof_age_s=round(self._list_freshness.age_s(), 3),
            parts=len(self.parts.held_since_by_part),
        )
        if has_lease:
            line.info("the list of hosts is proved current; handing out tokens")
        else:
            line.warning("the list of hosts isn't proved current; lending no tokens")

    def release(self, part: AccountPart) -> bool:
        """Gives a part that this host held to the next holder, once."""
        return self.parts.release(part, self._read_clock())

    def vouches_for(self, claimant: HostId, part: AccountPart) -> bool:
        """Whether nobody but a claimant can have held its part, as this host knows.

        So it is if this host would have been the next one, for as long as any lease.
        """
        now = self._read_clock()
        if now >= self.lease_end() or not self.named.is_next_in_line(part):
            return False
        return self.named.changed_at(part, claimant) <= now - HOME_LEASE_NS

    def hosts_to_ask(self, part: AccountPart) -> tuple[list[HostId], list[HostId]]:
        """Returns the hosts that likely hold a part, and all others that may."""
        return self.named.others_to_ask(part, self._read_clock() - HOME_LEASE_NS)

    def successors(self) -> set[HostId]:
        """Returns the hosts that hold what this host held, now that it leaves."""
        hosts = set()
        for part in self.parts.freed():
            near, _ = self.hosts_to_ask(part)
            hosts.update(near)
        return hosts

    def hold(self, part: AccountPart) -> None:
        """Holds a claimed part, unless the list of hosts names another by now."""
        if part in self.parts.wanted_since_by_part:
            self.parts.hold(part, self._read_clock())
            self._forget_shares([part])

    def knows_all_earlier_hosts(self) -> bool:
        """Whether the list was proved complete after this host's record came into it.

        Every other host is then in the list, or will find this host in its own.
        """
        confirmed_at = self._list_freshness.confirmed_at
        return confirmed_at * NS_PER_S >= self.named.listed_at()

    def home_instead(self, account: EffectiveAccount) -> HostId | None:
        """Returns the home to ask in place of this host, or None if it is one."""
        part = AccountPart(account.account_id, is_reserve=False)
        if part in self.named.parts_of(self._host_id, account):
            return None
        return self.named.home_instead(account)

    def _forget_shares(self, parts: Iterable[AccountPart]) -> None:
        for part in parts:
            self._share_by_account.pop(part.account_id, None)

    def share_of(self, account: EffectiveAccount) -> HeldShare:
        """Returns what this host holds of an account."""
        self.refresh()
        if not self._had_lease:
            return _NO_SHARE
        cached = self._share_by_account.get(account.account_id)
        if cached is not None and cached[0] is account:
            return cached[1]
        share = self._compute_share(account)
        self._share_by_account[account.account_id] = (account, share)
        return share

    def _compute_share(self, account: EffectiveAccount) -> HeldShare:
        held_since = self.parts.held_since_by_part
        home_since = held_since.get(AccountPart(account.account_id, False))
        reserve_since = held_since.get(AccountPart(account.account_id, True))
        rate, burst = (0, 0) if home_since is None else self._home_share(account)
        # What is lent may still be used after the window in which it was counted.
        window_s = self._excess.window_s + BORROWED_LIFETIME_S
        return HeldShare(
            rate,
            burst,
            0 if reserve_since is None else self._reserve_share(account),
            int(window_s * NS_PER_S),
            home_since or 0,
            reserve_since or 0,
        )

    def _home_share(self, account: EffectiveAccount) -> tuple[int, int]:
        domains = self.named.home_domains(account)
        parts = len(domains) * len(self.named.homes_in(self._domain, account))
        rate = account.rate * (1 + self._excess.ratio)
        burst = account.burst * (1 + self._excess.ratio)
        # A home refills while what it lent may still be used elsewhere.
        burst = max(burst - rate * BORROWED_LIFETIME_S, burst / 2)
        return int(rate * MILLI / parts), int(burst * MILLI / parts)

    def _reserve_share(self, account: EffectiveAccount) -> int:
        return int(self._excess.requests / len(self.named.reserve_domains(account)))
