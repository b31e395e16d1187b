"""How long a stand-in upstream works on a request."""

import math
import random
import time

from mangospoke.standin.upstream_settings import (
    ColdStart,
    Distribution,
    ServiceTime,
    UpstreamFaults,
)


def draw_seconds(service_time: ServiceTime, source: random.Random) -> float:
    """Draws a service time in seconds."""
    mean = service_time.mean_ms / 1000
    if mean == 0 or service_time.distribution is Distribution.FIXED:
        return mean
    if service_time.distribution is Distribution.EXPONENTIAL:
        return source.expovariate(1 / mean)
    sigma = service_time.sigma
    # The mean of a lognormal lies above its median by exp(sigma^2 / 2).
    return source.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)


def cold_start_factor(cold_start: ColdStart, age_seconds: float) -> float:
    """Returns the factor on service times at an age of the upstream."""
    duration = cold_start.duration_ms / 1000
    if age_seconds >= duration:
        return 1.0
    remaining = 1 - age_seconds / duration
    return 1 + (cold_start.factor - 1) * remaining


def slow_factor(faults: UpstreamFaults, set_at: float) -> float:
    """Returns the factor of the slow mode.

    Args:
        faults: The faults in force.
        set_at: Monotonic seconds at which they were set.
    """
    if faults.slow_for_ms is None:
        return faults.slow_factor
    is_over = time.monotonic() - set_at > faults.slow_for_ms / 1000
    return 1.0 if is_over else faults.slow_factor
