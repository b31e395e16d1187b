"""Runs a case, writes its record, and ends with the status that tells its result."""

import asyncio
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.record import BROKEN, HELD, NOT_RUN, Record

MAX_S = 115.0


def run_case(folder: Path, case: Callable[[Record], Awaitable[bool | None]]) -> None:
    """Runs a case and exits.

    Args:
        folder: Where `record.txt` is written.
        case: Runs it; returns whether the rule held, or None if that can't be told.
    """
    record = Record()
    status = NOT_RUN
    try:
        held = asyncio.run(asyncio.wait_for(case(record), MAX_S))
        if held is not None:
            status = HELD if held else BROKEN
    except Exception:
        record.note("the case could not run:\n" + traceback.format_exc())
    words = {HELD: "the rule held", BROKEN: "the rule was BROKEN", NOT_RUN: "not run"}
    record.note(f"result: {words[status]}")
    record.write(folder)
    sys.exit(status)
