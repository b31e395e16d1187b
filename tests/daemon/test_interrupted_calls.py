"""Calls at the end of a shutdown: what is still sent, and what their callers are told.

The executors here send before their first checkpoint, as the guard does while it has a
free slot and an idle connection.
"""

import trio
import trio.testing

from mangospoke.calls import KeyUse, SendStatus
from mangospoke.guard.records import (
    IdempotencyStore,
    outcome_from_record,
    request_fingerprint,
)
from mangospoke.shutdown import Shutdown
from mangospoke.verdicts import Answered, RefusalReason, Refused, Verdict
from tests.harness.calls import make_call


class SendingExecutor:
    """Sends each call at once and waits for a response that doesn't come."""

    def __init__(self):
        self.sent_calls = []

    async def __call__(self, call):
        call.send_status = SendStatus.SENT
        self.sent_calls.append(call)
        await trio.sleep_forever()


async def test_a_call_that_arrives_after_the_interruption_is_not_sent():
    shutdown = Shutdown()
    shutdown.start()
    shutdown.interrupt_calls()
    executor = SendingExecutor()
    with trio.fail_after(5):
        outcome = await shutdown.execute(make_call(), executor)
    assert executor.sent_calls == []
    assert isinstance(outcome, Refused)
    assert outcome.reason is RefusalReason.DRAINING


async def test_a_sent_call_is_never_reported_as_not_run():
    shutdown = Shutdown()
    outcomes = []
    async with trio.open_nursery() as nursery:

        async def execute():
            outcomes.append(await shutdown.execute(make_call(), SendingExecutor()))

        nursery.start_soon(execute)
        await trio.testing.wait_all_tasks_blocked()
        shutdown.start()
        shutdown.interrupt_calls()
    assert outcomes[0].verdict is Verdict.MAY_HAVE_RUN


async def test_a_lookup_of_a_running_attempt_is_not_reported_as_not_run():
    shutdown = Shutdown()
    call = make_call(idempotent=False, idempotency_key="k", key_use=KeyUse.LOOK_UP)
    key = (call.account_id, call.service, call.idempotency_key)
    record = IdempotencyStore().begin(
        key, request_fingerprint(call), trio.current_time()
    )
    outcomes = []
    async with trio.open_nursery() as nursery:

        async def look_up():
            outcomes.append(
                await shutdown.execute(
                    call, lambda call: outcome_from_record(record, call)
                )
            )

        nursery.start_soon(look_up)
        await trio.testing.wait_all_tasks_blocked()
        shutdown.start()
        shutdown.interrupt_calls()
    assert not isinstance(outcomes[0], Answered)
    assert outcomes[0].verdict is not Verdict.NOT_RUN
