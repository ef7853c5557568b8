"""Admits the calls of teams within their quotas."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from lycheespar.call import Answer, Call, Dispatch
from lycheespar.configuration.stamp import boot_time_s
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import (
    ChannelError,
    OverQuotaError,
    QuotaUnavailableError,
    RefusedError,
)
from lycheespar.membership.records import MemberRecord
from lycheespar.quotas.fair_share import (
    PREFERRED_WEIGHT,
    RunShare,
    is_disadvantaged,
)
from lycheespar.quotas.grant import NOT_OWNER, QuotaGrant
from lycheespar.quotas.owner import QuotaOwner
from lycheespar.quotas.reserve import QuotaReserve
from lycheespar.quotas.ring import QuotaRing
from lycheespar.teams.profile import TeamProfile
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.quota_events import (
    OwnerUnreachable,
    QuotaExceeded,
    TeamPreferred,
)

# Longest wait in seconds for the owner's reply. It takes milliseconds; the rest
# is for opening a channel to a busy node: within 50 ms, 3 in 100 calls got no
# reply.
ASK_TIMEOUT_S: Final = 0.25
# Time in seconds for which an owner that gave no answer is not asked again.
PAUSE_S: Final = 0.5
# Least time in seconds after which a caller over its quota may come back.
MIN_RETRY_AFTER_S: Final = 0.05


class QuotaNodes(Protocol):
    """Other nodes, which own quotas."""

    def take_quota(
        self, record: MemberRecord, team: str
    ) -> Awaitable[QuotaGrant]:
        """Take a call from a quota at its owner, as `QuotaOwner.take`."""

    def put_back_quota(self, record: MemberRecord, team: str) -> None:
        """Return a call to a quota at its owner."""


class QuotaDispatch:
    """Dispatches calls that their team's quota allows.

    A call of a team that is served far less often than all teams gets the
    highest priority.

    Parameters
    ----------
    dispatch : Dispatch
        Dispatches the calls that are allowed.
    configuration : ConfigurationView
        Provides the teams.
    ring : QuotaRing
        Selects the owners of quotas.
    local : QuotaOwner
        Quotas that this node owns.
    nodes : QuotaNodes
        Asks other owners.
    reserve : QuotaReserve
        Used while an owner gives no answer.
    clock : Callable[[], float]
        Monotonic clock in seconds.
    """

    __slots__ = (
        '_all_runs',
        '_clock',
        '_configuration',
        '_dispatch',
        '_local',
        '_nodes',
        '_paused_until',
        '_reserve',
        '_ring',
    )

    def __init__(
        self,
        dispatch: Dispatch,
        configuration: ConfigurationView,
        ring: QuotaRing,
        local: QuotaOwner,
        nodes: QuotaNodes,
        reserve: QuotaReserve,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        """Create a dispatcher that has asked no owner yet."""
        self._dispatch = dispatch
        self._configuration = configuration
        self._ring = ring
        self._local = local
        self._nodes = nodes
        self._reserve = reserve
        self._clock = clock
        self._paused_until: dict[str, float] = {}
        self._all_runs = RunShare()

    async def dispatch(self, call: Call) -> Answer:
        """Run a call that the quota of its team allows.

        A call that was refused for another reason is given back to the quota.

        Raises
        ------
        OverQuotaError
            The team has used up its quota.
        QuotaUnavailableError
            The quota's owner gave no answer, and the reserve is used up.
        RequestError
            No target returned an answer.
        """
        team = self._configuration.current.plan.teams.get(call.team)
        if team is None or not team.calls_per_s:
            return await self._dispatch.dispatch(call)
        owner = await self._take(call, team)
        self._all_runs.add_call(self._clock())
        try:
            return await self._dispatch.dispatch(call)
        except RefusedError:
            self._all_runs.add_refusal(self._clock())
            self._put_back(owner, team.name)
            raise

    async def _take(self, call: Call, team: TeamProfile) -> MemberRecord | None:
        """Take the call from the quota; return the owner that granted it."""
        owner = self._ring.owner(team.name)
        grant = NOT_OWNER
        if owner is not None:
            grant = await self._ask(owner, team.name)
        if grant.is_granted:
            self._prefer_if_disadvantaged(call, grant)
            return owner
        if grant.is_from_owner:
            retry_s = max(grant.wait_s, MIN_RETRY_AFTER_S)
            node = '' if owner is None else owner.node
            events.write(
                QuotaExceeded(
                    call.request_id, team.name, node, round(retry_s, 3)
                )
            )
            raise OverQuotaError(retry_after_s=retry_s)
        reserve_s = self._reserve.take(team, self._ring.size, self._clock())
        if reserve_s:
            raise QuotaUnavailableError(retry_after_s=PAUSE_S)
        return None

    def _prefer_if_disadvantaged(self, call: Call, grant: QuotaGrant) -> None:
        all_share = self._all_runs.share(self._clock())
        is_preferred = call.weight < PREFERRED_WEIGHT and is_disadvantaged(
            grant.run_share, all_share
        )
        if is_preferred:
            call.weight = PREFERRED_WEIGHT
            events.write(
                TeamPreferred(
                    call.request_id,
                    call.team,
                    round(grant.run_share, 3),
                    round(all_share, 3),
                )
            )

    async def _ask(self, owner: MemberRecord, team: str) -> QuotaGrant:
        """Ask an owner; return `NOT_OWNER` if it gives no answer."""
        if self._local.owns(team):
            return self._local.take(team)
        if self._clock() < self._paused_until.get(owner.node, 0):
            return NOT_OWNER
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return await self._nodes.take_quota(owner, team)
        except (TimeoutError, ChannelError) as error:
            events.write(
                OwnerUnreachable(team, owner.node, type(error).__name__)
            )
            self._paused_until[owner.node] = self._clock() + PAUSE_S
            return NOT_OWNER

    def _put_back(self, owner: MemberRecord | None, team: str) -> None:
        if owner is None:
            return
        if self._local.owns(team):
            self._local.put_back(team)
        else:
            self._nodes.put_back_quota(owner, team)
