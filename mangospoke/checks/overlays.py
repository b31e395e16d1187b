"""Checks of overlays against the base that they change."""

from collections.abc import Iterator
from pathlib import Path

from mangospoke.checks.catalogue import (
    OVERLAY_RAISES_BURST,
    OVERLAY_RAISES_RATE,
    OVERLAY_UNKNOWN_ACCOUNT,
    OVERLAY_UNKNOWN_KEY,
    OVERLAY_UNKNOWN_ROUTE,
    OVERLAY_UNKNOWN_SERVICE,
    TWO_OVERLAYS_FOR_SITE,
    UNKNOWN_SITE,
)
from mangospoke.checks.messages import CheckMessage
from mangospoke.checks.registry import (
    Declarations,
    Found,
    make_message,
    register_declarations_check,
)
from mangospoke.conf.declarations import Base, ClientAccount, Overlay
from mangospoke.conf.lines import KeyPath
from mangospoke.conf.loading import Loaded
from mangospoke.ids import ClientAccountId, SiteId


def _each_overlay(
    declarations: Declarations,
) -> Iterator[tuple[Loaded[Overlay], Overlay]]:
    for loaded in declarations.overlays:
        if loaded.partial is not None:
            yield loaded, loaded.partial


@register_declarations_check
def check_sites(declarations: Declarations, base: Base) -> Found:
    """An overlay for a site without hosts would never apply."""
    sites = {domain.site for domain in base.domains.values()}
    sites_known = declarations.base.is_sound(("domains",))
    files_by_site: dict[SiteId, Path] = {}
    for loaded, overlay in _each_overlay(declarations):
        if overlay.site not in sites and sites_known:
            text = f"no failure domain is at site {overlay.site!r}"
            yield make_message(UNKNOWN_SITE, loaded, ("site",), text)
        other = files_by_site.setdefault(overlay.site, loaded.file)
        if other is not loaded.file:
            text = f"{other} is for site {overlay.site!r} too"
            yield make_message(TWO_OVERLAYS_FOR_SITE, loaded, ("site",), text)


@register_declarations_check
def check_overlay_services(declarations: Declarations, base: Base) -> Found:
    """An overlay changes what the base declares and adds nothing."""
    for loaded, overlay in _each_overlay(declarations):
        for name, changes in overlay.services.items():
            path: KeyPath = ("services", name)
            if not declarations.base.is_sound(path):
                continue
            service = base.services.get(name)
            if service is None:
                text = f"the base has no service {name!r}"
                yield make_message(OVERLAY_UNKNOWN_SERVICE, loaded, path, text)
                continue
            for route_name in changes.routes:
                if route_name not in service.routes:
                    text = f"service {name!r} has no route {route_name!r}"
                    place = (*path, "routes", route_name)
                    yield make_message(OVERLAY_UNKNOWN_ROUTE, loaded, place, text)


@register_declarations_check
def check_overlay_accounts(declarations: Declarations, base: Base) -> Found:
    """An overlay can only restrict an account that the base declares."""
    for loaded, overlay in _each_overlay(declarations):
        for account_id in overlay.accounts:
            path: KeyPath = ("accounts", account_id)
            if not declarations.base.is_sound(path):
                continue
            account = base.accounts.get(account_id)
            if account is None:
                text = f"the base has no account {account_id!r}"
                yield make_message(OVERLAY_UNKNOWN_ACCOUNT, loaded, path, text)
                continue
            yield from _find_widening(
                declarations, loaded, overlay, account_id, account
            )


def _find_widening(
    declarations: Declarations,
    loaded: Loaded[Overlay],
    overlay: Overlay,
    account_id: ClientAccountId,
    account: ClientAccount,
) -> Iterator[CheckMessage | None]:
    changes = overlay.accounts[account_id]
    path: KeyPath = ("accounts", account_id)
    for check, field, changed, declared in (
        (OVERLAY_RAISES_RATE, "rate", changes.rate, account.rate),
        (OVERLAY_RAISES_BURST, "burst", changes.burst, account.burst),
    ):
        place = (*path, field)
        if changed is None or not declarations.base.is_sound(place):
            continue
        if changed > declared:
            text = (
                f"{field} {changed} of account {account_id!r} is over the base's "
                f"{declared}"
            )
            yield make_message(check, loaded, place, text)
    for index, key_id in enumerate(changes.withdrawn_keys):
        if key_id not in account.keys:
            place = (*path, "withdrawn_keys", index)
            text = f"account {account_id!r} has no key {key_id!r}"
            yield make_message(OVERLAY_UNKNOWN_KEY, loaded, place, text)
