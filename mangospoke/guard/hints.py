"""Polls the upstream's health and load endpoints for hints about its capacity.

Both may be outdated or wrong, so a hint can only lower the concurrency limit, and by
no more than half. Below that the outcomes of calls decide.
"""

import math

import msgspec
import trio

from mangospoke.announcements import Announcement, LoadReport
from mangospoke.decoding import decode_json
from mangospoke.http.bodies import buffered_body
from mangospoke.http.client import (
    ConnectError,
    ResponseMalformedError,
    ResponseMissingError,
    ResponseTruncatedError,
    open_connection,
)
from mangospoke.http.messages import HttpResponse

POLL_INTERVAL_S = 1.0
_POLL_TIMEOUT_S = 0.5
_MAX_HEAD_BYTES = 8_192
_MAX_BODY_BYTES = 16_384
_HTTP_OK = 200
_MIN_HINT_RATIO = 0.5

_POLL_ERRORS = (
    ConnectError,
    ResponseMissingError,
    ResponseTruncatedError,
    ResponseMalformedError,
    trio.TooSlowError,
)


async def poll_hints(announcement: Announcement, ceiling: int) -> float:
    """Polls an upstream and returns the upper bound on concurrency that it suggests.

    An endpoint that can't be read is ignored: the outcomes of calls show more reliably
    whether the upstream works.

    Args:
        announcement: The upstream.
        ceiling: Ceiling of the concurrency limit without hints.

    Returns:
        At least half of the ceiling; infinity if the hints suggest no bound.
    """
    floor = max(1.0, ceiling * _MIN_HINT_RATIO)
    health_response = await request_once(announcement.address, announcement.health_path)
    if health_response is not None and health_response.status != _HTTP_OK:
        return floor
    load_response = await request_once(announcement.address, announcement.load_path)
    report = _read_report(load_response)
    if report is not None and report.slots < ceiling:
        return max(floor, float(report.slots))
    return math.inf


async def request_once(address: str, path: str) -> HttpResponse | None:
    """Sends a `GET` on a connection of its own.

    Returns:
        The response; None if none arrives in time or it can't be read.
    """
    try:
        with trio.fail_after(_POLL_TIMEOUT_S):
            connection = await open_connection(
                address, _MAX_HEAD_BYTES, _POLL_TIMEOUT_S
            )
            try:
                return await connection.exchange(
                    b"GET",
                    path.encode(),
                    [(b"host", address.encode()), (b"connection", b"close")],
                    buffered_body(b""),
                    _MAX_BODY_BYTES,
                )
            finally:
                with trio.CancelScope(shield=True):
                    await connection.aclose()
    except _POLL_ERRORS:
        return None


def _read_report(response: HttpResponse | None) -> LoadReport | None:
    if response is None or response.status != _HTTP_OK or response.body.content is None:
        return None
    try:
        return decode_json(response.body.content, LoadReport)
    except msgspec.MsgspecError:
        return None
