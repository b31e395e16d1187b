"""A route's requests are shared among services by weight."""

from collections import Counter

import pytest

from mangospoke.conf.declarations import Access, Importance
from mangospoke.conf.effective import Backend, EffectiveRoute
from mangospoke.ingress.splitting import WeightedSplit


def route(**weights):
    backends = tuple(Backend(name, weight) for name, weight in weights.items())
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


def test_a_route_without_parts_has_one_service():
    assert WeightedSplit().choose(route()) == "whole"


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 2), (70, 20), (100, 0)])
def test_every_few_requests_match_the_weights(weights):
    split = WeightedSplit()
    parts = route(a=weights[0], b=weights[1])
    chosen = Counter()
    for count in range(1, 201):
        chosen[split.choose(parts)] += 1
        expected = count * weights[0] / sum(weights)
        assert abs(chosen["a"] - expected) <= 1


def test_changed_weights_are_in_force_at_once():
    split = WeightedSplit()
    for _ in range(55):
        split.choose(route(a=99, b=1))
    chosen = Counter(split.choose(route(a=0, b=1)) for _ in range(20))
    assert chosen == {"b": 20}
