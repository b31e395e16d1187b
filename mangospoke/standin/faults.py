"""A fault-injecting TCP proxy for all links of a fleet, in one process.

Each forward listens at an address and carries connections from one place to another,
over the link `SOURCE->DESTINATION` and back over `DESTINATION->SOURCE`. Places are
failure domains, `log`, `client` or whatever the fleet names.

Control paths, on the control address:

- `GET /control/links`: a `LinkState` by link name.
- `POST /control/links`: a `LinkState` by name or shell pattern (`a->*`); links that
  it doesn't name stay as they are.
- `POST /control/forwards`: a list of `Forward`; answers the addresses listened on.
"""

from functools import partial
from pathlib import Path

import msgspec
import trio
from msgspec import Struct

from mangospoke.addresses import split_listen_address
from mangospoke.standin.forwarding import forward_connection
from mangospoke.standin.http import HttpServer, Request, Response
from mangospoke.standin.links import Links, LinkState

_BACKLOG = 1_024
_FORWARDS_PATH = "/control/forwards"
_LINKS_PATH = "/control/links"


class Forward(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An address that leads to another over a link.

    Attributes:
        listen: IP and port; port 0 takes a free one.
        target: Where connections are carried to.
        source: Where those are who connect.
        destination: Where the target is.
    """

    listen: str
    target: str
    source: str
    destination: str


class FaultsSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All settings of the fault proxy."""

    control_address: str = "127.0.0.1:7950"
    forwards: tuple[Forward, ...] = ()
    links: dict[str, LinkState] = {}


class FaultProxy:
    """The forwards and the links that they pass."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.links = Links()
        self._nursery = nursery

    async def add_forward(self, forward: Forward) -> str:
        """Listens for a forward and returns the address."""
        ip, port = split_listen_address(forward.listen)
        listeners = await trio.open_tcp_listeners(port, host=ip, backlog=_BACKLOG)
        out = self.links.get(f"{forward.source}->{forward.destination}")
        back = self.links.get(f"{forward.destination}->{forward.source}")
        carry = partial(forward_connection, target=forward.target, out=out, back=back)
        serve = partial(trio.serve_listeners, carry, listeners)
        await self._nursery.start(serve)
        bound_port = listeners[0].socket.getsockname()[1]
        return f"{ip}:{bound_port}"

    def set_links(self, states_by_pattern: dict[str, LinkState]) -> None:
        """Changes how links behave."""
        for pattern, state in states_by_pattern.items():
            self.links.set_matching(pattern, state)

    async def answer(self, request: Request) -> Response:
        """Answers a control request."""
        if request.method == b"GET" and request.path == _LINKS_PATH:
            return _json_response(self.links.states_by_name())
        try:
            if request.path == _LINKS_PATH:
                states = msgspec.json.decode(request.body, type=dict[str, LinkState])
                self.set_links(states)
                return Response(204)
            if request.path == _FORWARDS_PATH:
                forwards = msgspec.json.decode(request.body, type=list[Forward])
                addresses = [await self.add_forward(forward) for forward in forwards]
                return _json_response(addresses)
        except (msgspec.MsgspecError, OSError) as error:
            return Response(400, f"{error}\n".encode())
        return Response(404, b"no such path\n")


async def serve_faults(
    settings: FaultsSettings,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves a fault proxy until it is cancelled.

    Args:
        settings: Its forwards and how its links behave at first.
        task_status: Told the control address once every forward listens.
    """
    async with trio.open_nursery() as nursery:
        proxy = FaultProxy(nursery)
        for forward in settings.forwards:
            await proxy.add_forward(forward)
        proxy.set_links(settings.links)
        server = HttpServer(proxy.answer)
        address = await nursery.start(server.serve, settings.control_address)
        task_status.started(address)


def load_faults_settings(path: Path) -> FaultsSettings:
    """Reads settings from a TOML or JSON file.

    Raises:
        msgspec.MsgspecError: If it isn't such a file or doesn't fit the types.
    """
    decode = msgspec.json.decode if path.suffix == ".json" else msgspec.toml.decode
    return decode(path.read_bytes(), type=FaultsSettings)


def _json_response(content: object) -> Response:
    headers = [(b"content-type", b"application/json")]
    return Response(200, msgspec.json.encode(content), headers)
