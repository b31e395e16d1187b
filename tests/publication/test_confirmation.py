"""Hosts at which a version is not active are reported."""

import trio

from mangospoke.observability.status import DaemonStatus
from mangospoke.publication.confirmation import UNREACHABLE_GRACE_S, wait_until_active
from mangospoke.publication.hosts import HostUnreachableError

HOSTS = {"10.0.0.1:1": "h1", "10.0.0.2:1": "h2", "10.0.0.3:1": "h3"}


def _status(host, version):
    return DaemonStatus(
        host_id=host,
        failure_domain="north",
        site="yard",
        incarnation=1,
        configuration_version=version,
        offsets={},
        upstreams_known={},
        upstream=None,
        outcomes=(),
        draining=False,
    )


async def _find():
    return HOSTS


async def test_waits_until_the_last_host_has_the_version(autojump_clock):
    asked = []

    async def ask(address):
        asked.append(address)
        version = 4 if address != "10.0.0.2:1" or len(asked) > 9 else 3
        return _status(HOSTS[address], version)

    confirmation = await wait_until_active(4, _find, ask, 60)
    assert confirmation.is_complete
    assert asked.count("10.0.0.1:1") == 1


async def test_a_host_with_an_older_version_is_reported(autojump_clock):
    async def ask(address):
        return _status(HOSTS[address], 3 if address == "10.0.0.2:1" else 5)

    confirmation = await wait_until_active(4, _find, ask, 30)
    assert confirmation.behind == {"h2": 3}
    assert not confirmation.is_complete


async def test_an_unreachable_host_is_awaited_only_for_the_grace_period(autojump_clock):
    started_at = autojump_clock.current_time()

    async def ask(address):
        if address == "10.0.0.3:1":
            raise HostUnreachableError("refused")
        return _status(HOSTS[address], 4)

    confirmation = await wait_until_active(4, _find, ask, 600)
    assert confirmation.errors_by_host == {"h3": "refused"}
    assert not confirmation.is_complete
    assert autojump_clock.current_time() - started_at < 2 * UNREACHABLE_GRACE_S


async def test_a_host_that_left_is_not_waited_for(autojump_clock):
    find_calls = []

    async def find():
        find_calls.append(1)
        return HOSTS if len(find_calls) < 3 else {"10.0.0.1:1": "h1"}

    async def ask(address):
        return _status(HOSTS[address], 4 if address == "10.0.0.1:1" else 1)

    confirmation = await wait_until_active(4, find, ask, 60)
    assert confirmation.is_complete
    assert confirmation.versions_by_host == {"h1": 4}


async def test_a_failed_host_lookup_does_not_count_as_an_empty_fleet(autojump_clock):
    async def find():
        await trio.sleep_forever()

    confirmation = await wait_until_active(4, find, lambda _: None, 5)
    assert not confirmation.is_complete
