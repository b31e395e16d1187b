"""What is told of the services below."""

import pytest

from mangospoke.ingress.callees import Callees

CALLS_PER_S = 20


def call(callees, service, seconds, start=0.0, per_s=CALLS_PER_S):
    """Makes calls at an even rate and returns the time of the last."""
    now = start
    for number in range(int(seconds * per_s)):
        now = start + number / per_s
        callees.called(service, now)
    return now


def test_the_longest_delay_of_the_services_called_is_told():
    callees = Callees("batches")
    call(callees, "bookings", 3)
    now = call(callees, "stock", 3)
    delays = {"bookings": 0.2, "stock": 0.1, "never-called": 5.0}
    assert callees.delay_s(delays.__getitem__, now) == pytest.approx(0.2, rel=0.1)


def test_a_service_that_is_called_no_more_is_forgotten():
    callees = Callees("batches")
    now = call(callees, "bookings", 3)
    assert callees.delay_s(lambda service: 0.2, now) > 0
    assert callees.delay_s(lambda service: 0.2, now + 10) == 0


def test_a_few_requests_of_others_on_the_host_name_no_service():
    callees = Callees("stock")
    now = call(callees, "bookings", 20, per_s=1)
    assert callees.delay_s(lambda service: 0.2, now) == 0


def test_an_upstream_that_calls_its_own_service_has_nothing_below():
    callees = Callees("stock")
    now = call(callees, "stock", 3)
    assert callees.delay_s(lambda service: 0.2, now) == 0


def test_a_delay_does_not_go_round_for_ever():
    # Load pattern: services that call each other in a circle, after an overload.
    circle = [Callees(name) for name in ("a", "b", "c")]
    for number, callees in enumerate(circle):
        call(callees, "abc"[(number + 1) % 3], 10)
    own = {"a": 0.0, "b": 0.0, "c": 0.5}
    now = 10.0

    def read(service):
        below = circle["abc".index(service)].delay_s(read, now)
        return max(own[service], below)

    assert read("a") > 0.3
    own["c"] = 0.0
    for _ in range(200):
        now += 0.04
        for number, callees in enumerate(circle):
            callees.called("abc"[(number + 1) % 3], now)
        read("a")
    assert read("a") < 0.03
