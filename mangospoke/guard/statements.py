"""What the upstream of this host says about itself in its responses.

The responses are the only source, and this process alone sees all of them. So peers
that passed one on tell it again with their requests, for the time after a restart.
"""

import math
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import trio
from loguru import logger

from mangospoke.announcements import Announcement
from mangospoke.guard.dialect import ResponseMetadata, UnreadableLimit
from mangospoke.guard.rate_limit import (
    LimitChange,
    StatementSource,
    UpstreamRateLimit,
)
from mangospoke.ids import UpstreamRun
from mangospoke.peers.messages import UpstreamNotice

if TYPE_CHECKING:
    from loguru import Logger

_MIN_SERVER_ERROR_STATUS = 500
_TELL_END_S = 10.0
"""Time for which peers are told that an upstream says nothing special any more."""


class UpstreamStatements:
    """Keeps and logs what the present process run of the upstream says.

    Attributes:
        is_leaving: Whether it said that it is leaving.
        on_leaving: Called when that becomes known.
    """

    def __init__(
        self, rate_limit: UpstreamRateLimit, on_limit_change: Callable[[], None]
    ) -> None:
        """Initializes the statements of a host without an upstream.

        Args:
            rate_limit: The limit that statements change.
            on_limit_change: Called after the limit changed.
        """
        self.is_leaving = False
        self.on_leaving: Callable[[StatementSource], None] = _ignore_leaving
        self._rate_limit = rate_limit
        self._on_limit_change = on_limit_change
        self._announcement: Announcement | None = None
        self._run = UpstreamRun("")
        self._stated_at_ms = 0
        self._is_limit_unreadable = False
        self._tell_until = -math.inf

    def attach(self, announcement: Announcement) -> None:
        """Starts with a new process run of the upstream, which said nothing yet.

        One that restarted under its old id may have responded before its first
        heartbeat, so that the limit is kept until it responds again.
        """
        known, self._announcement = self._announcement, announcement
        if known is not None and known.instance == announcement.instance:
            self._rate_limit.carry_over(trio.current_time())
        else:
            self._rate_limit.reset()
        self._run = _run_of(announcement)
        self._stated_at_ms = _now_ms()
        self._is_limit_unreadable = False
        self._tell_until = -math.inf
        self.is_leaving = False

    def process_response(
        self, status: int, metadata: ResponseMetadata, sent_at: float
    ) -> None:
        """Processes what a response says.

        Args:
            status: Status of the response.
            metadata: What it says.
            sent_at: When its request was sent.
        """
        if metadata.is_leaving:
            self._start_leaving(StatementSource.UPSTREAM)
        limit = metadata.rate_limit
        if isinstance(limit, UnreadableLimit):
            self._log_unreadable_limit(limit)
            return
        self._is_limit_unreadable = False
        if limit is None and not _may_lift_limit(status, metadata):
            return
        change = self._rate_limit.state(limit, sent_at, trio.current_time())
        self._apply_limit_change(change)

    def process_notice(self, notice: UpstreamNotice) -> None:
        """Processes what a peer says that it heard of the upstream."""
        if self._announcement is None:
            return
        # What this daemon knows by now is told back, so that the peer knows it too.
        self._tell_until = trio.current_time() + _TELL_END_S
        if notice.run != self._run:
            return
        if notice.is_leaving:
            self._start_leaving(StatementSource.PEER)
        if notice.rate_limit is not None:
            now = trio.current_time()
            self._apply_limit_change(self._rate_limit.adopt(notice.rate_limit, now))

    def notice(self) -> UpstreamNotice | None:
        """Returns what peers are to know; None if they know it without being told."""
        notice = UpstreamNotice(
            self._run,
            self._rate_limit.stated_per_s,
            self._stated_at_ms,
            self.is_leaving,
        )
        if notice.is_special or trio.current_time() < self._tell_until:
            return notice
        return None

    def _start_leaving(self, source: StatementSource) -> None:
        if self.is_leaving:
            return
        self.is_leaving = True
        self._stated_at_ms = _now_ms()
        self._bind("upstream_said_leaving").bind(source=source.value).info(
            "the upstream says that it is leaving, by the {}", source.value
        )
        self.on_leaving(source)

    def _apply_limit_change(self, change: LimitChange | None) -> None:
        if change is None:
            return
        self._tell_until = trio.current_time() + _TELL_END_S
        self._stated_at_ms = _now_ms()
        self._log_limit_change(change)
        self._on_limit_change()

    def _log_unreadable_limit(self, limit: UnreadableLimit) -> None:
        if self._is_limit_unreadable:
            return
        self._is_limit_unreadable = True
        self._bind("upstream_limit_unreadable").warning(
            "cannot read the upstream's rate limit {!r}; keeping {}",
            limit.text,
            self._rate_limit.stated_per_s,
        )

    def _log_limit_change(self, change: LimitChange) -> None:
        age_s = change.previous_age_s
        self._bind(f"upstream_limit_{change.event.value}").bind(
            limit_per_s=change.rate_per_s,
            previous_per_s=change.previous_per_s,
            source=change.source.value,
            previous_age_s=round(age_s, 3) if math.isfinite(age_s) else None,
        ).info(
            "the upstream's rate limit is {}, by the {}",
            "lifted" if change.rate_per_s is None else f"{change.rate_per_s}/s",
            change.source.value,
        )

    def _bind(self, event: str) -> "Logger":
        announcement = self._announcement
        assert announcement is not None
        return logger.bind(
            event=event, service=announcement.service, instance=announcement.instance
        )


def _may_lift_limit(status: int, metadata: ResponseMetadata) -> bool:
    """Returns whether a response that names no limit shows that there is none.

    Errors may come from a part of the upstream that doesn't know of its limit, and
    spoiled responses may lack any field.
    """
    return status < _MIN_SERVER_ERROR_STATUS and metadata.is_authentic


def _ignore_leaving(source: StatementSource) -> None:
    """Does nothing."""


def _run_of(announcement: Announcement) -> UpstreamRun:
    return UpstreamRun(f"{announcement.instance or ''}/{announcement.started_at_ms}")


def _now_ms() -> int:
    return time.time_ns() // 1_000_000
