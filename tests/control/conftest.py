"""Fixture that starts control planes on loopback addresses."""

import pytest
import trio

from mangospoke.control.messages import Probe, ProbeAnswer
from mangospoke.control.transport import ControlPlane
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
        return ProbeAnswer(HostId("h1"), Incarnation(1), 0)


@pytest.fixture
async def start_plane(nursery):
    """Makes control planes; one with an address also serves requests there."""
    planes = []

    async def start(address, secret, *previous):
        plane = ControlPlane(secret, previous)
        planes.append(plane)
        probe_handler = ProbeHandler()
        plane.handlers_by_type[Probe] = probe_handler.handle_probe
        if address is not None:
            await nursery.start(plane.serve, address)
        return plane, probe_handler

    yield start
    for plane in planes:
        plane.close()
    nursery.cancel_scope.cancel()
    await trio.lowlevel.checkpoint()
