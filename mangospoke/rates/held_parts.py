"""Which parts of accounts this host holds, and how it may come to hold one.

Load pattern: hosts come and go while some of them hear nothing of it, so that two would
take themselves for an account's home at the same time and each hand out its tokens.

A part of an account (a home's, or a reserve) is held by one host at a time. It moves in
three ways: its holder releases it to the host that claims it; all that could hold it
say that they don't; or the claimant waits for the lease of any earlier holder to end.
A holder's lease is renewed by each proof that its list of hosts is complete, and ends
`HOME_LEASE_NS` after the latest one. Since a later holder is in the list that is proved
from then on, nobody holds a part any more by the list from before its record.
"""

from mangospoke.rates.messages import AccountPart
from mangospoke.rates.timing import HOME_LEASE_NS


class HeldParts:
    """The parts of which this host is the holder by the list of hosts.

    Every `now` and `lease_end` is in nanoseconds of a clock that doesn't stop while the
    host is suspended.

    Attributes:
        held_since_by_part: Since when a part has been held.
        wanted_since_by_part: Parts to claim, and since when the list of hosts has named
            this host as their holder.
    """

    def __init__(self) -> None:
        self.held_since_by_part: dict[AccountPart, int] = {}
        self.wanted_since_by_part: dict[AccountPart, int] = {}
        self._freed_until_by_part: dict[AccountPart, int] = {}

    def want(self, part: AccountPart, now: int) -> None:
        """Notes that the list of hosts names this host, from now on, as the holder."""
        if part not in self.held_since_by_part:
            self.wanted_since_by_part.setdefault(part, now)

    def want_again(self, part: AccountPart, now: int) -> None:
        """Notes that another host may have held a part, or may hold it now."""
        self.held_since_by_part.pop(part, None)
        self.wanted_since_by_part[part] = now

    def hold(self, part: AccountPart, now: int) -> None:
        """Holds a part that nobody else holds."""
        self._freed_until_by_part.pop(part, None)
        self.wanted_since_by_part.pop(part, None)
        self.held_since_by_part[part] = now

    def leave(self, part: AccountPart, now: int, lease_end: int) -> None:
        """Stops holding a part, and keeps it free for its next holder for a time.

        After the end of the lease under which it was held, another host may hold it
        without having asked.
        """
        self.wanted_since_by_part.pop(part, None)
        was_held = self.held_since_by_part.pop(part, None) is not None
        if was_held and now < lease_end:
            self._freed_until_by_part[part] = lease_end

    def release(self, part: AccountPart, now: int) -> bool:
        """Gives away a part that was freed; returns whether there was one."""
        return self._freed_until_by_part.pop(part, 0) > now

    def freed(self) -> list[AccountPart]:
        """Returns the parts that this host held and hasn't released."""
        return list(self._freed_until_by_part)

    def hold_waited_out(self, now: int) -> list[AccountPart]:
        """Holds the parts whose earlier holders' leases have ended; returns them."""
        ended = [
            part
            for part, since in self.wanted_since_by_part.items()
            if now >= since + HOME_LEASE_NS
        ]
        for part in ended:
            self.hold(part, now)
        return ended

    def restart(self, now: int) -> None:
        """Lets all held parts earn from now on, after a time without a lease."""
        for part in self.held_since_by_part:
            self.held_since_by_part[part] = now
