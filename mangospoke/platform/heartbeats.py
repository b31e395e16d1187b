"""Handles heartbeats of this host's upstream, sent to the `control` address."""

import msgspec
from loguru import logger
from msgspec import Struct

from mangospoke.addresses import DialableAddress
from mangospoke.decoding import WholeNumber, decode_json
from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.ids import FailureDomainId, InstanceId, ServiceName
from mangospoke.logservice.records import Departure
from mangospoke.platform.bounds import parse_duration_ms
from mangospoke.state.heartbeats import Heartbeat, HeartbeatReceiver, HeartbeatState

_INSTANCES_PREFIX = "/instances/"
_MAX_INSTANCE_LENGTH = 200
_STATES_BY_NAME = {
    "ready": HeartbeatState.SERVING,
    "draining": HeartbeatState.DRAINING,
}
_MAX_COLD_LEFT_MS = 3_600_000
"""Longer times are taken for this one."""

_JSON_HEADERS = [(b"content-type", b"application/json")]


class _UpstreamInfo(Struct, frozen=True):
    """What stays the same while an upstream runs."""

    service: str
    slots: WholeNumber
    zone: str = ""


class _UpstreamStatus(Struct, frozen=True, rename="camel"):
    """What changes while an upstream runs.

    Attributes:
        state: `ready` or `draining`.
        seq: Number of the heartbeat within the process run.
        cold_left: Remaining warm-up time, as a duration; None if not reported.
    """

    state: str
    seq: WholeNumber
    cold_left: str | None = None


class _HeartbeatBody(Struct, frozen=True):
    """The body of a heartbeat.

    Attributes:
        address: IP and port at which the upstream takes requests.
        born: Start time of the upstream in Unix milliseconds; 0 if not reported.
    """

    address: DialableAddress
    info: _UpstreamInfo
    status: _UpstreamStatus
    born: WholeNumber = 0


class HeartbeatRequestHandler:
    """Handles the upstream's heartbeat and deregistration requests.

    A departure is acknowledged only once it is recorded, so that it binds the next
    daemon on this host too. An upstream without an acknowledgment says it again.
    """

    def __init__(self, receiver: HeartbeatReceiver) -> None:
        self._receiver = receiver

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles `PUT /instances/ID` and `DELETE /instances/ID`."""
        instance = InstanceId(request.path.removeprefix(_INSTANCES_PREFIX))
        is_instance = 0 < len(instance) <= _MAX_INSTANCE_LENGTH
        if not request.path.startswith(_INSTANCES_PREFIX) or not is_instance:
            return _build_response(404)
        if request.method == b"DELETE":
            departure = self._receiver.handle_deregistration(instance)
            return await self._acknowledge_departure(departure)
        if request.method != b"PUT":
            return _build_response(405)
        heartbeat = _parse_heartbeat(instance, request.body.content or b"")
        if heartbeat is None:
            return _build_response(400)
        self._receiver.handle_heartbeat(heartbeat)
        if heartbeat.state is HeartbeatState.SERVING:
            return _build_response(200)
        return await self._acknowledge_departure(heartbeat.departure())

    async def _acknowledge_departure(self, departure: Departure) -> HttpResponse:
        is_recorded = await self._receiver.wait_recorded(departure)
        return _build_response(200 if is_recorded else 503)


def _parse_heartbeat(instance: InstanceId, content: bytes) -> Heartbeat | None:
    """Parses a heartbeat.

    Logs the error and returns None if it is invalid: processes other than upstreams
    may send requests to this address.
    """
    try:
        body = decode_json(content, _HeartbeatBody)
        return Heartbeat(
            instance=instance,
            service=ServiceName(body.info.service),
            address=body.address,
            slots=body.info.slots,
            state=_STATES_BY_NAME[body.status.state],
            started_at_ms=body.born,
            sequence=body.status.seq,
            failure_domain=FailureDomainId(body.info.zone),
            cold_left_ms=_parse_cold_left_ms(body.status.cold_left),
        )
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        logger.bind(event="heartbeat_unreadable", instance=instance).warning(
            "cannot parse the heartbeat: {!r}", error
        )
        return None


def _parse_cold_left_ms(text: str | None) -> int | None:
    if text is None:
        return None
    return int(min(parse_duration_ms(text), _MAX_COLD_LEFT_MS))


def _build_response(status: int) -> HttpResponse:
    return HttpResponse(status, _JSON_HEADERS, buffered_body(b"{}"))
