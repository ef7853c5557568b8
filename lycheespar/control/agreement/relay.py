"""Fetches freshness stamps of the leader for a follower."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from lycheespar.configuration.stamp import Stamp
from lycheespar.control.agreement.peer_messages import AskStamp, StampReply
from lycheespar.control.agreement.peers import Peers, Timing
from lycheespar.control.agreement.quorum import NEVER
from lycheespar.control.agreement.replica import Replica
from lycheespar.control.link import LinkError

MS_PER_S = 1000


class StampRelay:
    """Polls the leader for freshness stamps.

    The age of a stamp is counted from the time of the request, so that a
    delayed message never looks fresher than it is.

    Parameters
    ----------
    replica : Replica
        Replica of this host; stamps with a revision that it has not applied
        yet are ignored.
    peers : Peers
        Links to the other control hosts.
    timing : Timing
        Time-outs and intervals of the group.
    """

    __slots__ = ('_issued_at', '_peers', '_replica', '_stamp', '_timing')

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        timing: Timing,
    ) -> None:
        """Create a relay without a stamp; `run` polls the leader."""
        self._replica = replica
        self._peers = peers
        self._timing = timing
        self._stamp = Stamp()
        self._issued_at = NEVER

    @property
    def stamp(self) -> Stamp:
        """Newest stamp with its present age; empty before the first one."""
        if not self._stamp.round:
            return self._stamp
        age_s = asyncio.get_running_loop().time() - self._issued_at
        return replace(self._stamp, age_ms=age_s * MS_PER_S)

    async def run(self) -> None:
        """Poll the leader once per heartbeat interval."""
        while True:
            leader = self._replica.leader
            if leader not in {'', self._replica.name}:
                await self._fetch_stamp(leader)
            await asyncio.sleep(self._timing.heartbeat_s)

    async def _fetch_stamp(self, leader: str) -> None:
        requested_at = asyncio.get_running_loop().time()
        try:
            reply = await self._peers.ask(
                leader,
                AskStamp(),
                self._timing.reply_timeout_s,
            )
        except LinkError:
            return
        match reply:
            case StampReply(stamp):
                self._update_stamp(stamp, requested_at)

    def _update_stamp(self, stamp: Stamp, requested_at: float) -> None:
        known = (self._stamp.term, self._stamp.round)
        newer = (stamp.term, stamp.round) > known
        if newer and stamp.revision <= self._replica.state.revision:
            self._stamp = stamp
            self._issued_at = requested_at - stamp.age_ms / MS_PER_S
