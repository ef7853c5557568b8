"""Changes of the voters: new disks, joining hosts and lost hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Final

from loguru import logger

from lycheespar.control.agreement.follower_progress import FollowerProgress
from lycheespar.control.agreement.peers import Timing
from lycheespar.control.agreement.replica import Replica
from lycheespar.control.agreement.roster import Roster
from lycheespar.control.state.entries import (
    RemoveVoter,
    ReplaceDisk,
    VoterChange,
    Voters,
)

# Seconds without a reply after which a host that does not vote is forgotten.
FORGET_AFTER_S: Final = 30
# A voter counts as unresponsive after this many reply time-outs.
UNRESPONSIVE_TIMEOUTS: Final = 2

log = logger.bind(part='control')


class VoterManager:
    """Chooses changes of the voters, one at a time.

    A change is chosen only when all earlier ones are committed. To be
    committed, it needs a majority of the voters before it and after it.

    Parameters
    ----------
    replica : Replica
        Replicated state of the leader.
    roster : Roster
        The other control hosts.
    followers : Mapping[str, FollowerProgress]
        Replication progress by host; the leader keeps it up to date.
    timing : Timing
        Time-outs of the group, such as when a silent voter is replaced.
    """

    __slots__ = ('_created_at', '_followers', '_replica', '_roster', '_timing')

    def __init__(
        self,
        replica: Replica,
        roster: Roster,
        followers: Mapping[str, FollowerProgress],
        timing: Timing,
    ) -> None:
        """Start to measure how long each voter has not replied."""
        self._replica = replica
        self._roster = roster
        self._followers = followers
        self._timing = timing
        self._created_at = asyncio.get_running_loop().time()

    def admission_change(
        self, follower: FollowerProgress
    ) -> VoterChange | None:
        """Return the change that makes a host's disk a voter, if possible now.

        The disk must have all committed entries. A new host replaces a voter
        that has been silent for too long, if there is one. Otherwise, it is
        not admitted while some voter is unresponsive: an additional voter
        would enlarge the quorum just when a voter may have failed.
        """
        voters = self._stable_voters
        if voters is None or voters.get(follower.host) == follower.disk:
            return None
        if follower.leaving:
            return None
        if follower.matched < self._replica.state.index:
            return None
        removed = ''
        if follower.host not in voters:
            removed = self._silent_voter(voters)
            if not removed and self._has_unresponsive_voter(voters):
                return None
        log.info("'{}' is to vote, in place of '{}'.", follower.host, removed)
        return ReplaceDisk(follower.host, follower.disk, removed)

    def removal_change(self) -> VoterChange | None:
        """Return the change that removes a voter, if possible now.

        A voter is removed when it is about to stop, or has been silent for
        too long. The least number of voters, which is needed to tolerate
        failures, is never undercut.
        """
        voters = self._stable_voters
        if voters is None or len(voters) <= self._timing.least_voters:
            return None
        removed = self._leaving_voter(voters) or self._silent_voter(voters)
        if not removed:
            return None
        log.info("Removing the voter '{}', which is leaving or lost.", removed)
        return RemoveVoter(removed)

    def forget_if_silent(self, follower: FollowerProgress) -> bool:
        """Forget a silent host; return whether it was forgotten.

        Voters and hosts that the settings name are never forgotten.
        """
        host = follower.host
        if host in self._roster.configured or host in self._roster.voters:
            return False
        if self._silence_s(follower) <= FORGET_AFTER_S:
            return False
        self._roster.forget(host)
        return True

    @property
    def _stable_voters(self) -> Voters | None:
        """The voters; None while a change of them is not yet committed."""
        sets = self._replica.voter_sets
        return sets[0] if len(sets) == 1 else None

    def _leaving_voter(self, voters: Voters) -> str:
        """Return a voter that is about to stop; empty if there is none."""
        leaving = {
            follower.host
            for follower in self._followers.values()
            if follower.leaving
        }
        if self._replica.leaving:
            leaving.add(self._replica.name)
        return min(leaving & voters.keys(), default='')

    def _silent_voter(self, voters: Voters) -> str:
        """Return the voter that is silent longest, if it may be replaced."""
        silences = {
            host: self._silence_s(self._followers.get(host))
            for host in voters
            if host != self._replica.name
        }
        longest = max(silences, key=silences.__getitem__, default='')
        if longest and silences[longest] > self._timing.replace_after_s:
            return longest
        return ''

    def _has_unresponsive_voter(self, voters: Voters) -> bool:
        """Whether some voter has not replied recently."""
        heard_after = (
            asyncio.get_running_loop().time()
            - UNRESPONSIVE_TIMEOUTS * self._timing.reply_timeout_s
        )
        voting_followers = (
            self._followers.get(host)
            for host in voters
            if host != self._replica.name
        )
        return any(
            follower is None or follower.acknowledged_at < heard_after
            for follower in voting_followers
        )

    def _silence_s(self, follower: FollowerProgress | None) -> float:
        """Return for how long a host has not replied, in seconds.

        A host that has never replied is silent since this leader knows it.
        """
        now = asyncio.get_running_loop().time()
        if follower is None:
            return now - self._created_at
        return now - max(follower.acknowledged_at, follower.known_since)
