"""The fleet's daemons, as operators' commands find and ask them."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import msgspec
import trio

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

_HEAD_BYTES = 16_384
_STATUS_BYTES = 16_777_216
_OK = 200
_ASKED_AT_ONCE = 64


class HostUnreachableError(Exception):
    """A daemon gave no status."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """What asking the daemons brought.

    Attributes:
        statuses_by_address: Answers by operations address.
        faults_by_address: Why a daemon gave no status, by operations address.
    """

    statuses_by_address: dict[str, DaemonStatus] = field(default_factory=dict)
    faults_by_address: dict[str, str] = field(default_factory=dict)


AskStatus = Callable[[str], Awaitable[DaemonStatus]]


async def find_hosts(log: Log) -> dict[str, str]:
    """Finds the hosts that have announced an upstream.

    Returns:
        Host ids by operations address.

    Raises:
        LogUnavailableError: If the log service gave no answer.
    """
    state = MembershipState()
    next_offset = 0
    while True:
        try:
            answer = await log.read(LogStream.MEMBERSHIP, next_offset, 0)
        except OffsetExpiredError as error:
            next_offset = await _restore_snapshot(log, state, error.first_offset)
            continue
        for stored in answer.records:
            next_offset = stored.offset + 1
            try:
                record = decode_record(LogStream.MEMBERSHIP, bytes(stored.content))
            except ValueError:
                continue
            state.apply(record)  # type: ignore[arg-type]
        if next_offset >= answer.next_offset:
            break
    return {
        upstream.operations_address: host_id
        for host_id, upstream in state.upstreams_by_host.items()
        if upstream.operations_address
    }


async def _restore_snapshot(log: Log, state: MembershipState, first_offset: int) -> int:
    """Restores a snapshot if there is one; returns the offset to continue from."""
    try:
        snapshot = await find_snapshot(log, LogStream.MEMBERSHIP, first_offset)
    except OffsetExpiredError as error:
        return error.first_offset
    if not isinstance(snapshot, MembershipSnapshot):
        return first_offset
    state.restore(snapshot)
    return snapshot.covers


async def fetch_status(address: str, timeout_s: float) -> DaemonStatus:
    """Asks a daemon's operations listener for its status.

    Raises:
        HostUnreachableError: If it gave none in time.
    """
    try:
        with trio.fail_after(timeout_s):
            return await _fetch(address, timeout_s)
    except trio.TooSlowError:
        raise HostUnreachableError(f"no answer in {timeout_s:g} s") from None
    except (
        ConnectError,
        ResponseMissingError,
        ResponseTruncatedError,
        ResponseMalformedError,
        msgspec.MsgspecError,
    ) as error:
        raise HostUnreachableError(str(error)) from error


async def _fetch(address: str, timeout_s: float) -> DaemonStatus:
    connection = await open_connection(address, _HEAD_BYTES, timeout_s)
    try:
        headers = [(b"host", address.encode())]
        answer = await connection.exchange(
            b"GET", b"/status", headers, buffered_body(b""), _STATUS_BYTES
        )
    finally:
        with trio.CancelScope(shield=True):
            await connection.aclose()
    if answer.status != _OK or answer.body.content is None:
        raise HostUnreachableError(f"status {answer.status}")
    return msgspec.json.decode(answer.body.content, type=DaemonStatus)


async def ask_fleet(addresses: Mapping[str, str] | list[str], ask: AskStatus) -> Fleet:
    """Asks daemons for their status, a bounded number at once.

    Args:
        addresses: Operations addresses.
        ask: Asks one of them; raises `HostUnreachableError`.
    """
    fleet = Fleet()
    limiter = trio.CapacityLimiter(_ASKED_AT_ONCE)

    async def ask_one(address: str) -> None:
        async with limiter:
            try:
                fleet.statuses_by_address[address] = await ask(address)
            except HostUnreachableError as error:
                fleet.faults_by_address[address] = str(error)

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(ask_one, address)
    return fleet
