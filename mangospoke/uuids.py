"""Time-ordered universally unique identifiers."""

import secrets
import time


def new_uuid7() -> str:
    """Returns a UUIDv7 (RFC 9562): Unix time in milliseconds, then random bits."""
    unix_time_ms = time.time_ns() // 1_000_000
    value = unix_time_ms << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    digits = f"{value:032x}"
    groups = (digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:])
    return "-".join(groups)
