"""Handles heartbeats of this host's upstream, sent to the `control` address."""

from collections.abc import Callable
from typing import Annotated

import msgspec
from loguru import logger
from msgspec import Meta, Struct

from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.ids import InstanceId, ServiceName
from mangospoke.numbers import MAX_WHOLE_NUMBER
from mangospoke.platform.bounds import parse_duration_ms
from mangospoke.state.registrar import Heartbeat, HeartbeatState

_INSTANCES_PREFIX = "/instances/"
_STATES_BY_NAME = {
    "ready": HeartbeatState.SERVING,
    "draining": HeartbeatState.DRAINING,
}
_WholeNumber = Annotated[int, Meta(ge=0, le=MAX_WHOLE_NUMBER)]

_JSON_HEADERS = [(b"content-type", b"application/json")]


class _UpstreamInfo(Struct, frozen=True):
    """What stays the same while an upstream runs."""

    service: str
    slots: _WholeNumber


class _UpstreamStatus(Struct, frozen=True, rename="camel"):
    """What changes while an upstream runs.

    Attributes:
        state: `ready` or `draining`.
        seq: Number of the heartbeat within the process run.
        cold_left: Remaining warm-up time, as a duration.
    """

    state: str
    seq: _WholeNumber
    cold_left: str = "0ms"


class _HeartbeatBody(Struct, frozen=True):
    """The body of a heartbeat.

    Attributes:
        address: IP and port at which the upstream takes requests.
        born: Start time of the upstream in Unix milliseconds; 0 if not reported.
    """

    address: str
    info: _UpstreamInfo
    status: _UpstreamStatus
    born: _WholeNumber = 0


class HeartbeatRequestHandler:
    """Handles the upstream's heartbeat and deregistration requests.

    The callback returns whether it accepted the heartbeat.
    """

    def __init__(self, on_heartbeat: Callable[[Heartbeat], bool]) -> None:
        self._on_heartbeat = on_heartbeat
        self._last_heartbeat: Heartbeat | None = None

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles `PUT /instances/ID` and `DELETE /instances/ID`."""
        instance = InstanceId(request.path.removeprefix(_INSTANCES_PREFIX))
        if not request.path.startswith(_INSTANCES_PREFIX) or not instance:
            return _build_response(404)
        if request.method == b"DELETE":
            return self._handle_deregistration(instance)
        if request.method != b"PUT":
            return _build_response(405)
        heartbeat = _parse_heartbeat(instance, request.body.content or b"")
        if heartbeat is None:
            return _build_response(400)
        if self._on_heartbeat(heartbeat):
            self._last_heartbeat = heartbeat
        return _build_response(200)

    def _handle_deregistration(self, instance: InstanceId) -> HttpResponse:
        last_heartbeat = self._last_heartbeat
        if last_heartbeat is not None and last_heartbeat.instance == instance:
            self._on_heartbeat(
                Heartbeat(
                    instance=instance,
                    service=last_heartbeat.service,
                    address=last_heartbeat.address,
                    slots=last_heartbeat.slots,
                    state=HeartbeatState.LEAVING,
                    started_at_ms=last_heartbeat.started_at_ms,
                    sequence=last_heartbeat.sequence + 1,
                    cold_left_ms=0,
                )
            )
        return _build_response(200)


def _parse_heartbeat(instance: InstanceId, content: bytes) -> Heartbeat | None:
    """Parses a heartbeat.

    Logs the error and returns None if it is invalid: processes other than upstreams
    may send requests to this address.
    """
    try:
        body = msgspec.json.decode(content, type=_HeartbeatBody)
        cold_left_ms = parse_duration_ms(body.status.cold_left)
        return Heartbeat(
            instance=instance,
            service=ServiceName(body.info.service),
            address=body.address,
            slots=body.info.slots,
            state=_STATES_BY_NAME[body.status.state],
            started_at_ms=body.born,
            sequence=body.status.seq,
            cold_left_ms=int(min(cold_left_ms, MAX_WHOLE_NUMBER)),
        )
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        logger.bind(event="heartbeat_unreadable", instance=instance).warning(
            "cannot parse the heartbeat: {!r}", error
        )
        return None


def _build_response(status: int) -> HttpResponse:
    return HttpResponse(status, _JSON_HEADERS, buffered_body(b"{}"))
