"""What upstreams say about themselves, as this daemon passed it on.

All requests to an upstream pass the daemon on its host. A restart makes that one forget
what the upstream said. So each daemon that passed it on tells it again with the
requests that it sends there.
"""

from mangospoke.peers.messages import UpstreamNotice


class UpstreamNotices:
    """The latest notice of each upstream, by the peer address of its daemon."""

    def __init__(self) -> None:
        self._notice_by_address: dict[str, UpstreamNotice] = {}

    def record(self, address: str, notice: UpstreamNotice) -> None:
        """Records a notice that came with a response, unless a later one is known."""
        known = self._notice_by_address.get(address)
        is_outdated = (
            known is not None
            and known.run == notice.run
            and known.stated_at_ms > notice.stated_at_ms
        )
        if not is_outdated:
            self._notice_by_address[address] = notice

    def read(self, address: str) -> UpstreamNotice | None:
        """Returns what is to be told with a request; None if it is nothing special."""
        notice = self._notice_by_address.get(address)
        if notice is None or not notice.is_special:
            return None
        return notice

    def retain(self, addresses: set[str]) -> None:
        """Forgets all addresses but those given."""
        for address in set(self._notice_by_address) - addresses:
            del self._notice_by_address[address]
