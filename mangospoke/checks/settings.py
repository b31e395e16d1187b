"""Checks of one host's settings."""

import ipaddress
from collections.abc import Iterator

from mangospoke.addresses import InvalidAddressError, split_address
from mangospoke.checks.catalogue import (
    ADDRESS_NOT_DIALLABLE,
    BUFFER_LARGER_THAN_BODY,
    HOST_AT_ANOTHER_SITE,
    HOST_IN_UNKNOWN_DOMAIN,
    LOCAL_NOT_LOOPBACK,
    MALFORMED_ADDRESS,
    NO_SEEDS,
    ONLY_OWN_SEED,
    PREVIOUS_SECRET_IS_CURRENT,
    SAME_ADDRESS_TWICE,
    SECRET_TOO_SHORT,
    SEVERAL_TRANSLATED_ALIKE,
    TRANSLATED_TO_SELF,
    UNKNOWN_LOG_LEVEL,
)
from mangospoke.checks.registry import (
    Found,
    HostSettings,
    make_message,
    register_settings_check,
)
from mangospoke.conf.lines import KeyPath
from mangospoke.conf.settings import Settings

MINIMUM_SECRET_CHARACTERS = 32

_LISTENERS = ("public", "local", "peer", "control", "operations")
_LOG_LEVELS = frozenset(
    {"TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR", "CRITICAL"}
)


@register_settings_check
def check_secrets(host: HostSettings, settings: Settings) -> Found:
    """Whoever guesses the secret speaks as a daemon."""
    fleet = settings.fleet
    secrets_by_path: dict[KeyPath, str] = {("fleet", "secret"): fleet.secret}
    for index, secret in enumerate(fleet.previous_secrets):
        path: KeyPath = ("fleet", "previous_secrets", index)
        secrets_by_path[path] = secret
        if secret == fleet.secret:
            text = "a previous secret is the current one"
            yield make_message(PREVIOUS_SECRET_IS_CURRENT, host.settings, path, text)
    for path, secret in secrets_by_path.items():
        if len(secret) < MINIMUM_SECRET_CHARACTERS:
            text = f"the secret has {len(secret)} characters"
            yield make_message(SECRET_TOO_SHORT, host.settings, path, text)


@register_settings_check
def check_address_forms(host: HostSettings, settings: Settings) -> Found:
    """The type takes digits and dots; here they must be an address."""
    for path, address in _addresses(settings):
        if not _is_address(address):
            text = f"{address!r} isn't an address"
            yield make_message(MALFORMED_ADDRESS, host.settings, path, text)


@register_settings_check
def check_listeners(host: HostSettings, settings: Settings) -> Found:
    """Each listener needs an address of its own, of the right kind."""
    first_by_address: dict[str, str] = {}
    for name in _LISTENERS:
        address = getattr(settings.listen, name)
        path: KeyPath = ("listen", name)
        if not _is_address(address):
            continue
        ip, _ = split_address(address)
        other = first_by_address.setdefault(address, name)
        if other != name:
            text = f"{name} and {other} both listen on {address}"
            yield make_message(SAME_ADDRESS_TWICE, host.settings, path, text)
        if name == "local" and not ipaddress.IPv4Address(ip).is_loopback:
            text = f"the local listener is on {ip}"
            yield make_message(LOCAL_NOT_LOOPBACK, host.settings, path, text)
        if name in ("peer", "control") and ipaddress.IPv4Address(ip).is_unspecified:
            text = f"the {name} address is {ip}"
            yield make_message(ADDRESS_NOT_DIALLABLE, host.settings, path, text)


@register_settings_check
def check_seeds(host: HostSettings, settings: Settings) -> Found:
    """Seeds are asked when the log service is down."""
    path: KeyPath = ("fleet", "seeds")
    if not settings.fleet.seeds:
        text = "there are no seeds"
        yield make_message(NO_SEEDS, host.settings, path, text)
    elif set(settings.fleet.seeds) == {settings.listen.control}:
        text = "the only seed is this host's own control address"
        yield make_message(ONLY_OWN_SEED, host.settings, path, text)


@register_settings_check
def check_translations(host: HostSettings, settings: Settings) -> Found:
    """Each advertised address leads to one other daemon."""
    own = {settings.listen.peer, settings.listen.control}
    first_by_target: dict[str, str] = {}
    for address, target in settings.fleet.translate.items():
        path: KeyPath = ("fleet", "translate", address)
        if target in own and address not in own:
            text = f"{address} is translated to this host's own {target}"
            yield make_message(TRANSLATED_TO_SELF, host.settings, path, text)
        other = first_by_target.setdefault(target, address)
        if other != address:
            text = f"{other} and {address} are both translated to {target}"
            yield make_message(SEVERAL_TRANSLATED_ALIKE, host.settings, path, text)


@register_settings_check
def check_limits_and_logging(host: HostSettings, settings: Settings) -> Found:
    """Limits must fit together, and the level must exist."""
    limits = settings.limits
    if limits.buffered_body_bytes > limits.body_bytes:
        path: KeyPath = ("limits", "buffered_body_bytes")
        text = (
            f"up to {limits.buffered_body_bytes} bytes are buffered, but only "
            f"{limits.body_bytes} are accepted"
        )
        yield make_message(BUFFER_LARGER_THAN_BODY, host.settings, path, text)
    if settings.logging.level not in _LOG_LEVELS:
        path = ("logging", "level")
        text = f"{settings.logging.level!r} isn't a log level"
        yield make_message(UNKNOWN_LOG_LEVEL, host.settings, path, text)


@register_settings_check
def check_place(host: HostSettings, settings: Settings) -> Found:
    """A host must stand where the base says that its failure domain is."""
    if host.base is None or host.base.partial is None:
        return
    if not host.base.is_sound(("domains",)):
        return
    domain = host.base.partial.domains.get(settings.host.failure_domain)
    if domain is None:
        path: KeyPath = ("host", "failure_domain")
        text = f"{host.base.file} has no domain {settings.host.failure_domain!r}"
        yield make_message(HOST_IN_UNKNOWN_DOMAIN, host.settings, path, text)
    elif domain.site != settings.host.site:
        path = ("host", "site")
        text = (
            f"the host is at {settings.host.site!r}, but its failure domain at "
            f"{domain.site!r}"
        )
        yield make_message(HOST_AT_ANOTHER_SITE, host.settings, path, text)


def _addresses(settings: Settings) -> Iterator[tuple[KeyPath, str]]:
    for name in _LISTENERS:
        yield ("listen", name), getattr(settings.listen, name)
    yield ("log", "address"), settings.log.address
    for index, seed in enumerate(settings.fleet.seeds):
        yield ("fleet", "seeds", index), seed
    for address, target in settings.fleet.translate.items():
        yield ("fleet", "translate", address), address
        yield ("fleet", "translate", address), target


def _is_address(address: str) -> bool:
    try:
        split_address(address)
    except InvalidAddressError:
        return False
    return True
