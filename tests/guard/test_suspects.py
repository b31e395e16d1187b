"""Suspect requests: counting of crashes, expiry, and trials."""

from mangospoke.bench.admission import Demand, make_call
from mangospoke.guard.suspects import (
    SUSPECT_LIFETIME_S,
    SuspectRegistry,
    TrialRegistry,
    poison_fingerprint,
)
from mangospoke.http.bodies import buffered_body


def test_a_crash_counts_once_however_often_it_is_reported():
    suspects = SuspectRegistry()
    for _ in range(3):
        suspects.record_crash("batches", ["f"], "host/1", 0.0)
    assert suspects.crash_count("f", 1.0) == 1
    suspects.record_crash("batches", ["f"], "other/1", 1.0)
    assert suspects.crash_count("f", 1.0) == 2
    assert suspects.crash_count("g", 1.0) == 0


def test_suspects_expire_and_can_be_cleared():
    suspects = SuspectRegistry()
    suspects.record_crash("batches", ["f", "g"], "host/1", 0.0)
    assert suspects.clear("g", 0.0)
    assert not suspects.clear("g", 0.0)
    assert suspects.crash_count("f", SUSPECT_LIFETIME_S) == 1
    assert suspects.crash_count("f", SUSPECT_LIFETIME_S + 1) == 0
    assert not suspects.current(SUSPECT_LIFETIME_S + 1)


def test_one_trial_at_a_time_until_it_ends_or_expires():
    trials = TrialRegistry()
    assert trials.start("f", "a", expires_at=5.0, now=0.0)
    assert not trials.start("f", "b", expires_at=6.0, now=1.0)
    assert trials.start("g", "b", expires_at=6.0, now=1.0)
    trials.end("f", "b")
    assert not trials.start("f", "b", expires_at=6.0, now=2.0)
    trials.end("f", "a")
    assert trials.start("f", "b", expires_at=6.0, now=2.0)
    assert trials.start("f", "c", expires_at=9.0, now=6.0)


def test_another_body_or_account_is_another_request():
    call = make_call(Demand("acme", 1), 1.0)
    other_account = make_call(Demand("bayer", 1), 1.0)
    other_body = make_call(Demand("acme", 1), 1.0)
    other_body.body = buffered_body(b"x")
    fingerprints = {poison_fingerprint(c) for c in (call, other_account, other_body)}
    assert len(fingerprints) == 3
    assert poison_fingerprint(make_call(Demand("acme", 1), 9.0)) in fingerprints
