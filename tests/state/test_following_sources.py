"""Which peers a reader follows in place of the log service."""

import random

import pytest

from mangospoke.control.messages import ReadStreamsResponse
from mangospoke.state.fleet import Fleet
from mangospoke.state.following import Follower
from mangospoke.state.relay import Relay

PEER = "127.0.0.1:7001"


class AgeingControl:
    """Peers whose state was last proved some time ago."""

    def __init__(self, age_s):
        self.age_s = age_s

    async def send_request(self, address, request, response_type, timeout_s):
        return ReadStreamsResponse({}, self.age_s * 1_000, False)


@pytest.mark.parametrize(
    ("age_s", "is_kept"),
    [(0.5, True), (5.0, True), (8.0, True), (11.0, False), (19.0, False)],
)
async def test_a_peer_that_hears_nothing_either_is_not_followed(age_s, is_kept):
    # Two readers that took each other as source, both cut off from the log service,
    # kept each other for 20 s, and a withdrawn key worked for as long.
    fleet = Fleet("site")
    control = AgeingControl(age_s)
    follower = Follower(fleet, None, control, FakeTopology(), Relay(fleet), random)
    assert await follower._try_log_substitute(PEER) is is_kept
    assert (follower._remote_source == PEER) is is_kept


class FakeTopology:
    """A reader's place in its failure domain."""

    address = "127.0.0.1:7000"

    def is_reader(self):
        return True
