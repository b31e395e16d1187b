"""Starts a hosted daemon on a host of the platform."""

import trio

from mangospoke.daemon.hosted_run import run_hosted
from mangospoke.daemon.hosting import HostedSettings
from mangospoke.daemon.platform_adapter import PlatformAdapter
from mangospoke.platform import store
from mangospoke.platform.configuration import read_configuration
from mangospoke.platform.headers import CALLER_DIALECT, UPSTREAM_DIALECT
from mangospoke.platform.heartbeats import HeartbeatRequestHandler
from mangospoke.platform.settings import read_settings
from mangospoke.state.keyed_following import KeyedTopics


def run() -> None:
    """Runs a hosted daemon until it is stopped."""
    hosted_settings = read_settings()
    trio.run(run_hosted, hosted_settings, build_platform(hosted_settings))


def build_platform(hosted_settings: HostedSettings) -> PlatformAdapter:
    """Builds the platform adapter of a hosted daemon."""
    log = store.StoreLog(hosted_settings.settings.log)
    return PlatformAdapter(
        log=log,
        log_calls=log.transport,
        topics=KeyedTopics(
            store.CONFIGURATION_TOPIC,
            store.CONFIGURATION_KEY,
            store.HOSTS_TOPIC,
            store.EVACUATION_PREFIX,
        ),
        read_configuration=read_configuration,
        caller_dialect=CALLER_DIALECT,
        upstream_dialect=UPSTREAM_DIALECT,
        heartbeat_handler=lambda receiver: HeartbeatRequestHandler(receiver).handle,
        read_hosted_settings=read_settings,
    )
