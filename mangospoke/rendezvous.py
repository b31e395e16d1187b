"""Rendezvous hashing: an order of candidates for a key that all hosts agree on.

A candidate that joins or leaves changes the first place only of the keys that it takes
or had.
"""

from collections.abc import Iterable

import xxhash


def rendezvous_rank(candidates: Iterable[str], key: str) -> list[str]:
    """Orders candidates for a key by rendezvous hashing, highest weight first."""
    return sorted(
        candidates,
        key=lambda candidate: xxhash.xxh3_64_intdigest(f"{candidate}\0{key}".encode()),
        reverse=True,
    )
