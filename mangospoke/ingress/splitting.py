"""Sharing of a route's requests among services by weight."""

from mangospoke.conf.effective import Backend, EffectiveRoute
from mangospoke.ids import RouteName, ServiceName


class WeightedSplit:
    """Chooses services so that every few requests match the weights.

    Each service's credit grows by its weight with each request, and the one with
    most is taken and pays for all. Drawing at random would be off by more, over the
    few requests that one host sees.
    """

    def __init__(self) -> None:
        self._credits_by_route: dict[RouteName, dict[ServiceName, int]] = {}
        self._backends_by_route: dict[RouteName, tuple[Backend, ...]] = {}

    def choose(self, route: EffectiveRoute) -> ServiceName:
        """Chooses the service of a route's next request."""
        if not route.backends:
            return route.service
        if self._backends_by_route.get(route.name) != route.backends:
            self._backends_by_route[route.name] = route.backends
            self._credits_by_route[route.name] = {}
        credits = self._credits_by_route[route.name]
        total = 0
        for backend in route.backends:
            total += backend.weight
            credit = credits.get(backend.service, 0)
            credits[backend.service] = credit + backend.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= total
        return chosen
