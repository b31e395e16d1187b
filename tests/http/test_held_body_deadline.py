"""The deadline of a streamed body also ends its reading into memory."""

import pytest
import trio

from mangospoke.http.bodies import streamed_body
from mangospoke.http.complete_bodies import MAX_HELD_BODY_BYTES, with_complete_body
from mangospoke.http.messages import HttpResponse


async def stall():
    yield b"x"
    await trio.sleep_forever()


async def test_a_stalled_body_is_not_held_beyond_its_deadline(autojump_clock):
    body = streamed_body(stall(), None, deadline=trio.current_time() + 1)
    with trio.fail_after(5):
        response = await with_complete_body(HttpResponse(200, [], body), "r1")
    assert response.status == 502


async def send_much():
    for _ in range(3):
        yield b"x" * MAX_HELD_BODY_BYTES


@pytest.mark.parametrize("length", [None, 3 * MAX_HELD_BODY_BYTES])
async def test_a_large_body_keeps_its_deadline(length):
    body = streamed_body(send_much(), length, deadline=17.0)
    response = await with_complete_body(HttpResponse(200, [], body), "r1")
    assert response.body.deadline == 17.0
