"""Tests the translation of the platform's header fields."""

import pytest

from mangospoke.guard.dialect import UnreadableLimit
from mangospoke.http.bodies import buffered_body
from mangospoke.http.messages import HttpRequest, HttpResponse
from mangospoke.platform.configuration import digest_key
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

NOT_EXECUTED_STATUSES = {408, 421, 429, 503}
"""Statuses that guarantee that a request was not and will not be executed."""


def build_request(**headers):
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return HttpRequest(b"GET", b"/a/b?c=d", pairs, buffered_body(b""))


def test_a_callers_fields_are_parsed():
    fields = CALLER_DIALECT.read_fields(
        build_request(host="h.example:1", attempt_id="9c41", timeout_ms="1500", key="k")
    )
    assert fields.host == "h.example:1"
    assert fields.request_id == "9c41"
    assert fields.timeout_s == 1.5
    assert fields.key_id == digest_key(b"k")


def test_a_callers_missing_fields_are_none():
    fields = CALLER_DIALECT.read_fields(build_request(timeout_ms="soon"))
    assert (fields.request_id, fields.timeout_s, fields.key_id) == (None, None, None)


def test_reserved_fields_and_keys_are_not_forwarded():
    request = build_request(
        host="h",
        key="secret",
        tenant="other",
        caller_service="other",
        expect_instance="other",
        connection="keep-alive",
        x_own="kept",
    )
    forwarded = CALLER_DIALECT.forwarded_headers(request, "batches")
    assert dict(forwarded) == {
        b"host": b"h",
        b"x-own": b"kept",
        b"caller-service": b"batches",
    }


def build_call(account_id="acme"):
    return make_call(
        2,
        request_id="9c41",
        account_id=account_id,
        route="r",
        target=b"/a",
        headers=[(b"host", b"h")],
    )


async def test_an_upstream_gets_account_timeout_and_instance(autojump_clock):
    headers = dict(UPSTREAM_DIALECT.request_headers(build_call(), "token", "i-1"))
    assert headers[b"attempt-id"] == b"9c41"
    assert headers[b"tenant"] == b"acme"
    assert headers[b"expect-instance"] == b"i-1"
    assert headers[b"timeout-ms"] == b"2000"


async def test_a_call_without_account_has_no_account_field(autojump_clock):
    headers = dict(UPSTREAM_DIALECT.request_headers(build_call(""), "token", None))
    assert b"tenant" not in headers and b"expect-instance" not in headers


def read_metadata(status=200, **headers):
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return UPSTREAM_DIALECT.read_metadata(
        HttpResponse(status, pairs, buffered_body(b""))
    )


def test_response_metadata_is_parsed():
    metadata = read_metadata(
        attempt_id="9c41",
        response_signature="x",
        server_load="3,1,8",
        keep_alive="timeout=10, max=5",
    )
    assert metadata.request_id == b"9c41"
    assert metadata.is_authentic and not metadata.not_run
    assert (
        metadata.report.running,
        metadata.report.waiting,
        metadata.report.slots,
    ) == (3, 1, 8)
    assert metadata.idle_timeout_s == 10


def test_a_success_without_signature_is_not_authentic():
    assert not read_metadata(attempt_id="9c41").is_authentic
    assert read_metadata(500, attempt_id="9c41").is_authentic


def test_requests_that_were_not_executed_are_reported():
    assert read_metadata(503, not_executed="1").not_run
    assert read_metadata(421, instance_id="i-2").is_other_instance
    assert not read_metadata(503).not_run


@pytest.mark.parametrize(
    "value",
    ["", "1,2", "a,b,c", "1,2,x", ",1,2,3", "1,-2,3", "1.5,2,3", "1,2,x" + "9" * 5_000],
)
def test_a_malformed_load_is_ignored(value):
    assert read_metadata(server_load=value).report is None


@pytest.mark.parametrize(
    ("value", "slowness_ratio"),
    [
        ("3,1,8", 1.0),
        ("3,1,8,100", 1.0),
        ("3,1,8,250", 2.5),
        ("3, 1, 8, 40", 0.4),
        ("3,1,8,250,7", 2.5),
        ("3,1,8,0", 1.0),
        ("3,1,8,x", 1.0),
        ("3,1,8," + "9" * 5_000, 1.0),
    ],
)
def test_a_load_with_further_values_is_not_dropped(value, slowness_ratio):
    report = read_metadata(server_load=value).report
    assert (report.running, report.waiting, report.slots) == (3, 1, 8)
    assert report.slowness_ratio == slowness_ratio


@pytest.mark.parametrize("reason", list(RefusalReason), ids=lambda r: r.value)
def test_a_refusals_status_guarantees_no_execution(reason):
    response = CALLER_DIALECT.build_response(Refused(reason), "9c41")
    assert response.status in NOT_EXECUTED_STATUSES | {401, 404}


@pytest.mark.parametrize("reason", list(FailureReason), ids=lambda r: r.value)
def test_a_failures_status_does_not_guarantee_no_execution(reason):
    outcome = Unanswered(reason)
    assert outcome.verdict is not Verdict.NOT_RUN
    assert CALLER_DIALECT.build_response(outcome, "9c41").status in {502, 504}


def test_a_refusal_has_a_retry_delay():
    refused = Refused(RefusalReason.QUEUE_FULL, retry_after_s=0.256)
    headers = dict(CALLER_DIALECT.build_response(refused, "9c41").headers)
    assert headers[b"retry-after"] == b"0.26"


def test_an_upstreams_response_is_forwarded_unchanged():
    outcome = Answered(500, [(b"response-signature", b"x")], buffered_body(b"body"))
    response = CALLER_DIALECT.build_response(outcome, "9c41")
    assert (response.status, response.body.content) == (500, b"body")
    assert response.headers == [(b"response-signature", b"x")]


def read_limit(*values):
    headers = [(b"server-limit", value.encode()) for value in values]
    response = HttpResponse(200, headers, buffered_body(b""))
    return UPSTREAM_DIALECT.read_metadata(response).rate_limit


@pytest.mark.parametrize(
    ("values", "limit"),
    [
        ((), None),
        (("20.1",), 20.1),
        (("7",), 7.0),
        (("0",), 0.0),
        ((".5",), 0.5),
        (("1e9",), 1e9),
        (("8", "5.5"), 5.5),
        (("8, 5.5",), 5.5),
        (("soon", "5.5"), 5.5),
    ],
)
def test_the_lowest_readable_rate_limit_of_an_upstream_is_parsed(values, limit):
    assert read_limit(*values) == limit


@pytest.mark.parametrize("value", ["-1", "nan", "inf", "1e-400x", "soon", "", "0x10"])
def test_a_rate_limit_that_is_no_decimal_number_neither_names_nor_lifts(value):
    assert read_limit(value) == UnreadableLimit(value)


@pytest.mark.parametrize(("value", "is_leaving"), [("1", True), ("0", False)])
def test_an_upstream_says_that_it_is_leaving(value, is_leaving):
    headers = [(b"server-leaving", value.encode())]
    response = HttpResponse(200, headers, buffered_body(b""))
    assert UPSTREAM_DIALECT.read_metadata(response).is_leaving is is_leaving
