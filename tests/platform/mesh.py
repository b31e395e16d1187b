"""A few hosted daemons as processes, with stand-ins of store and upstreams."""

import os
from collections import Counter
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import trio

from mangospoke.bench.network import reserve_network
from mangospoke.bench.processes import ManagedProcess
from mangospoke.bench.waiting import wait_until
from mangospoke.http.bodies import buffered_body
from mangospoke.http.client import open_connection
from mangospoke.http.messages import HttpResponse
from tests.harness.serving import serve_http
from tests.platform.fake_store import FakeStore

HEAD_BYTES = 16_384
ANSWER_BYTES = 1_000_000
KEY = "the-key"
HOST = "shop.example"
SERVICES = ("front", "back")
LISTEN_PORTS = (8548, 8543, 8546, 8540)
PORT_RANGE = [7000, 7015]


def configuration(version, *, keys=(KEY,), rate=0, timeout="2s", service="back"):
    """A configuration with a route that needs a key and one that doesn't."""
    tenant = {"name": "acme", "apiKeys": list(keys), "ratePerS": rate, "burst": rate}
    rules = [
        rule("open", "/open/", service, timeout, "safe", public=False),
        rule("booking", "/book/", service, timeout, "unsafe", public=False),
        rule("inner", "/inner/", service, timeout, "safe", public=True),
    ]
    state = {
        "version": f"r{version}",
        "tenants": [tenant],
        "listeners": [{"hostname": HOST, "rules": rules}],
        "clusters": [{"name": name, "maxConns": 100} for name in SERVICES],
    }
    return msgspec.json.encode(state)


def rule(name, prefix, service, timeout, kind, *, public):
    return {
        "name": name,
        "kind": kind,
        "priority": 1,
        "public": public,
        "match": {"pathPrefix": prefix},
        "action": {"service": service, "timeout": timeout, "attempts": 2},
    }


class Upstream:
    """A stand-in upstream that echoes what it got; `delay_s` holds answers back."""

    def __init__(self, service):
        self.service = service
        self.instance = f"i-{service}"
        self.delay_s = 0.0
        self.seen = []
        self.cancelled = Counter()
        self.address = ""

    async def handle(self, request):
        headers = dict(request.headers)
        self.seen.append((request, headers))
        try:
            await trio.sleep(self.delay_s)
        except trio.Cancelled:
            self.cancelled[headers[b"attempt-id"]] += 1
            raise
        answer = [
            (b"attempt-id", headers[b"attempt-id"]),
            (b"response-signature", self.service.encode()),
        ]
        return HttpResponse(200, answer, buffered_body(request.target))


class Machine:
    """A daemon's process and its addresses."""

    def __init__(self, number, ip, upstream, store_address, directory):
        self.upstream = upstream
        self.outbound, self.inbound, self.ready, self.control = (
            f"{ip}:{port}" for port in LISTEN_PORTS
        )
        settings = {
            "nodeName": f"machine-{number}",
            "ip": ip,
            "zone": "a",
            "region": "r",
            "listen": {
                "outbound": self.outbound,
                "inbound": self.inbound,
                "ready": self.ready,
                "control": self.control,
            },
            "portRange": PORT_RANGE,
            "appAddr": upstream.address,
            "service": upstream.service,
            "bootstrap": True,
            "platform": {"address": store_address},
            "unknown": {"to": "us"},
        }
        path = Path(directory) / f"machine-{number}.json"
        path.write_bytes(msgspec.json.encode(settings))
        self.settings_path = path
        arguments = ["-m", "mangospoke.platform"]
        self.process = ManagedProcess(f"machine-{number}", arguments, Path(directory))

    def start(self):
        os.environ["MANGOSPOKE_CONFIG"] = str(self.settings_path)
        os.environ["MANGOSPOKE_FLEET_SECRET"] = "secret"
        self.process.start()

    async def beat(self, sequence=1, state="ready", born=1):
        body = {
            "address": self.upstream.address,
            "born": born,
            "info": {"service": self.upstream.service, "slots": 10},
            "status": {"state": state, "seq": sequence, "coldLeft": "0ms"},
        }
        target = f"/instances/{self.upstream.instance}"
        return await send(self.control, "PUT", target, msgspec.json.encode(body))

    async def is_ready(self):
        try:
            return (await send(self.ready, "GET", "/ready")).status == 200
        except OSError:
            return False

    async def ask(self, target, *, method="GET", key=KEY, time_ms=3_000, name="a1"):
        headers = [
            ("host", HOST),
            ("attempt-id", name),
            ("timeout-ms", str(time_ms)),
        ]
        if key is not None:
            headers.append(("key", key))
        return await send(self.outbound, method, target, headers=headers)


async def send(address, method, target, body=b"", headers=()):
    """Sends a request over a connection of its own and returns the answer."""
    try:
        connection = await open_connection(address, HEAD_BYTES, 2.0)
    except Exception as error:
        raise OSError(str(error)) from error
    pairs = [(name.encode(), value.encode()) for name, value in headers]
    if not any(name == "host" for name, _ in headers):
        pairs.append((b"host", address.encode()))
    try:
        return await connection.exchange(
            method.encode(), target.encode(), pairs, buffered_body(body), ANSWER_BYTES
        )
    finally:
        with trio.CancelScope(shield=True):
            await connection.aclose()


class Mesh:
    """The store, one machine a service, and what runs them."""

    def __init__(self, store):
        self.store = store
        self.machines_by_service = {}

    @property
    def front(self):
        return self.machines_by_service["front"]

    @property
    def back(self):
        return self.machines_by_service["back"]


@asynccontextmanager
async def run_mesh(directory, version=1, **settings):
    """Runs a machine a service until the block ends."""
    store = FakeStore()
    mesh = Mesh(store)
    # An address of its own for each machine: ports found to be free may be taken
    # before the machine binds them.
    with reserve_network() as network:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve_http, store.handle)
            store.put("keyed.op", "config", configuration(version, **settings))
            for number, service in enumerate(SERVICES):
                upstream = Upstream(service)
                upstream.address = await nursery.start(serve_http, upstream.handle)
                ip = network.host_ip(number)
                machine = Machine(number, ip, upstream, address, directory)
                mesh.machines_by_service[service] = machine
                machine.start()
            try:
                for machine in mesh.machines_by_service.values():
                    await wait_until(machine.is_ready, "a ready machine")
                    assert (await machine.beat()).status == 200
                await wait_until(lambda: serves(mesh), "the first answer")
                yield mesh
            finally:
                for machine in mesh.machines_by_service.values():
                    if machine.process.is_running:
                        os.kill(machine.process.pid, 9)
                nursery.cancel_scope.cancel()


async def serves(mesh):
    """Whether a request that enters at the front is answered by the back."""
    answer = await mesh.front.ask("/inner/first", key=None, name="first")
    return answer.status == 200
