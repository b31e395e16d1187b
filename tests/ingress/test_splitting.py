"""Distribution of a route's requests to services by weight."""

from collections import Counter

import pytest

from mangospoke.conf.declarations import Access, Importance
from mangospoke.conf.effective import Backend, EffectiveRoute
from mangospoke.ingress.splitting import TrafficSplitter


def make_route(**weight_by_service):
    backends = tuple(
        Backend(name, weight) for name, weight in weight_by_service.items()
    )
    return EffectiveRoute(
        service="whole",
        name="r",
        method=b"",
        path="/",
        access=Access.OPEN,
        importance=Importance.NORMAL,
        idempotent=True,
        deadline_s=1.0,
        retries=1,
        backends=backends,
    )


def test_route_without_backends_has_one_service():
    assert TrafficSplitter().choose(make_route()) == "whole"


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 2), (70, 20), (100, 0)])
def test_any_number_of_requests_matches_the_weights(weights):
    splitter = TrafficSplitter()
    route = make_route(a=weights[0], b=weights[1])
    chosen = Counter()
    for count in range(1, 201):
        chosen[splitter.choose(route)] += 1
        expected = count * weights[0] / sum(weights)
        assert abs(chosen["a"] - expected) <= 1


def test_changed_weights_apply_immediately():
    splitter = TrafficSplitter()
    for _ in range(55):
        splitter.choose(make_route(a=99, b=1))
    chosen = Counter(splitter.choose(make_route(a=0, b=1)) for _ in range(20))
    assert chosen == {"b": 20}
