"""Probing of ejected upstreams before they get requests again."""

import random
from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from mangospoke.control.interface import Control, ControlError
from mangospoke.control.messages import Probe, ProbeAnswer
from mangospoke.ids import HostId
from mangospoke.routing.ejection import Ejector
from mangospoke.state.fleet import Fleet

_INTERVAL_S = 0.25
_TIMEOUT_S = 1.0


IsAlive = Callable[[HostId], Awaitable[bool]]
"""Says whether a host's daemon and upstream can be reached."""


async def probe_ejected(ejector: Ejector, is_alive: IsAlive) -> None:
    """Probes ejected upstreams whose time out has passed, until it is cancelled."""
    while True:
        for host_id in ejector.due_for_probe():
            alive = await is_alive(host_id)
            ejector.probed(host_id, alive=alive)
            logger.bind(event="probed", host=host_id, alive=alive).info(
                "ejected host {} probed", host_id
            )
        await trio.sleep(_INTERVAL_S * random.uniform(0.5, 1.5))


def probe_by_control(fleet: Fleet, control: Control) -> IsAlive:
    """Makes a probe that asks a host's daemon by a control message."""

    async def is_alive(host_id: HostId) -> bool:
        return await _is_alive(fleet, host_id, control)

    return is_alive


async def _is_alive(fleet: Fleet, host_id: HostId, control: Control) -> bool:
    upstream = fleet.membership_state.upstreams_by_host.get(host_id)
    if upstream is None:
        return False
    try:
        answer = await control.ask(
            upstream.control_address, Probe(), ProbeAnswer, _TIMEOUT_S
        )
    except ControlError:
        return False
    return answer.host_id == host_id and answer.upstream_alive
