"""Leader election: when a control host campaigns and how votes are counted."""

from __future__ import annotations

import asyncio
import random

from loguru import logger

from lycheespar.control.agreement.peer_messages import RequestVote, VoteReply
from lycheespar.control.agreement.peers import Peers, Timing, ask_all
from lycheespar.control.agreement.quorum import has_quorum
from lycheespar.control.agreement.replica import Replica, Role
from lycheespar.control.agreement.roster import Roster
from lycheespar.errors import StorageError

log = logger.bind(part='control')


class Election:
    """Campaigns for leadership when no leader has been heard.

    Parameters
    ----------
    replica : Replica
        Replicated state of this host.
    peers : Peers
        Links to the other control hosts.
    roster : Roster
        The other control hosts.
    timing : Timing
        Time-outs and intervals of the group.
    rng : random.Random
        Randomizes election time-outs, so that hosts rarely campaign at once.
    """

    __slots__ = ('_peers', '_replica', '_rng', '_roster', '_timing')

    def __init__(
        self,
        replica: Replica,
        peers: Peers,
        roster: Roster,
        timing: Timing,
        rng: random.Random,
    ) -> None:
        """Prepare the election; `campaign_until_elected` starts to campaign."""
        self._replica = replica
        self._peers = peers
        self._roster = roster
        self._timing = timing
        self._rng = rng

    async def campaign_until_elected(self) -> None:
        """Campaign until this host has become the leader."""
        while self._replica.role is not Role.leader:
            await self._wait_for_election_timeout()
            try:
                await self._campaign()
            except StorageError as error:
                log.error('The election campaign failed: {}.', error.detail)
                self._replica.role = Role.follower
                self._delay_campaign()

    async def _wait_for_election_timeout(self) -> None:
        """Wait until the election time-out passes without a leader.

        A host that is not eligible keeps waiting.
        """
        loop = asyncio.get_running_loop()
        timeout_s = self._timing.election_timeout_s * self._rng.uniform(1, 2)
        while True:
            remaining_s = (
                self._replica.election_timer_started_at
                + timeout_s
                - loop.time()
            )
            if remaining_s <= 0 and self._is_eligible:
                return
            await asyncio.sleep(max(remaining_s, self._timing.heartbeat_s))

    @property
    def _is_eligible(self) -> bool:
        """Whether this host may lead: its disk votes and stores changes.

        It also may if its disk will vote by a change that is not committed. A
        host that is about to stop must not.
        """
        replica = self._replica
        if replica.leaving:
            return False
        is_voter = any(
            voters.get(replica.name) == replica.disk
            for voters in replica.voter_sets
        )
        return is_voter and replica.log.accepts_changes

    async def _campaign(self) -> None:
        """Hold a pre-vote, and request real votes if a quorum would grant them.

        The pre-vote leaves the term as it is, so that a host that has lost its
        connection does not depose a working leader.
        """
        replica = self._replica
        replica.leader = ''
        term = replica.term + 1
        if not await self._request_votes(term, trial=True):
            self._delay_campaign()
            return
        if replica.term >= term:
            return
        replica.adopt_term(term, f'{replica.name}/{replica.disk}')
        replica.role = Role.candidate
        won = await self._request_votes(term, trial=False)
        if replica.term != term or replica.role is not Role.candidate:
            return
        if won:
            replica.role = Role.leader
            replica.leader = replica.name
            log.info("'{}' was elected leader in term {}.", replica.name, term)
            return
        replica.role = Role.follower
        self._delay_campaign()

    def _delay_campaign(self) -> None:
        """Schedule the next campaign within one election time-out from now."""
        loop = asyncio.get_running_loop()
        self._replica.election_timer_started_at = (
            loop.time() - self._timing.election_timeout_s
        )

    async def _request_votes(self, term: int, *, trial: bool) -> bool:
        """Request votes and return whether a quorum granted them."""
        replica = self._replica
        request = RequestVote(
            replica.state.group,
            term,
            replica.name,
            replica.disk,
            replica.last,
            replica.committed,
            trial,
        )
        granted = {replica.voter}
        replies = ask_all(
            self._peers,
            self._roster.others,
            request,
            self._timing.reply_timeout_s,
        )
        if has_quorum(replica.voter_sets, granted):
            return True
        async for host, reply in replies:
            if not isinstance(reply, VoteReply):
                continue
            replica.commit_if_stored(reply.committed)
            if reply.term > replica.term and not reply.granted:
                replica.adopt_term(reply.term)
                return False
            if reply.granted:
                granted.add((host, reply.disk))
            if has_quorum(replica.voter_sets, granted):
                return True
        return False
