"""Calls for tests that need one and care about a few of its fields."""

import trio

from mangospoke.calls import Call, RetryAllowance
from mangospoke.conf.declarations import Importance
from mangospoke.http.bodies import buffered_body


def make_call(deadline_s=5.0, **changes):
    """An idempotent call of an account, with the fields that a test changes."""
    fields = {
        "request_id": "r",
        "account_id": "acme",
        "key_id": None,
        "service": "batches",
        "route": "read",
        "method": b"GET",
        "target": b"/batches/1",
        "headers": [],
        "body": buffered_body(b""),
        "deadline": trio.current_time() + deadline_s,
        "importance": Importance.NORMAL,
        "idempotent": True,
        "idempotency_key": None,
        "retries": RetryAllowance(0),
    }
    return Call(**(fields | changes))
