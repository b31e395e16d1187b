"""Moves parts of accounts between the hosts of a failure domain, by messages.

Load pattern: hosts are restarted one after the other under load. A part moves from the
host that leaves to the next in line and back, and in between nothing that lies within
the rate has to wait for a lease to end.
"""

from collections.abc import Callable, Iterable

import msgspec
import trio
from loguru import logger

from mangospoke.control.interface import ControlChannel, ControlError
from mangospoke.control.messages import Message
from mangospoke.decoding import decode_json
from mangospoke.ids import HostId
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.rates.homes import HomeDirectory
from mangospoke.rates.lending import LendingShares
from mangospoke.rates.messages import AccountPart, ClaimParts, PartsClaimed
from mangospoke.state.fleet import Fleet

_CHECK_INTERVAL_S = 0.25
"""Pause between two rounds of claims, if nothing has changed, and longest time until a
lease that ended, or was waited out, is noticed."""

_CLAIM_TIMEOUT_S = 0.3


class PartClaimer:
    """Claims the parts that the list of hosts gives this host, and gives up others.

    Args:
        host_id: This host.
        fleet: The known hosts and the configuration.
        control: Control channel to the other hosts.
        homes: The parts that this host holds.
        shares: The tokens of those parts.
        learn_host: Learns of a host's record before it was read.
        clock: Returns nanoseconds, as `timing.read_clock` does.
    """

    def __init__(
        self,
        host_id: HostId,
        fleet: Fleet,
        control: ControlChannel,
        homes: HomeDirectory,
        shares: LendingShares,
        learn_host: Callable[[UpstreamAnnounced], None],
        clock: Callable[[], int],
    ) -> None:
        self._host_id = host_id
        self._fleet = fleet
        self._control = control
        self._homes = homes
        self._shares = shares
        self._learn_host = learn_host
        self._clock = clock
        self._changed = trio.Event()
        self._has_told = False
        homes.listeners.append(self._wake)
        control.handlers_by_type[ClaimParts] = self._handle_claim

    def _wake(self) -> None:
        self._changed.set()

    async def run(self) -> None:
        """Claims parts whenever there are any to claim, until it is cancelled."""
        while True:
            with trio.move_on_after(_CHECK_INTERVAL_S):
                await self._changed.wait()
            self._changed = trio.Event()
            self._homes.refresh()
            await self._tell_leaving()
            if self._homes.parts.wanted_since_by_part:
                await self._claim_all()

    async def _tell_leaving(self) -> None:
        """Tells the next in line that this host leaves, so that they claim its parts.

        They needn't wait until they read it.
        """
        if not self._homes.is_leaving:
            self._has_told = False
        elif not self._has_told:
            self._has_told = True
            record = self._fleet.upstreams_by_host[self._host_id]
            claim = ClaimParts(msgspec.json.encode(record), ())
            async with trio.open_nursery() as nursery:
                for host_id in self._homes.successors():
                    nursery.start_soon(self._send, host_id, claim)

    async def _claim_all(self) -> None:
        """Claims all wanted parts, first from the hosts that likely hold them."""
        record = self._fleet.upstreams_by_host.get(self._host_id)
        if record is None:
            return
        content = msgspec.json.encode(record)
        wanted_since = dict(self._homes.parts.wanted_since_by_part)
        denied: set[AccountPart] = set()
        for is_near in (True, False):
            await self._claim_from(content, is_near, denied)
        if self._homes.knows_all_earlier_hosts():
            self._hold_unless_denied(wanted_since, denied)

    def _hold_unless_denied(
        self, asked_since: dict[AccountPart, int], denied: set[AccountPart]
    ) -> None:
        """Holds the parts that every other host says it doesn't hold.

        Args:
            asked_since: The parts that all others were asked for, and since when they
                had been wanted.
            denied: Those of which not all said so.
        """
        for part, since in list(self._homes.parts.wanted_since_by_part.items()):
            if part not in denied and asked_since.get(part) == since:
                self._homes.hold(part)

    def _wanted(self) -> list[AccountPart]:
        return list(self._homes.parts.wanted_since_by_part)

    async def _claim_from(
        self, content: bytes, is_near: bool, denied: set[AccountPart]
    ) -> None:
        """Asks the hosts near in line, or all others, for the parts still wanted.

        Args:
            content: This host's record.
            is_near: Whether to ask the hosts near in line.
            denied: Gets the parts that a host may hold that was asked.
        """
        parts_by_host: dict[HostId, list[AccountPart]] = {}
        for part in self._wanted():
            near, others = self._homes.hosts_to_ask(part)
            for host_id in near if is_near else others:
                parts_by_host.setdefault(host_id, []).append(part)
        # A host far in line that is silent can't hold a part, unless all hosts between
        # have left within one lease as well.
        silent = denied if is_near else set()
        async with trio.open_nursery() as nursery:
            for host_id, parts in parts_by_host.items():
                nursery.start_soon(self._claim, host_id, content, parts, denied, silent)

    async def _claim(
        self,
        host_id: HostId,
        content: bytes,
        parts: Iterable[AccountPart],
        denied: set[AccountPart],
        silent: set[AccountPart],
    ) -> None:
        answer = await self._send(host_id, ClaimParts(content, tuple(parts)))
        if answer is None:
            silent.update(parts)
            return
        released = {part for part, _ in answer.released}
        denied.update(set(parts) - released - set(answer.not_held))
        for part, milli in answer.released:
            self._receive(part, milli)

    def _receive(self, part: AccountPart, milli: int) -> None:
        account = self._fleet.configuration.accounts_by_id.get(part.account_id)
        self._homes.hold(part)
        if account is not None and not part.is_reserve:
            self._shares.put(account, milli, self._clock())

    async def _send(self, host_id: HostId, claim: ClaimParts) -> PartsClaimed | None:
        host = self._homes.named.host(host_id)
        if host is None:
            return None
        try:
            return await self._control.send_request(
                host.control_address, claim, PartsClaimed, _CLAIM_TIMEOUT_S
            )
        except ControlError as error:
            logger.bind(event="claim_unanswered", host=host_id).debug("{}", error)
            return None

    async def _handle_claim(self, claim: ClaimParts) -> Message:
        record = decode_json(claim.record, UpstreamAnnounced)
        self._homes.refresh()
        self._learn_host(record)
        released = []
        not_held = []
        for part in claim.parts:
            if not self._homes.named.is_named(record.host_id, part):
                continue
            if self._homes.release(part):
                milli = (
                    0 if part.is_reserve else self._shares.take_left(part.account_id)
                )
                released.append((part, milli))
            elif self._homes.vouches_for(record.host_id, part):
                released.append((part, 0))
            else:
                not_held.append(part)
        return PartsClaimed(tuple(released), tuple(not_held))
