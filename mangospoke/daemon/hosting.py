"""Settings of a hosted daemon: addresses, guarantees and limits.

A platform's adapter reads these from the platform's own settings. The guarantees are
bounds that the platform's operators rely on; where one is kept by a single mechanism,
its description names it.
"""

from dataclasses import dataclass

from mangospoke.conf.settings import Settings
from mangospoke.guard.retry_arrivals import RetryLimit
from mangospoke.ids import FailureDomainId, ServiceName


@dataclass(frozen=True, slots=True)
class RateExcessLimits:
    """By how much all hosts together may exceed a client account's rate and burst.

    Attributes:
        window_s: Length of the window in which requests are counted, in seconds.
        max_excess_ratio: Allowed excess as a ratio of rate and burst.
        max_excess_requests: Additional requests that may be admitted in each window.
    """

    window_s: float
    max_excess_ratio: float
    max_excess_requests: float


@dataclass(frozen=True, slots=True)
class ColdExcessLimits:
    """By how much a cold upstream's requests of a second may exceed its service's rate.

    Attributes:
        max_excess_ratio: Allowed excess as a ratio of that rate.
        max_excess_requests: Additional requests that it may get in the second.
    """

    max_excess_ratio: float = 0.0
    max_excess_requests: float = 0.0


@dataclass(frozen=True, slots=True)
class Guarantees:
    """Guaranteed bounds that operators rely on.

    Attributes:
        withdrawal_s: Seconds until a withdrawn key is refused everywhere, even on
            a host without any connection; enforced by `state/freshness.py`.
        drain_s: Seconds after the acknowledgement of a drain in which the upstream
            may still receive requests; enforced by the guard.
        stop_s: Seconds from the stop signal to the exit of the process.
        retries: Limits retries at other upstreams.
        rates: Limits the excess over the rates of client accounts.
        cold: Limits the excess over the rates of cold upstreams.
        evacuation_s: Seconds after the order to evacuate a failure domain in which its
            upstreams may still receive requests; enforced by `guard/evacuation.py`.
    """

    withdrawal_s: float
    drain_s: float
    stop_s: float
    retries: RetryLimit
    rates: RateExcessLimits
    evacuation_s: float
    cold: ColdExcessLimits = ColdExcessLimits()


@dataclass(frozen=True, slots=True)
class HostedSettings:
    """A hosted daemon's settings.

    Attributes:
        settings: Settings that all daemons have.
        callers_address: Accepts requests of callers and of the host's upstream.
        heartbeat_address: Accepts heartbeats of the host's upstream.
        readiness_address: Accepts readiness checks of the platform.
        upstream_address: Address at which the host's upstream accepts requests.
        upstream_service: Service that the upstream implements.
        guarantees: Guaranteed bounds.
        failure_domains: All failure domains, as declared to every host alike.
    """

    settings: Settings
    callers_address: str
    heartbeat_address: str
    readiness_address: str
    upstream_address: str
    upstream_service: ServiceName
    guarantees: Guarantees
    failure_domains: tuple[FailureDomainId, ...] = ()
