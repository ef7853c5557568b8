"""Answers candidates: who gets this host's vote."""

from __future__ import annotations

import asyncio

from lycheespar.control.peer_messages import Mark, RequestVote, VoteReply
from lycheespar.control.peers import Timing
from lycheespar.control.replica import Replica, Role


class Ballots:
    """Gives the votes of one member.

    Parameters
    ----------
    replica : Replica
        The member.
    timing : Timing
        Times of the group.
    """

    __slots__ = ('_replica', '_timing')

    def __init__(self, replica: Replica, timing: Timing) -> None:
        """Keep the member."""
        self._replica = replica
        self._timing = timing

    def take(self, request: RequestVote) -> VoteReply:
        """Answer a candidate."""
        replica = self._replica
        replica.check_group(request.group)
        replica.learn_commit(request.committed)
        if request.trial:
            granted = self._would_vote(request)
        else:
            granted = self._vote(request)
        return VoteReply(
            replica.term,
            granted,
            replica.disk,
            replica.committed,
        )

    @property
    def _leader_lost(self) -> bool:
        """Whether no leader was heard for the election timeout."""
        now = asyncio.get_running_loop().time()
        silence_s = now - self._replica.heard_at
        return silence_s >= self._timing.election_timeout_s

    def _is_behind(self, last: Mark) -> bool:
        """Whether a log with that last entry holds all that this one does."""
        own = self._replica.last
        return (last.term, last.index) >= (own.term, own.index)

    def _would_vote(self, request: RequestVote) -> bool:
        """Whether a candidate may try; members with a leader say no."""
        replica = self._replica
        if replica.role is Role.leader or not self._leader_lost:
            return False
        newer = request.term > replica.term
        return newer and replica.may_vote and self._is_behind(request.last)

    def _vote(self, request: RequestVote) -> bool:
        replica = self._replica
        if not replica.may_vote or request.term < replica.term:
            return False
        candidate = f'{request.host}/{request.disk}'
        behind = self._is_behind(request.last)
        if request.term > replica.term:
            replica.adopt(request.term, candidate if behind else '')
        elif behind and not replica.log.identity.vote:
            replica.vote(candidate)
        granted = behind and replica.log.identity.vote == candidate
        if granted:
            replica.heard_at = asyncio.get_running_loop().time()
        return granted
