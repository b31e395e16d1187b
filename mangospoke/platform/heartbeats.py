"""Heartbeats of the upstream on this machine, at the platform's `control` address."""

from collections.abc import Callable

import msgspec
from loguru import logger
from msgspec import Struct

from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.ids import InstanceId, ServiceName
from mangospoke.platform.settings import parse_duration_ms
from mangospoke.state.registrar import Heartbeat, HeartbeatState

_PREFIX = "/instances/"
_STATES = {
    "ready": HeartbeatState.SERVING,
    "draining": HeartbeatState.DRAINING,
}
_JSON = [(b"content-type", b"application/json")]


class _Info(Struct, frozen=True):
    service: str
    slots: int


class _Status(Struct, frozen=True, rename="camel"):
    """What changes while an upstream runs.

    Attributes:
        cold_left: How much longer it is slow after its start.
    """

    state: str
    seq: int
    cold_left: str = "0ms"


class _Beat(Struct, frozen=True):
    """What an upstream says of itself.

    Attributes:
        born: Unix milliseconds of its start.
    """

    address: str
    info: _Info
    status: _Status
    born: int = 0


class HeartbeatEntrance:
    """Reads heartbeats and farewells, and answers them."""

    def __init__(self, take: Callable[[Heartbeat], bool]) -> None:
        self._take = take
        self._latest: Heartbeat | None = None

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Takes `PUT /instances/ID` and `DELETE /instances/ID`."""
        instance = InstanceId(request.path.removeprefix(_PREFIX))
        if not request.path.startswith(_PREFIX) or not instance:
            return _answer(404)
        if request.method == b"DELETE":
            return self._take_farewell(instance)
        if request.method != b"PUT":
            return _answer(405)
        heartbeat = _read(instance, request.body.content or b"")
        if heartbeat is None:
            return _answer(400)
        if self._take(heartbeat):
            self._latest = heartbeat
        return _answer(200)

    def _take_farewell(self, instance: InstanceId) -> HttpResponse:
        latest = self._latest
        if latest is not None and latest.instance == instance:
            self._take(
                Heartbeat(
                    instance=instance,
                    service=latest.service,
                    address=latest.address,
                    slots=latest.slots,
                    state=HeartbeatState.LEAVING,
                    started_at_ms=latest.started_at_ms,
                    sequence=latest.sequence + 1,
                    cold_left_ms=0,
                )
            )
        return _answer(200)


def _read(instance: InstanceId, content: bytes) -> Heartbeat | None:
    """Reads a heartbeat; None if another writer sent what names no upstream."""
    try:
        beat = msgspec.json.decode(content, type=_Beat)
        return Heartbeat(
            instance=instance,
            service=ServiceName(beat.info.service),
            address=beat.address,
            slots=beat.info.slots,
            state=_STATES[beat.status.state],
            started_at_ms=beat.born,
            sequence=beat.status.seq,
            cold_left_ms=int(parse_duration_ms(beat.status.cold_left)),
        )
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        logger.bind(event="heartbeat_unreadable", instance=instance).warning(
            "a heartbeat can't be read: {!r}", error
        )
        return None


def _answer(status: int) -> HttpResponse:
    return HttpResponse(status, _JSON, buffered_body(b"{}"))
