"""The fault proxy delays, stalls, resets and loses what passes a link."""

import msgspec
import pytest
import trio

from mangospoke.addresses import split_address
from mangospoke.client.connections import ConnectionPool, ExchangeError
from mangospoke.standin.faults import FaultsSettings, Forward, serve_faults
from mangospoke.standin.http import HttpServer, Response
from mangospoke.standin.links import Link, LinkMode, LinkState


class Proxied:
    """An HTTP server behind the link from `a` to `b`."""

    def __init__(self, pool, control_address, address):
        self.pool = pool
        self.control_address = control_address
        self.address = address

    async def call(self, body=b""):
        return await self.pool.exchange(self.address, "POST", "/", body=body)

    async def set_links(self, **states):
        links = {name.replace("_", "->"): state for name, state in states.items()}
        answer = await self.pool.exchange(
            self.control_address,
            "POST",
            "/control/links",
            body=msgspec.json.encode(links),
        )
        assert answer.status == 204

    async def starts_but_hangs(self):
        with trio.move_on_after(0.1) as scope:
            await self.call()
        return scope.cancelled_caught


async def _echo(request):
    return Response(200, request.body)


@pytest.fixture
async def proxied(nursery):
    target = await nursery.start(HttpServer(_echo).serve, "127.0.0.1:0")
    settings = FaultsSettings(control_address="127.0.0.1:0")
    control_address = await nursery.start(serve_faults, settings)
    forward = Forward(listen="127.0.0.1:0", target=target, source="a", destination="b")
    async with ConnectionPool() as pool:
        answer = await pool.exchange(
            control_address,
            "POST",
            "/control/forwards",
            body=msgspec.json.encode([forward]),
        )
        (address,) = msgspec.json.decode(answer.body)
        yield Proxied(pool, control_address, address)


async def test_bytes_pass_an_open_link(proxied):
    body = b"x" * 1_000_000
    assert (await proxied.call(body)).body == body


async def test_a_delay_counts_each_way(proxied):
    await proxied.set_links(a_b=LinkState(delay_ms=30), b_a=LinkState(delay_ms=20))
    await proxied.call()
    started_at = trio.current_time()
    await proxied.call()
    assert trio.current_time() - started_at >= 0.05


@pytest.mark.parametrize("direction", ["a_b", "b_a"])
async def test_a_stalled_direction_holds_bytes_until_it_opens(proxied, direction):
    await proxied.call()
    await proxied.set_links(**{direction: LinkState(mode=LinkMode.STALL)})
    async with trio.open_nursery() as nursery:
        ended = trio.Event()

        async def call():
            await proxied.call()
            ended.set()

        nursery.start_soon(call)
        assert await proxied.starts_but_hangs()
        assert not ended.is_set()
        await proxied.set_links(**{direction: LinkState()})
        with trio.fail_after(20):
            await ended.wait()


async def test_a_reset_link_resets_old_and_new_connections(proxied):
    ip, port = split_address(proxied.address)
    old = await trio.open_tcp_stream(ip, port)
    await proxied.call()
    await proxied.set_links(a_b=LinkState(mode=LinkMode.RESET))
    with trio.fail_after(20), pytest.raises(trio.BrokenResourceError):
        await old.receive_some()
    with pytest.raises(ExchangeError):
        await proxied.call()
    await proxied.set_links(a_b=LinkState())
    assert (await proxied.call()).status == 200


async def test_a_connection_that_was_half_open_stays_dead(proxied):
    await proxied.call()
    await proxied.set_links(b_a=LinkState(mode=LinkMode.HALF_OPEN))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(proxied.call)
        assert await proxied.starts_but_hangs()
        await proxied.set_links(b_a=LinkState())
        await trio.sleep(0.05)
        assert nursery.child_tasks
        assert (await proxied.call()).status == 200
        nursery.cancel_scope.cancel()


async def test_a_pattern_names_many_links(proxied):
    await proxied.set_links(**{"*_b": LinkState(delay_ms=7)})
    answer = await proxied.pool.exchange(
        proxied.control_address, "GET", "/control/links"
    )
    states = msgspec.json.decode(answer.body, type=dict[str, LinkState])
    assert states["a->b"].delay_ms == 7
    assert states["b->a"].delay_ms == 0


async def test_bandwidth_is_shared_by_all_connections():
    link = Link(LinkState(bytes_per_second=1_000, delay_ms=10))
    assert link.delivery_time(5.0, 500) == pytest.approx(5.51)
    assert link.delivery_time(5.0, 500) == pytest.approx(6.01)
    assert link.delivery_time(9.0, 100) == pytest.approx(9.11)


async def test_a_wrong_control_request_is_told(proxied):
    answer = await proxied.pool.exchange(
        proxied.control_address, "POST", "/control/links", body=b'{"a->b":{"speed":1}}'
    )
    assert answer.status == 400
