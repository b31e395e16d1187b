"""Hosted daemons as processes, with stand-ins of the store and the upstreams."""

import os
import signal

import pytest
import trio

from mangospoke.bench.waiting import wait_until
from tests.platform.fake_store import Trouble
from tests.platform.mesh import KEY, configuration, run_mesh, send


@pytest.fixture
async def mesh(tmp_path):
    async with run_mesh(tmp_path) as running:
        yield running


async def test_a_request_reaches_the_upstream_of_its_service(mesh):
    answer = await mesh.front.ask("/open/1?x=y", name="9c41")
    assert (answer.status, answer.body.content) == (200, b"/open/1?x=y")
    assert (b"response-signature", b"back") in answer.headers
    request, headers = mesh.back.upstream.seen[-1]
    assert request.target == b"/open/1?x=y"
    assert headers[b"tenant"] == b"acme"
    assert headers[b"caller-service"] == b"front"
    assert headers[b"expect-instance"] == b"i-back"
    assert b"key" not in headers
    assert 0 < int(headers[b"timeout-ms"]) <= 2_000


async def test_requests_without_route_or_key_end_at_the_entrance(mesh):
    seen = len(mesh.back.upstream.seen)
    assert (await mesh.front.ask("/nowhere/1")).status == 404
    assert (await mesh.front.ask("/open/1", key="wrong")).status == 401
    assert (await mesh.front.ask("/open/1", key=None)).status == 401
    assert len(mesh.back.upstream.seen) == seen


async def test_a_withdrawn_key_stops_and_a_new_one_works(mesh):
    mesh.store.put("keyed.op", "config", configuration(2, keys=("new",)))

    async def is_withdrawn():
        return (await mesh.front.ask("/open/1")).status == 401

    await wait_until(is_withdrawn, "the key's withdrawal", 2.0)
    assert (await mesh.front.ask("/open/1", key="new")).status == 200


async def test_keys_are_not_accepted_once_nobody_vouches_for_them(mesh):
    mesh.store.trouble = Trouble.SILENT
    assert (await mesh.front.ask("/open/1")).status == 200

    async def is_refused():
        return (await mesh.front.ask("/open/1")).status == 503

    await wait_until(is_refused, "the refusal of keys", 6.0)
    assert not await mesh.front.is_ready()
    assert (await mesh.front.ask("/inner/1", key=None)).status == 200
    mesh.store.trouble = Trouble.NONE

    async def is_served():
        return (await mesh.front.ask("/open/1")).status == 200

    await wait_until(is_served, "the acceptance of keys", 4.0)


async def test_a_request_is_given_up_at_its_routes_timeout(mesh):
    mesh.store.put("keyed.op", "config", configuration(2, timeout="300ms"))
    mesh.back.upstream.delay_s = 5.0

    async def is_given_up():
        with trio.move_on_after(0.8):
            return (await mesh.front.ask("/open/1")).status == 504
        return False

    await wait_until(is_given_up, "the new timeout", 5.0)


async def test_a_caller_that_leaves_cancels_the_run(mesh):
    mesh.back.upstream.delay_s = 5.0
    with trio.move_on_after(0.3):
        await mesh.front.ask("/open/1", name="left")

    async def is_cancelled():
        return mesh.back.upstream.cancelled[b"left"] == 1

    await wait_until(is_cancelled, "the cancellation", 1.0)


async def test_a_draining_upstream_gets_nothing_after_the_notice(mesh):
    assert (await mesh.back.beat(2, "draining")).status == 200
    await trio.sleep(1.0)
    seen = len(mesh.back.upstream.seen)
    answer = await mesh.front.ask("/open/1")
    assert answer.status == 503
    assert len(mesh.back.upstream.seen) == seen


async def test_strange_heartbeats_are_refused(mesh):
    target = "/instances/i-x"
    for body in (b"\xff", b"{}", b'{"address": 7}'):
        assert (await send(mesh.back.control, "PUT", target, body)).status == 400
    assert (await mesh.front.ask("/open/1")).status == 200


async def test_a_planned_stop_finishes_what_runs(mesh):
    mesh.back.upstream.delay_s = 1.2
    answers = []

    async def ask():
        answers.append((await mesh.front.ask("/book/1", method="POST")).status)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.3)
        os.kill(mesh.back.process.pid, signal.SIGTERM)
        os.kill(mesh.front.process.pid, signal.SIGTERM)
        await trio.sleep(0.2)
        assert not await mesh.front.is_ready()
    assert answers == [200]

    async def have_ended():
        return not (mesh.front.process.is_running or mesh.back.process.is_running)

    await wait_until(have_ended, "the processes' end", 6.0)
    assert mesh.front.process.exit_status == 0


async def test_a_killed_daemon_serves_again_from_the_store_alone(mesh):
    for machine in mesh.machines_by_service.values():
        os.kill(machine.process.pid, signal.SIGKILL)
        await trio.sleep(0.05)
    for machine in mesh.machines_by_service.values():
        machine.start()
        await wait_until(machine.is_ready, "a ready machine")
        assert (await machine.beat(7)).status == 200

    async def is_served():
        return (await mesh.front.ask("/open/1", key=KEY)).status == 200

    await wait_until(is_served, "an answer", 3.0)


async def test_new_settings_are_read_while_requests_run(mesh):
    mesh.back.upstream.delay_s = 0.8
    answers = []

    async def ask():
        answers.append((await mesh.front.ask("/open/1")).status)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await trio.sleep(0.2)
        for _ in range(3):
            os.kill(mesh.front.process.pid, signal.SIGHUP)
            os.kill(mesh.back.process.pid, signal.SIGHUP)
            await trio.sleep(0.05)
    assert answers == [200]
    assert mesh.front.process.is_running and mesh.back.process.is_running

    async def is_told():
        return b"reloaded" in mesh.front.process.log_path.read_bytes()

    await wait_until(is_told, "the line that says so", 2.0)


async def test_settings_that_cannot_be_read_change_nothing(mesh):
    mesh.front.settings_path.write_bytes(b"garbage")
    os.kill(mesh.front.process.pid, signal.SIGHUP)

    async def is_told():
        return b"settings_unreadable" in mesh.front.process.log_path.read_bytes()

    await wait_until(is_told, "the line that says so", 2.0)
    assert (await mesh.front.ask("/open/1")).status == 200
