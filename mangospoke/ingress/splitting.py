"""Traffic splitting: distribution of a route's requests to services by weight."""

from mangospoke.conf.effective import Backend, EffectiveRoute
from mangospoke.ids import RouteName, ServiceName


class TrafficSplitter:
    """Chooses services by smooth weighted round robin.

    With each request every service's credit grows by its weight, and the service with
    the largest credit is chosen and pays the sum of the weights. A random choice would
    deviate more from the weights over the few requests that one host receives.
    """

    def __init__(self) -> None:
        self._credits_by_route: dict[RouteName, dict[ServiceName, int]] = {}
        self._backends_by_route: dict[RouteName, tuple[Backend, ...]] = {}

    def choose(self, route: EffectiveRoute) -> ServiceName:
        """Chooses the service for the next request on a route."""
        if not route.backends:
            return route.service
        if self._backends_by_route.get(route.name) != route.backends:
            self._backends_by_route[route.name] = route.backends
            self._credits_by_route[route.name] = {}
        credits_by_service = self._credits_by_route[route.name]
        total_weight = 0
        for backend in route.backends:
            total_weight += backend.weight
            credit = credits_by_service.get(backend.service, 0)
            credits_by_service[backend.service] = credit + backend.weight
        chosen = max(credits_by_service, key=credits_by_service.__getitem__)
        credits_by_service[chosen] -= total_weight
        return chosen
