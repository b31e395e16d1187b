"""Sections of a configuration: what is published, relayed and merged.

A base and its overlays are cut into named sections, so that a change carries only
what it changed.
"""

from collections.abc import Iterable, Mapping

import msgspec

from mangospoke.conf.declarations import (
    Base,
    ClientAccount,
    ClientAccountOverlay,
    FailureDomain,
    Overlay,
    Service,
    ServiceOverlay,
)
from mangospoke.ids import FailureDomainId

DOMAINS = "domains"
_SERVICE = "service"
_ACCOUNT = "account"
_OVERLAY = "overlay"

Sections = Mapping[str, bytes]

_ENCODER = msgspec.json.Encoder(order="sorted")


def split_sections(base: Base, overlays: Iterable[Overlay]) -> dict[str, bytes]:
    """Cuts a base and overlays into sections of canonical JSON."""
    sections = {DOMAINS: _ENCODER.encode(base.domains)}
    for name, service in base.services.items():
        sections[f"{_SERVICE}/{name}"] = _ENCODER.encode(service)
    for account_id, account in base.accounts.items():
        sections[f"{_ACCOUNT}/{account_id}"] = _ENCODER.encode(account)
    for overlay in overlays:
        prefix = f"{_OVERLAY}/{overlay.site}"
        for name, service_overlay in overlay.services.items():
            sections[f"{prefix}/{_SERVICE}/{name}"] = _ENCODER.encode(service_overlay)
        for account_id, account_overlay in overlay.accounts.items():
            key = f"{prefix}/{_ACCOUNT}/{account_id}"
            sections[key] = _ENCODER.encode(account_overlay)
    return sections


def join_base(sections: Sections) -> Base:
    """Puts the base together again.

    Raises:
        msgspec.ValidationError: If a section isn't what its name says.
    """
    services = {}
    accounts = {}
    for name, content in sections.items():
        kind, _, key = name.partition("/")
        if kind == _SERVICE:
            services[key] = msgspec.json.decode(content, type=Service)
        elif kind == _ACCOUNT:
            accounts[key] = msgspec.json.decode(content, type=ClientAccount)
    domains = msgspec.json.decode(
        sections.get(DOMAINS, b"{}"), type=dict[FailureDomainId, FailureDomain]
    )
    return Base(domains=domains, services=services, accounts=accounts)  # type: ignore[arg-type]


def join_overlay(sections: Sections, site: str) -> Overlay:
    """Puts a site's overlay together again; an empty one if it has none."""
    services = {}
    accounts = {}
    prefix = f"{_OVERLAY}/{site}/"
    for name, content in sections.items():
        if not name.startswith(prefix):
            continue
        kind, _, key = name.removeprefix(prefix).partition("/")
        if kind == _SERVICE:
            services[key] = msgspec.json.decode(content, type=ServiceOverlay)
        elif kind == _ACCOUNT:
            accounts[key] = msgspec.json.decode(content, type=ClientAccountOverlay)
    return Overlay(site=site, services=services, accounts=accounts)  # type: ignore[arg-type]


def changed_sections(
    old: Sections, new: Sections
) -> tuple[dict[str, bytes], tuple[str, ...]]:
    """Returns the sections to set and the names of those to remove."""
    changed = {name: new[name] for name in new if old.get(name) != new[name]}
    removed = tuple(sorted(name for name in old if name not in new))
    return changed, removed
