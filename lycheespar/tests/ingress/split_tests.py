"""Distribution of requests among a route's destinations."""

from __future__ import annotations

from collections import Counter

from msgspec.structs import replace

from lycheespar.configuration.routes import Destination, HostRoute
from lycheespar.ingress.split import WeightedSplit

ROUTE = HostRoute(
    'r',
    'a.example',
    '/',
    destinations=(Destination('a', 90), Destination('b', 10)),
)


def test_shares_hold_in_any_window():
    split = WeightedSplit()
    chosen = [split.choose_service(ROUTE) for _ in range(500)]
    for start in range(0, 400, 7):
        counts = Counter(chosen[start : start + 100])
        assert abs(counts['b'] - 10) <= 1


def test_destination_with_weight_zero_gets_no_requests():
    route = replace(
        ROUTE,
        destinations=(Destination('a', 0), Destination('b', 3)),
    )
    split = WeightedSplit()
    assert {split.choose_service(route) for _ in range(50)} == {'b'}


def test_no_service_is_chosen_if_all_weights_are_zero():
    route = replace(ROUTE, destinations=(Destination('a', 0),))
    assert not WeightedSplit().choose_service(route)


def test_changed_weights_apply_at_once():
    split = WeightedSplit()
    for _ in range(55):
        split.choose_service(ROUTE)
    changed = replace(
        ROUTE,
        destinations=(Destination('a', 10), Destination('b', 90)),
    )
    counts = Counter(split.choose_service(changed) for _ in range(100))
    assert counts['b'] == 90
