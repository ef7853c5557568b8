"""Structured events about quotas."""

from __future__ import annotations

from typing import ClassVar

from lycheespar.telemetry.events import Event, RequestEvent


class QuotaExceeded(RequestEvent, frozen=True, tag='over_quota'):
    """A request was refused, as its team has used up its quota.

    Attributes
    ----------
    team : str
        Name of the team.
    owner : str
        Node that counts the team's calls.
    retry_after_s : float
        Time in seconds after which a call may be granted.
    """

    part: ClassVar[str] = 'quotas'

    team: str
    owner: str
    retry_after_s: float


class QuotaOwned(Event, frozen=True, tag='quota_owned'):
    """This node has begun to count the calls of a team.

    Attributes
    ----------
    team : str
        Name of the team.
    revision : int
        Revision of the configuration with the limit.
    calls_per_s : float
        Limit in calls per second.
    first_calls : float
        Calls that are granted at once. Few while nodes come and go, as the
        former owner may have granted the burst.
    """

    part: ClassVar[str] = 'quotas'
    rate_limited: ClassVar[bool] = True

    team: str
    revision: int
    calls_per_s: float
    first_calls: float


class TeamPreferred(RequestEvent, frozen=True, tag='team_preferred'):
    """A request got the highest priority: its team is hardly served.

    Attributes
    ----------
    team : str
        Name of the team.
    run_share : float
        Share of the team's recent calls that were run, 0 to 1.
    all_share : float
        The same for the calls of all teams at this node.
    """

    part: ClassVar[str] = 'quotas'

    team: str
    run_share: float
    all_share: float


class OwnerUnreachable(Event, frozen=True, tag='quota_owner_silent'):
    """The owner of a team's quota gave no answer; the reserve is used.

    Attributes
    ----------
    team : str
        Name of the team.
    owner : str
        Node that owns the quota.
    error : str
        What happened to the question.
    """

    part: ClassVar[str] = 'quotas'
    rate_limited: ClassVar[bool] = True

    team: str
    owner: str
    error: str
