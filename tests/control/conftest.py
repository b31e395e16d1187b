"""Fixtures: an address of the test's own, and control channels that serve there."""

import pytest
import trio

from mangospoke.bench.network import reserve_network
from mangospoke.control.messages import Probe, ProbeResponse
from mangospoke.control.transport import NngControlChannel
from mangospoke.ids import HostId, Incarnation


class ProbeHandler:
    """Counts probes and responds to them; first waits for `release` if it is set."""

    def __init__(self):
        self.probe_count = 0
        self.release = None

    async def handle_probe(self, _):
        self.probe_count += 1
        if self.release is not None:
            await self.release.wait()
        return ProbeResponse(HostId("h1"), Incarnation(1), 0)


@pytest.fixture
def address():
    """An address at which no other test run on this machine listens."""
    with reserve_network() as network:
        yield f"{network.host_ip(0)}:7411"


@pytest.fixture
async def start_channel(nursery):
    """Makes control channels; one with an address also serves requests there."""
    channels = []

    async def start(address, secret, *previous):
        channel = NngControlChannel(secret, previous)
        channels.append(channel)
        probe_handler = ProbeHandler()
        channel.handlers_by_type[Probe] = probe_handler.handle_probe
        if address is not None:
            await nursery.start(channel.serve, address)
        return channel, probe_handler

    yield start
    for channel in channels:
        channel.close()
    nursery.cancel_scope.cancel()
    await trio.lowlevel.checkpoint()
