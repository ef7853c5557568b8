"""Selects targets, runs single attempts and records their results."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from lycheespar.call import Answer, Call, Execution, Load
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import (
    ChannelError,
    DeadlineUnreachableError,
    DrainingError,
    OutcomeUnknownError,
    OutOfServiceError,
    RequestError,
    StaleConfigurationError,
    TargetUnavailableError,
)
from lycheespar.membership.records import Liveness, MemberRecord, Phase
from lycheespar.membership.view import MembershipView
from lycheespar.rollouts.versions import VersionRouting
from lycheespar.routing.load_refresh import LoadRefresher
from lycheespar.routing.picker import Picker
from lycheespar.routing.pool import ChannelPool
from lycheespar.routing.room import (
    MAX_SAMPLES,
    MS_PER_S,
    full_targets,
    lack_of_room,
    targets_with_room,
    wait_s,
)
from lycheespar.routing.sizes import AnswerSizes
from lycheespar.routing.table import TargetState, TargetTable
from lycheespar.streams import GuardedStream
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.events import NoRoom

SERVER_ERROR: Final = 500
_ACCEPTING_PHASES: Final = frozenset((Phase.cold, Phase.ready))


class AttemptRunner:
    """Selects targets, runs attempts there and updates the target table.

    Parameters
    ----------
    node : str
        Identity of this node.
    members : MembershipView
        All known nodes.
    configuration : ConfigurationView
        Tells which targets and data centres are taken out.
    local : Execution
        Runs calls at the local target, without a channel.
    pool : ChannelPool
        Channels to other nodes.
    picker : Picker
        Selects one of the eligible targets.
    local_load : Callable[[], Load]
        Returns the current load of the local target.
    versions : VersionRouting
        Tells which versions of a service's targets get calls.
    """

    __slots__ = (
        '_configuration',
        '_loads',
        '_local',
        '_members',
        '_node',
        '_picker',
        '_pool',
        '_sizes',
        '_table',
        '_versions',
    )

    def __init__(
        self,
        node: str,
        members: MembershipView,
        configuration: ConfigurationView,
        local: Execution,
        pool: ChannelPool,
        picker: Picker,
        local_load: Callable[[], Load],
        versions: VersionRouting,
    ) -> None:
        """Create a runner with an empty target table."""
        self._loads = LoadRefresher(node, local_load, pool)
        self._versions = versions
        self._sizes = AnswerSizes()
        self._node = node
        self._members = members
        self._configuration = configuration
        self._local = local
        self._pool = pool
        self._picker = picker
        self._table = TargetTable()

    @property
    def node_count(self) -> int:
        """Number of known nodes that serve callers."""
        return self._members.node_count

    async def choose(
        self,
        call: Call,
        tried: set[str],
        *,
        only_free: bool = False,
    ) -> TargetState | None:
        """Choose a target that was not tried yet and add it to `tried`.

        A few sampled candidates are queried for their current load, because
        load changes within a fraction of the duration of a call.

        Parameters
        ----------
        call : Call
            The call.
        tried : set[str]
            Nodes whose targets were tried; the chosen node is added.
        only_free : bool
            Whether to return None unless the chosen target can start the call
            immediately and runs at about its usual pace.

        Raises
        ------
        OverloadedError
            The call's service refuses by cost, and no target has room.
        """
        states = self._eligible_states(call, tried)
        if not states:
            return None
        if only_free:
            state = self._cheapest(
                call, await self._loads.refresh(self._sample(states))
            )
            if not state.is_free:
                return None
        elif self._refuses_without_room(call):
            state = await self._choose_with_room(call, states)
        else:
            state = self._cheapest(call, await self._refreshed_sample(states))
        tried.add(state.record.node)
        return state

    async def run(self, call: Call, state: TargetState) -> Answer:
        """Run one attempt and record its result in the target's state.

        Raises
        ------
        RequestError
            The target returned no answer.
        """
        state.in_flight += 1
        try:
            answer = await self._execute(call, state.record)
        except BaseException as error:
            state.end_call()
            if isinstance(error, RequestError):
                _record_error(state, error)
            raise
        _record_answer(state, answer)
        self._sizes.add_answer(call, answer)
        return answer

    async def _choose_with_room(
        self, call: Call, states: Sequence[TargetState]
    ) -> TargetState:
        """Choose a target with room for a call; look at a few samples.

        Raises
        ------
        OverloadedError
            No target in these samples has room, and some report so.
        """
        loop = asyncio.get_running_loop()
        looked_at: list[TargetState] = []
        for _ in range(MAX_SAMPLES):
            remaining = [state for state in states if state not in looked_at]
            if not remaining:
                break
            sample = await self._refreshed_sample(remaining)
            with_room = targets_with_room(call, sample, loop.time())
            if with_room:
                return self._cheapest(call, with_room)
            looked_at.extend(sample)
        now = loop.time()
        full = full_targets(call, looked_at, now)
        if not full:
            return self._cheapest(call, looked_at)
        events.write(
            NoRoom(
                call.request_id,
                len(full),
                round(
                    min(wait_s(call, state.load) for state in full) * MS_PER_S,
                    1,
                ),
                round(max(state.load_age_s for state in full) * MS_PER_S, 1),
            )
        )
        raise lack_of_room(call, full, now)

    async def _refreshed_sample(
        self, states: Sequence[TargetState]
    ) -> Sequence[TargetState]:
        """Return a sample of the targets, with fresh loads."""
        sample = self._sample(states)
        if len(sample) == 1:
            return sample
        return await self._loads.refresh(sample)

    def _sample(self, states: Sequence[TargetState]) -> list[TargetState]:
        return self._picker.sample(states, asyncio.get_running_loop().time())

    def _cheapest(
        self, call: Call, states: Sequence[TargetState]
    ) -> TargetState:
        return self._picker.cheapest(
            states,
            asyncio.get_running_loop().time(),
            self._sizes.expected_kb(call.request_class),
        )

    def _eligible_states(
        self, call: Call, tried: set[str]
    ) -> list[TargetState]:
        eligible = [
            record
            for record in self._members.records_of_service(call.service)
            if record.node not in tried and self._is_eligible(record)
        ]
        return [
            self._table.state(record)
            for record in self._versions.narrow(
                call.service, eligible, first_attempt=not tried
            )
        ]

    def _refuses_without_room(self, call: Call) -> bool:
        """Whether a call is refused unsent if no target has room."""
        service = self._configuration.services.get(call.service)
        by_cost = service is not None and service.refuses_by_cost
        return by_cost and call.objective_at > 0

    def _is_eligible(self, record: MemberRecord) -> bool:
        return (
            record.phase in _ACCEPTING_PHASES
            and record.liveness is not Liveness.dead
            and not self._configuration.is_taken_out(
                record.data_centre,
                record.target,
            )
        )

    async def _execute(self, call: Call, record: MemberRecord) -> Answer:
        if record.node == self._node:
            return await self._local.execute(call)
        try:
            async with asyncio.timeout_at(call.deadline):
                channel = await self._pool.get(record)
        except TimeoutError as error:
            raise DeadlineUnreachableError from error
        except ChannelError as error:
            raise TargetUnavailableError(error.detail) from error
        try:
            return await channel.execute(call)
        except ChannelError as error:
            raise TargetUnavailableError(error.detail) from error


def _record_answer(state: TargetState, answer: Answer) -> None:
    now = asyncio.get_running_loop().time()
    state.update_load(answer.load, now)
    state.end_backoff()
    state.record_outcome(failed=answer.status >= SERVER_ERROR, now=now)
    if isinstance(answer.body, bytes):
        state.end_call()
    else:
        answer.body = GuardedStream(answer.body, lambda _: state.end_call())


def _record_error(state: TargetState, error: RequestError) -> None:
    now = asyncio.get_running_loop().time()
    if error.load is not None:
        state.update_load(error.load, now)
    match error:
        case TargetUnavailableError():
            state.record_outcome(failed=True, now=now)
            state.start_backoff(now)
        case DrainingError() | OutOfServiceError() | StaleConfigurationError():
            state.start_backoff(now)
        case OutcomeUnknownError():
            state.record_outcome(failed=True, now=now)
