"""Formation of a group by all configured control hosts."""

from __future__ import annotations

import asyncio
import uuid

from loguru import logger

from lycheespar.control.agreement.peer_messages import Identified, Identify
from lycheespar.control.agreement.peers import Peers, Timing, ask_all
from lycheespar.control.agreement.replica import Replica
from lycheespar.control.agreement.roster import Roster
from lycheespar.errors import StorageError

log = logger.bind(part='control')


class GroupFormation:
    """Brings a control host without a group into its group.

    The host whose name sorts first forms a group when all configured hosts
    answer and none belongs to a group. The others write the same first entry
    if it names their disk. A host whose disk isn't named waits for the
    leader, which sends it the log and has it admitted as a voter.

    Parameters
    ----------
    replica : Replica
        Replicated state of this host.
    peers : Peers
        Links to the other control hosts.
    roster : Roster
        The other control hosts; the configured ones are the founders.
    timing : Timing
        Time-outs and intervals of the group.
    founding : bool
        Whether this host may form a group; a host that was replaced or has
        lost its disk must not.
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
        """Prepare the formation; `form_or_find_group` carries it out."""
        self._replica = replica
        self._peers = peers
        self._roster = roster
        self._timing = timing
        self._founding = founding

    @property
    def identity(self) -> Identified:
        """Disk and group of this host, as the answer to `Identify`."""
        state = self._replica.state
        return Identified(self._replica.disk, state.group, state.founders)

    async def form_or_find_group(self) -> None:
        """Try to form or find a group until this host belongs to one."""
        while not self._replica.state.group:
            try:
                await self._try_to_form()
            except StorageError as error:
                log.error('Forming a group failed: {}.', error.detail)
            if not self._replica.state.group:
                await asyncio.sleep(self._timing.heartbeat_s)

    async def _try_to_form(self) -> None:
        replies: dict[str, Identified] = {}
        async for host, reply in ask_all(
            self._peers,
            self._roster.others,
            Identify(),
            self._timing.reply_timeout_s,
        ):
            if isinstance(reply, Identified):
                replies[host] = reply
        replica = self._replica
        if replica.state.group:
            return
        for identity in replies.values():
            if identity.founders.get(replica.name) == replica.disk:
                replica.form(identity.group, identity.founders)
                return
        if self._founding:
            self._form_if_first(replies)

    def _form_if_first(self, replies: dict[str, Identified]) -> None:
        replica = self._replica
        founders = self._roster.configured
        is_first = replica.name <= min(founders, default=replica.name)
        all_empty = not any(identity.group for identity in replies.values())
        disks = {
            host: identity.disk
            for host, identity in replies.items()
            if host in founders
        }
        if is_first and all_empty and len(disks) == len(founders):
            replica.form(
                uuid.uuid4().hex,
                disks | {replica.name: replica.disk},
            )
            # Campaign without delay: the new group has no leader yet.
            replica.election_timer_started_at -= (
                2 * self._timing.election_timeout_s
            )
