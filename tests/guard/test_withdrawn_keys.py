"""API keys are checked again at the guard if its configuration is newer.

The daemon that a request entered at may have authenticated it by an older version.
"""

import pytest

from mangospoke.announcements import Announcement
from mangospoke.conf.effective import EffectiveConfiguration, EffectiveKey
from mangospoke.conf.settings import Limits
from mangospoke.guard.guard import Guard
from mangospoke.observability.decisions import DecisionLog
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import RefusalReason
from tests.harness.calls import make_call

UNUSED_ADDRESS = "127.0.0.1:9"
"""Nothing listens here: an admitted call is refused as unreachable."""


def make_configuration(version, *keys):
    effective = EffectiveConfiguration(version)
    effective.keys_by_id.update(
        {key: EffectiveKey("acme", None, False) for key in keys}
    )
    return effective


def make_keyed_call(version, key_id="new"):
    return make_call(
        1, key_id=key_id, headers=[(b"host", b"x")], target=b"/", version=version
    )


@pytest.fixture
def fleet():
    return Fleet("s")


@pytest.fixture
async def guard(fleet):
    new_guard = Guard(fleet, Limits(), DecisionLog())
    fleet.activate_configuration(make_configuration(34, "old"))
    new_guard.attach(
        Announcement(service="batches", address=UNUSED_ADDRESS, slots=4, connections=9)
    )
    return new_guard


async def test_a_key_added_by_a_newer_version_is_not_refused_by_an_older(guard):
    outcome = await guard.execute(make_keyed_call(version=37))
    assert outcome.reason is RefusalReason.UPSTREAM_UNREACHABLE


async def test_a_key_removed_by_a_newer_version_is_refused(guard, fleet):
    fleet.activate_configuration(make_configuration(38, "old"))
    outcome = await guard.execute(make_keyed_call(version=37))
    assert outcome.reason is RefusalReason.KEY_WITHDRAWN


async def test_the_version_that_authenticated_a_key_does_not_check_it_again(guard):
    outcome = await guard.execute(make_keyed_call(version=34, key_id="old"))
    assert outcome.reason is RefusalReason.UPSTREAM_UNREACHABLE
