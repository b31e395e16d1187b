"""Checks of client accounts, their keys and rates."""

from mangospoke.checks.catalogue import (
    KEY_IN_TWO_ACCOUNTS,
    MALFORMED_HASH,
    NO_DOMAIN_HAS_WEIGHT,
    NO_WORKING_KEY,
    RATE_NOT_SPLITTABLE,
    SAME_HASH_TWICE,
    WEIGHT_FOR_LOST_DOMAIN,
    WEIGHT_FOR_UNKNOWN_DOMAIN,
)
from mangospoke.checks.registry import (
    Declarations,
    Found,
    make_message,
    register_declarations_check,
)
from mangospoke.conf.declarations import Base, ClientAccount
from mangospoke.conf.lines import KeyPath
from mangospoke.ids import ClientAccountId, FailureDomainId, KeyId
from mangospoke.keys import parse_hash


@register_declarations_check
def check_key_hashes(declarations: Declarations, base: Base) -> Found:
    """A malformed hash would keep the whole configuration from being used."""
    first_by_hash: dict[str, KeyId] = {}
    for account_id, account in base.accounts.items():
        for key_id, key in account.keys.items():
            path = (*_key_path(account_id, key_id), "hash")
            if not _is_hash(key.hash):
                # The value isn't repeated: it may be the secret itself.
                text = f"the hash of key {key_id!r} is malformed"
                yield make_message(MALFORMED_HASH, declarations.base, path, text)
                continue
            other = first_by_hash.setdefault(key.hash, key_id)
            if other != key_id:
                text = f"keys {other!r} and {key_id!r} have the same hash"
                yield make_message(SAME_HASH_TWICE, declarations.base, path, text)


def _is_hash(text: str) -> bool:
    try:
        parse_hash(text)
    except ValueError:
        return False
    return True


@register_declarations_check
def check_key_owners(declarations: Declarations, base: Base) -> Found:
    """A key id leads to one account only."""
    owners_by_key: dict[KeyId, ClientAccountId] = {}
    for account_id, account in base.accounts.items():
        for key_id in account.keys:
            owner = owners_by_key.setdefault(key_id, account_id)
            if owner != account_id:
                path = _key_path(account_id, key_id)
                text = f"key {key_id!r} stands in accounts {owner!r} and {account_id!r}"
                yield make_message(KEY_IN_TWO_ACCOUNTS, declarations.base, path, text)


@register_declarations_check
def check_working_keys(declarations: Declarations, base: Base) -> Found:
    """An account without a working key is shut out; that may be meant."""
    for account_id, account in base.accounts.items():
        if all(key.withdrawn for key in account.keys.values()):
            path = ("accounts", account_id)
            text = f"account {account_id!r} has no key that works"
            keys_path = (*path, "keys")
            yield make_message(
                NO_WORKING_KEY, declarations.base, path, text, [keys_path]
            )


@register_declarations_check
def check_domain_weights(declarations: Declarations, base: Base) -> Found:
    """Weights name the failure domains among which a rate is split first."""
    for account_id, account in base.accounts.items():
        path: KeyPath = ("accounts", account_id, "domain_weights")
        for domain_id, weight in account.domain_weights.items():
            domain = base.domains.get(domain_id)
            place = (*path, domain_id)
            if domain is None:
                text = f"failure domain {domain_id!r} isn't declared"
                yield make_message(
                    WEIGHT_FOR_UNKNOWN_DOMAIN, declarations.base, place, text
                )
            elif domain.lost and weight:
                text = f"failure domain {domain_id!r} is lost"
                yield make_message(
                    WEIGHT_FOR_LOST_DOMAIN, declarations.base, place, text
                )
        if account.domain_weights and not _sharing_domains(base, account):
            text = f"the weights of account {account_id!r} leave no domain a share"
            yield make_message(NO_DOMAIN_HAS_WEIGHT, declarations.base, path, text)


@register_declarations_check
def check_splittable_rates(declarations: Declarations, base: Base) -> Found:
    """Shares are whole numbers: a domain that gets none refuses everything."""
    for account_id, account in base.accounts.items():
        count = len(_sharing_domains(base, account))
        for field, value in (("rate", account.rate), ("burst", account.burst)):
            if value < count:
                text = (
                    f"{field} {value} of account {account_id!r} can't be split over "
                    f"{count} failure domains"
                )
                path = ("accounts", account_id, field)
                weights_path = ("accounts", account_id, "domain_weights")
                yield make_message(
                    RATE_NOT_SPLITTABLE,
                    declarations.base,
                    path,
                    text,
                    [weights_path, ("domains",)],
                )


def _sharing_domains(base: Base, account: ClientAccount) -> list[FailureDomainId]:
    running = [name for name, domain in base.domains.items() if not domain.lost]
    if not account.domain_weights:
        return running
    return [name for name in running if account.domain_weights.get(name, 0)]


def _key_path(account_id: ClientAccountId, key_id: KeyId) -> KeyPath:
    return ("accounts", account_id, "keys", key_id)
