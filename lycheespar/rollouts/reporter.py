"""Reports a node's evidence on versions to the control hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Final

from loguru import logger

from lycheespar.background import start_background
from lycheespar.control.link import LinkError
from lycheespar.control.messages import ReportEvidence
from lycheespar.rollouts.evidence import EvidenceCounter

if TYPE_CHECKING:
    from lycheespar.control.following.configuration_follower import NodeLink

# Time in seconds between two reports while a roll-out runs.
REPORT_INTERVAL_S: Final = 0.25
# Time in seconds after which the next control host is tried.
REPORT_TIMEOUT_S: Final = 0.5

log = logger.bind(part='rollouts')


class EvidenceReporter:
    """Reports the totals of a counter while its service is rolled out.

    Parameters
    ----------
    counter : EvidenceCounter
        Counts the calls at the local target.
    links : Callable[[], Sequence[NodeLink]]
        Returns links to the known control hosts.
    offset : int
        Which link is used first, so that nodes spread over the hosts.
    """

    __slots__ = ('_counter', '_links', '_position', '_task')

    def __init__(
        self,
        counter: EvidenceCounter,
        links: Callable[[], Sequence[NodeLink]],
        offset: int,
    ) -> None:
        """Create a stopped reporter."""
        self._counter = counter
        self._links = links
        self._position = offset
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to report."""
        self._task = start_background('evidence reports', self._run)

    def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            links = self._links()
            report = self._counter.report() if links else None
            if report is None:
                continue
            link = links[self._position % len(links)]
            try:
                await link.ask(ReportEvidence(report), REPORT_TIMEOUT_S)
            except LinkError:
                log.info('A control host did not take a report of evidence.')
                self._position += 1
