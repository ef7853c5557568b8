"""First forming of a group, by all configured control hosts together."""

from __future__ import annotations

import asyncio
import uuid

from loguru import logger

from lycheespar.control.peer_messages import Identified, Identify
from lycheespar.control.peers import Peers, Timing, ask_all
from lycheespar.control.replica import Replica
from lycheespar.control.roster import Roster
from lycheespar.errors import StorageError

log = logger.bind(part='control')


class Forming:
    """Brings an empty control host into its group.

    The host with the first name forms a group when all configured hosts
    answer and all are empty. The others take over the first entry if it
    names their disk. A host whose disk isn't named waits for the leader,
    which sends it the log and has it admitted.

    Parameters
    ----------
    replica : Replica
        The member.
    peers : Peers
        Links to the other control hosts.
    roster : Roster
        The other control hosts; those configured are the founders.
    timing : Timing
        Times of the group.
    founding : bool
        Whether this host may form a group; one that was replaced, or has
        lost its disk, must not.
    """

    __slots__ = ('_founding', '_peers', '_replica', '_roster', '_timing')

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        roster: Roster,
        timing: Timing,
        *,
        founding: bool,
    ) -> None:
        """Keep the parts."""
        self._replica = replica
        self._peers = peers
        self._roster = roster
        self._timing = timing
        self._founding = founding

    @property
    def identity(self) -> Identified:
        """Who this host is, for the others."""
        state = self._replica.state
        return Identified(self._replica.disk, state.group, state.founders)

    async def until_formed(self) -> None:
        """Return when this host belongs to a group."""
        while not self._replica.state.group:
            try:
                await self._try()
            except StorageError as error:
                log.error('No group can be formed: {}.', error.detail)
            if not self._replica.state.group:
                await asyncio.sleep(self._timing.heartbeat_s)

    async def _try(self) -> None:
        replies: dict[str, Identified] = {}
        async for host, reply in ask_all(
            self._peers,
            self._roster.others,
            Identify(),
            self._timing.reply_s,
        ):
            if isinstance(reply, Identified):
                replies[host] = reply
        replica = self._replica
        if replica.state.group:
            return
        for found in replies.values():
            if found.founders.get(replica.name) == replica.disk:
                replica.form(found.group, found.founders)
                return
        if self._founding:
            self._form(replies)

    def _form(self, replies: dict[str, Identified]) -> None:
        replica = self._replica
        founders = self._roster.configured
        is_first = replica.name <= min(founders, default=replica.name)
        all_empty = not any(found.group for found in replies.values())
        disks = {
            host: found.disk
            for host, found in replies.items()
            if host in founders
        }
        if is_first and all_empty and len(disks) == len(founders):
            replica.form(
                uuid.uuid4().hex,
                disks | {replica.name: replica.disk},
            )
            replica.heard_at -= 2 * self._timing.election_timeout_s
