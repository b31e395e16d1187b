"""Tests of when a prober declares another daemon dead."""

import random

import pytest

from mangospoke.control.interface import ControlError
from mangospoke.control.messages import (
    IndirectProbe,
    IndirectProbeResponse,
    Probe,
    ProbeResponse,
)
from mangospoke.state.liveness import LivenessProber
from tests.state.records import announced

TARGET = announced("t", 5)


class FakeControl:
    """Answers for the probed target and for the confirming peers."""

    def __init__(self, target=None, confirmers=()):
        self.target = target
        self.confirmers = list(confirmers)
        self.probes = 0

    async def send_request(self, address, question, answer_type, timeout_s):
        if isinstance(question, Probe):
            self.probes += 1
            if self.target is None:
                raise ControlError("silent")
            return self.target
        assert isinstance(question, IndirectProbe)
        finding = self.confirmers.pop() if self.confirmers else None
        if finding is None:
            raise ControlError("silent")
        return IndirectProbeResponse(finding)


class FakeTopology:
    def __init__(self, peers):
        self._peers = peers

    def peers(self):
        return self._peers


class FakeWriter:
    def __init__(self):
        self.pending_by_host = {}

    def want(self, record):
        self.pending_by_host[record.host_id] = record

    def withdraw(self, host_id):
        self.pending_by_host.pop(host_id, None)


def make_prober(control, peers=("t:2", "x:2", "y:2", "z:2")):
    writer = FakeWriter()
    topology = FakeTopology(list(peers))
    prober = LivenessProber("me", control, topology, writer, random.Random(1))
    return prober, writer.pending_by_host


def answer(host_id="t", incarnation=5):
    return ProbeResponse(host_id, incarnation, 1)


@pytest.mark.parametrize(
    ("findings", "is_declared"),
    [
        ([False, False, False], True),
        ([False, None, None], True),
        ([False, True, False], False),
        ([None, None, None], False),
    ],
)
async def test_a_silent_host_is_declared_dead_only_if_another_cant_reach_it(
    autojump_clock, findings, is_declared
):
    """If no peer answers either, the prober itself may be cut off."""
    prober, pending = make_prober(FakeControl(None, findings))
    await prober._check(TARGET)
    assert ("t" in pending) is is_declared


async def test_the_only_peer_is_declared_dead_after_more_attempts(autojump_clock):
    control = FakeControl(None)
    prober, pending = make_prober(control, peers=("t:2",))
    await prober._check(TARGET)
    assert pending["t"].incarnation == 5
    assert control.probes > 3


async def test_an_answer_withdraws_a_declaration_that_is_still_pending(autojump_clock):
    control = FakeControl(None, [False])
    prober, pending = make_prober(control)
    await prober._check(TARGET)
    assert "t" in pending
    control.target = answer()
    await prober._check(TARGET)
    assert pending == {}


@pytest.mark.parametrize("other", [answer(incarnation=0), answer("u", 9)])
async def test_an_incarnation_is_dead_if_another_one_keeps_answering(
    autojump_clock, other
):
    prober, pending = make_prober(FakeControl(other))
    await prober._check(TARGET)
    assert pending == {}
    for _ in range(2):
        await prober._check(TARGET)
    assert pending["t"].incarnation == 5
