"""Links between failure domains, as the fault proxy imitates them."""

import enum
import fnmatch
from typing import Annotated

import trio
from msgspec import Meta, Struct


class LinkMode(enum.Enum):
    """What a link does with connections and bytes."""

    OPEN = "open"
    """Bytes pass."""

    STALL = "stall"
    """Nothing passes, and nobody is told; held bytes pass once it is open again."""

    RESET = "reset"
    """Connections are reset, new ones too."""

    HALF_OPEN = "half-open"
    """Bytes and ends of connections vanish; connections it hit stay dead for good."""


class LinkState(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How one direction of a link behaves.

    Attributes:
        delay_ms: Milliseconds that each byte takes, one way.
        bytes_per_second: Bandwidth of the link; None for no limit.
    """

    mode: LinkMode = LinkMode.OPEN
    delay_ms: Annotated[float, Meta(ge=0)] = 0
    bytes_per_second: Annotated[int, Meta(gt=0)] | None = None


class Link:
    """One direction of a link, shared by all connections that pass it.

    Attributes:
        state: How it behaves now.
        changed: Set, and replaced, at each change of the state.
    """

    def __init__(self, state: LinkState) -> None:
        self.state = state
        self.changed = trio.Event()
        self._busy_until = 0.0

    def set(self, state: LinkState) -> None:
        """Changes how the link behaves, for open connections too."""
        self.state = state
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def delivery_time(self, received_at: float, size: int) -> float:
        """Returns when a chunk comes out of the link, in seconds of trio's clock."""
        start = received_at
        if self.state.bytes_per_second is not None:
            start = max(received_at, self._busy_until)
            start += size / self.state.bytes_per_second
            self._busy_until = start
        return start + self.state.delay_ms / 1000

    async def wait_while_stalled(self) -> None:
        """Waits until bytes pass again."""
        while self.state.mode is LinkMode.STALL:
            await self.changed.wait()


class Links:
    """All links by name; a link that nobody has set is open."""

    def __init__(self) -> None:
        self._links_by_name: dict[str, Link] = {}

    def get(self, name: str) -> Link:
        """Returns the link of a name such as `a->b`."""
        return self._links_by_name.setdefault(name, Link(LinkState()))

    def set_matching(self, pattern: str, state: LinkState) -> None:
        """Sets the links whose name matches a shell pattern, such as `a->*`."""
        names = fnmatch.filter(self._links_by_name, pattern) or [pattern]
        for name in names:
            self.get(name).set(state)

    def states_by_name(self) -> dict[str, LinkState]:
        """Returns how each link behaves now."""
        return {name: link.state for name, link in self._links_by_name.items()}
