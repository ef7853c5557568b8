"""Applies the notices in a target's answers at its node."""

from __future__ import annotations

import asyncio

from lycheespar.admission.gate import Gate
from lycheespar.targets.announcement import Announcement, LocalTarget
from lycheespar.targets.notices import Notices
from lycheespar.telemetry.event_log import events
from lycheespar.telemetry.events import TargetLeaving, TargetLimitChanged


class NoticeProcessor:
    """Processes the notices in the answers of the local target.

    Parameters
    ----------
    target : LocalTarget
        The target of this node.
    gate : Gate
        Enforces the limit on the rate of calls.
    """

    __slots__ = ('_gate', '_reports_name_limit', '_target')

    def __init__(self, target: LocalTarget, gate: Gate) -> None:
        """Create a processor for the calls that pass a gate."""
        self._target = target
        self._gate = gate
        self._reports_name_limit = False

    def process(
        self,
        announcement: Announcement,
        notices: Notices,
        *,
        in_load_report: bool = False,
    ) -> None:
        """Process the notices in an answer of an announced target.

        They are ignored if the target has been replaced since.

        Parameters
        ----------
        announcement : Announcement
            The target at the time of the request.
        notices : Notices
            Notices in its answer.
        in_load_report : bool
            Whether the answer came from the target's load endpoint. Such an
            answer ends a limit only if others like it have named one.
        """
        current = self._target.current
        if current is None or current.start_key != announcement.start_key:
            return
        if in_load_report and notices.calls_per_s is not None:
            self._reports_name_limit = True
        if not in_load_report or self._reports_name_limit:
            self._update_limit(current, notices.calls_per_s)
        if notices.leaving:
            events.write(TargetLeaving(current.target, current.phase))
            self._target.record_leaving_notice()

    def _update_limit(
        self, announcement: Announcement, calls_per_s: float | None
    ) -> None:
        limit = self._gate.rates.named
        known = limit.calls_per_s
        now = asyncio.get_running_loop().time()
        if calls_per_s is not None:
            limit.set(calls_per_s, now)
        elif known is not None:
            limit.end_unless_recent(now)
        if limit.calls_per_s != known:
            events.write(
                TargetLimitChanged(announcement.target, limit.calls_per_s),
            )
            self._gate.admit_queued()
