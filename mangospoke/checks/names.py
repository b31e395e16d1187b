"""Checks of names, ids and failure domains."""

import re
from collections.abc import Iterator

from mangospoke.checks.catalogue import (
    DOT_IN_KEY_ID,
    MALFORMED_NAME,
    NO_DOMAIN,
    NO_SERVICE,
)
from mangospoke.checks.messages import CheckMessage
from mangospoke.checks.registry import (
    Declarations,
    Found,
    HostSettings,
    make_message,
    register_declarations_check,
    register_settings_check,
)
from mangospoke.conf.declarations import Base
from mangospoke.conf.lines import KeyPath
from mangospoke.conf.settings import Settings

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}\Z")


def is_name(text: str) -> bool:
    """Whether a text can be a name or id."""
    return _NAME.match(text) is not None


@register_declarations_check
def check_names(declarations: Declarations, base: Base) -> Found:
    """Names travel in header fields, log lines and section names."""
    for path, name in _named(base):
        if not is_name(name) and not ("keys" in path and "." in name):
            text = f"{name!r} isn't a name"
            yield make_message(MALFORMED_NAME, declarations.base, path, text)


@register_declarations_check
def check_key_ids(declarations: Declarations, base: Base) -> Found:
    """A dot ends the key id in a key."""
    for account_id, account in base.accounts.items():
        for key_id in account.keys:
            if "." in key_id:
                path = ("accounts", account_id, "keys", key_id)
                text = f"key id {key_id!r} has a dot"
                yield make_message(DOT_IN_KEY_ID, declarations.base, path, text)


@register_declarations_check
def check_domains(declarations: Declarations, base: Base) -> Found:
    """Without a failure domain no host can run, without a service none serves."""
    if all(domain.lost for domain in base.domains.values()):
        text = "no failure domain runs"
        yield make_message(NO_DOMAIN, declarations.base, ("domains",), text)
    if not base.services:
        text = "there is no service"
        yield make_message(NO_SERVICE, declarations.base, ("services",), text)


@register_settings_check
def check_host_names(
    host: HostSettings, settings: Settings
) -> Iterator[CheckMessage | None]:
    """A host's names follow the same rule as those of declarations."""
    names = {
        "id": settings.host.id,
        "failure_domain": settings.host.failure_domain,
        "site": settings.host.site,
    }
    for field, name in names.items():
        if not is_name(name):
            text = f"{name!r} isn't a name"
            yield make_message(MALFORMED_NAME, host.settings, ("host", field), text)


def _named(base: Base) -> Iterator[tuple[KeyPath, str]]:
    for domain_id, domain in base.domains.items():
        yield ("domains", domain_id), domain_id
        yield ("domains", domain_id, "site"), domain.site
    for service_name, service in base.services.items():
        yield ("services", service_name), service_name
        for route_name in service.routes:
            yield ("services", service_name, "routes", route_name), route_name
    for account_id, account in base.accounts.items():
        yield ("accounts", account_id), account_id
        for key_id in account.keys:
            yield ("accounts", account_id, "keys", key_id), key_id
