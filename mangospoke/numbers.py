"""Whole numbers in texts from outside, which may be of any length."""

MAX_WHOLE_NUMBER = 2**53 - 1
"""Larger numbers are read as this one; every float up to it is exact."""

_MAX_DIGITS = len(str(MAX_WHOLE_NUMBER))


def parse_whole_number(text: bytes) -> int | None:
    """Parses a number of decimal digits; None if the text is anything else.

    `int` raises an error for thousands of digits, and takes signs and underscores.
    """
    if not text.isdigit():
        return None
    digits = text.lstrip(b"0") or b"0"
    if len(digits) > _MAX_DIGITS:
        return MAX_WHOLE_NUMBER
    return min(int(digits), MAX_WHOLE_NUMBER)
