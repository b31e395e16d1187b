"""Reporting of the queue delay of the services that an upstream calls."""

import pytest

from mangospoke.ingress.callees import Callees

CALLS_PER_S = 20


def record_calls(callees, service, duration_s, start=0.0, calls_per_s=CALLS_PER_S):
    """Records calls at a constant rate and returns the time of the last one."""
    now = start
    for number in range(int(duration_s * calls_per_s)):
        now = start + number / calls_per_s
        callees.record_call(service, now)
    return now


def test_longest_delay_of_callees_is_reported():
    callees = Callees("batches")
    record_calls(callees, "bookings", 3)
    now = record_calls(callees, "stock", 3)
    delay_by_service = {"bookings": 0.2, "stock": 0.1, "never-called": 5.0}
    assert callees.delay_s(delay_by_service.__getitem__, now) == pytest.approx(
        0.2, rel=0.1
    )


def test_service_that_is_no_longer_called_is_forgotten():
    callees = Callees("batches")
    now = record_calls(callees, "bookings", 3)
    assert callees.delay_s(lambda service: 0.2, now) > 0
    assert callees.delay_s(lambda service: 0.2, now + 10) == 0


def test_occasional_requests_by_other_processes_are_ignored():
    callees = Callees("stock")
    now = record_calls(callees, "bookings", 20, calls_per_s=1)
    assert callees.delay_s(lambda service: 0.2, now) == 0


def test_calls_of_own_service_are_ignored():
    callees = Callees("stock")
    now = record_calls(callees, "stock", 3)
    assert callees.delay_s(lambda service: 0.2, now) == 0


def test_delay_decays_where_calls_form_a_cycle():
    # Load pattern: services that call each other in a cycle, after an overload.
    cycle = [Callees(name) for name in ("a", "b", "c")]
    for number, callees in enumerate(cycle):
        record_calls(callees, "abc"[(number + 1) % 3], 10)
    own_delay_by_service = {"a": 0.0, "b": 0.0, "c": 0.5}
    now = 10.0

    def read_delay_s(service):
        downstream_delay_s = cycle["abc".index(service)].delay_s(read_delay_s, now)
        return max(own_delay_by_service[service], downstream_delay_s)

    assert read_delay_s("a") > 0.3
    own_delay_by_service["c"] = 0.0
    for _ in range(200):
        now += 0.04
        for number, callees in enumerate(cycle):
            callees.record_call("abc"[(number + 1) % 3], now)
        read_delay_s("a")
    assert read_delay_s("a") < 0.03
