"""The platform's header fields are translated, and nothing else passes."""

import pytest

from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.platform.declarations import digest_key
from mangospoke.platform.headers import CALLER_DIALECT, UPSTREAM_DIALECT
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    RefusalReason,
    Refused,
    Unanswered,
    Verdict,
)
from tests.harness.calls import make_call

PROMISES = {408, 421, 429, 503}
"""Statuses that say that a request has not run and never will."""


def request(**headers):
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return HttpRequest(b"GET", b"/a/b?c=d", pairs, buffered_body(b""))


def test_what_a_caller_says_is_read():
    fields = CALLER_DIALECT.read_fields(
        request(host="h.example:1", attempt_id="9c41", timeout_ms="1500", key="k")
    )
    assert fields.host == "h.example:1"
    assert fields.request_id == "9c41"
    assert fields.timeout_s == 1.5
    assert fields.key_id == digest_key(b"k")


def test_what_a_caller_leaves_out_is_none():
    fields = CALLER_DIALECT.read_fields(request(timeout_ms="soon"))
    assert (fields.request_id, fields.timeout_s, fields.key_id) == (None, None, None)


def test_fields_that_we_set_cannot_be_forged_and_keys_go_no_further():
    sent = request(
        host="h",
        key="secret",
        tenant="other",
        caller_service="other",
        expect_instance="other",
        connection="keep-alive",
        x_own="kept",
    )
    passed_on = CALLER_DIALECT.forwarded_headers(sent, "batches")
    assert dict(passed_on) == {
        b"host": b"h",
        b"x-own": b"kept",
        b"caller-service": b"batches",
    }


def call(account_id="acme"):
    return make_call(
        2,
        request_id="9c41",
        account_id=account_id,
        route="r",
        target=b"/a",
        headers=[(b"host", b"h")],
    )


async def test_an_upstream_gets_account_time_and_instance(autojump_clock):
    headers = dict(UPSTREAM_DIALECT.request_headers(call(), "token", "i-1"))
    assert headers[b"attempt-id"] == b"9c41"
    assert headers[b"tenant"] == b"acme"
    assert headers[b"expect-instance"] == b"i-1"
    assert headers[b"timeout-ms"] == b"2000"


async def test_a_call_without_account_names_none(autojump_clock):
    headers = dict(UPSTREAM_DIALECT.request_headers(call(""), "token", None))
    assert b"tenant" not in headers and b"expect-instance" not in headers


def marks(status=200, **headers):
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return UPSTREAM_DIALECT.read_metadata(
        HttpResponse(status, pairs, buffered_body(b""))
    )


def test_what_an_answer_says_is_read():
    read = marks(
        attempt_id="9c41",
        response_signature="x",
        server_load="3,1,8",
        keep_alive="timeout=10, max=5",
    )
    assert read.request_id == b"9c41"
    assert read.is_authentic and not read.not_run
    assert (read.report.running, read.report.waiting, read.report.slots) == (3, 1, 8)
    assert read.idle_timeout_s == 10


def test_a_success_without_signature_is_not_the_upstreams():
    assert not marks(attempt_id="9c41").is_authentic
    assert marks(500, attempt_id="9c41").is_authentic


def test_what_did_not_run_is_told():
    assert marks(503, not_executed="1").not_run
    assert marks(421, instance_id="i-2").is_other_instance
    assert not marks(503).not_run


@pytest.mark.parametrize("value", ["", "1,2", "a,b,c", "1,2,3,4"])
def test_an_unreadable_load_says_nothing(value):
    assert marks(server_load=value).report is None


@pytest.mark.parametrize("reason", list(RefusalReason), ids=lambda r: r.value)
def test_a_refusal_promises_that_nothing_ran(reason):
    answer = CALLER_DIALECT.build_response(Refused(reason), "9c41")
    assert answer.status in PROMISES | {401, 404}


@pytest.mark.parametrize("reason", list(FailureReason), ids=lambda r: r.value)
def test_what_may_have_run_is_not_promised_not_to(reason):
    outcome = Unanswered(reason)
    assert outcome.verdict is not Verdict.NOT_RUN
    assert CALLER_DIALECT.build_response(outcome, "9c41").status in {502, 504}


def test_a_refusal_says_when_to_come_back():
    refused = Refused(RefusalReason.QUEUE_FULL, retry_after_s=0.256)
    headers = dict(CALLER_DIALECT.build_response(refused, "9c41").headers)
    assert headers[b"retry-after"] == b"0.26"


def test_an_upstreams_answer_goes_back_unchanged():
    outcome = Answered(500, [(b"response-signature", b"x")], buffered_body(b"body"))
    answer = CALLER_DIALECT.build_response(outcome, "9c41")
    assert (answer.status, answer.body.content) == (500, b"body")
    assert answer.headers == [(b"response-signature", b"x")]
