"""Answers vote requests of candidates."""

from __future__ import annotations

import asyncio

from lycheespar.control.agreement.peer_messages import (
    LogPosition,
    RequestVote,
    VoteReply,
)
from lycheespar.control.agreement.peers import Timing
from lycheespar.control.agreement.replica import Replica, Role


class VoteHandler:
    """Decides on the votes of one control host.

    Parameters
    ----------
    replica : Replica
        Replicated state of this host.
    timing : Timing
        Time-outs and intervals of the group.
    """

    __slots__ = ('_replica', '_timing')

    def __init__(self, replica: Replica, timing: Timing) -> None:
        """Create the vote handler of a replica."""
        self._replica = replica
        self._timing = timing

    def handle_vote_request(self, request: RequestVote) -> VoteReply:
        """Answer a vote request or a pre-vote request."""
        replica = self._replica
        replica.check_group(request.group)
        replica.commit_if_stored(request.committed)
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
    def _election_timed_out(self) -> bool:
        """Whether the election time-out has passed without a leader."""
        now = asyncio.get_running_loop().time()
        silence_s = now - self._replica.election_timer_started_at
        return silence_s >= self._timing.election_timeout_s

    def _is_up_to_date(self, last: LogPosition) -> bool:
        """Whether a log with this last entry is at least as recent as ours."""
        own = self._replica.last
        return (last.term, last.index) >= (own.term, own.index)

    def _would_vote(self, request: RequestVote) -> bool:
        """Whether a pre-vote is granted; not while this host has a leader."""
        replica = self._replica
        if replica.role is Role.leader or not self._election_timed_out:
            return False
        newer = request.term > replica.term
        return newer and replica.may_vote and self._is_up_to_date(request.last)

    def _vote(self, request: RequestVote) -> bool:
        replica = self._replica
        if not replica.may_vote or request.term < replica.term:
            return False
        candidate = f'{request.host}/{request.disk}'
        up_to_date = self._is_up_to_date(request.last)
        if request.term > replica.term:
            replica.adopt_term(request.term, candidate if up_to_date else '')
        elif up_to_date and not replica.log.identity.vote:
            replica.vote_for(candidate)
        granted = up_to_date and replica.log.identity.vote == candidate
        if granted:
            replica.election_timer_started_at = (
                asyncio.get_running_loop().time()
            )
        return granted
