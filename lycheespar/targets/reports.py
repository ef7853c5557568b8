"""Reports of targets about themselves, which may arrive late and in any order.

A late report must not undo a newer one, also if this process has started in
between: what earlier processes of the node acknowledged is restored from the
`DepartureStore`.
"""

from __future__ import annotations

import asyncio
import time
from typing import Final, TypeVar

import msgspec
from loguru import logger
from msgspec.structs import replace

from lycheespar.background import start_background
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.targets.departures import Departure, DepartureStore, Rank

# Targets whose last report is remembered; the one reported least recently is
# forgotten first.
MAX_LAST_REPORTS: Final = 256
# Time in seconds after the start of this process for which reports are held
# until the departures are known that earlier processes acknowledged. Reports
# sent before such a departure have arrived by then.
HOLD_TIMEOUT_S: Final = 10
MS_PER_S: Final = 1000

_Entry = TypeVar('_Entry')

log = logger.bind(part='targets')


class Report(msgspec.Struct, frozen=True):
    """Report of a target that it runs.

    Attributes
    ----------
    announcement : Announcement
        What the target reports.
    started_at_ms : int
        Unix time of the target's start in milliseconds; 0 if not given.
    sequence : int
        Number of the report, which grows with each.
    """

    announcement: Announcement
    started_at_ms: int
    sequence: int

    @property
    def departure(self) -> Departure | None:
        """Departure that the report states; None if the target stays."""
        if self.announcement.phase != 'draining':
            return None
        return Departure(
            self.announcement.target, self.started_at_ms, self.sequence
        )


class _LastReport(msgspec.Struct, frozen=True):
    """Newest report or deregistration of one target.

    Attributes
    ----------
    started_at_ms : int
        Unix time of the target's start in milliseconds; the time of the
        deregistration if the start is not known.
    sequence : int
        Number of the newest report; 0 after a deregistration.
    deregistered : bool
        Whether the target was deregistered.
    """

    started_at_ms: int
    sequence: int
    deregistered: bool = False

    @property
    def rank(self) -> Rank:
        """Sort key of the reports and departures of one target."""
        return (self.started_at_ms, self.deregistered, self.sequence)

    def supersedes(self, report: Report) -> bool:
        """Whether a report is outdated by this one."""
        if self.deregistered:
            return report.started_at_ms <= self.started_at_ms
        return (
            self.started_at_ms == report.started_at_ms
            and report.sequence <= self.sequence
        )


class _HeldReport(msgspec.Struct, frozen=True):
    """Report that waits for the departures of earlier processes.

    Attributes
    ----------
    report : Report
        The report.
    expires_at : float
        Instant of the event loop's clock at which its lease ends.
    """

    report: Report
    expires_at: float


class TargetReports:
    """Announces the local target by its newest report.

    A report that is older than one received before, or that belongs to an
    earlier start, has no effect. A departure takes effect at once; it may be
    acknowledged when it is stored.

    Parameters
    ----------
    target : LocalTarget
        Updated with each new announcement.
    departures : DepartureStore
        Stores departures before they are acknowledged.
    """

    __slots__ = (
        '_departures',
        '_held',
        '_hold_timer',
        '_holding',
        '_last_reports',
        '_latest_start_ms',
        '_restore_task',
        '_stored',
        '_target',
    )

    def __init__(self, target: LocalTarget, departures: DepartureStore) -> None:
        """Create it without reports; `start` restores the departures."""
        self._target = target
        self._departures = departures
        self._last_reports: dict[str, _LastReport] = {}
        self._latest_start_ms = 0
        # Newest departure of each target that is stored.
        self._stored: dict[str, Departure] = {}
        self._holding = True
        self._held: _HeldReport | None = None
        self._hold_timer: asyncio.TimerHandle | None = None
        self._restore_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to restore the departures."""
        self._hold_timer = asyncio.get_running_loop().call_later(
            HOLD_TIMEOUT_S, self._stop_holding
        )
        self._restore_task = start_background('departures', self._restore_all)

    def stop(self) -> None:
        """Stop to restore the departures."""
        if self._hold_timer is not None:
            self._hold_timer.cancel()
        if self._restore_task is not None:
            self._restore_task.cancel()

    async def receive(self, report: Report) -> bool:
        """Use a report; return whether it may be acknowledged."""
        if self._holding:
            self._hold(report)
        else:
            self._use(report)
        departure = report.departure
        return departure is None or await self._store(departure)

    async def deregister(self, target: str, started_at_ms: int) -> bool:
        """Mark a target as leaving, so that it gets no new work.

        A target without an earlier report is recorded too, as this process may
        have just started: a delayed report must not announce the target again.

        Parameters
        ----------
        target : str
            Identity of the target.
        started_at_ms : int
            Unix time of its start in milliseconds; 0 if not given.

        Returns
        -------
        bool
            Whether the deregistration may be acknowledged.
        """
        last_report = self._last_reports.get(target)
        last_start_ms = last_report.started_at_ms if last_report else 0
        departure = Departure(
            target,
            started_at_ms or last_start_ms or _now_ms(),
            deregistered=True,
        )
        if departure.started_at_ms < last_start_ms:
            log.info(
                "An earlier start of target '{}' was deregistered.", target
            )
        else:
            self._end(departure)
        return await self._store(departure)

    def _end(self, departure: Departure) -> None:
        """Give a deregistered target no new work."""
        self._remember_departure(departure)
        current = self._target.current
        if current is not None and current.target == departure.target:
            self._target.mark_leaving()
        log.info("Target '{}' was deregistered.", departure.target)

    def _use(self, report: Report) -> bool:
        """Announce the target unless something newer is known of it.

        Returns
        -------
        bool
            Whether the target was announced.
        """
        target = report.announcement.target
        if self._target.current is None:
            # The last announcement has expired. The clock that gives the start
            # times may have been set back since.
            self._latest_start_ms = 0
        last_report = self._last_reports.get(target)
        if report.started_at_ms < self._latest_start_ms or (
            last_report is not None and last_report.supersedes(report)
        ):
            log.info("Ignored an outdated report of target '{}'.", target)
            return False
        self._latest_start_ms = report.started_at_ms
        _put_newest(
            self._last_reports,
            target,
            _LastReport(report.started_at_ms, report.sequence),
        )
        if report.departure is None:
            # A drain after this report has to be stored again.
            self._stored.pop(target, None)
        self._target.announce(report.announcement)
        return True

    def _hold(self, report: Report) -> None:
        """Keep a report until departures are known, if it is the newest.

        The target gets no work until then, but its load is probed and its cold
        start begins.
        """
        held = self._held
        if held is None or _age_key(report) > _age_key(held.report):
            now = asyncio.get_running_loop().time()
            self._held = _HeldReport(report, now + report.announcement.lease_s)
            self._target.announce(
                replace(report.announcement, phase='draining')
            )

    async def _restore_all(self) -> None:
        """Take over the departures that earlier processes acknowledged."""
        for departure in await self._departures.load():
            self._restore(departure)
        held, self._held = self._held, None
        self._holding = False
        now = asyncio.get_running_loop().time()
        if held and now < held.expires_at and not self._use(held.report):
            self._target.mark_leaving()

    def _restore(self, departure: Departure) -> None:
        """Take over a departure unless something newer is known."""
        target = departure.target
        _put_newest(self._stored, target, departure)
        known = self._last_reports.get(target)
        if known is not None and known.rank >= departure.rank:
            return
        self._remember_departure(departure)
        current = self._target.current
        if self._holding or current is None:
            return
        if current.target == target:
            self._target.record_leaving_notice()

    def _remember_departure(self, departure: Departure) -> None:
        _put_newest(
            self._last_reports,
            departure.target,
            _LastReport(
                departure.started_at_ms,
                departure.sequence,
                departure.deregistered,
            ),
        )

    def _stop_holding(self) -> None:
        """Use reports from now on; drop the one that is held."""
        if self._holding:
            log.warning(
                'No control host has told the departures of earlier processes; '
                'reports of targets are used without them.'
            )
        self._holding = False
        self._held = None

    async def _store(self, departure: Departure) -> bool:
        """Store a departure; return whether that is certain."""
        stored = self._stored.get(departure.target)
        if stored is not None and stored.covers(departure):
            return True
        if not await self._departures.record(departure):
            return False
        _put_newest(self._stored, departure.target, departure)
        return True


def _age_key(report: Report) -> tuple[int, int]:
    """Sort key of reports; the greatest one is the newest."""
    return (report.started_at_ms, report.sequence)


def _put_newest(table: dict[str, _Entry], target: str, entry: _Entry) -> None:
    """Store the newest entry of a target; forget the oldest beyond a limit."""
    table.pop(target, None)
    if len(table) >= MAX_LAST_REPORTS:
        table.pop(next(iter(table)))
    table[target] = entry


def _now_ms() -> int:
    return int(time.time() * MS_PER_S)
