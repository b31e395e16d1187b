"""How a stand-in upstream behaves: its settings, and the faults set on demand."""

import enum
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from mangospoke.ids import ServiceName

Milliseconds = Annotated[float, Meta(ge=0)]
Probability = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=0)]


class _Table(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the tables: unknown names are faults."""


class Distribution(enum.Enum):
    """Shapes of service times."""

    FIXED = "fixed"
    EXPONENTIAL = "exponential"
    LOGNORMAL = "lognormal"


class ServiceTime(_Table, frozen=True, kw_only=True):
    """Time that a request occupies its slot, without its sub-calls.

    Attributes:
        mean_ms: Mean in milliseconds.
        sigma: Standard deviation of the logarithm; lognormal only.
    """

    distribution: Distribution = Distribution.FIXED
    mean_ms: Milliseconds = 10
    sigma: float = 0.5


class SubCall(_Table, frozen=True, kw_only=True):
    """A call that a request makes through the daemon's local listener.

    Attributes:
        path: Path and query; `{id}` stands for the last segment of the request's
            own path, `{call}` for the field `call` of its query, `{number}` for the
            number of its execution.
        count: Calls made at once.
        probability: Probability that the calls are made at all.
        body_bytes: Bytes of the body of a POST.
        optional: Whether the request succeeds without it.
    """

    path: str
    method: str = "GET"
    count: Annotated[int, Meta(gt=0)] = 1
    probability: Probability = 1
    body_bytes: Count = 0
    optional: bool = False


class Endpoint(_Table, frozen=True, kw_only=True):
    """What the requests do whose path matches; the first match counts.

    Attributes:
        path: Shell pattern of the path, such as `/batches/*`.
        method: The method, or empty for any.
        service_time: Overrides the upstream's.
        answer_bytes: Least size of the answer's body.
        calls: Sub-calls, one group after the other.
    """

    path: str = "*"
    method: str = ""
    service_time: ServiceTime | None = None
    answer_bytes: Count = 0
    calls: tuple[SubCall, ...] = ()


class ColdStart(_Table, frozen=True, kw_only=True):
    """Slowness after the start: the factor falls to 1 over the duration."""

    duration_ms: Milliseconds = 0
    factor: float = 1


class UpstreamSettings(_Table, frozen=True, kw_only=True):
    """All settings of one stand-in upstream.

    Attributes:
        address: IP and port for requests; port 0 takes a free one.
        control_address: A second address for the control paths alone, which answers
            when all connections are taken; none if empty.
        local_listener: The local listener of the daemon on this host; without
            one, nothing is announced and no sub-call can be made.
        slots: Requests that it works on at once.
        queue: Requests that wait for a slot; more are shed. None for any number.
        connections: Connections that it keeps; more are closed at once.
        announced_slots: Slots that it announces; the true number if None.
        deadline_aware: Whether it stops work whose deadline has passed.
        sub_call_timeout_ms: Milliseconds after which a sub-call is given up.
        crash_mark: A request whose target contains it crashes the upstream.
        crash_after_ms: Milliseconds of work before such a crash.
        drain_timeout_ms: Milliseconds to finish requests in when asked to stop.
        record_path: File to which executions are appended as well, as JSON lines,
            so that they outlive a crash; none if empty.
        seed: Seeds service times, probabilities of sub-calls and faults.
    """

    service: ServiceName
    address: str = "127.0.0.1:0"
    control_address: str = ""
    local_listener: str = ""
    slots: Annotated[int, Meta(gt=0)] = 16
    queue: Count | None = None
    connections: Annotated[int, Meta(gt=0)] = 200
    announced_slots: Annotated[int, Meta(gt=0)] | None = None
    service_time: ServiceTime = ServiceTime()
    cold_start: ColdStart = ColdStart()
    endpoints: tuple[Endpoint, ...] = ()
    deadline_aware: bool = True
    sub_call_timeout_ms: Milliseconds = 10_000
    crash_mark: str = "crash-upstream"
    crash_after_ms: Milliseconds = 0
    drain_timeout_ms: Milliseconds = 10_000
    record_path: str = ""
    seed: int = 0


class HealthReport(enum.Enum):
    """What the health endpoint says."""

    TRUE = "true"
    HEALTHY = "healthy"
    UNHEALTHY = "unhealthy"


class LoadLie(enum.Enum):
    """What the load endpoint says."""

    TRUE = "true"
    IDLE = "idle"
    BUSY = "busy"


class EndlessPart(enum.Enum):
    """The part of an answer that has no end."""

    HEAD = "head"
    INFORMATIONAL = "informational"
    OTHER_ANSWERS = "other-answers"
    GARBAGE = "garbage"
    CHUNKED_BODY = "chunked-body"
    BODY_WITHOUT_LENGTH = "body-without-length"


class Chance(_Table, frozen=True, kw_only=True):
    """How often a fault strikes: the next `count` requests, then by probability."""

    count: Count = 0
    probability: Probability = 0


class UpstreamFaults(_Table, frozen=True, kw_only=True):
    """How an upstream misbehaves; a POST replaces all of it.

    Attributes:
        slow_factor: Factor on service times.
        slow_for_ms: Milliseconds after which it is back to normal; None for never.
        shed: Requests refused with the documented shed answer, without running.
        crossed: Answers that carry another request's id and content.
        late: Answers held back by `late_ms` once the work is done.
        truncated: Answers cut in the middle of the body.
        dropped: Requests that run and whose connection is then closed.
        stalled: Requests that start and never end by themselves.
        endless: Answers of which one part goes on until the connection is closed.
        endless_part: That part.
        endless_pause_ms: Pause between two pieces of it; 0 for full speed.
        ignores_cancellation: Whether work goes on when its connection is closed.
        health: What the health endpoint says.
        load: What the load endpoint says.
        report_lag_ms: How far health and load lag behind.
    """

    slow_factor: Annotated[float, Meta(gt=0)] = 1
    slow_for_ms: Milliseconds | None = None
    shed: Chance = Chance()
    crossed: Chance = Chance()
    late: Chance = Chance()
    late_ms: Milliseconds = 1_000
    truncated: Chance = Chance()
    dropped: Chance = Chance()
    stalled: Chance = Chance()
    endless: Chance = Chance()
    endless_part: EndlessPart = EndlessPart.CHUNKED_BODY
    endless_pause_ms: Milliseconds = 0
    ignores_cancellation: bool = False
    health: HealthReport = HealthReport.TRUE
    load: LoadLie = LoadLie.TRUE
    report_lag_ms: Milliseconds = 0


def load_upstream_settings(path: Path) -> UpstreamSettings:
    """Reads settings from a TOML or JSON file.

    Raises:
        msgspec.MsgspecError: If it isn't such a file or doesn't fit the types.
    """
    decode = msgspec.json.decode if path.suffix == ".json" else msgspec.toml.decode
    return decode(path.read_bytes(), type=UpstreamSettings)
