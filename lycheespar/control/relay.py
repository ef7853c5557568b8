"""Keeps the leader's freshness stamp at a follower."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from lycheespar.configuration.stamp import Stamp
from lycheespar.control.link import LinkTimeoutError
from lycheespar.control.peer_messages import AskStamp, StampReply
from lycheespar.control.peers import Peers, Timing
from lycheespar.control.quorum import NEVER
from lycheespar.control.replica import Replica

MS_PER_S = 1000


class StampRelay:
    """Asks the leader for stamps.

    A stamp counts as old as the time since it was asked for, so that a
    message held up on its way is never taken for a fresh one.

    Parameters
    ----------
    replica : Replica
        The member; a stamp waits until its state has the stamp's revision.
    peers : Peers
        Links to the other control hosts.
    timing : Timing
        Times of the group.
    """

    __slots__ = ('_issued_at', '_peers', '_replica', '_stamp', '_timing')

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        timing: Timing,
    ) -> None:
        """Start without a stamp."""
        self._replica = replica
        self._peers = peers
        self._timing = timing
        self._stamp = Stamp()
        self._issued_at = NEVER

    @property
    def stamp(self) -> Stamp:
        """Newest stamp, aged to now; the empty one before the first."""
        if not self._stamp.round:
            return self._stamp
        age_s = asyncio.get_running_loop().time() - self._issued_at
        return replace(self._stamp, age_ms=age_s * MS_PER_S)

    async def run(self) -> None:
        """Ask again and again."""
        while True:
            leader = self._replica.leader
            if leader not in {'', self._replica.name}:
                await self._ask(leader)
            await asyncio.sleep(self._timing.heartbeat_s)

    async def _ask(self, leader: str) -> None:
        asked_at = asyncio.get_running_loop().time()
        try:
            reply = await self._peers.ask(
                leader,
                AskStamp(),
                self._timing.reply_s,
            )
        except LinkTimeoutError:
            return
        match reply:
            case StampReply(stamp):
                self._take(stamp, asked_at)

    def _take(self, stamp: Stamp, asked_at: float) -> None:
        known = (self._stamp.term, self._stamp.round)
        newer = (stamp.term, stamp.round) > known
        if newer and stamp.revision <= self._replica.state.revision:
            self._stamp = stamp
            self._issued_at = asked_at - stamp.age_ms / MS_PER_S
