"""Integer arithmetic for rates and bursts.

Shares are integers in thousandths, so that the parts of a total add up exactly: a rate
in millitokens per second, a burst in millitokens. One token admits one request.
"""

from collections.abc import Mapping
from typing import TypeVar

from msgspec import Struct

MILLI = 1_000
"""Millitokens per token."""

KeyType = TypeVar("KeyType", bound=str)


class Share(Struct, frozen=True, array_like=True):
    """A part of an account's rate and burst.

    Attributes:
        rate: Millitokens per second.
        burst: Millitokens.
    """

    rate: int = 0
    burst: int = 0

    def __add__(self, other: "Share") -> "Share":
        return Share(self.rate + other.rate, self.burst + other.burst)

    def __sub__(self, other: "Share") -> "Share":
        return Share(self.rate - other.rate, self.burst - other.burst)

    def covers(self, other: "Share") -> bool:
        """Whether both rate and burst are at least the other's."""
        return self.rate >= other.rate and self.burst >= other.burst

    def is_valid(self) -> bool:
        """Whether neither rate nor burst is negative."""
        return self.rate >= 0 and self.burst >= 0


NOTHING = Share()


def add_shares(shares: Mapping[KeyType, Share]) -> Share:
    """Returns the sum of all shares in a mapping."""
    return Share(
        sum(share.rate for share in shares.values()),
        sum(share.burst for share in shares.values()),
    )


def split_by_weight(
    total: int, weights: Mapping[KeyType, int], unit: int = 1
) -> dict[KeyType, int]:
    """Splits a total in proportion to weights by the largest remainder method.

    The result depends on nothing but the arguments, so every reader of the shares
    stream computes the same split.

    Args:
        total: The amount to split.
        weights: Weight by key; if none is positive, all keys weigh the same.
        unit: Each part is a multiple of this. What is left of the total is added to
            the largest part.

    Returns:
        Part by key; the parts add up to the total.
    """
    if not any(weight > 0 for weight in weights.values()):
        weights = dict.fromkeys(weights, 1)
    weight_sum = sum(weights.values())
    units = total // unit
    parts = {key: units * weight // weight_sum for key, weight in weights.items()}
    keys_by_remainder = sorted(
        weights, key=lambda key: (-(units * weights[key] % weight_sum), key)
    )
    for key in keys_by_remainder[: units - sum(parts.values())]:
        parts[key] += 1
    parts = {key: part * unit for key, part in parts.items()}
    largest = min(parts, key=lambda key: (-parts[key], key))
    parts[largest] += total - sum(parts.values())
    return parts
