"""Shares of a route's destinations."""

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


def test_a_destination_without_weight_gets_nothing():
    route = replace(
        ROUTE,
        destinations=(Destination('a', 0), Destination('b', 3)),
    )
    split = WeightedSplit()
    assert {split.choose_service(route) for _ in range(50)} == {'b'}


def test_no_weight_at_all_chooses_nothing():
    route = replace(ROUTE, destinations=(Destination('a', 0),))
    assert not WeightedSplit().choose_service(route)


def test_changed_weights_count_at_once():
    split = WeightedSplit()
    for _ in range(55):
        split.choose_service(ROUTE)
    turned = replace(
        ROUTE,
        destinations=(Destination('a', 10), Destination('b', 90)),
    )
    counts = Counter(split.choose_service(turned) for _ in range(100))
    assert counts['b'] == 90
