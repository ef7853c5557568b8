"""Refreshes the known loads of the targets among which a call chooses.

The load that this answers: targets whose load changes several times during
one call, in data centres of which one is at its peak while another has room.
Replies from a far data centre take longer than from a near one; a fixed time
limit would take all far targets for unresponsive, and leave their room unused.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Sequence
from typing import Final, Protocol

from lycheespar.call import Load
from lycheespar.membership.records import MemberRecord
from lycheespar.routing.table import TargetState

# A load report that is younger than this, in seconds, is not requested again.
LOAD_FRESH_S: Final = 0.005
# Longest wait in seconds for replies of near targets. It allows several round
# trips between data centres of one region.
NEAR_TIMEOUT_S: Final = 0.01
# Longest wait in seconds for replies of far targets, and the same as a multiple
# of their usual reply time.
MAX_FAR_TIMEOUT_S: Final = 0.05
FAR_TIMEOUT_FACTOR: Final = 1.5

Query = asyncio.Future[Load]


class LoadSource(Protocol):
    """Queries the loads of targets at other nodes."""

    def query_load(self, record: MemberRecord) -> Query | None:
        """Query the load of a node's target; None if no channel is open."""


class LoadRefresher:
    """Queries the loads of a call's candidates.

    Parameters
    ----------
    node : str
        Identity of this node.
    local_load : Callable[[], Load]
        Returns the load of the local target.
    source : LoadSource
        Queries the loads of other targets.
    """

    __slots__ = ('_local_load', '_node', '_source')

    def __init__(
        self, node: str, local_load: Callable[[], Load], source: LoadSource
    ) -> None:
        """Create a refresher; it keeps no state of its own."""
        self._node = node
        self._local_load = local_load
        self._source = source

    async def refresh(
        self, states: Sequence[TargetState]
    ) -> Sequence[TargetState]:
        """Refresh loads; return the targets to choose from.

        While a near target is free, replies of far ones are not awaited, and
        those targets are left out.
        """
        queries = self._query(states)
        far = {query: state for query, state in queries.items() if state.is_far}
        await _wait(
            {query: queries[query] for query in queries if query not in far},
            NEAR_TIMEOUT_S,
        )
        if not far:
            return states
        known = [state for state in states if state not in far.values()]
        if any(state.is_free for state in known):
            return known
        usual_s = max(state.reply_s for state in far.values())
        timeout_s = min(usual_s * FAR_TIMEOUT_FACTOR, MAX_FAR_TIMEOUT_S)
        await _wait(far, timeout_s)
        return states

    def _query(
        self, states: Collection[TargetState]
    ) -> dict[Query, TargetState]:
        """Query the targets whose latest load is outdated."""
        now = asyncio.get_running_loop().time()
        queries: dict[Query, TargetState] = {}
        for state in states:
            if state.record.node == self._node:
                state.update_load(self._local_load(), now)
            elif state.load_at < now - LOAD_FRESH_S:
                query = self._source.query_load(state.record)
                if query is not None:
                    state.begin_query(query, now)
                    queries[query] = state
        return queries


async def _wait(queries: dict[Query, TargetState], timeout_s: float) -> None:
    """Wait for replies, and note which targets gave none in time."""
    if not queries:
        return
    _, late = await asyncio.wait(queries, timeout=timeout_s)
    now = asyncio.get_running_loop().time()
    for query in late:
        queries[query].record_unanswered_query(now)
