"""Bounds what a cold upstream gets, and finds out whether it is cold.

It follows the upstream's heartbeats and responses, and asks the upstream itself where
those leave it open: after it couldn't be reached, and while its heartbeats stay away.
"""

import math
from collections.abc import Callable

import trio
from loguru import logger

from mangospoke.announcements import Announcement
from mangospoke.conf.effective import EffectiveService
from mangospoke.guard.dialect import ResponseMetadata, UpstreamDialect
from mangospoke.guard.hints import request_once
from mangospoke.guard.rate_limit import BURST_S, ColdRate, UpstreamRateLimit
from mangospoke.guard.warmth import Warmth, WarmthSource
from mangospoke.state.fleet import Fleet

_CHECK_INTERVAL_S = 0.5
_CHECK_REQUESTS = 3
"""Requests that checks send in a second at most; they aren't paced like others."""

_MAX_UNCONFIRMED_S = 2.5
"""Time without a word of its warmth after which an upstream in use is asked for it."""

_UNCONFIGURED = ColdRate(2.0, 1.0)
"""For one that says it is cold, until the configuration says what it takes."""


class ColdStartController:
    """Keeps the bound on the upstream of this host in line with its cold starts.

    Attributes:
        warmth: What is known of the upstream's cold start.
        turn_count: Times that the upstream turned cold since the daemon's start.
        max_excess_ratio: Allowed excess over the declared rate, as a ratio of it.
        max_excess_requests: Additional requests that it may get in a second.
    """

    def __init__(
        self,
        fleet: Fleet,
        rate_limit: UpstreamRateLimit,
        dialect: UpstreamDialect,
        on_change: Callable[[], None],
    ) -> None:
        """Initializes the controller of a host without an upstream.

        Args:
            fleet: Whose configuration declares what cold upstreams take.
            rate_limit: The limit that is bounded.
            dialect: Reads the upstream's responses.
            on_change: Called after the bound changed.
        """
        self.warmth = Warmth()
        self.turn_count = 0
        self.max_excess_ratio = 0.0
        self.max_excess_requests = 0.0
        self._fleet = fleet
        self._rate_limit = rate_limit
        self._dialect = dialect
        self._on_change = on_change
        self._announcement: Announcement | None = None
        self._bound: ColdRate | None = None
        self._checked_at = -math.inf
        self._changed = trio.Event()

    @property
    def is_bounded(self) -> bool:
        """Whether the upstream is cold and gets only a bounded rate."""
        return self._bound is not None

    def start_run(self, announcement: Announcement) -> None:
        """Begins with a new process run of the upstream."""
        self._announcement = announcement
        self.warmth.cold_start_s = self._cold_start_s()
        left_ms = announcement.cold_left_ms
        left_s = None if left_ms is None else left_ms / 1000
        self.warmth.start_run(left_s, trio.current_time())
        self._update()

    def process_heartbeat(self, left_ms: int | None) -> None:
        """Processes what a heartbeat of the present process run says."""
        left_s = None if left_ms is None else left_ms / 1000
        self.warmth.process_heartbeat(left_s, trio.current_time())
        self._update()

    def process_response(self, metadata: ResponseMetadata, requested_at: float) -> None:
        """Processes a response of the present process run.

        Args:
            metadata: What it says.
            requested_at: When its request was sent.
        """
        now = trio.current_time()
        if metadata.cold_left_s is not None:
            self.warmth.process_response(metadata.cold_left_s, requested_at, now)
        elif self.warmth.is_presumed:
            self.warmth.process_answer(requested_at, now)
        else:
            return
        self._update()

    def handle_unreachable(self) -> None:
        """Takes the upstream for cold, since it accepts no connection."""
        self.warmth.presume_cold(WarmthSource.UNREACHABLE, trio.current_time())
        self._update()

    def apply_configuration(self) -> None:
        """Applies what a new configuration version says of cold upstreams."""
        self.warmth.cold_start_s = self._cold_start_s()
        self._update()

    def _service(self) -> EffectiveService | None:
        if self._announcement is None:
            return None
        services = self._fleet.configuration.services_by_name
        return services.get(self._announcement.service)

    def _cold_start_s(self) -> float:
        service = self._service()
        return 0.0 if service is None else service.cold_start_s

    def _cold_rate(self) -> ColdRate | None:
        """Returns what the upstream gets while it is cold; None if that is unbounded.

        It gets what the service declares: the allowed excess is for bursts, and for
        what was sent before the turn to cold was known.
        """
        if self._fleet.configuration.version == 0:
            return None if self.warmth.is_presumed else _UNCONFIGURED
        service = self._service()
        if service is None or service.cold_per_s <= 0:
            return None
        per_s = service.cold_per_s
        excess = per_s * self.max_excess_ratio + self.max_excess_requests
        burst = min(per_s * BURST_S, excess - _CHECK_REQUESTS)
        return ColdRate(per_s, max(1.0, burst))

    def _update(self) -> None:
        now = trio.current_time()
        self._changed.set()
        bound = self._cold_rate() if self.warmth.is_cold(now) else None
        if bound == self._bound:
            return
        before, self._bound = self._bound, bound
        self._rate_limit.bound_cold(bound, now)
        if before is None or bound is None:
            self._log_turn(now)
        self._on_change()

    def _log_turn(self, now: float) -> None:
        announcement = self._announcement
        if announcement is None:
            return
        bound = self._bound
        left_s = self.warmth.left_s(now)
        context = logger.bind(
            event="upstream_warm" if bound is None else "upstream_cold",
            service=announcement.service,
            instance=announcement.instance,
            source=self.warmth.source.value,
            left_s=round(left_s, 3) if math.isfinite(left_s) else None,
            limit_per_s=None if bound is None else bound.per_s,
        )
        if bound is None:
            context.info("the upstream is warm")
            return
        self.turn_count += 1
        context.info("the upstream is cold and gets {} requests a second", bound.per_s)

    def request_check(self) -> None:
        """Has the upstream asked soon, as it may have turned cold unnoticed."""
        self.warmth.told_at = -math.inf
        self._changed.set()

    async def run(self) -> None:
        """Ends cold times, and asks the upstream where its warmth is open."""
        while True:
            self._changed = trio.Event()
            with trio.move_on_after(self._next_step_s()):
                await self._changed.wait()
                continue
            now = trio.current_time()
            if self.is_bounded and not self.warmth.is_cold(now):
                self.warmth.expire()
                self._update()
            elif self._check_due_s(now) <= 0:
                self._checked_at = now
                await self._check()

    def _next_step_s(self) -> float:
        now = trio.current_time()
        end_s = self.warmth.left_s(now) if self.is_bounded else math.inf
        return max(0.0, min(end_s, self._check_due_s(now)))

    def _check_due_s(self, now: float) -> float:
        """Returns the seconds until the upstream is to be asked whether it is cold."""
        service = self._service()
        if service is None or service.cold_per_s <= 0 or not self._health_path():
            return math.inf
        is_in_use = self._rate_limit.has_sent_since(now - _MAX_UNCONFIRMED_S)
        if not is_in_use:
            return _CHECK_INTERVAL_S
        earliest_at = self._checked_at + _CHECK_INTERVAL_S
        if not self.warmth.is_presumed:
            earliest_at = max(earliest_at, self.warmth.told_at + _MAX_UNCONFIRMED_S)
        return earliest_at - now

    def _health_path(self) -> str:
        service = self._service()
        return "" if service is None else service.health_path

    async def _check(self) -> None:
        announcement = self._announcement
        assert announcement is not None
        requested_at = trio.current_time()
        response = await request_once(announcement.address, self._health_path())
        if announcement is not self._announcement or response is None:
            return
        metadata = self._dialect.read_metadata(response)
        is_other = metadata.instance not in (None, announcement.instance)
        if not is_other and not metadata.is_other_instance:
            self.process_response(metadata, requested_at)
