"""Runs the roll-outs at the control host that leads its group."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Iterable
from typing import Final, Protocol

from loguru import logger

from lycheespar.background import start_background
from lycheespar.configuration.changes import ANY_REVISION, Command
from lycheespar.configuration.model import Configuration
from lycheespar.configuration.stamp import boot_time_s
from lycheespar.control.api.progress import ProgressReport
from lycheespar.errors import ControlError
from lycheespar.membership.records import MemberRecord, Phase
from lycheespar.rollouts.collection import EvidenceDifference
from lycheespar.rollouts.evidence import TargetEvidence
from lycheespar.rollouts.order import (
    EndRollout,
    Rollout,
    RolloutChange,
    StepRollout,
)
from lycheespar.rollouts.schedule import Progress, next_change
from lycheespar.rollouts.verdict import VersionJudge
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.rollout_events import RolloutChanged

# Time in seconds between two looks at the running roll-outs.
INTERVAL_S: Final = 0.25
# Recorded as the operator of the steps of a roll-out.
OPERATOR_NAME: Final = 'rollout'

log = logger.bind(part='rollouts')


class RolloutHost(Protocol):
    """What the controller needs of its control host."""

    @property
    def leading(self) -> bool:
        """Whether this host leads its group."""

    @property
    def configuration(self) -> Configuration:
        """The newest committed configuration."""

    async def submit(self, command: Command) -> int:
        """Submit a command and return the revision that it created."""

    async def progress(self, revision: int) -> ProgressReport:
        """Report which nodes have a revision in force."""

    async def evidence(self) -> tuple[TargetEvidence, ...]:
        """Return the newest evidence that all control hosts have."""


class Members(Protocol):
    """The known nodes and their targets."""

    def records_of_service(self, service: str) -> Iterable[MemberRecord]:
        """Return the records of the nodes with a target of a service."""


class RolloutController:
    """Steps the running roll-outs while its control host leads.

    All hosts follow the time of each roll-out, so that the next leader goes on
    where the last one stopped.

    Parameters
    ----------
    host : RolloutHost
        This control host.
    members : Members
        The known nodes and their targets.
    max_exposure : float
        Largest share of the requests that a bad version may get, 0 to 1.
    """

    __slots__ = (
        '_host',
        '_max_exposure',
        '_members',
        '_task',
        '_watches',
    )

    def __init__(
        self,
        host: RolloutHost,
        members: Members,
        max_exposure: float,
    ) -> None:
        """Create a stopped controller."""
        self._host = host
        self._members = members
        self._max_exposure = max_exposure
        self._watches: dict[tuple[str, str], _Watch] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to look at the roll-outs."""
        self._task = start_background('roll-outs', self._run)

    def stop(self) -> None:
        """Stop looking at the roll-outs."""
        if self._task is not None:
            self._task.cancel()

    async def look(self) -> None:
        """Look at each running roll-out once, and step it if it is due."""
        running = {
            (rollout.service, rollout.version): rollout
            for rollout in self._host.configuration.rollouts.values()
            if rollout.is_running
        }
        now = boot_time_s()
        self._watches = {
            key: self._watches.get(key) or _Watch(rollout, now)
            for key, rollout in running.items()
        }
        if not running or not self._host.leading:
            return
        reports = await self._host.evidence()
        for key, rollout in running.items():
            await self._step(rollout, self._watches[key], reports)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S)
            try:
                await self.look()
            except ControlError as error:
                log.warning('A roll-out could not be stepped: {}.', error)

    async def _step(
        self,
        rollout: Rollout,
        watch: _Watch,
        reports: tuple[TargetEvidence, ...],
    ) -> None:
        new, old = watch.difference.added(reports, rollout.version)
        judgement = watch.judge.update(new, old)
        now = boot_time_s()
        watch.note_share(rollout.share, self._host.configuration.revision, now)
        if rollout.share >= 1 and not watch.confirmed_at:
            report = await self._host.progress(watch.revision)
            if not report.missing:
                watch.confirmed_at = now
        progress = Progress(
            now - watch.ordered_at,
            now - watch.share_at,
            now - watch.confirmed_at if watch.confirmed_at else 0,
            self._capacity(rollout),
            judgement,
        )
        change = next_change(rollout, progress, self._max_exposure)
        if change is not None:
            await self._submit(change, progress)

    async def _submit(self, change: RolloutChange, progress: Progress) -> None:
        command = Command(uuid.uuid4().hex, ANY_REVISION, OPERATOR_NAME, change)
        revision = await self._host.submit(command)
        events.write(_change_event(change, progress, revision))

    def _capacity(self, rollout: Rollout) -> float:
        """Return the slots of warm new targets as a share of the old ones."""
        new_slots = 0
        old_slots = 0
        for record in self._members.records_of_service(rollout.service):
            if not record.accepts_calls:
                continue
            if record.software_version != rollout.version:
                old_slots += record.slots
            elif record.phase is Phase.ready:
                new_slots += record.slots
        return new_slots / max(old_slots, 1)


class _Watch:
    """What the controller remembers of one roll-out.

    Attributes
    ----------
    ordered_at, share_at : float
        Instants of the order and of the present share.
    confirmed_at : float
        Instant at which all nodes had confirmed that share; 0 before.
    revision : int
        Revision in which that share is in force.
    judge : VersionJudge
        Compares the versions.
    difference : EvidenceDifference
        Finds the calls that were added.
    """

    __slots__ = (
        '_share',
        'confirmed_at',
        'difference',
        'judge',
        'ordered_at',
        'revision',
        'share_at',
    )

    def __init__(self, rollout: Rollout, now: float) -> None:
        self.ordered_at = now - rollout.elapsed_s
        self._share = -1.0
        self.share_at = now
        self.confirmed_at = 0.0
        self.revision = 0
        self.judge = VersionJudge()
        self.difference = EvidenceDifference(rollout.service)

    def note_share(self, share: float, revision: int, now: float) -> None:
        """Note the present share and since when it has been seen."""
        if share != self._share:
            self._share = share
            self.share_at = now
            self.revision = revision
            self.confirmed_at = 0.0


def _change_event(
    change: RolloutChange, progress: Progress, revision: int
) -> RolloutChanged:
    """Return the event of a step or of the end of a roll-out."""
    share = 0.0
    reason = ''
    match change:
        case StepRollout():
            share = change.share
        case EndRollout():
            share = float(change.succeeded)
            reason = change.reason
    return RolloutChanged(
        change.service,
        change.version,
        type(change).__name__,
        share,
        reason,
        round(progress.elapsed_s, 3),
        progress.judgement.answers,
        round(progress.capacity, 3),
        revision,
    )
