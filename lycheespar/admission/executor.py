"""Runs calls at the local target, within all limits of this node."""

from __future__ import annotations

import asyncio

from loguru import logger

from lycheespar.admission.gate import Gate
from lycheespar.call import Answer, Call, Load
from lycheespar.configuration.view import ConfigurationView
from lycheespar.errors import (
    DrainingError,
    OutOfServiceError,
    RefusedError,
    StaleConfigurationError,
    TargetGoneError,
)
from lycheespar.membership.records import Phase
from lycheespar.streams import GuardedStream
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.targets.client import TargetClient

log = logger.bind(part='admission')


class Executor:
    """Admits calls and sends them to the local target.

    Parameters
    ----------
    target : LocalTarget
        The target of this node.
    configuration : ConfigurationView
        Says what is taken out.
    data_centre : str
        Data centre of this node.
    stale_after_s : float
        Age in seconds past which the configuration is not current;
        infinite where stale configurations are served.
    """

    __slots__ = (
        '_client',
        '_closing',
        '_configuration',
        '_data_centre',
        '_gate',
        '_stale_after_s',
        '_target',
    )

    def __init__(
        self,
        target: LocalTarget,
        configuration: ConfigurationView,
        data_centre: str,
        stale_after_s: float,
    ) -> None:
        """Follow the target's announcements."""
        self._target = target
        self._configuration = configuration
        self._data_centre = data_centre
        self._stale_after_s = stale_after_s
        self._gate = Gate(1, 0)
        self._client: TargetClient | None = None
        self._closing: set[asyncio.Task[None]] = set()
        target.changes.subscribe(self._follow)

    @property
    def load(self) -> Load:
        """Load of the target now."""
        return self._gate.load

    @property
    def idle(self) -> bool:
        """Whether no call runs or waits."""
        return self._gate.idle

    async def execute(self, call: Call) -> Answer:
        """Run a call at the target.

        Raises
        ------
        RefusedError
            The call was not run.
        OutcomeUnknownError
            The call may have run.
        """
        self._check(call)
        await self._gate.enter(call)
        started_at = asyncio.get_running_loop().time()
        try:
            answer = await self._send(call)
        except BaseException:
            self._leave(started_at)
            raise
        if isinstance(answer.body, bytes):
            self._leave(started_at)
        else:
            answer.body = GuardedStream(
                answer.body,
                lambda _: self._leave(started_at),
            )
        return answer

    async def close(self) -> None:
        """Close the connections to the target."""
        if self._client is not None:
            await self._client.close()

    def _check(self, call: Call) -> None:
        """Refuse work that this node must not take."""
        current = self._target.current
        if current is None or current.service_name != call.service:
            raise TargetGoneError
        if current.state in {Phase.draining, Phase.left}:
            raise DrainingError
        if self._configuration.is_out(self._data_centre, current.target):
            raise OutOfServiceError
        if self._configuration.age_s > self._stale_after_s:
            raise StaleConfigurationError

    async def _send(self, call: Call) -> Answer:
        """Send an admitted call, unless things changed while it waited."""
        self._check(call)
        if self._client is None:
            raise TargetGoneError
        return await self._client.send(call, self.load)

    def _leave(self, started_at: float) -> None:
        now = asyncio.get_running_loop().time()
        self._gate.leave(now - started_at)

    def _follow(self, announcement: Announcement | None) -> None:
        if announcement is None:
            self._replace_client(None)
            self._gate.refuse_waiting(RefusedError('the target is gone'))
            return
        log.info("Target '{}' is {}.", announcement.target, announcement.phase)
        if self._client is None:
            self._replace_client(TargetClient(announcement))
        service = self._configuration.services.get(announcement.service_name)
        queue_limit = (
            32 if service is None else (service.parameters.queue_limit)
        )
        self._gate.configure(announcement.slots, queue_limit)

    def _replace_client(self, client: TargetClient | None) -> None:
        old = self._client
        self._client = client
        if old is not None:
            task = asyncio.create_task(old.close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)
