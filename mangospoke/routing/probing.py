"""Health probes that ejected upstreams must pass before they receive requests again."""

import random
from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from mangospoke.control.interface import ControlChannel, ControlError
from mangospoke.control.messages import Probe, ProbeResponse
from mangospoke.ids import HostId
from mangospoke.routing.ejection import Ejector
from mangospoke.state.fleet import Fleet

_PROBE_INTERVAL_S = 0.25
_PROBE_TIMEOUT_S = 1.0


HostProbe = Callable[[HostId], Awaitable[bool]]
"""Returns whether a host's daemon and upstream are reachable."""


async def probe_ejected_hosts(ejector: Ejector, is_alive: HostProbe) -> None:
    """Probes upstreams whose ejection time is over, until cancelled."""
    while True:
        for host_id in ejector.hosts_due_for_probe():
            alive = await is_alive(host_id)
            ejector.record_probe(host_id, alive=alive)
            logger.bind(event="probed", host=host_id, alive=alive).info(
                "probed ejected host {}", host_id
            )
        await trio.sleep(_PROBE_INTERVAL_S * random.uniform(0.5, 1.5))


def make_control_probe(fleet: Fleet, control: ControlChannel) -> HostProbe:
    """Makes a probe that sends control messages to the daemons of hosts."""

    async def is_alive(host_id: HostId) -> bool:
        return await _is_alive(fleet, host_id, control)

    return is_alive


async def _is_alive(fleet: Fleet, host_id: HostId, control: ControlChannel) -> bool:
    upstream = fleet.membership_state.upstreams_by_host.get(host_id)
    if upstream is None:
        return False
    try:
        answer = await control.send_request(
            upstream.control_address, Probe(), ProbeResponse, _PROBE_TIMEOUT_S
        )
    except ControlError:
        return False
    return answer.host_id == host_id and answer.upstream_alive
