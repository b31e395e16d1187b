"""Admission measured in one process: an upstream, callers that retry, a virtual clock.

The same load runs against the guard's admission, a fixed limit and no control at
all, so that the figures can be compared. Run `python -m mangospoke.bench.admission`.
"""

import random
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
import trio
import trio.testing

from mangospoke.calls import Call, RetryAllowance
from mangospoke.conf.declarations import Importance
from mangospoke.guard.admission import AdmissionController, Completion
from mangospoke.http.bodies import buffered_body
from mangospoke.ids import ClientAccountId, RequestId, RouteName, ServiceName
from mangospoke.verdicts import Refused

_SERVICE_TIME_S = 0.04
_SERVICE_TIME_SIGMA = 0.5
_DEADLINE_S = 0.5
_ATTEMPTS = 4
_BACKOFF_S = 0.02


@dataclass(frozen=True, slots=True)
class Demand:
    """What one account asks of the upstream.

    Attributes:
        rate: Requests a second, open loop.
        slowness: Factor on the service time of its requests.
    """

    account_id: ClientAccountId
    rate: float
    importance: Importance = Importance.NORMAL
    slowness: float = 1.0


@dataclass(slots=True)
class Tally:
    """What became of the requests of one run.

    Attributes:
        asked: Requests by account; their retries don't count.
        answered: Requests answered whole in time, by account.
        asked_by_second: Requests by second of their arrival.
        answered_by_second: Requests answered in time, by second of their arrival.
        executions: Attempts that the upstream began to run.
    """

    asked: Counter[str] = field(default_factory=Counter)
    answered: Counter[str] = field(default_factory=Counter)
    asked_by_second: Counter[int] = field(default_factory=Counter)
    answered_by_second: Counter[int] = field(default_factory=Counter)
    executions: int = 0

    def served_share(self, account_id: str) -> float:
        """Share of an account's requests that were answered in time."""
        return self.answered[account_id] / max(1, self.asked[account_id])

    def goodput(self, first_second: int, last_second: int) -> float:
        """Requests answered a second, over a part of the run."""
        seconds = range(first_second, last_second)
        return sum(self.answered_by_second[s] for s in seconds) / len(seconds)


class FakeUpstream:
    """Runs requests in slots; the rest wait inside it, in order of arrival.

    Attributes:
        slow_factor: Factor on service times now.
    """

    def __init__(self, slots: int, seed: int) -> None:
        self.slow_factor = 1.0
        self.executions = 0
        self._slots = trio.Semaphore(slots)
        self._random = random.Random(seed)

    async def run(self, slowness: float) -> None:
        """Runs one request."""
        sigma = _SERVICE_TIME_SIGMA
        drawn = self._random.lognormvariate(-sigma * sigma / 2, sigma)
        async with self._slots:
            self.executions += 1
            await trio.sleep(_SERVICE_TIME_S * drawn * slowness * self.slow_factor)


Executor = Callable[[Call, float], Awaitable[bool]]
"""Runs a call and says whether it was answered."""


def uncontrolled(upstream: FakeUpstream) -> Executor:
    """Makes an executor that sends on whatever comes."""

    async def execute(call: Call, slowness: float) -> bool:
        await upstream.run(slowness)
        return True

    return execute


def fixed_limit(upstream: FakeUpstream, limit: int) -> Executor:
    """Makes an executor with a fixed limit and a queue in order of arrival."""
    places = trio.Semaphore(limit)

    async def execute(call: Call, slowness: float) -> bool:
        async with places:
            await upstream.run(slowness)
        return True

    return execute


def admitted(upstream: FakeUpstream, admission: AdmissionController) -> Executor:
    """Makes an executor behind the guard's admission."""

    async def execute(call: Call, slowness: float) -> bool:
        place = await admission.acquire(call)
        if isinstance(place, Refused):
            return False
        completion = Completion.ABORTED
        try:
            await upstream.run(slowness)
            completion = Completion.COMPLETE
        finally:
            admission.release(place, completion)
        return True

    return execute


def new_admission(
    announced_slots: int, cold_start_s: float = 0.0
) -> AdmissionController:
    """Makes an admission for an upstream that has just announced itself."""
    admission = AdmissionController()
    now = trio.current_time()
    admission.concurrency.start_cold(announced_slots, now, cold_start_s)
    return admission


def make_call(demand: Demand, deadline: float) -> Call:
    """Makes a call as the guard gets it."""
    return Call(
        request_id=RequestId(""),
        account_id=demand.account_id,
        key_id=None,
        service=ServiceName("batches"),
        route=RouteName(f"route-{demand.slowness}"),
        method=b"GET",
        target=b"/",
        headers=[],
        body=buffered_body(b""),
        deadline=deadline,
        importance=demand.importance,
        idempotent=True,
        idempotency_key=None,
        retries=RetryAllowance(0),
    )


async def drive(
    execute: Executor, demands: list[Demand], duration_s: float, seed: int
) -> Tally:
    """Sends the demand of all accounts and returns what became of it."""
    tally = Tally()
    started = trio.current_time()

    async def request(demand: Demand) -> None:
        second = int(trio.current_time() - started)
        tally.asked[demand.account_id] += 1
        tally.asked_by_second[second] += 1
        deadline = trio.current_time() + _DEADLINE_S
        with trio.move_on_at(deadline):
            for _ in range(_ATTEMPTS):
                if await execute(make_call(demand, deadline), demand.slowness):
                    tally.answered[demand.account_id] += 1
                    tally.answered_by_second[second] += 1
                    return
                await trio.sleep(_BACKOFF_S)

    async def arrivals(demand: Demand, source: random.Random) -> None:
        until = started + duration_s
        while trio.current_time() < until:
            await trio.sleep(source.expovariate(demand.rate))
            nursery.start_soon(request, demand)

    async with trio.open_nursery() as nursery:
        for number, demand in enumerate(demands):
            source = random.Random(seed * 1_000 + number)
            nursery.start_soon(arrivals, demand, source)
    return tally


Control = Callable[[FakeUpstream], Executor]


def run_virtual(
    control: Control,
    demands: list[Demand],
    *,
    slots: int,
    duration_s: float,
    slow: tuple[float, float, float] | None = None,
    seed: int = 1,
) -> Tally:
    """Runs one experiment on a virtual clock.

    Args:
        control: Makes the executor under test.
        demands: What the accounts ask.
        slots: Slots that the upstream has in truth.
        duration_s: Seconds of arrivals.
        slow: Start, end and factor of a slow-down.
        seed: Seed of arrivals and service times.
    """

    async def run() -> Tally:
        upstream = FakeUpstream(slots, seed)
        async with trio.open_nursery() as nursery:
            if slow is not None:
                nursery.start_soon(_slow_down, upstream, *slow)
            tally = await drive(control(upstream), demands, duration_s, seed)
            nursery.cancel_scope.cancel()
        tally.executions = upstream.executions
        return tally

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


async def _slow_down(
    upstream: FakeUpstream, start_s: float, end_s: float, factor: float
) -> None:
    await trio.sleep(start_s)
    upstream.slow_factor = factor
    await trio.sleep(end_s - start_s)
    upstream.slow_factor = 1.0


def capacity(slots: int) -> float:
    """Requests a second that an upstream with so many slots can run."""
    return slots / _SERVICE_TIME_S


def even_demand(rate: float, accounts: int = 4) -> list[Demand]:
    """Makes a demand that is spread evenly over accounts."""
    return [
        Demand(ClientAccountId(f"account-{number}"), rate / accounts)
        for number in range(accounts)
    ]


def recovery_s(tally: Tally, from_second: int, until: int) -> int | None:
    """Seconds after which 95 % of what is asked stays answered; None for never."""
    bad = [
        second
        for second in range(from_second, until)
        if tally.answered_by_second[second] < 0.95 * tally.asked_by_second[second]
    ]
    if not bad:
        return 0
    last_bad = max(bad)
    return None if last_bad == until - 1 else last_bad + 1 - from_second


def controls(slots: int, announced_slots: int) -> dict[str, Control]:
    """Makes the three controls that are compared."""
    return {
        "guard": lambda u: admitted(u, new_admission(announced_slots)),
        "fixed limit": lambda u: fixed_limit(u, announced_slots),
        "none": uncontrolled,
    }


def _goodput_table(slots: int, announced: int) -> dict[str, dict[str, float]]:
    table: dict[str, dict[str, float]] = {}
    for name, control in controls(slots, announced).items():
        table[name] = {}
        for load in (0.5, 1.0, 2.0, 4.0):
            demand = even_demand(load * capacity(slots))
            tally = run_virtual(control, demand, slots=slots, duration_s=10)
            table[name][f"{load}x"] = round(tally.goodput(2, 10), 1)
    return table


def _recovery_table(slots: int) -> dict[str, dict[str, float | None]]:
    table: dict[str, dict[str, float | None]] = {}
    demand = even_demand(0.8 * capacity(slots))
    for name, control in controls(slots, slots).items():
        tally = run_virtual(
            control, demand, slots=slots, duration_s=30, slow=(5, 15, 10)
        )
        table[name] = {
            "goodput before": tally.goodput(1, 5),
            "goodput while slow": tally.goodput(6, 15),
            "recovery s": recovery_s(tally, 15, 30),
        }
    return table


def _fairness_table(slots: int) -> dict[str, dict[str, float]]:
    rate = capacity(slots)
    demands = [Demand(ClientAccountId(f"modest-{n}"), 0.08 * rate) for n in range(7)]
    demands.append(Demand(ClientAccountId("five-fold"), 5 * 0.3 * rate, slowness=2))
    bookings = Demand(ClientAccountId("bookings"), 0.1 * rate, Importance.CRITICAL)
    demands.append(bookings)
    table: dict[str, dict[str, float]] = {}
    for name, control in controls(slots, slots).items():
        tally = run_virtual(control, demands, slots=slots, duration_s=15)
        shares = {d.account_id: tally.served_share(d.account_id) for d in demands}
        table[name] = {
            "worst modest": min(shares[d.account_id] for d in demands[:7]),
            "five-fold": shares[ClientAccountId("five-fold")],
            "bookings": shares[ClientAccountId("bookings")],
        }
    return table


def main() -> None:
    """Prints the tables as JSON."""
    slots = 10
    tables = {
        "goodput, announced truly": _goodput_table(slots, slots),
        "goodput, announced four-fold": _goodput_table(slots, 4 * slots),
        "ten-fold slow-down for 10 s": _recovery_table(slots),
        "share of requests answered": _fairness_table(slots),
    }
    sys.stdout.buffer.write(msgspec.json.format(msgspec.json.encode(tables)) + b"\n")


if __name__ == "__main__":
    main()
