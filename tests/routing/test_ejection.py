"""Ejection of failing upstreams up to a limit, and readmission after a probe."""

import msgspec
import pytest
import trio

from mangospoke.http.bodies import buffered_body
from mangospoke.logservice.records import UpstreamAnnounced
from mangospoke.routing.ejection import (
    BASE_EJECTION_S,
    CONSECUTIVE_FAILURES_TO_EJECT,
    DRAINING_EXCLUSION_S,
    EjectionState,
    Ejector,
)
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    RefusalReason,
    Refused,
    Unanswered,
)

LOST = Unanswered(FailureReason.UPSTREAM_CONNECTION_LOST)


def make_upstream(number, incarnation=1):
    return UpstreamAnnounced(
        record_id=f"r{number}",
        host_id=f"h{number}",
        failure_domain="a",
        incarnation=incarnation,
        service="batches",
        peer_address=f"127.0.0.{number}:1",
        control_address=f"127.0.0.{number}:2",
        slots=8,
    )


def fail(
    ejector,
    upstream,
    count=CONSECUTIVE_FAILURES_TO_EJECT,
    outcome=LOST,
    upstream_count=4,
):
    """Records the outcome repeatedly and returns for each whether it ejected."""
    return [
        ejector.record_outcome(upstream, outcome, upstream_count) for _ in range(count)
    ]


async def test_consecutive_failures_eject(autojump_clock):
    ejector = Ejector()
    assert fail(ejector, make_upstream(1)) == [False, False, True]
    assert not ejector.may_send(make_upstream(1))


async def test_success_resets_failure_count(autojump_clock):
    ejector = Ejector()
    answered = Answered(200, [], buffered_body(b""))
    for _ in range(10):
        fail(ejector, make_upstream(1), CONSECUTIVE_FAILURES_TO_EJECT - 1)
        ejector.record_outcome(make_upstream(1), answered, 4)
    assert ejector.may_send(make_upstream(1))


@pytest.mark.parametrize(
    "outcome",
    [
        Refused(RefusalReason.QUEUE_FULL),
        Refused(RefusalReason.SHED_BY_UPSTREAM),
        Unanswered(FailureReason.DEADLINE_EXCEEDED),
        Unanswered(FailureReason.CANCELLED),
        Unanswered(FailureReason.REQUEST_BROKEN),
        Unanswered(FailureReason.STOPPED),
    ],
)
async def test_overload_and_caller_errors_never_eject(outcome, autojump_clock):
    ejector = Ejector()
    fail(ejector, make_upstream(1), 20, outcome)
    assert ejector.may_send(make_upstream(1))


async def test_at_most_half_of_a_service_is_ejected(autojump_clock):
    ejector = Ejector()
    upstreams = [make_upstream(number) for number in range(5)]
    for upstream in upstreams:
        fail(ejector, upstream, 20, upstream_count=5)
    assert sum(not ejector.may_send(upstream) for upstream in upstreams) == 2


async def test_only_upstream_is_never_ejected(autojump_clock):
    ejector = Ejector()
    fail(ejector, make_upstream(1), 20, upstream_count=1)
    assert ejector.may_send(make_upstream(1))


async def test_readmission_needs_a_probe_and_one_trial_request(autojump_clock):
    ejector = Ejector()
    fail(ejector, make_upstream(1))
    assert ejector.hosts_due_for_probe() == []
    autojump_clock.jump(BASE_EJECTION_S)
    assert ejector.hosts_due_for_probe() == ["h1"]
    ejector.record_probe("h1", alive=True)
    assert ejector.may_send(make_upstream(1))
    ejector.record_send(make_upstream(1))
    assert not ejector.may_send(make_upstream(1))
    ejector.record_outcome(make_upstream(1), Answered(200, [], buffered_body(b"")), 4)
    assert ejector.may_send(make_upstream(1))
    assert ejector.states_by_host() == {}


async def test_cancelled_trial_allows_another(autojump_clock):
    ejector = Ejector()
    fail(ejector, make_upstream(1))
    autojump_clock.jump(BASE_EJECTION_S)
    ejector.record_probe("h1", alive=True)
    ejector.record_send(make_upstream(1))
    ejector.record_cancellation(make_upstream(1))
    assert ejector.may_send(make_upstream(1))


async def test_ejection_lasts_longer_after_each_failed_readmission(autojump_clock):
    ejector = Ejector()
    fail(ejector, make_upstream(1))
    autojump_clock.jump(BASE_EJECTION_S)
    ejector.record_probe("h1", alive=False)
    autojump_clock.jump(BASE_EJECTION_S)
    assert ejector.hosts_due_for_probe() == []
    autojump_clock.jump(BASE_EJECTION_S)
    assert ejector.hosts_due_for_probe() == ["h1"]
    ejector.record_probe("h1", alive=True)
    assert fail(ejector, make_upstream(1), 1) == [True]
    assert ejector.states_by_host() == {"h1": EjectionState.EJECTED}


async def test_draining_upstream_is_excluded_for_a_while(autojump_clock):
    ejector = Ejector()
    fail(ejector, make_upstream(1), 1, Refused(RefusalReason.DRAINING))
    assert not ejector.may_send(make_upstream(1))
    autojump_clock.jump(DRAINING_EXCLUSION_S)
    assert ejector.may_send(make_upstream(1))


async def test_new_incarnation_is_not_ejected(autojump_clock):
    ejector = Ejector()
    fail(ejector, make_upstream(1))
    assert ejector.may_send(make_upstream(1, incarnation=2))


async def test_departed_host_no_longer_counts_as_ejected(autojump_clock):
    ejector = Ejector()
    fail(ejector, make_upstream(1), upstream_count=2)
    ejector.retain_hosts({"h2"})
    assert fail(ejector, make_upstream(2), upstream_count=2)[-1]


async def test_a_new_upstream_on_the_host_of_one_that_drains_is_not_excluded(
    autojump_clock,
):
    ejector = Ejector()
    upstream = make_upstream(1)
    ejector.record_draining(upstream)
    assert not ejector.may_send(upstream)
    new = msgspec.structs.replace(upstream, sequence=2)
    assert ejector.may_send(new)
    # What was sent to the one before doesn't exclude it either.
    ejector.record_draining(upstream)
    assert ejector.may_send(new)


async def test_a_late_success_does_not_end_the_exclusion_of_a_draining_upstream(
    autojump_clock,
):
    ejector = Ejector()
    upstream = make_upstream(1)
    ejector.record_draining(upstream)
    ejector.record_outcome(upstream, Answered(200, [], buffered_body(b"")), 3)
    assert not ejector.may_send(upstream)
    await trio.sleep(DRAINING_EXCLUSION_S)
    assert ejector.may_send(upstream)
