"""Distribution of requests among a route's destinations."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from msgspec.structs import replace

from lycheespar.configuration.routes import Destination, HostRoute
from lycheespar.ingress.split import WeightedSplit

ROUTE = HostRoute(
    'r',
    'a.example',
    '/',
    destinations=(Destination('a', 90), Destination('b', 10)),
)

# Tolerated difference of a part's share from that of its weight.
MAX_SHARE_ERROR = 0.1
NODES = 78


def _split(seed: int = 1) -> WeightedSplit:
    return WeightedSplit(random.Random(seed))


@pytest.mark.parametrize('weight', [10, 20, 30, 40])
def test_shares_hold_over_many_nodes_that_get_few_requests_each(weight):
    """With equal phases, all nodes sent their third requests to one part."""
    route = replace(
        ROUTE,
        destinations=(Destination('a', 100 - weight), Destination('b', weight)),
    )
    splits = [_split(seed) for seed in range(NODES)]
    for changed in (ROUTE, route):
        counts = Counter(
            split.choose_service(changed) for split in splits for _ in range(3)
        )
    share = counts['b'] / counts.total()
    assert abs(share - weight / 100) <= MAX_SHARE_ERROR


def test_shares_hold_in_any_window():
    split = _split()
    chosen = [split.choose_service(ROUTE) for _ in range(500)]
    for start in range(0, 400, 7):
        counts = Counter(chosen[start : start + 100])
        assert abs(counts['b'] - 10) <= 1


def test_destination_with_weight_zero_gets_no_requests():
    route = replace(
        ROUTE,
        destinations=(Destination('a', 0), Destination('b', 3)),
    )
    split = _split()
    assert {split.choose_service(route) for _ in range(50)} == {'b'}


def test_no_service_is_chosen_if_all_weights_are_zero():
    route = replace(ROUTE, destinations=(Destination('a', 0),))
    assert not _split().choose_service(route)


def test_changed_weights_apply_at_once():
    split = _split()
    for _ in range(55):
        split.choose_service(ROUTE)
    changed = replace(
        ROUTE,
        destinations=(Destination('a', 10), Destination('b', 90)),
    )
    counts = Counter(split.choose_service(changed) for _ in range(100))
    assert counts['b'] == 90
