"""The services that the requests of each route call, as learned from their runs.

Load pattern: a failure domain is cut off, and a service is only behind the cut.
Requests whose upstream calls that service would take up slots and fail; they are better
refused before they run.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from mangospoke.ids import RequestId, RouteName, ServiceName

_MIN_RUNS = 8
"""Runs of a route before anything is concluded from them."""

_MEAN_RUNS = 32
"""Number of runs after which an older one counts for little."""

_NEEDED_RATIO = 0.8
"""Part of a route's runs that call a service, from which on it is needed."""

_MAX_ROUTES = 1_000


@dataclass(slots=True)
class _RouteRuns:
    """Runs of a route.

    Attributes:
        ratio_by_service: Moving mean of the part of the runs that called a service.
    """

    count: int = 0
    ratio_by_service: dict[ServiceName, float] = field(default_factory=dict)

    def add(self, called: Collection[ServiceName]) -> None:
        self.count += 1
        weight = 1 / min(self.count, _MEAN_RUNS)
        for service in self.ratio_by_service.keys() | set(called):
            ratio = self.ratio_by_service.get(service, 0.0)
            ratio += weight * ((service in called) - ratio)
            self.ratio_by_service[service] = ratio


class RouteCallees:
    """Learns from the runs of this host's upstream which services a route needs."""

    def __init__(self) -> None:
        self._runs_by_route: dict[RouteName, _RouteRuns] = {}
        self._called_by_request: dict[RequestId, set[ServiceName]] = {}

    def begin_run(self, request_id: RequestId) -> None:
        """Records that the upstream begins to run a request."""
        self._called_by_request[request_id] = set()

    def record_call(self, parent_id: RequestId, service: ServiceName) -> None:
        """Records that the upstream called a service for a request that it runs."""
        called = self._called_by_request.get(parent_id)
        if called is not None:
            called.add(service)

    def end_run(
        self, request_id: RequestId, route: RouteName, *, is_complete: bool
    ) -> None:
        """Records that a run ended.

        Args:
            request_id: The request.
            route: Its route.
            is_complete: Whether it succeeded; others may have made no calls yet.
        """
        called = self._called_by_request.pop(request_id, None)
        if called is None or not is_complete:
            return
        runs = self._runs_by_route.get(route)
        if runs is None:
            if len(self._runs_by_route) >= _MAX_ROUTES:
                self._runs_by_route.clear()
            runs = self._runs_by_route[route] = _RouteRuns()
        runs.add(called)

    def needed(self, route: RouteName) -> list[ServiceName]:
        """Returns the services without which requests of a route hardly succeed."""
        runs = self._runs_by_route.get(route)
        if runs is None or runs.count < _MIN_RUNS:
            return []
        return [
            service
            for service, ratio in runs.ratio_by_service.items()
            if ratio >= _NEEDED_RATIO
        ]
