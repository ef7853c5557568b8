"""Calls and executors for the tests of admission control."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import Final

from lycheespar.admission.executor import Executor
from lycheespar.call import Answer, Body, Call
from lycheespar.configuration.model import (
    Configuration,
    Team,
    TeamService,
    Template,
)
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import RequestError
from lycheespar.profile import DEFAULT_PROFILE, HeaderProfile
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.targets.client import TargetClient
from standins.target import StandInTarget, TargetPlan

LOAD_TIMEOUT_S: Final = 20
SERVICE: Final = 'vlotwacht/certificates'


def make_call(
    weight: float = 1,
    budget_s: float = 5,
    path: str = '/a',
    method: str = 'GET',
    body: Body = b'',
    *,
    idempotent: bool = True,
) -> Call:
    """Build a call with a deadline in `budget_s` seconds."""
    return Call(
        call_id=random.randbytes(16),
        service=SERVICE,
        method=method,
        path=path,
        headers=(),
        body=body,
        request_class='default',
        weight=weight,
        idempotent=idempotent,
        deadline=asyncio.get_running_loop().time() + budget_s,
    )


def configuration(
    revision: int = 1,
    centres_out: frozenset[str] = frozenset(),
    **parameters: float,
) -> Configuration:
    """Build a configuration with one service."""
    service = TeamService('delivery', parameters)
    return Configuration(
        revision,
        {'delivery': Template('delivery')},
        {'vlotwacht': Team('vlotwacht', {'certificates': service})},
        centres_out,
    )


class TargetWithExecutor:
    """A stand-in target and its executor in one process."""

    def __init__(
        self, profile: HeaderProfile = DEFAULT_PROFILE, **plan: float
    ) -> None:
        """Create both; `start` opens the target's port."""
        self.target = StandInTarget(
            TargetPlan(
                name='one',
                team='vlotwacht',
                service='certificates',
                data_centre='ijmuiden',
                announce='127.0.0.1:1',
                **plan,
            ),
        )
        self.local = LocalTarget()
        self.view = ConfigurationView(Configuration())
        self.executor = Executor(
            self.local,
            self.view,
            'ijmuiden',
            float('inf'),
            partial(TargetClient, profile=profile),
            profile,
        )

    async def start(self, **parameters: float) -> None:
        """Configure the service, start the target and announce it."""
        self.view.update_if_newer(configuration(**parameters))
        await self.target.start()
        self.announce()

    def announce(self, **changes: object) -> None:
        """Announce the target's current state with the given changes."""
        content = self.target.announcement() | {'lease_s': 60} | changes
        self.local.announce(Announcement(**content))

    async def stop(self) -> None:
        """Stop the executor and the target."""
        await self.executor.close()
        await self.target.stop()

    async def run(self, call: Call) -> Answer | RequestError:
        """Run a call; return its answer or its error."""
        try:
            return await self.executor.execute(call)
        except RequestError as error:
            return error

    async def load(self, senders: int, done: Callable[[], bool]) -> None:
        """Send calls from concurrent senders until a condition holds."""
        ends_at = asyncio.get_running_loop().time() + LOAD_TIMEOUT_S

        async def send() -> None:
            while not done():
                assert asyncio.get_running_loop().time() < ends_at
                outcome = await self.run(make_call())
                if isinstance(outcome, RequestError):
                    await asyncio.sleep(0.005)

        await asyncio.gather(*(send() for _ in range(senders)))

    async def warm(self) -> None:
        """Send load until the limit reaches all slots of the target."""
        slots = self.target.plan.slots
        await self.load(30, lambda: self.executor.load.limit == slots)
