"""A shutdown answers every accepted request, however the load behaves."""

import trio
import trio.testing

from mangospoke.calls import Call, RetryAllowance, SendStatus
from mangospoke.conf.declarations import Importance
from mangospoke.conf.settings import Limits
from mangospoke.daemon.stopping import ShutdownSchedule, ShutdownSteps, shut_down
from mangospoke.hangups import HangUpMonitor
from mangospoke.http.bodies import buffered_body
from mangospoke.http.server import ConnectionContext
from mangospoke.idle import WorkCounter
from mangospoke.shutdown import Shutdown, ShutdownPhase
from mangospoke.verdicts import (
    Answered,
    FailureReason,
    RefusalReason,
    Verdict,
)

SCHEDULE = ShutdownSchedule(
    notice_s=2.0, refuse_s=3.0, interrupt_s=5.0, interrupt_peers_s=5.6, exit_s=6.0
)


def make_call():
    return Call(
        request_id="r",
        account_id="a",
        key_id=None,
        service="back",
        route="open",
        method=b"GET",
        target=b"/",
        headers=[],
        body=buffered_body(b""),
        deadline=trio.current_time() + 60,
        importance=Importance(0),
        idempotent=True,
        idempotency_key=None,
        retries=RetryAllowance(0),
    )


class FakeAcceptor:
    def __init__(self):
        self.closed_at = None

    def stop_accepting(self):
        if self.closed_at is None:
            self.closed_at = trio.current_time()


class StoppingDaemon:
    """A daemon that consists of its shutdown and of the calls that a test sends."""

    def __init__(self):
        self.shutdown = Shutdown()
        self.work = WorkCounter()
        self.connections = ConnectionContext(
            Limits(), self.work, HangUpMonitor(), shutdown=self.shutdown
        )
        self.acceptor = FakeAcceptor()
        self.outcomes = []
        self.refused_count = 0
        self.stopped_after_s = None
        self.is_finished = False

    async def send(self, duration_s, status=SendStatus.SENT, *, from_peer=False):
        if self.shutdown.refuses_requests:
            self.refused_count += 1
            return
        call = make_call()

        async def execute(call):
            call.send_status = status
            await trio.sleep(duration_s)
            return Answered(200, [], buffered_body(b""))

        with self.work:
            run = self.shutdown.execute_for_peer if from_peer else self.shutdown.execute
            self.outcomes.append(await run(call, execute))

    async def finish(self):
        self.is_finished = True

    async def stop(self):
        started_at = trio.current_time()
        steps = ShutdownSteps(lambda: None, [self.acceptor], self.finish)
        await shut_down(SCHEDULE, steps, self.connections)
        self.stopped_after_s = trio.current_time() - started_at


async def test_a_load_that_does_not_cease_is_not_cut(autojump_clock):
    daemon = StoppingDaemon()
    async with trio.open_nursery() as nursery:

        async def send_forever():
            while daemon.stopped_after_s is None:
                nursery.start_soon(daemon.send, 0.5)
                await trio.sleep(0.1)

        nursery.start_soon(send_forever)
        await trio.sleep(1)
        await daemon.stop()
    assert daemon.outcomes
    assert all(isinstance(outcome, Answered) for outcome in daemon.outcomes)
    assert daemon.refused_count > 0
    assert daemon.stopped_after_s < SCHEDULE.interrupt_s


async def test_a_call_that_outlasts_the_shutdown_is_answered_truthfully(
    autojump_clock,
):
    daemon = StoppingDaemon()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(daemon.send, 100, SendStatus.UNSENT)
        await trio.sleep(0.1)
        nursery.start_soon(daemon.send, 100, SendStatus.SENT)
        await trio.sleep(0.1)
        await daemon.stop()
    unsent, sent = sorted(daemon.outcomes, key=lambda outcome: outcome.verdict.value)[
        ::-1
    ]
    assert unsent.verdict is Verdict.NOT_RUN
    assert unsent.reason is RefusalReason.DRAINING
    assert sent.verdict is Verdict.MAY_HAVE_RUN
    assert sent.reason is FailureReason.STOPPED
    assert SCHEDULE.interrupt_s <= daemon.stopped_after_s < SCHEDULE.exit_s


async def test_a_response_before_the_end_of_the_shutdown_is_waited_for(
    autojump_clock,
):
    daemon = StoppingDaemon()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(daemon.send, SCHEDULE.interrupt_s - 0.1)
        await trio.testing.wait_all_tasks_blocked()
        await daemon.stop()
    assert isinstance(daemon.outcomes[0], Answered)


async def test_listeners_stay_open_until_all_requests_are_answered(autojump_clock):
    daemon = StoppingDaemon()
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(daemon.send, 4.0)
        await trio.testing.wait_all_tasks_blocked()
        await daemon.stop()
    assert daemon.acceptor.closed_at - started_at >= 4.0


async def test_an_idle_daemon_stops_after_the_notice_period(autojump_clock):
    daemon = StoppingDaemon()
    await daemon.stop()
    assert SCHEDULE.notice_s <= daemon.stopped_after_s < SCHEDULE.refuse_s + 0.5
    assert daemon.shutdown.phase is ShutdownPhase.REFUSING


async def test_work_that_ignores_the_interruption_delays_neither_exit_nor_last_step(
    autojump_clock,
):
    daemon = StoppingDaemon()
    with daemon.work:
        await daemon.stop()
    assert daemon.is_finished
    assert daemon.stopped_after_s == SCHEDULE.exit_s


async def test_a_connection_that_is_being_closed_is_not_reset_by_the_exit(
    autojump_clock,
):
    daemon = StoppingDaemon()
    async with trio.open_nursery() as nursery:

        async def close_slowly():
            with daemon.connections.closing:
                await trio.sleep(4.0)

        nursery.start_soon(close_slowly)
        await trio.testing.wait_all_tasks_blocked()
        await daemon.stop()
    assert 4.0 <= daemon.stopped_after_s < SCHEDULE.interrupt_s


async def test_a_call_that_arrives_during_a_lingering_close_is_answered(
    autojump_clock,
):
    daemon = StoppingDaemon()
    async with trio.open_nursery() as nursery:

        async def close_slowly():
            with daemon.connections.closing:
                await trio.sleep(4.0)

        async def send_from_peer():
            # Peers aren't refused by the phase but by the guard.
            await trio.sleep(3.9)
            with daemon.work:
                await trio.sleep(0.5)
                assert daemon.stopped_after_s is None

        nursery.start_soon(close_slowly)
        nursery.start_soon(send_from_peer)
        await trio.testing.wait_all_tasks_blocked()
        await daemon.stop()


async def test_a_running_call_of_a_peer_is_cut_with_those_of_own_callers(
    autojump_clock,
):
    daemon = StoppingDaemon()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: daemon.send(5.4, from_peer=True))
        await trio.testing.wait_all_tasks_blocked()
        await daemon.stop()
    assert isinstance(daemon.outcomes[0], Answered)


async def test_a_call_of_a_peer_that_outlasts_the_host_is_not_answered(autojump_clock):
    daemon = StoppingDaemon()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: daemon.send(100, from_peer=True))
        await trio.testing.wait_all_tasks_blocked()
        await daemon.stop()
    assert daemon.outcomes[0].verdict is Verdict.MAY_HAVE_RUN
    assert daemon.stopped_after_s < SCHEDULE.exit_s


async def test_a_queued_call_of_a_peer_waits_for_the_end_of_a_host(autojump_clock):
    daemon = StoppingDaemon()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lambda: daemon.send(100, SendStatus.UNSENT, from_peer=True))
        await trio.testing.wait_all_tasks_blocked()
        await daemon.stop()
    assert daemon.outcomes[0].verdict is Verdict.NOT_RUN
    assert daemon.stopped_after_s < SCHEDULE.interrupt_peers_s
