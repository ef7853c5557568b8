"""Fake targets behind a fake pool of channels."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from lycheespar.call import Answer, Call, Load
from lycheespar.configuration.model import (
    Configuration,
    Parameters,
    Route,
    Team,
    TeamService,
    Template,
)
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import LycheesparError
from lycheespar.membership.records import Liveness, MemberRecord, Phase
from lycheespar.membership.view import MembershipView
from lycheespar.rollouts.versions import VersionRouting
from lycheespar.routing.attempts import AttemptRunner
from lycheespar.routing.budget import RetryBudgets
from lycheespar.routing.picker import Picker
from lycheespar.routing.router import Router

SERVICE = 'vlotwacht/certificates'


def make_record(index: int, **changes: Any) -> MemberRecord:
    """Build the record of a node with a ready target."""
    fields = {
        'node': f'node-{index}',
        'incarnation': 1,
        'version': 1,
        'host': '',
        'inner_port': 0,
        'gossip_port': 0,
        'data_centre': 'ijmuiden',
        'service': SERVICE,
        'target': f'target-{index}',
        'phase': Phase.ready,
        'slots': 12,
        'liveness': Liveness.alive,
    }
    return MemberRecord(**(fields | changes))


def make_call(*, idempotent: bool = True, **changes: Any) -> Call:
    """Build a call with a deadline in 5 seconds."""
    fields = {
        'call_id': b'0' * 16,
        'service': SERVICE,
        'method': 'GET',
        'path': '/a',
        'headers': (),
        'body': b'',
        'request_class': 'default',
        'weight': 1,
        'idempotent': idempotent,
        'deadline': asyncio.get_running_loop().time() + 5,
    }
    return Call(**(fields | changes))


def view(**parameters: Any) -> ConfigurationView:
    """Build a configuration with one service."""
    template = Template(
        'delivery',
        {},
        (Route(idempotent=True),),
        Parameters(**parameters),
    )
    team = Team('vlotwacht', {'certificates': TeamService('delivery')})
    return ConfigurationView(
        Configuration(1, {'delivery': template}, {'vlotwacht': team}),
    )


class FakeTargets:
    """Targets that follow a script; counts runs and cancellations.

    Parameters
    ----------
    script : Callable
        Called with the number of earlier runs and the node's name. It returns
        the status of the answer, an error to raise, or, as a float, the
        seconds to wait before an answer with status 200.
    """

    def __init__(self, script: Callable[[int, str], Any]) -> None:
        """Create targets that have run no calls."""
        self._script = script
        self.runs: Counter[str] = Counter()
        self.call_ids: list[bytes] = []
        self.cancelled = 0
        self.error_when_cancelled: LycheesparError | None = None

    async def get(self, target: MemberRecord) -> FakeChannel:
        """Return the channel to a node."""
        return FakeChannel(self, target.node)

    def query_load(self, target: MemberRecord) -> None:
        """Return None, as if no channel were open."""

    async def run(self, node: str, received: Call) -> Answer:
        """Run a call according to the script."""
        step = self._script(self.runs.total(), node)
        self.runs[node] += 1
        self.call_ids.append(received.call_id)
        if isinstance(step, LycheesparError):
            raise step
        if isinstance(step, float):
            try:
                await asyncio.sleep(step)
            except asyncio.CancelledError:
                self.cancelled += 1
                if self.error_when_cancelled is not None:
                    raise self.error_when_cancelled from None
                raise
            step = 200
        return Answer(step, (), node.encode(), Load(1, 0, 12, 5))


class FakeChannel:
    """A channel to one fake target."""

    def __init__(self, targets: FakeTargets, node: str) -> None:
        """Create a channel to a node of the fake targets."""
        self._targets = targets
        self._node = node

    async def execute(self, received: Call) -> Answer:
        """Run a call at the fake target."""
        return await self._targets.run(self._node, received)


def build_router(
    targets: FakeTargets,
    count: int = 4,
    budgets: RetryBudgets | None = None,
    **parameters: Any,
) -> Router:
    """Build a router in front of fake targets."""
    members = MembershipView()
    for index in range(count):
        members.merge(make_record(index))
    configuration = view(**parameters)
    picker = Picker('ijmuiden', random.Random(1))
    attempts = AttemptRunner(
        'caller',
        members,
        configuration,
        None,
        targets,
        picker,
        Load,
        VersionRouting(members, configuration, random.Random(2), enabled=False),
    )
    return Router(attempts, configuration, budgets or RetryBudgets(40, 1))
