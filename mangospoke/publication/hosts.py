"""Finds the fleet's daemons and requests their status, for operators' commands."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import msgspec
import trio

from mangospoke.decoding import decode_json
from mangospoke.http.bodies import buffered_body
from mangospoke.http.client import (
    ConnectError,
    ResponseMalformedError,
    ResponseMissingError,
    ResponseTruncatedError,
    open_connection,
)
from mangospoke.logservice.client import OffsetExpiredError
from mangospoke.logservice.records import LogStream, MembershipSnapshot, decode_record
from mangospoke.observability.status import DaemonStatus
from mangospoke.publication.reading import Log
from mangospoke.state.membership import MembershipState
from mangospoke.state.snapshot_lookup import find_snapshot

_MAX_HEAD_BYTES = 16_384
_MAX_STATUS_BYTES = 16_777_216
_HTTP_OK = 200
_MAX_CONCURRENT_REQUESTS = 64


class HostUnreachableError(Exception):
    """A daemon did not return its status."""


@dataclass(frozen=True, slots=True)
class FleetStatuses:
    """Responses of the fleet's daemons to a status request.

    Attributes:
        statuses_by_address: Status of each daemon, by operations address.
        errors_by_address: Why a daemon returned no status, by operations address.
    """

    statuses_by_address: dict[str, DaemonStatus] = field(default_factory=dict)
    errors_by_address: dict[str, str] = field(default_factory=dict)


FetchStatus = Callable[[str], Awaitable[DaemonStatus]]
"""Requests the status of the daemon at an operations address."""


async def find_hosts(log: Log) -> dict[str, str]:
    """Finds the hosts that have announced an upstream.

    Returns:
        Host ids by operations address.

    Raises:
        LogUnavailableError: If the log service did not respond.
    """
    state = MembershipState()
    next_offset = 0
    while True:
        try:
            batch = await log.read(LogStream.MEMBERSHIP, next_offset, 0)
        except OffsetExpiredError as error:
            next_offset = await _restore_snapshot(log, state, error.first_offset)
            continue
        for stored in batch.records:
            next_offset = stored.offset + 1
            try:
                record = decode_record(LogStream.MEMBERSHIP, bytes(stored.content))
            except ValueError:
                continue
            state.apply(record)  # type: ignore[arg-type]
        if next_offset >= batch.next_offset:
            break
    return {
        upstream.operations_address: host_id
        for host_id, upstream in state.upstreams_by_host.items()
        if upstream.operations_address
    }


async def _restore_snapshot(log: Log, state: MembershipState, first_offset: int) -> int:
    """Restores a snapshot if there is one; returns the next offset to read."""
    try:
        snapshot = await find_snapshot(log, LogStream.MEMBERSHIP, first_offset)
    except OffsetExpiredError as error:
        return error.first_offset
    if not isinstance(snapshot, MembershipSnapshot):
        return first_offset
    state.restore(snapshot)
    return snapshot.covers


async def fetch_status(address: str, timeout_s: float) -> DaemonStatus:
    """Requests a daemon's status from its operations listener.

    Raises:
        HostUnreachableError: If it did not return a status in time.
    """
    try:
        with trio.fail_after(timeout_s):
            return await _request_status(address, timeout_s)
    except trio.TooSlowError:
        raise HostUnreachableError(f"no response within {timeout_s:g} s") from None
    except (
        ConnectError,
        ResponseMissingError,
        ResponseTruncatedError,
        ResponseMalformedError,
        msgspec.MsgspecError,
    ) as error:
        raise HostUnreachableError(str(error)) from error


async def _request_status(address: str, timeout_s: float) -> DaemonStatus:
    connection = await open_connection(address, _MAX_HEAD_BYTES, timeout_s)
    try:
        headers = [(b"host", address.encode())]
        response = await connection.exchange(
            b"GET", b"/status", headers, buffered_body(b""), _MAX_STATUS_BYTES
        )
    finally:
        with trio.CancelScope(shield=True):
            await connection.aclose()
    if response.status != _HTTP_OK or response.body.content is None:
        raise HostUnreachableError(f"HTTP status {response.status}")
    return decode_json(response.body.content, DaemonStatus)


async def fetch_statuses(
    addresses: Mapping[str, str] | list[str], ask: FetchStatus
) -> FleetStatuses:
    """Requests the status of daemons, with bounded concurrency.

    Args:
        addresses: Operations addresses of the daemons.
        ask: Requests the status of one daemon; raises `HostUnreachableError`.
    """
    responses = FleetStatuses()
    limiter = trio.CapacityLimiter(_MAX_CONCURRENT_REQUESTS)

    async def ask_one(address: str) -> None:
        async with limiter:
            try:
                responses.statuses_by_address[address] = await ask(address)
            except HostUnreachableError as error:
                responses.errors_by_address[address] = str(error)

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(ask_one, address)
    return responses
