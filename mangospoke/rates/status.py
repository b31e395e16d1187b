"""Shares and grants as they appear in a daemon's status."""

from mangospoke.conf.effective import EffectiveConfiguration
from mangospoke.ids import ClientAccountId
from mangospoke.observability.status import ShareStatus
from mangospoke.rates.service import Rates
from mangospoke.rates.units import MILLI


def read_shares(
    rates: Rates, configuration: EffectiveConfiguration
) -> tuple[ShareStatus, ...]:
    """Returns the domain's share and this host's grant for each declared account."""
    return tuple(
        _read_share(rates, account_id) for account_id in configuration.accounts_by_id
    )


def _read_share(rates: Rates, account_id: ClientAccountId) -> ShareStatus:
    domain = rates.grantor.domain
    share = rates.table.share_of(account_id, domain)
    appointee = rates.table.grantor_of(domain).appointee
    return ShareStatus(
        account_id=account_id,
        domain_rate=share.rate / MILLI,
        domain_burst=share.burst / MILLI,
        granted_rate=rates.granted_rate(account_id) / MILLI,
        grantor="" if appointee is None else appointee.host_id,
    )
