"""Single attempts of calls at chosen targets, and what they teach."""

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
    TargetGoneError,
)
from lycheespar.membership.records import Liveness, MemberRecord, Phase
from lycheespar.membership.view import MembershipView
from lycheespar.routing.picker import Picker
from lycheespar.routing.pool import ChannelPool
from lycheespar.routing.sizes import AnswerSizes
from lycheespar.routing.table import TargetState, TargetTable
from lycheespar.streams import GuardedStream

SERVER_ERROR: Final = 500
# Age in seconds up to which a known load is not asked for again.
FRESH_S: Final = 0.005
# Longest time in seconds for the answers: some round trips between data
# centres of one region.
ASK_TIMEOUT_S: Final = 0.01
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
    local_load : Callable[[], Load]
        Gives the load of this node's own target.
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
    ) -> None:
        """Keep the parts."""
        self._local_load = local_load
        self._sizes = AnswerSizes()
        self._node = node
        self._members = members
        self._configuration = configuration
        self._local = local
        self._pool = pool
        self._picker = picker
        self._table = TargetTable()

    @property
    def nodes(self) -> int:
        """Number of nodes known that serve callers."""
        return self._members.nodes

    async def choose(
        self,
        call: Call,
        tried: set[str],
        *,
        only_free: bool = False,
    ) -> TargetState | None:
        """Choose a target that was not tried yet, and note it as tried.

        A few candidates are asked for their load of this instant: it changes
        within a fraction of the time that a call takes.

        Parameters
        ----------
        call : Call
            The call.
        tried : set[str]
            Nodes whose targets were tried.
        only_free : bool
            Whether nothing is chosen unless the target can run the call at
            once, at its usual pace.
        """
        states = [
            self._table.state(record)
            for record in self._members.of_service(call.service)
            if record.node not in tried and self._takes_work(record)
        ]
        if not states:
            return None
        loop = asyncio.get_running_loop()
        sample = self._picker.sample(states, loop.time())
        if len(sample) > 1 or only_free:
            await self._refresh(sample)
        size_kb = self._sizes.expected_kb(call.request_class)
        state = self._picker.cheapest(sample, loop.time(), size_kb)
        if only_free and not state.is_free:
            return None
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
        self._sizes.note(call, answer)
        return answer

    async def _refresh(self, states: Sequence[TargetState]) -> None:
        """Ask the nodes of some targets for their load of this instant."""
        loop = asyncio.get_running_loop()
        newest = loop.time() - FRESH_S
        asked: dict[asyncio.Future[Load], TargetState] = {}
        for state in states:
            if state.record.node == self._node:
                state.report(self._local_load(), loop.time())
            elif state.load_at < newest:
                reply = self._pool.ask_load(state.record)
                if reply is not None:
                    asked[reply] = state
        if not asked:
            return
        done, late = await asyncio.wait(asked, timeout=ASK_TIMEOUT_S)
        now = loop.time()
        for reply in done:
            if not reply.cancelled():
                asked[reply].report(reply.result(), now)
        for reply in late:
            asked[reply].miss(now)

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
