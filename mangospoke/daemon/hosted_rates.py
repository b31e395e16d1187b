"""The rates of client accounts on a hosted daemon: parts held by homes, lent to others.

Every part of an account's rate has one holder, which the list of hosts names; see
`mangospoke.rates.homes`.
"""

from collections.abc import Sequence

from mangospoke.control.interface import ControlChannel
from mangospoke.daemon.hosting import HostedSettings
from mangospoke.ids import Incarnation
from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.logservice.records import UpstreamState
from mangospoke.rates.borrowing import BorrowedRates
from mangospoke.rates.claiming import PartClaimer
from mangospoke.rates.homes import HomeDirectory
from mangospoke.rates.lending import LendingShares
from mangospoke.rates.named_homes import Excess
from mangospoke.rates.timing import read_clock
from mangospoke.state.fleet import Fleet
from mangospoke.state.host_directory import HostDirectory, find_host

_EXCESS_RATIO = 0.5
_EXCESS_REQUESTS_RATIO = 0.8
"""Parts of the allowed excess that are used. The rest covers an account's previous home
that hasn't learned yet of the host that replaces it."""


class HostedRates:
    """The components that hand out tokens of client accounts.

    Attributes:
        borrowed: Admits this host's requests, from its own parts or from homes.
        claimer: Claims the parts that the list of hosts gives this host.
    """

    def __init__(
        self,
        hosted_settings: HostedSettings,
        incarnation: Incarnation,
        fleet: Fleet,
        directory: HostDirectory,
        control: ControlChannel,
    ) -> None:
        host = hosted_settings.settings.host
        rates = hosted_settings.guarantees.rates
        self._host_id = host.id
        self._incarnation = incarnation
        self._homes = HomeDirectory(
            fleet,
            host.id,
            host.failure_domain,
            hosted_settings.failure_domains,
            Excess(
                rates.max_excess_ratio * _EXCESS_RATIO,
                rates.max_excess_requests * _EXCESS_REQUESTS_RATIO,
                rates.window_s,
            ),
            directory.freshness,
            read_clock,
        )
        shares = LendingShares(self._homes.share_of, read_clock())
        self.borrowed = BorrowedRates(host.id, fleet, control, self._homes, shares)
        self.claimer = PartClaimer(
            host.id,
            fleet,
            control,
            self._homes,
            shares,
            directory.handle_written,
            read_clock,
        )

    def resume(self, newest: Sequence[KeyedRecord]) -> None:
        """Takes over what the process before this one on this host held.

        Args:
            newest: The newest record of each host in the log service.
        """
        stored = find_host(newest, self._host_id)
        if stored is None or stored.daemon_incarnation >= self._incarnation:
            return
        if stored.state is not UpstreamState.DRAINING:
            since_ms = max(stored.daemon_incarnation, stored.present_since_ms)
            self._homes.resume((self._incarnation - since_ms) / 1000)
