"""The program that runs on the users' machines: `python3 -m mangospoke.platform`."""

import signal

import trio

from mangospoke.daemon.hosted import Platform
from mangospoke.daemon.hosted_run import run_hosted
from mangospoke.daemon.hosting import Hosting
from mangospoke.platform import store
from mangospoke.platform.declarations import read_configuration
from mangospoke.platform.headers import CALLER_DIALECT, UPSTREAM_DIALECT
from mangospoke.platform.heartbeats import HeartbeatEntrance
from mangospoke.platform.settings import read_settings


def main() -> None:
    """Runs a hosted daemon on a machine of the platform."""
    # Until the daemon takes it, an order to reload has nothing to do.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    hosting = read_settings()
    trio.run(run_hosted, hosting, open_platform(hosting))


def open_platform(hosting: Hosting) -> Platform:
    """Makes the platform's side of a hosted daemon."""
    log = store.StoreLog(hosting.settings.log)
    return Platform(
        log=log,
        log_calls=log.calls,
        configuration_topic=store.CONFIGURATION_TOPIC,
        configuration_key=store.CONFIGURATION_KEY,
        hosts_topic=store.HOSTS_TOPIC,
        read_configuration=read_configuration,
        caller_dialect=CALLER_DIALECT,
        upstream_dialect=UPSTREAM_DIALECT,
        heartbeat_handler=lambda take: HeartbeatEntrance(take).handle,
        read_hosting=read_settings,
    )


if __name__ == "__main__":
    main()
