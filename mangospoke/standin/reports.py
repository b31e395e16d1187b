"""What a stand-in upstream says of its own health and load, true or not."""

from typing import Protocol

import msgspec
import trio

from mangospoke.announcements import LoadReport
from mangospoke.standin.fault_dice import FaultDice
from mangospoke.standin.http import Response
from mangospoke.standin.upstream_settings import (
    HealthReport,
    LoadLie,
    UpstreamSettings,
)

_SAMPLE_SECONDS = 0.02


class _Worker(Protocol):
    """The part of an upstream that reports read."""

    settings: UpstreamSettings
    dice: FaultDice
    in_flight: int
    queued: int


class Reports:
    """The health and load endpoints; they lag behind when a fault says so."""

    def __init__(self, worker: _Worker) -> None:
        self._worker = worker
        self._sampled_in_flight = 0
        self._sampled_at = float("-inf")

    async def sample(self) -> None:
        """Takes what lagging reports show, until it is cancelled."""
        while True:
            lag = self._worker.dice.faults.report_lag_ms / 1000
            if trio.current_time() - self._sampled_at >= lag:
                self._sampled_in_flight = self._in_flight_now()
                self._sampled_at = trio.current_time()
            await trio.sleep(_SAMPLE_SECONDS)

    def health(self) -> Response:
        """Answers 200 or 503."""
        told = self._worker.dice.faults.health
        is_healthy = told is not HealthReport.UNHEALTHY
        if told is HealthReport.TRUE:
            # More waiting than working: a truthful upstream is unwell.
            is_healthy = self._in_flight() <= 2 * self._worker.settings.slots
        return Response(200, b"ok\n") if is_healthy else Response(503, b"unwell\n")

    def load(self) -> Response:
        """Answers a `LoadReport`."""
        slots = self._worker.settings.slots
        in_flight = self._in_flight()
        if self._worker.dice.faults.load is LoadLie.IDLE:
            in_flight = 0
        elif self._worker.dice.faults.load is LoadLie.BUSY:
            in_flight = slots
        report = LoadReport(in_flight=in_flight, slots=slots)
        headers = [(b"content-type", b"application/json")]
        return Response(200, msgspec.json.encode(report), headers)

    def _in_flight(self) -> int:
        if self._worker.dice.faults.report_lag_ms:
            return self._sampled_in_flight
        return self._in_flight_now()

    def _in_flight_now(self) -> int:
        return self._worker.in_flight + self._worker.queued
