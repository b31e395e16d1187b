"""Runs hosted daemons as processes, with a fake store and fake upstreams."""

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

MAX_HEAD_BYTES = 16_384
MAX_RESPONSE_BYTES = 1_000_000
KEY = "the-key"
HOST = "shop.example"
SERVICES = ("front", "back")
LISTEN_PORTS = (8548, 8543, 8546, 8540)
PORT_RANGE = [7000, 7015]


def build_configuration(
    version, *, keys=(KEY,), rate=0, timeout="2s", service="back", cluster=None
):
    """Builds a configuration with two routes that need a key and two without.

    All of them lead to `service` but `/leaf/`, which leads to the front's upstream.
    Each service also has the fields of `cluster`.
    """
    tenant = {"name": "acme", "apiKeys": list(keys), "ratePerS": rate, "burst": rate}
    rules = [
        build_rule("open", "/open/", service, timeout, "safe", public=False),
        build_rule("booking", "/book/", service, timeout, "unsafe", public=False),
        build_rule("inner", "/inner/", service, timeout, "safe", public=True),
        build_rule("leaf", "/leaf/", "front", timeout, "safe", public=True),
    ]
    state = {
        "version": f"r{version}",
        "tenants": [tenant],
        "listeners": [{"hostname": HOST, "rules": rules}],
        "clusters": [
            {"name": name, "maxConns": 100, **(cluster or {})} for name in SERVICES
        ],
    }
    return msgspec.json.encode(state)


def build_rule(name, prefix, service, timeout, kind, *, public):
    return {
        "name": name,
        "kind": kind,
        "priority": 1,
        "public": public,
        "match": {"pathPrefix": prefix},
        "action": {"service": service, "timeout": timeout, "attempts": 2},
    }


class Upstream:
    """A fake upstream that echoes the request target after `delay_s` seconds."""

    def __init__(self, service):
        self.service = service
        self.instance = f"i-{service}"
        self.delay_s = 0.0
        self.received = []
        self.cancelled_by_request_id = Counter()
        self.address = ""

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serves until it is cancelled; reports its address."""
        await serve_http(self.handle, task_status=task_status)

    async def handle(self, request):
        headers = dict(request.headers)
        self.received.append((request, headers))
        try:
            await trio.sleep(self.delay_s)
        except trio.Cancelled:
            self.cancelled_by_request_id[headers[b"attempt-id"]] += 1
            raise
        response = [
            (b"attempt-id", headers[b"attempt-id"]),
            (b"response-signature", self.service.encode()),
        ]
        return HttpResponse(200, response, buffered_body(request.target))


class HostedDaemonProcess:
    """A daemon process and its addresses."""

    def __init__(
        self,
        number,
        ip,
        upstream,
        store_address,
        directory,
        bounds=(),
        zone="a",
        limits=None,
    ):
        self.upstream = upstream
        self.outbound, self.inbound, self.ready, self.control = (
            f"{ip}:{port}" for port in LISTEN_PORTS
        )
        settings = {
            "nodeName": f"machine-{number}",
            "ip": ip,
            "zone": zone,
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
            "bounds": list(bounds),
            "limits": limits or {},
        }
        self.operations = f"{ip}:{PORT_RANGE[0] + 1}"
        path = Path(directory) / f"machine-{number}.json"
        path.write_bytes(msgspec.json.encode(settings))
        self.settings_path = path
        arguments = ["-m", "mangospoke.platform"]
        self.process = ManagedProcess(f"machine-{number}", arguments, Path(directory))

    def start(self):
        os.environ["MANGOSPOKE_CONFIG"] = str(self.settings_path)
        os.environ["MANGOSPOKE_FLEET_SECRET"] = "secret"
        self.process.start()

    async def send_heartbeat(self, sequence=1, state="ready", born=1, slots=10):
        body = {
            "address": self.upstream.address,
            "born": born,
            "info": {"service": self.upstream.service, "slots": slots},
            "status": {"state": state, "seq": sequence, "coldLeft": "0ms"},
        }
        target = f"/instances/{self.upstream.instance}"
        return await send(self.control, "PUT", target, msgspec.json.encode(body))

    async def is_ready(self):
        try:
            return (await send(self.ready, "GET", "/ready")).status == 200
        except OSError:
            return False

    async def send_request(
        self, target, *, method="GET", key=KEY, timeout_ms=3_000, request_id="a1"
    ):
        headers = [
            ("host", HOST),
            ("attempt-id", request_id),
            ("timeout-ms", str(timeout_ms)),
        ]
        if key is not None:
            headers.append(("key", key))
        return await send(self.outbound, method, target, headers=headers)


async def send(address, method, target, body=b"", headers=()):
    """Sends a request over a new connection and returns the response."""
    try:
        connection = await open_connection(address, MAX_HEAD_BYTES, 2.0)
    except Exception as error:
        raise OSError(str(error)) from error
    pairs = [(name.encode(), value.encode()) for name, value in headers]
    if not any(name == "host" for name, _ in headers):
        pairs.append((b"host", address.encode()))
    try:
        return await connection.exchange(
            method.encode(),
            target.encode(),
            pairs,
            buffered_body(body),
            MAX_RESPONSE_BYTES,
        )
    finally:
        with trio.CancelScope(shield=True):
            await connection.aclose()


class HostedFleet:
    """The store, and one daemon with its upstream for each service."""

    def __init__(self, store):
        self.store = store
        self.daemons_by_service = {}

    @property
    def front(self):
        return self.daemons_by_service["front"]

    @property
    def back(self):
        return self.daemons_by_service["back"]


@asynccontextmanager
async def run_hosted_fleet(
    directory,
    version=1,
    *,
    services=SERVICES,
    make_upstream=Upstream,
    slots=10,
    bounds=(),
    limits=None,
    zones=None,
    **settings,
):
    """Runs one daemon for each service until the block ends.

    Args:
        directory: Where the settings files and logs are written.
        version: Version of the configuration.
        services: The services; each has one daemon.
        make_upstream: Makes the fake upstream of a service.
        slots: Requests that each upstream says it runs at once.
        bounds: The bounds in the settings files, each `name=value`.
        limits: What the settings files say that a process may use.
        zones: Zone of the daemons that aren't in zone `a`, by service.
        settings: What else the configuration says.
    """
    store = FakeStore()
    fleet = HostedFleet(store)
    # Each daemon has its own IP address: a free port of a shared one may be taken
    # before the daemon binds it.
    with reserve_network() as network:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve_http, store.handle)
            store.put("keyed.op", "config", build_configuration(version, **settings))
            for number, service in enumerate(services):
                upstream = make_upstream(service)
                upstream.address = await nursery.start(upstream.serve)
                ip = network.host_ip(number)
                zone = (zones or {}).get(service, "a")
                daemon = HostedDaemonProcess(
                    number, ip, upstream, address, directory, bounds, zone, limits
                )
                fleet.daemons_by_service[service] = daemon
                daemon.start()
            try:
                for daemon in fleet.daemons_by_service.values():
                    await wait_until(daemon.is_ready, "a ready daemon")
                    assert (await daemon.send_heartbeat(slots=slots)).status == 200
                await wait_until(
                    lambda: serves_requests(fleet), "the first successful response"
                )
                yield fleet
            finally:
                for daemon in fleet.daemons_by_service.values():
                    if daemon.process.is_running:
                        os.kill(daemon.process.pid, 9)
                nursery.cancel_scope.cancel()


async def serves_requests(fleet):
    """Returns whether the back responds to a request that arrives at the front."""
    response = await fleet.front.send_request(
        "/inner/first", key=None, request_id="first"
    )
    return response.status == 200
