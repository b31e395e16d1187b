"""Share records derived from the configuration: declared totals and lost domains."""

import secrets

from mangospoke.conf.effective import EffectiveAccount, EffectiveConfiguration
from mangospoke.ids import ClientAccountId, FailureDomainId
from mangospoke.rates.records import AccountShares, DomainFreed, SharesDeclared
from mangospoke.rates.share_table import ShareTable
from mangospoke.rates.units import MILLI, NOTHING, Share, add_shares, split_by_weight


def build_share_declarations(
    configuration: EffectiveConfiguration, table: ShareTable
) -> list[SharesDeclared]:
    """Returns the records that bring the table in line with the configuration.

    Domains that never had a grantor get no share; their grantor requests one from
    other domains as soon as it has demand.
    """
    domains = [
        domain
        for domain in domains_not_lost(configuration)
        if table.grantor_of(domain).epoch
    ]
    if not domains:
        return []
    records = []
    for account in configuration.accounts_by_id.values():
        current = table.accounts_by_id.get(account.account_id)
        if current is None:
            records.append(
                _declare_new_account(configuration.version, account, domains)
            )
        elif _is_total_changed(configuration.version, account, current):
            records.append(
                _declare_new_total(configuration.version, account, current, domains)
            )
    return records


def _is_total_changed(
    version: int, account: EffectiveAccount, current: AccountShares
) -> bool:
    """Returns whether a newer version declares another total than the table has."""
    return (
        current.total != _declared_total(account)
        and current.configuration_version < version
    )


def domains_not_lost(configuration: EffectiveConfiguration) -> list[FailureDomainId]:
    """Returns the configured domains that aren't declared lost, sorted by id."""
    return sorted(
        domain_id
        for domain_id, domain in configuration.domains_by_id.items()
        if not domain.lost
    )


def _declared_total(account: EffectiveAccount) -> Share:
    return Share(account.rate * MILLI, account.burst * MILLI)


def _declare_new_account(
    version: int, account: EffectiveAccount, domains: list[FailureDomainId]
) -> SharesDeclared:
    total = _declared_total(account)
    return SharesDeclared(
        record_id=secrets.token_hex(8),
        account_id=account.account_id,
        builds_on=0,
        configuration_version=version,
        total=total,
        added=_split_by_domain_weight(total, account, domains),
    )


def _split_by_domain_weight(
    total: Share, account: EffectiveAccount, domains: list[FailureDomainId]
) -> dict[FailureDomainId, Share]:
    """Splits a share by the account's domain weights; bursts in whole tokens."""
    weights = {domain: account.domain_weights.get(domain, 0) for domain in domains}
    rates = split_by_weight(total.rate, weights)
    bursts = split_by_weight(total.burst, weights, unit=MILLI)
    return {domain: Share(rates[domain], bursts[domain]) for domain in domains}


def _declare_new_total(
    version: int,
    account: EffectiveAccount,
    current: AccountShares,
    domains: list[FailureDomainId],
) -> SharesDeclared:
    """Returns a record that distributes an increase or sets targets for a decrease.

    If either rate or burst is below what is assigned, only targets are set: domains
    must return the excess first.
    """
    total = _declared_total(account)
    assigned = add_shares(current.shares)
    increase = Share(
        max(0, total.rate - assigned.rate), max(0, total.burst - assigned.burst)
    )
    added: dict[FailureDomainId, Share] = {}
    if increase != NOTHING and total.covers(assigned):
        added = _split_by_domain_weight(increase, account, domains)
    targets = {} if total.covers(assigned) else _reduced_targets(total, current)
    return SharesDeclared(
        record_id=secrets.token_hex(8),
        account_id=account.account_id,
        builds_on=current.configuration_version,
        configuration_version=version,
        total=total,
        added=added,
        targets=targets,
    )


def _reduced_targets(
    total: Share, current: AccountShares
) -> dict[FailureDomainId, Share]:
    """Scales the current shares down to a lower total; bursts in whole tokens."""
    assigned = add_shares(current.shares)
    rates = {domain: share.rate for domain, share in current.shares.items()}
    bursts = {domain: share.burst for domain, share in current.shares.items()}
    if total.rate < assigned.rate:
        rates = split_by_weight(total.rate, rates)
    if total.burst < assigned.burst:
        bursts = split_by_weight(total.burst, bursts, unit=MILLI)
    return {domain: Share(rates[domain], bursts[domain]) for domain in current.shares}


def build_domain_freed_records(
    configuration: EffectiveConfiguration, table: ShareTable
) -> list[DomainFreed]:
    """Returns the records that withdraw the shares of domains declared lost."""
    records = []
    for domain_id, domain in configuration.domains_by_id.items():
        grantor = table.grantor_of(domain_id)
        if not domain.lost or grantor.configuration_version >= configuration.version:
            continue
        if grantor.appointee is not None or _has_shares(table, domain_id):
            records.append(
                DomainFreed(
                    record_id=secrets.token_hex(8),
                    domain=domain_id,
                    epoch=grantor.epoch,
                    configuration_version=configuration.version,
                )
            )
    return records


def _has_shares(table: ShareTable, domain: FailureDomainId) -> bool:
    account_ids: list[ClientAccountId] = list(table.accounts_by_id)
    return any(
        table.share_of(account_id, domain) != NOTHING for account_id in account_ids
    )
