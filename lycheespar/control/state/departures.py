"""Departures of targets in the replicated state."""

from __future__ import annotations

from typing import Final

from lycheespar.targets.departures import Departure, Rank

# Departures stored for one node, and nodes with departures. A heartbeat that
# was sent before a departure arrives within seconds, while a target takes
# longer to start and leave.
MAX_DEPARTURES_PER_NODE: Final = 8
MAX_NODES: Final = 4096

# Departures by the identity of the node; the newest ones stand last.
DepartureTable = dict[str, tuple[Departure, ...]]


def add_departure(
    table: DepartureTable, node: str, departure: Departure
) -> None:
    """Add a departure to a table; the oldest ones may be evicted.

    Of the departures of one target, the one with the greatest rank is kept.
    """
    known = table.pop(node, ())
    others = [found for found in known if found.target != departure.target]
    same_target = [found for found in known if found not in others]
    newest = max((*same_target, departure), key=_rank_of)
    table[node] = (*others, newest)[-MAX_DEPARTURES_PER_NODE:]
    if len(table) > MAX_NODES:
        table.pop(next(iter(table)))


def is_recorded(table: DepartureTable, node: str, departure: Departure) -> bool:
    """Whether a departure, or a later one of the same target, is stored."""
    return any(
        found.target == departure.target and found.rank >= departure.rank
        for found in table.get(node, ())
    )


def _rank_of(departure: Departure) -> Rank:
    return departure.rank
