"""Calls that a node admits by itself while a quota's owner can't be asked.

The load that this answers: a data centre that can't reach the owner while the
others can, and a fleet most of whose nodes have just been lost. The reserves of
all nodes together stay within the extra calls that are tolerated.
"""

from __future__ import annotations

import random
from typing import Final

from lycheespar.quotas.bucket import TokenBucket
from lycheespar.teams.profile import TeamProfile

# Part of its equal share of a limit that a node admits by itself. A quarter of
# the nodes, cut off from the owner, adds a tenth of the limit at most.
RESERVE_PART: Final = 0.4
# Probability that a node has a call in reserve at first. Few nodes have one for
# a given team, so that all of them together stay within the tolerated calls.
FIRST_CALL_PROBABILITY: Final = 0.1


class QuotaReserve:
    """Token buckets for a node's own part of each team's quota.

    Parameters
    ----------
    source : random.Random
        Source of random numbers.
    """

    __slots__ = ('_buckets', '_random')

    def __init__(self, source: random.Random) -> None:
        """Create a reserve without buckets."""
        self._random = source
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, team: TeamProfile, nodes: int, now: float) -> float:
        """Take a call from this node's part of a quota.

        Parameters
        ----------
        team : TeamProfile
            The team.
        nodes : int
            Number of nodes that share the quota.
        now : float
            The present instant, in seconds.

        Returns
        -------
        float
            0 if the call is granted; else the time in seconds until there is
            one.
        """
        per_s = RESERVE_PART * team.calls_per_s / max(nodes, 1)
        bucket = self._buckets.get(team.name)
        if bucket is None:
            has_call = self._random.random() < FIRST_CALL_PROBABILITY
            bucket = TokenBucket(now, per_s, 1, float(has_call))
            self._buckets[team.name] = bucket
        bucket.configure(now, per_s, 1)
        return bucket.try_take(now)
