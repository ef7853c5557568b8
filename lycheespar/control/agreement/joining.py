"""Requests to join or rejoin the group."""

from __future__ import annotations

import asyncio
from typing import Final

from lycheespar.control.agreement.peer_messages import Join, Joined
from lycheespar.control.agreement.peers import Peers, Timing, ask_all
from lycheespar.control.agreement.replica import Replica
from lycheespar.control.agreement.roster import Roster

# Election time-outs without a leader after which a host asks to join.
LEADERLESS_TIMEOUTS: Final = 2


class Joining:
    """Makes this control host known to the group while no leader contacts it.

    A leader sends its log to the voters and to hosts that ask to join. Joining
    is how a host finds its group if its disk is empty, if it was replaced while
    it was down, or if no other host knows its address.

    Parameters
    ----------
    replica : Replica
        Replica of this host.
    peers : Peers
        Links to the other control hosts.
    roster : Roster
        Known control hosts, which may belong to the group.
    timing : Timing
        Time-outs and intervals of the group.
    """

    __slots__ = ('_peers', '_replica', '_roster', '_timing')

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        roster: Roster,
        timing: Timing,
    ) -> None:
        """Create an idle client; `run` sends the join requests."""
        self._replica = replica
        self._peers = peers
        self._roster = roster
        self._timing = timing

    def handle_join(self, host: str) -> Joined:
        """Add a requesting host; reply with the leader and all known hosts."""
        replica = self._replica
        self._roster.add_hosts((host,))
        return Joined(replica.leader, (*self._roster.others, replica.name))

    async def run(self) -> None:
        """Send join requests repeatedly while no leader contacts this host."""
        while True:
            if self._lacks_leader:
                await self._request_to_join()
            await asyncio.sleep(self._timing.election_timeout_s / 2)

    @property
    def _lacks_leader(self) -> bool:
        now = asyncio.get_running_loop().time()
        silence_s = now - self._replica.election_timer_started_at
        silence_limit_s = LEADERLESS_TIMEOUTS * self._timing.election_timeout_s
        formed = bool(self._replica.state.group)
        return not formed or silence_s > silence_limit_s

    async def _request_to_join(self) -> None:
        replies = ask_all(
            self._peers,
            self._roster.others,
            Join(self._replica.name),
            self._timing.reply_timeout_s,
        )
        async for _, reply in replies:
            if isinstance(reply, Joined):
                self._roster.add_hosts((*reply.hosts, reply.leader))
