"""Base and overlays are cut into sections and merged again."""

import msgspec

from mangospoke.conf.declarations import Base, Overlay
from mangospoke.conf.effective import merge_sections
from mangospoke.conf.routes import Mismatch, RouteTable
from mangospoke.conf.sections import changed_sections, split_sections
from mangospoke.keys import hash_secret, split_key, verify_secret

BASE = {
    "domains": {"a": {"site": "yard"}, "b": {"site": "office"}},
    "services": {
        "batches": {
            "routes": {
                "read": {"method": "GET", "path": "/batches/{id}", "deadline_ms": 500},
                "book": {
                    "method": "POST",
                    "path": "/batches",
                    "importance": "critical",
                    "idempotent": False,
                },
            }
        }
    },
    "accounts": {
        "acme": {
            "rate": 100,
            "burst": 20,
            "keys": {
                "k1": {"hash": hash_secret("s1")},
                "k2": {"hash": hash_secret("s2")},
            },
        }
    },
}
OVERLAY = {
    "site": "yard",
    "services": {"batches": {"routes": {"read": {"deadline_ms": 300}}}},
    "accounts": {"acme": {"rate": 10, "withdrawn_keys": ["k2"]}},
}


def _sections():
    base = msgspec.convert(BASE, Base)
    return split_sections(base, [msgspec.convert(OVERLAY, Overlay)])


def test_an_overlay_holds_at_its_site_only():
    at_yard = merge_sections(1, _sections(), "yard")
    at_office = merge_sections(1, _sections(), "office")
    assert at_yard.routes.match("GET", "/batches/7").deadline_s == 0.3
    assert at_office.routes.match("GET", "/batches/7").deadline_s == 0.5
    assert at_yard.keys_by_id["k2"].withdrawn
    assert not at_office.keys_by_id["k2"].withdrawn
    assert at_yard.accounts_by_id["acme"].site_rate == 10


def test_a_route_is_matched_by_method_and_path():
    routes = merge_sections(1, _sections(), "yard").routes
    assert routes.match("POST", "/batches").name == "book"
    assert routes.match("PUT", "/batches") is Mismatch.METHOD
    assert routes.match("GET", "/nowhere") is Mismatch.PATH


def test_a_method_may_stand_on_a_path_that_matches_less_closely():
    routes = RouteTable()
    routes.add("GET", "/stock/new", "new")
    routes.add("POST", "/stock/{id}", "take")
    routes.add("DELETE", "/stock/*", "clear")
    assert routes.match("GET", "/stock/new") == "new"
    assert routes.match("POST", "/stock/new") == "take"
    assert routes.match("DELETE", "/stock/new") == "clear"
    assert routes.match("DELETE", "/stock/a/b") == "clear"
    assert routes.match("PUT", "/stock/new") is Mismatch.METHOD
    assert routes.match("PUT", "/stoc/new") is Mismatch.PATH


def test_only_changed_sections_are_published():
    old = _sections()
    new = dict(old)
    new.pop("overlay/yard/account/acme")
    new["account/acme"] = b"{}"
    changed, removed = changed_sections(old, new)
    assert list(changed) == ["account/acme"]
    assert removed == ("overlay/yard/account/acme",)


def test_a_key_is_known_by_its_salted_hash_only():
    key_id, secret = split_key(b"k1.s1")
    key = merge_sections(1, _sections(), "office").keys_by_id[key_id]
    assert verify_secret(secret, key.key_hash)
    assert not verify_secret(b"s2", key.key_hash)
