"""Every outcome of a request has one verdict and one HTTP status."""

import pytest

from mangospoke.verdicts import (
    RULES_BY_FAILURE,
    RULES_BY_REFUSAL,
    FailureReason,
    RefusalReason,
    Refused,
    Unanswered,
    Verdict,
)

RAN_WITHOUT_RESPONSE = {
    FailureReason.TRUNCATED_ANSWER,
    FailureReason.ANSWER_TOO_LARGE,
    FailureReason.EARLIER_ATTEMPT_ANSWER_LOST,
}


@pytest.mark.parametrize("reason", RefusalReason)
def test_every_refusal_is_not_run_with_an_error_status(reason):
    refused = Refused(reason)
    assert refused.verdict is Verdict.NOT_RUN
    assert 400 <= refused.status < 600


@pytest.mark.parametrize("reason", FailureReason)
def test_every_failure_admits_that_it_may_have_run(reason):
    unanswered = Unanswered(reason)
    expected = Verdict.RAN if reason in RAN_WITHOUT_RESPONSE else Verdict.MAY_HAVE_RUN
    assert unanswered.verdict is expected
    assert 400 <= unanswered.status < 600


def test_the_tables_have_no_other_reasons():
    assert set(RULES_BY_REFUSAL) == set(RefusalReason)
    assert set(RULES_BY_FAILURE) == set(FailureReason)
