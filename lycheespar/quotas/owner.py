"""Grants calls of the teams whose quota this node owns.

The load that this answers: a team that sends many times its limit through all
nodes at once, and small teams whose few calls come in bunches. One owner counts
a team's calls exactly, whatever node they come in at.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import nlargest
from typing import Final

from lycheespar.configuration.stamp import boot_time_s
from lycheespar.configuration.view import ConfigurationView
from lycheespar.quotas.bucket import TokenBucket
from lycheespar.quotas.fair_share import RunShare
from lycheespar.quotas.grant import NOT_OWNER, QuotaGrant
from lycheespar.quotas.ring import QuotaRing
from lycheespar.teams.profile import TeamProfile
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.metrics import metric_name
from lycheespar.telemetry.quota_events import QuotaOwned

# Part of the tolerated extra calls that is added to each burst, so that a few
# calls of a small team that come at once are within its limit.
BURST_SLACK_PART: Final = 0.3
# Part of the tolerated extra calls with which a new owner begins. The former
# owner may have spent the whole burst just before.
FIRST_SLACK_PART: Final = 0.15
# Time in seconds without a change of the nodes after which no other node can
# have owned a quota shortly before, so that the whole burst is there.
STABLE_S: Final = 5.0
# Longest time in seconds that a refused caller is told to stay away. A longer
# one would leave callers no time for another try.
MAX_WAIT_S: Final = 2.0


# Largest number of teams for which a node reports metrics. At 1,000 teams, a
# node of a small site owns about this many.
MAX_REPORTED_TEAMS: Final = 20


class _OwnedQuota:
    """State of one team's quota.

    Attributes
    ----------
    team : TeamProfile
        The team, with the limits of the bucket.
    bucket : TokenBucket
        Calls that may be granted.
    runs : RunShare
        Share of the granted calls that were run.
    granted, denied, returned : int
        Calls that were granted, those beyond the limit, and those that were
        granted but did not run, since this node owns the quota.
    """

    __slots__ = ('bucket', 'denied', 'granted', 'returned', 'runs', 'team')

    def __init__(self, team: TeamProfile, bucket: TokenBucket) -> None:
        """Create the state of a quota from which nothing was granted."""
        self.team = team
        self.bucket = bucket
        self.runs = RunShare()
        self.granted = 0
        self.denied = 0
        self.returned = 0


class QuotaOwner:
    """Quotas of the teams that this node owns.

    Parameters
    ----------
    node : str
        Identity of this node.
    ring : QuotaRing
        Selects the owners.
    configuration : ConfigurationView
        Provides the limits.
    slack : float
        Calls beyond a limit that are tolerated in any window.
    clock : Callable[[], float]
        Monotonic clock in seconds.
    """

    __slots__ = (
        '_clock',
        '_configuration',
        '_node',
        '_quotas',
        '_ring',
        '_slack',
    )

    def __init__(
        self,
        node: str,
        ring: QuotaRing,
        configuration: ConfigurationView,
        slack: float,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        """Create an owner that has granted nothing."""
        self._node = node
        self._ring = ring
        self._configuration = configuration
        self._slack = slack
        self._clock = clock
        self._quotas: dict[str, _OwnedQuota] = {}

    def owns(self, team: str) -> bool:
        """Whether this node owns the quota of a team.

        A quota that another node owns is forgotten: that node begins anew, and
        so does this one if it owns the quota again.
        """
        owner = self._ring.owner(team)
        if owner is not None and owner.node == self._node:
            return True
        self._quotas.pop(team, None)
        return False

    def gauges(self) -> dict[str, float]:
        """Return counts of the owned quotas, those with most calls first.

        Their number is limited, so that many small teams do not crowd the
        metrics.
        """
        now = self._clock()
        busiest = nlargest(
            MAX_REPORTED_TEAMS, self._quotas.values(), key=_calls_of
        )
        return {
            f'quota.{metric_name(quota.team.name)}.{name}': count
            for quota in busiest
            for name, count in (
                ('granted', quota.granted),
                ('denied', quota.denied),
                ('returned', quota.returned),
                ('run_share', quota.runs.share(now)),
            )
        }

    def take(self, name: str) -> QuotaGrant:
        """Take a call from a team's quota, if it has one left."""
        if not self.owns(name):
            return NOT_OWNER
        team = self._configuration.current.plan.teams.get(name)
        if team is None or not team.calls_per_s:
            return QuotaGrant()
        now = self._clock()
        quota = self._quota(team, now)
        wait_s = min(quota.bucket.try_take(now), MAX_WAIT_S)
        run_share = quota.runs.share(now)
        if wait_s:
            quota.denied += 1
        else:
            quota.granted += 1
            quota.runs.add_call(now)
        return QuotaGrant(wait_s, run_share)

    def put_back(self, name: str) -> None:
        """Return a call that was granted, but did not run."""
        quota = self._quotas.get(name)
        if quota is not None:
            quota.bucket.put_back()
            quota.returned += 1
            quota.runs.add_refusal(self._clock())

    def _quota(self, team: TeamProfile, now: float) -> _OwnedQuota:
        quota = self._quotas.get(team.name)
        capacity = team.burst + BURST_SLACK_PART * self._slack
        if quota is None:
            is_stable = self._ring.unchanged_s >= STABLE_S
            first = capacity if is_stable else FIRST_SLACK_PART * self._slack
            bucket = TokenBucket(now, team.calls_per_s, capacity, first)
            quota = _OwnedQuota(team, bucket)
            self._quotas[team.name] = quota
            revision = self._configuration.current.revision
            events.write(
                QuotaOwned(team.name, revision, team.calls_per_s, first)
            )
        elif quota.team is not team:
            quota.bucket.configure(now, team.calls_per_s, capacity)
            quota.team = team
        return quota


def _calls_of(quota: _OwnedQuota) -> int:
    return quota.granted + quota.denied
