"""What a platform tells a daemon that it hosts: addresses, promises, allowances.

A platform's adapter reads these from its own settings. The promises are bounds that
the platform's operators rely on; each is kept by the mechanism named beside it.
"""

from dataclasses import dataclass

from mangospoke.conf.settings import Settings
from mangospoke.ids import ServiceName


@dataclass(frozen=True, slots=True)
class ResendAllowance:
    """Requests that the whole fleet may send to a second upstream of a service.

    Attributes:
        window_s: Seconds over which they are counted.
        slack: Requests allowed in each window however few requests there are.
    """

    window_s: float
    slack: int


@dataclass(frozen=True, slots=True)
class StaticRates:
    """How far the sum over all hosts may exceed an account's rate and burst.

    Attributes:
        window_s: Seconds over which requests are counted.
        excess_share: Share of rate and burst that may be admitted beyond them.
        excess_requests: Requests of a window that may be admitted beyond that.
    """

    window_s: float
    excess_share: float
    excess_requests: int


@dataclass(frozen=True, slots=True)
class Promises:
    """Bounds that operators rely on.

    Attributes:
        withdrawal_s: Seconds after which a withdrawn key must have stopped, also
            on a host that hears nothing; kept by `state/freshness.py`.
        drain_s: Seconds after a drain is acknowledged in which the upstream may
            still get requests; kept by the guard.
        stop_s: Seconds between the order to stop and the end of the process.
    """

    withdrawal_s: float
    drain_s: float
    stop_s: float
    resends: ResendAllowance
    rates: StaticRates


@dataclass(frozen=True, slots=True)
class Hosting:
    """A hosted daemon's settings.

    Attributes:
        callers_address: Callers and the host's upstream send requests here.
        heartbeat_address: The host's upstream sends its heartbeats here.
        readiness_address: The platform asks here whether callers may be sent.
        upstream_address: Where the host's upstream takes requests.
        upstream_service: The service that it runs.
        fleet_starts: Whether the whole fleet starts for the first time.
    """

    settings: Settings
    callers_address: str
    heartbeat_address: str
    readiness_address: str
    upstream_address: str
    upstream_service: ServiceName
    promises: Promises
    fleet_starts: bool = False
