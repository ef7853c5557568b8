"""Single attempts of calls at chosen targets, and what they teach."""

from __future__ import annotations

import asyncio
from typing import Final

from lycheespar.call import Answer, Call, Execution
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import (
    ChannelError,
    DeadlineUnreachableError,
    DrainingError,
    OutcomeUnknownError,
    OutOfServiceError,
    RequestError,
    StaleConfigurationError,
    TargetGoneError,
)
from lycheespar.membership.records import Liveness, MemberRecord, Phase
from lycheespar.membership.view import MembershipView
from lycheespar.routing.picker import Picker
from lycheespar.routing.pool import ChannelPool
from lycheespar.routing.table import TargetState, TargetTable
from lycheespar.streams import GuardedStream

SERVER_ERROR: Final = 500
_WORKING: Final = frozenset((Phase.cold, Phase.ready))


class Attempts:
    """Chooses targets, runs attempts there and keeps the table up to date.

    Parameters
    ----------
    node : str
        Identity of this node.
    members : MembershipView
        All nodes known.
    configuration : ConfigurationView
        Says what is taken out.
    local : Execution
        Runs calls at this node's own target, without a channel.
    pool : ChannelPool
        Channels to other nodes.
    picker : Picker
        Chooses among the targets.
    """

    __slots__ = (
        '_configuration',
        '_local',
        '_members',
        '_node',
        '_picker',
        '_pool',
        '_table',
    )

    def __init__(
        self,
        node: str,
        members: MembershipView,
        configuration: ConfigurationView,
        local: Execution,
        pool: ChannelPool,
        picker: Picker,
    ) -> None:
        """Keep the parts."""
        self._node = node
        self._members = members
        self._configuration = configuration
        self._local = local
        self._pool = pool
        self._picker = picker
        self._table = TargetTable()

    def choose(self, service: str, tried: set[str]) -> TargetState | None:
        """Choose a target that was not tried yet, and note it as tried."""
        states = [
            self._table.state(record)
            for record in self._members.of_service(service)
            if record.node not in tried and self._takes_work(record)
        ]
        if not states:
            return None
        state = self._picker.choose(states, asyncio.get_running_loop().time())
        tried.add(state.record.node)
        return state

    async def run(self, call: Call, state: TargetState) -> Answer:
        """Run one attempt.

        Raises
        ------
        RequestError
            The target gave no answer.
        """
        state.in_flight += 1
        try:
            answer = await self._execute(call, state.record)
        except BaseException as error:
            state.end_call()
            if isinstance(error, RequestError):
                _note_error(state, error)
            raise
        _note_answer(state, answer)
        return answer

    def _takes_work(self, record: MemberRecord) -> bool:
        return (
            record.phase in _WORKING
            and record.liveness is not Liveness.dead
            and not self._configuration.is_out(
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
            raise TargetGoneError(error.detail) from error
        try:
            return await channel.execute(call)
        except ChannelError as error:
            raise TargetGoneError(error.detail) from error


def _note_answer(state: TargetState, answer: Answer) -> None:
    now = asyncio.get_running_loop().time()
    state.report(answer.load, now)
    state.wake()
    state.note_outcome(failed=answer.status >= SERVER_ERROR, now=now)
    if isinstance(answer.body, bytes):
        state.end_call()
    else:
        answer.body = GuardedStream(answer.body, lambda _: state.end_call())


def _note_error(state: TargetState, error: RequestError) -> None:
    now = asyncio.get_running_loop().time()
    if error.load is not None:
        state.report(error.load, now)
    match error:
        case TargetGoneError():
            state.note_outcome(failed=True, now=now)
            state.rest(now)
        case DrainingError() | OutOfServiceError() | StaleConfigurationError():
            state.rest(now)
        case OutcomeUnknownError():
            state.note_outcome(failed=True, now=now)
