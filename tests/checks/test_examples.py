"""The example deployments are sound and have the sizes that they promise."""

import re
from pathlib import Path

import pytest

from mangospoke.checks.run import check_files
from mangospoke.conf.loading import load_base
from mangospoke.keys import parse_hash, split_key, verify_secret

EXAMPLES = Path(__file__).parents[2] / "examples"
KEY_ROW = re.compile(r"^\| \S+ \| `(\S+)` \| (works|withdrawn) \|$", re.MULTILINE)
deployments = pytest.mark.parametrize("name", ["trommelwerk", "vanilla"])


@deployments
def test_an_example_has_no_faults(name):
    directory = EXAMPLES / name
    overlays = sorted((directory / "overlays").glob("*.toml"))
    hosts = sorted((directory / "hosts").glob("*.toml"))
    assert overlays
    assert hosts
    assert check_files(directory / "base.toml", overlays, hosts) == []


@deployments
def test_an_example_has_its_size(name):
    base = load_base(EXAMPLES / name / "base.toml").value
    assert len(base.domains) == 3
    assert len(base.services) == 4
    assert len(base.accounts) == 8
    for service in base.services.values():
        assert 15 <= service.slots <= 80
        assert 200 <= service.connections <= 600


@deployments
def test_the_keys_of_the_readme_are_those_of_the_base(name):
    base = load_base(EXAMPLES / name / "base.toml").value
    keys_by_id = {
        key_id: key
        for account in base.accounts.values()
        for key_id, key in account.keys.items()
    }
    rows = KEY_ROW.findall((EXAMPLES / name / "README.md").read_text())
    assert len(rows) == len(keys_by_id)
    for row, state in rows:
        key_id, secret = split_key(row.encode())
        assert b"example-only" in secret
        assert verify_secret(secret, parse_hash(keys_by_id[key_id].hash))
        assert keys_by_id[key_id].withdrawn == (state == "withdrawn")


def test_systemd_waits_longer_than_any_deadline():
    unit = (EXAMPLES / "systemd/mangospoke.service").read_text()
    timeout_s = int(re.search(r"^TimeoutStopSec=(\d+)$", unit, re.MULTILINE)[1])
    deadlines_ms = [
        route.deadline_ms
        for name in ("trommelwerk", "vanilla")
        for service in load_base(EXAMPLES / name / "base.toml").value.services.values()
        for route in service.routes.values()
    ]
    assert timeout_s * 1000 > max(deadlines_ms)
    assert "KillSignal=SIGTERM" in unit
