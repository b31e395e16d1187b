"""Lifetimes and margins that keep rates exact, and the clock they are measured with."""

import time

NS_PER_US = 1_000
NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000

GRANT_LIFE_NS = 5 * NS_PER_S
"""How long a host may use a grant, counted from the sending of its request."""

VOUCHER_LIFETIME_NS = 60 * NS_PER_MS
"""How long a host may use a voucher, counted from the sending of its request."""

FOREIGN_VOUCHER_LIFE_NS = 150 * NS_PER_MS
"""Lifetime of a voucher from another domain, whose round trip may take longer."""

VOUCHER_EXPIRY_MARGIN_NS = 2 * NS_PER_MS
"""How long after a voucher's expiry its tokens stay out of the pool."""

CLOCK_MARGIN_NS = 50 * NS_PER_MS
"""How long after a grant's expiry the grantor counts it as held, for clock drift."""

PAUSE_LIMIT_NS = 2 * NS_PER_S
"""After a longer pause of its process a grantor must confirm its appointment."""

RECONNECT_NS = 2 * NS_PER_S
"""Longest delay of a control message to a running daemon, reconnecting included."""

SUPERSEDE_NS = 5 * NS_PER_S
"""How long a new grantor keeps sending `Supersede` to a predecessor that is silent.

It exceeds `PAUSE_LIMIT_NS` and `RECONNECT_NS` together, so that a predecessor that ran
at any moment of this time has received the message, or detects that it was paused.
"""

SILENCE_NS = 3 * NS_PER_S
"""A grantor that has not answered for this long is replaced."""

HOME_LEASE_NS = 12 * NS_PER_S
"""How long a home may hand out tokens after its list of hosts was proved complete.

A proof is renewed each five seconds and takes a second to pass on. A lease outlives the
proof by which keys are accepted, so that a log service that is away costs nothing more.
"""


def read_clock() -> int:
    """Returns nanoseconds since the host booted, including time suspended.

    Grants are leases. `CLOCK_MONOTONIC` stops while a host is suspended, so a lease
    checked against it would outlive its lifetime. `CLOCK_BOOTTIME` doesn't stop and
    can't be set.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)
