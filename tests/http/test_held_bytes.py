"""Crowds that hold bytes without moving on: decisions of the budget."""

import pytest
import trio

from mangospoke.http.held_bytes import (
    CONNECTION_BYTES,
    SMALL_BYTES,
    Capacity,
    Cause,
    HeldBytes,
    Holder,
    Kind,
    callers_capacity,
)

LARGE = 4 * SMALL_BYTES
TOTAL = 10 * LARGE
"""Three quarters of it are for connections that hold much: seven of them."""


class Connections:
    """Opens connections and notes which of them the budget closes."""

    def __init__(self, budget):
        self.budget = budget
        self.closed = []

    def open(self, name, size=0):
        holder = Holder(self.budget, lambda: self.closed.append(name))
        holder.__enter__()
        holder.draw(Kind.REQUEST, size)
        return holder


@pytest.fixture
def connections():
    return Connections(HeldBytes(Capacity(TOTAL, 100)))


async def test_the_one_that_holds_most_for_longest_is_closed(
    connections, autojump_clock
):
    connections.open("long", LARGE)
    await trio.sleep(10)
    for number in range(6):
        connections.open(f"later-{number}", LARGE)
    await trio.sleep(2)
    reader = connections.open("reader", LARGE)
    assert reader.may_hold_more()
    assert connections.closed == ["long"]


async def test_a_connection_with_work_is_never_closed(connections, autojump_clock):
    for number in range(10):
        connections.open(number, LARGE).handed_on = 1
    await trio.sleep(10)
    assert not connections.open("reader", LARGE).may_hold_more()
    assert connections.closed == []
    assert connections.budget.counts_by_cause[Cause.REQUEST_REFUSED] == 1


async def test_small_requests_draw_on_what_is_kept_back(connections, autojump_clock):
    for number in range(8):
        connections.open(number, LARGE).handed_on = 1
    assert not connections.open("large", LARGE).may_hold_more()
    assert connections.open("small", SMALL_BYTES).may_hold_more()


async def test_a_caller_that_trickles_makes_no_progress(connections, autojump_clock):
    trickling = connections.open("trickling", LARGE)
    for number in range(6):
        connections.open(number, LARGE).handed_on = 1
    for _ in range(20):
        await trio.sleep(0.5)
        trickling.draw(Kind.REQUEST, 1)
    assert connections.open("reader", LARGE).may_hold_more()
    assert connections.closed == ["trickling"]


async def test_a_closed_connection_is_counted_once(connections, autojump_clock):
    holders = [connections.open(number, LARGE) for number in range(7)]
    await trio.sleep(10)
    assert connections.open("reader", LARGE).may_hold_more()
    (closed,) = connections.closed
    holders[closed].__exit__()
    assert connections.budget.held == 7 * (LARGE + CONNECTION_BYTES)
    # What it has given back counts no more than once.
    assert not connections.budget._closing_bytes


async def test_a_silent_crowd_keeps_no_new_caller_out(autojump_clock):
    connections = Connections(HeldBytes(Capacity(connections=3)))
    for number in range(3):
        connections.open(number)
        await trio.sleep(2)
    assert connections.budget.accepts_connection()
    assert connections.closed == [0]


async def test_all_is_given_back_at_the_end(connections):
    holder = connections.open("any", LARGE)
    holder.draw(Kind.RESPONSE, 5)
    holder.__exit__()
    assert connections.budget.held == 0
    assert connections.budget.held_by_kind() == [0, 0, 0]


async def test_a_crowd_of_ordinary_connections_fits_the_smallest_host():
    capacity = callers_capacity(200, 4_100)
    assert capacity.connections == 1_500
    assert capacity.connections * CONNECTION_BYTES < capacity.held_bytes * 0.75
