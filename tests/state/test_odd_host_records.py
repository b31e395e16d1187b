"""Odd entries among the host records name nobody, and nobody ends or stalls by them.

Failure: an entry of another writer, nested deeply, with a number too large or with a
port out of range, made the services that read it fail again and again.
"""

import msgspec
import pytest
from odd_content import odd_variants
from test_registrar import ADDRESS, HEARTBEAT, SETTINGS, FakeLog

from mangospoke.conf.settings import Limits
from mangospoke.guard.guard import Guard
from mangospoke.logservice.keyed import KeyedRecord
from mangospoke.logservice.records import Departure, UpstreamAnnounced
from mangospoke.observability.decisions import DecisionLog
from mangospoke.state.fleet import Fleet
from mangospoke.state.host_directory import HostDirectory
from mangospoke.state.registrar import HostRegistrar


def make_host(host_id, slots=10):
    return UpstreamAnnounced(
        record_id="r",
        host_id=host_id,
        failure_domain="a",
        incarnation=5,
        service="batches",
        peer_address=ADDRESS,
        control_address=ADDRESS,
        slots=slots,
        operations_address=ADDRESS,
        sequence=3,
        daemon_incarnation=5,
        departures=(Departure("i-0", 1),),
    )


def encode(host):
    return msgspec.json.encode(host)


ODD_BY_NAME = odd_variants(encode(make_host("odd")))
ODD_BY_NAME["of another host"] = encode(make_host("sound", slots=1))
ODD_BY_NAME["a departure is nested"] = encode(make_host("odd")).replace(
    b'["i-0",1,0]', b"[" * 20_000
)
ODD_BY_NAME["a departure is huge"] = encode(make_host("odd")).replace(
    b'["i-0",1,0]', b'["i-0",1' + b"0" * 400 + b",0]"
)
ODD_BY_NAME["the time of a departure is huge"] = encode(make_host("odd")).replace(
    b'["i-0",1,0]', b'["i-0",1,1' + b"0" * 400 + b"]"
)


@pytest.fixture(params=ODD_BY_NAME, ids=str)
def odd(request):
    return KeyedRecord("odd", ODD_BY_NAME[request.param], 1)


def test_an_odd_entry_names_no_host_and_the_others_hold(odd):
    fleet = Fleet("s")
    directory = HostDirectory(fleet)
    sound = KeyedRecord("sound", encode(make_host("sound")), 0)
    later = KeyedRecord("later", encode(make_host("later")), 2)
    directory.handle_records([sound, odd, later], 1, 3)
    assert sorted(fleet.upstreams_by_host) == ["later", "sound"]
    assert fleet.upstreams_by_host["sound"].slots == 10
    # Neighbours that follow this host get nothing odd either.
    assert directory.records_from(0) == [sound, later]
    assert directory.next_offset == 3


def test_a_host_with_an_odd_entry_is_known_again_with_the_next(odd):
    fleet = Fleet("s")
    directory = HostDirectory(fleet)
    directory.handle_records([odd], 1, 2)
    mended = KeyedRecord("odd", encode(make_host("odd")), 7)
    directory.handle_records([mended], 1, 8)
    assert list(fleet.upstreams_by_host) == ["odd"]
    assert directory.records_from(0) == [mended]
    removed = KeyedRecord("odd", b"", 9)
    directory.handle_records([removed], 1, 10)
    assert directory.records_from(0) == [removed]


async def test_a_daemon_whose_own_record_is_odd_starts_and_writes_it_again(
    odd, autojump_clock, nursery
):
    own = KeyedRecord("h1", odd.value.replace(b'"odd"', b'"h1"'), 1)
    guard = Guard(Fleet("s"), Limits(), DecisionLog(), drain_notice_s=0.7)
    log = FakeLog()
    registrar = HostRegistrar(SETTINGS, 7, "batches", guard, log, "hosts")
    registrar.take_over([own])
    nursery.start_soon(registrar.run)
    await registrar.wait_written()
    assert registrar.handle_heartbeat(HEARTBEAT)
    await registrar.wait_written()
    written = len(log.puts)
    registrar.check_written([own])
    await registrar.wait_written()
    assert len(log.puts) == written + 1
