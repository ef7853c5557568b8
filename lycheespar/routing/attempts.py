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
from lycheespar.routing.picker import Picker
from lycheespar.routing.pool import ChannelPool
from lycheespar.routing.sizes import AnswerSizes
from lycheespar.routing.table import TargetState, TargetTable
from lycheespar.streams import GuardedStream

SERVER_ERROR: Final = 500
# A load report that is younger than this, in seconds, is not requested again.
LOAD_FRESH_S: Final = 0.005
# Longest wait in seconds for replies to load queries. It allows several round
# trips between data centres of one region.
LOAD_QUERY_TIMEOUT_S: Final = 0.01
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
        '_local',
        '_local_load',
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
        self._local_load = local_load
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
        """
        eligible = [
            record
            for record in self._members.records_of_service(call.service)
            if record.node not in tried and self._is_eligible(record)
        ]
        states = [
            self._table.state(record)
            for record in self._versions.narrow(
                call.service, eligible, first_attempt=not tried
            )
        ]
        if not states:
            return None
        loop = asyncio.get_running_loop()
        sample = self._picker.sample(states, loop.time())
        if len(sample) > 1 or only_free:
            await self._refresh_loads(sample)
        size_kb = self._sizes.expected_kb(call.request_class)
        state = self._picker.cheapest(sample, loop.time(), size_kb)
        if only_free and not state.is_free:
            return None
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

    async def _refresh_loads(self, states: Sequence[TargetState]) -> None:
        """Query the current load of targets whose report is outdated."""
        loop = asyncio.get_running_loop()
        fresh_since = loop.time() - LOAD_FRESH_S
        queries: dict[asyncio.Future[Load], TargetState] = {}
        for state in states:
            if state.record.node == self._node:
                state.update_load(self._local_load(), loop.time())
            elif state.load_at < fresh_since:
                reply = self._pool.query_load(state.record)
                if reply is not None:
                    queries[reply] = state
        if not queries:
            return
        done, late = await asyncio.wait(queries, timeout=LOAD_QUERY_TIMEOUT_S)
        now = loop.time()
        for reply in done:
            if not reply.cancelled():
                queries[reply].update_load(reply.result(), now)
        for reply in late:
            queries[reply].record_unanswered_query(now)

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
