"""Planned end of a control host: it gives its vote back."""

from __future__ import annotations

import asyncio
import math
from typing import Final

from loguru import logger

from lycheespar.control.agreement.peers import Timing
from lycheespar.control.agreement.replica import Replica

# Time-out in seconds of the removal of the vote.
LEAVE_TIMEOUT_S: Final = 2

log = logger.bind(part='control')


class Leaving:
    """Has the vote of this host removed before the host stops.

    Otherwise, quorums would have to make up for that vote until it has been
    silent for long, and another lost host could meanwhile leave the group
    without a quorum. The vote is kept if only the least number of voters is
    left, or if the group does not replace silent voters.

    Parameters
    ----------
    replica : Replica
        Replicated state of this host.
    timing : Timing
        Time-outs of the group, and its least number of voters.
    """

    __slots__ = ('_replica', '_timing')

    def __init__(self, replica: Replica, timing: Timing) -> None:
        """Prepare to leave; `run` carries it out."""
        self._replica = replica
        self._timing = timing

    async def run(self) -> None:
        """Wait until the leader has removed the vote, or for the time-out.

        Replies to the leader say that this host is leaving; the leader then
        proposes the removal.
        """
        if math.isinf(self._timing.replace_after_s):
            return
        replica = self._replica
        replica.leaving = True
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await replica.changed.wait_for(lambda: not self._may_leave)
        except TimeoutError:
            log.warning("'{}' stops and keeps its vote.", replica.name)
            return
        log.info("'{}' is leaving.", replica.name)

    @property
    def _may_leave(self) -> bool:
        """Whether this host votes and enough other voters would remain."""
        replica = self._replica
        voters = replica.state.voters
        votes = voters.get(replica.name) == replica.disk
        return votes and len(voters) > self._timing.least_voters
