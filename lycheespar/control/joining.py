"""Asks to be let into the group, or back into it."""

from __future__ import annotations

import asyncio
from typing import Final

from lycheespar.control.peer_messages import Join, Joined
from lycheespar.control.peers import Peers, Timing, ask_all
from lycheespar.control.replica import Replica
from lycheespar.control.roster import Roster

# Elections' timeouts without a leader after which a member asks to join.
LEADERLESS_TIMEOUTS: Final = 2


class Joining:
    """Makes a control host known that no leader sends anything.

    A leader sends its log to the voters and to those that ask. A host with an
    empty disk, one that was replaced while it was away, and one whose address
    no other knows find their group so.

    Parameters
    ----------
    replica : Replica
        The member.
    peers : Peers
        Links to the other control hosts.
    roster : Roster
        Control hosts that may know the group.
    timing : Timing
        Times of the group.
    """

    __slots__ = ('_peers', '_replica', '_roster', '_timing')

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        roster: Roster,
        timing: Timing,
    ) -> None:
        """Keep the parts; `run` begins to ask."""
        self._replica = replica
        self._peers = peers
        self._roster = roster
        self._timing = timing

    def answer(self, host: str) -> Joined:
        """Note a host that asks; name the leader and all known hosts."""
        replica = self._replica
        self._roster.meet((host,))
        return Joined(replica.leader, (*self._roster.others, replica.name))

    async def run(self) -> None:
        """Ask again and again while no leader is heard."""
        while True:
            if self._is_lost:
                await self._ask()
            await asyncio.sleep(self._timing.election_timeout_s / 2)

    @property
    def _is_lost(self) -> bool:
        now = asyncio.get_running_loop().time()
        silence_s = now - self._replica.heard_at
        patience_s = LEADERLESS_TIMEOUTS * self._timing.election_timeout_s
        formed = bool(self._replica.state.group)
        return not formed or silence_s > patience_s

    async def _ask(self) -> None:
        replies = ask_all(
            self._peers,
            self._roster.others,
            Join(self._replica.name),
            self._timing.reply_s,
        )
        async for _, reply in replies:
            if isinstance(reply, Joined):
                self._roster.meet((*reply.hosts, reply.leader))
