"""HTTP handler of the operations listener: metrics, health and status."""

from collections.abc import Awaitable, Callable, Mapping

import msgspec

from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.observability.decisions import DecisionLog
from mangospoke.observability.lag import LoopLagMonitor
from mangospoke.observability.metrics import render_metrics
from mangospoke.observability.status import DaemonStatus


class OperationsRequestHandler:
    """Handles requests of operators and monitoring tools."""

    def __init__(
        self,
        read_status: Callable[[], DaemonStatus],
        decisions: DecisionLog,
        lag: LoopLagMonitor,
        lift_quarantine: Callable[[str], Awaitable[bool]],
        dropped_lines: Mapping[str, int],
    ) -> None:
        self._read_status = read_status
        self._decisions = decisions
        self._lag = lag
        self._dropped_lines = dropped_lines
        self._lift_quarantine = lift_quarantine

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serves `/healthz`, `/status` and `/metrics`, and lifts quarantines."""
        if request.method == b"POST" and request.path == "/quarantine/lift":
            return await self._lift(request)
        if request.method != b"GET":
            return _response(405, b"text/plain", b"only GET\n")
        if request.path == "/healthz":
            return self._health()
        if request.path == "/status":
            content = msgspec.json.encode(self._read_status())
            return _response(200, b"application/json", content)
        if request.path == "/metrics":
            content = render_metrics(
                self._read_status(), self._decisions, self._lag, self._dropped_lines
            )
            return _response(200, b"text/plain; version=0.0.4; charset=utf-8", content)
        return _response(404, b"text/plain", b"/healthz, /status, /metrics\n")

    async def _lift(self, request: HttpRequest) -> HttpResponse:
        fingerprint = (request.body.content or b"").decode("latin-1").strip()
        if await self._lift_quarantine(fingerprint):
            return _response(200, b"text/plain", b"lifted\n")
        return _response(404, b"text/plain", b"nothing is held against it here\n")

    def _health(self) -> HttpResponse:
        status = self._read_status()
        if status.draining:
            return _response(503, b"text/plain", b"draining\n")
        if status.configuration_version == 0:
            return _response(503, b"text/plain", b"no configuration yet\n")
        return _response(200, b"text/plain", b"ok\n")


def _response(status: int, content_type: bytes, content: bytes) -> HttpResponse:
    return HttpResponse(
        status, [(b"content-type", content_type)], buffered_body(content)
    )
