"""`mangospoke standin log`: a stand-in for the platform's log service."""

import trio

from mangospoke.standin.log import (
    DEFAULT_ADDRESS,
    DEFAULT_APPENDS_PER_SECOND,
    LogFaults,
    serve_log,
)


def run(
    *,
    address: str = DEFAULT_ADDRESS,
    appends_per_second: int = DEFAULT_APPENDS_PER_SECOND,
) -> None:
    """Runs a log service that keeps its records in memory.

    Args:
        address: IP and port to listen on.
        appends_per_second: Further appends are answered with 429.
    """
    trio.run(serve_log, address, LogFaults(appends_per_second=appends_per_second))
