"""What a local fleet consists of."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from mangospoke.conf.declarations import Base, ClientAccount, Key, Overlay
from mangospoke.conf.settings import Limits, Logging, Rates
from mangospoke.ids import FailureDomainId, HostId, KeyId, SiteId
from mangospoke.keys import generate_secret, hash_secret
from mangospoke.standin.links import LinkState
from mangospoke.standin.log import DEFAULT_APPENDS_PER_SECOND
from mangospoke.standin.upstream_settings import UpstreamSettings

DAEMON_ARGUMENTS = ("-m", "mangospoke", "daemon", "--settings")

LOG_PLACE = "log"
"""Name of the log service's place in names of links, such as `a->log`."""

CLIENT_PLACE = "client"
"""Name of the callers' place in names of links, such as `client->a`."""


@dataclass(frozen=True, slots=True)
class HostPlan:
    """A host with its daemon and its upstream.

    Attributes:
        upstream: How its upstream behaves; addresses are filled in by the fleet.
    """

    host_id: HostId
    failure_domain: FailureDomainId
    site: SiteId
    upstream: UpstreamSettings


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """A local fleet.

    Attributes:
        links: How links between places behave at first, by name or pattern.
        daemon_arguments: Python's arguments that start what stands beside each
            upstream; the path of its settings follows.
        reports_status: Whether that answers `/status`; it is ready when `/healthz`
            says so otherwise.
        seeds_per_domain: Daemons of each domain that settings name as seeds.
    """

    hosts: tuple[HostPlan, ...]
    base: Base
    overlays: tuple[Overlay, ...] = ()
    links: dict[str, LinkState] = field(default_factory=dict)
    limits: Limits = Limits()
    logging: Logging = Logging()
    rates: Rates = Rates()
    daemon_arguments: tuple[str, ...] = DAEMON_ARGUMENTS
    reports_status: bool = True
    seeds_per_domain: int = 1
    appends_per_second: int = DEFAULT_APPENDS_PER_SECOND

    @property
    def failure_domains(self) -> tuple[FailureDomainId, ...]:
        """The failure domains that have hosts, in order."""
        return tuple(dict.fromkeys(host.failure_domain for host in self.hosts))


@dataclass(frozen=True, slots=True)
class AccountWithKey:
    """A declared client account and the key that its callers carry."""

    account: ClientAccount
    key: str


def make_account(
    account_id: str, rate: int, burst: int, weight: int = 1
) -> AccountWithKey:
    """Makes a client account with one fresh key.

    Args:
        account_id: Also the first part of the key's id.
        rate: Requests a second over the whole fleet.
        burst: Requests that may be admitted at once.
        weight: Share of contended work.
    """
    key_id = KeyId(f"{account_id}-1")
    secret = generate_secret()
    keys = {key_id: Key(hash=hash_secret(secret))}
    account = ClientAccount(keys=keys, rate=rate, burst=burst, weight=weight)
    return AccountWithKey(account, f"{key_id}.{secret}")


def links_between(
    domains: Iterable[FailureDomainId], delay_ms: float
) -> dict[str, LinkState]:
    """Makes the links between failure domains, with a delay one way."""
    names = list(domains)
    return {
        f"{source}->{destination}": LinkState(delay_ms=delay_ms)
        for source in names
        for destination in names
        if source != destination
    }
