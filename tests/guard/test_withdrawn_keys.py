"""Keys are checked again beside the upstream, by whoever knows the newer version."""

import pytest

from mangospoke.announcements import Announcement
from mangospoke.conf.effective import EffectiveConfiguration, EffectiveKey
from mangospoke.conf.settings import Limits
from mangospoke.guard.guard import Guard
from mangospoke.observability.decisions import DecisionLog
from mangospoke.state.fleet import Fleet
from mangospoke.verdicts import RefusalReason
from tests.harness.calls import make_call

NOBODY = "127.0.0.1:9"
"""Nothing listens here, so that a call that is let through is unreachable."""


def configuration(version, *keys):
    made = EffectiveConfiguration(version)
    made.keys_by_id.update({key: EffectiveKey("acme", None, False) for key in keys})
    return made


def call(version, key_id="new"):
    return make_call(
        1, key_id=key_id, headers=[(b"host", b"x")], target=b"/", version=version
    )


@pytest.fixture
def fleet():
    return Fleet("s")


@pytest.fixture
async def guard(fleet):
    made = Guard(fleet, Limits(), DecisionLog())
    fleet.put_configuration(configuration(34, "old"))
    made.attach(Announcement(service="batches", address=NOBODY, slots=4, connections=9))
    return made


async def test_a_key_that_a_newer_version_brought_is_not_refused_by_an_older(guard):
    outcome = await guard.execute(call(version=37))
    assert outcome.reason is RefusalReason.UPSTREAM_UNREACHABLE


async def test_a_key_that_a_newer_version_took_away_is_refused(guard, fleet):
    fleet.put_configuration(configuration(38, "old"))
    outcome = await guard.execute(call(version=37))
    assert outcome.reason is RefusalReason.KEY_WITHDRAWN


async def test_the_version_that_let_a_key_in_is_not_asked_again(guard):
    outcome = await guard.execute(call(version=34, key_id="old"))
    assert outcome.reason is RefusalReason.UPSTREAM_UNREACHABLE
