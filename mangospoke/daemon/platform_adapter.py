"""What a platform brings to a hosted daemon."""

from collections.abc import Callable
from dataclasses import dataclass

from mangospoke.conf.effective import EffectiveConfiguration
from mangospoke.daemon.hosting import HostedSettings
from mangospoke.guard.dialect import UpstreamDialect
from mangospoke.http.server import RequestHandler
from mangospoke.ingress.dialect import CallerDialect
from mangospoke.logservice.calls import LogTransport
from mangospoke.logservice.keyed import KeyedLog
from mangospoke.state.heartbeats import HeartbeatReceiver
from mangospoke.state.keyed_following import KeyedTopics


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Interface to a platform: its log and its data formats.

    Attributes:
        log: Client of the platform's log.
        log_calls: Counts the calls to the log.
        topics: The keyed topics that hold the configuration and the hosts' records.
        read_configuration: Parses a configuration; None if it is not usable.
        caller_dialect: Format of requests from callers.
        upstream_dialect: Format of requests to the upstream.
        heartbeat_handler: Creates the HTTP handler of the upstream's heartbeats.
        read_hosted_settings: Reads the settings again, for a reload.
    """

    log: KeyedLog
    log_calls: LogTransport
    topics: KeyedTopics
    read_configuration: Callable[[bytes], EffectiveConfiguration | None]
    caller_dialect: CallerDialect
    upstream_dialect: UpstreamDialect
    heartbeat_handler: Callable[[HeartbeatReceiver], RequestHandler]
    read_hosted_settings: Callable[[], HostedSettings]
