"""What a route's requests need: learned from runs that succeeded."""

from mangospoke.routing.route_callees import RouteCallees


def run(callees, number, called, *, route="r", is_complete=True):
    callees.begin_run(f"q{number}")
    for service in called:
        callees.record_call(f"q{number}", service)
    callees.end_run(f"q{number}", route, is_complete=is_complete)


def test_a_route_is_refused_for_a_service_that_it_calls_at_times():
    callees = RouteCallees()
    for number in range(100):
        run(callees, number, ["lock", "lock"] + ["rare"] * (number % 2))
    assert callees.needed("r") == ["lock"]
    assert callees.needed("other") == []


def test_few_runs_decide():
    callees = RouteCallees()
    for number in range(7):
        run(callees, number, ["lock"])
    assert callees.needed("r") == []
    run(callees, 7, ["lock"])
    assert callees.needed("r") == ["lock"]


def test_failed_runs_unlearn_what_a_route_needs():
    callees = RouteCallees()
    for number in range(10):
        run(callees, number, ["lock"])
    for number in range(100):
        run(callees, number, [], is_complete=False)
    assert callees.needed("r") == ["lock"]


def test_a_route_that_no_longer_calls_a_service_stays_refused():
    callees = RouteCallees()
    for number in range(10):
        run(callees, number, ["lock"])
    for number in range(100):
        run(callees, number, [])
    assert callees.needed("r") == []


def test_a_call_of_a_request_that_runs_elsewhere_is_counted():
    callees = RouteCallees()
    callees.record_call("unknown", "lock")
    callees.end_run("unknown", "r", is_complete=True)
    assert callees.needed("r") == []
